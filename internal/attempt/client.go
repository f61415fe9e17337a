package attempt

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	dialTimeout      = 500 * time.Millisecond
	idleConnTimeout  = 30 * time.Second
	maxIdlePerTarget = 64
	// endBound is how long the end of an answer may come after its last frame.
	endBound = 100 * time.Millisecond
	// retirePeriod is the shortest time between two closings of all idle connections.
	retirePeriod = time.Second

	// firstFrameBound is the time without a frame after which a connection that has
	// carried attempts before is retired. An agent sends the first frame before it
	// calls its target, and a lookup of 500 ms has to have time for another attempt.
	firstFrameBound = 250 * time.Millisecond

	// pauseMargin is how late a timer may be before this process counts as having
	// been paused, which must not be taken for silence of the other end.
	pauseMargin = 250 * time.Millisecond
)

// End is how an attempt ended as its client saw it: *Finished, *Refused,
// *NotSent or *Lost.
type End interface {
	isEnd()
}

// Finished is an attempt with a result from the target.
type Finished struct {
	result *wire.AttemptResult
}

// Result returns the target's result; it echoes the attempt and request ids.
func (f *Finished) Result() *wire.AttemptResult { return f.result }

// Refused is an attempt that the agent refused before it started.
type Refused struct {
	refusal *wire.Refused
}

// Refusal returns the agent's refusal.
func (r *Refused) Refusal() *wire.Refused { return r.refusal }

// NotSent is an attempt of which no byte left this process.
type NotSent struct {
	err error
}

// Err returns why nothing was sent.
func (n *NotSent) Err() error { return n.err }

// Lost is an attempt that may have run: the answer broke off.
type Lost struct {
	err     error
	silent  bool
	started bool
}

// Err returns how the answer broke off.
func (l *Lost) Err() error { return l.err }

// Unresponsive reports whether the connection went silent, which says nothing about the target.
func (l *Lost) Unresponsive() bool { return l.silent }

// Started reports whether the agent had accepted the attempt.
func (l *Lost) Started() bool { return l.started }

func (*Finished) isEnd() {}
func (*Refused) isEnd()  {}
func (*NotSent) isEnd()  {}
func (*Lost) isEnd()     {}

// FrameTimeoutError reports a connection without a frame for the silence bound.
type FrameTimeoutError struct {
	address string
	bound   time.Duration
}

// Error implements error.
func (e *FrameTimeoutError) Error() string {
	return fmt.Sprintf("no frame from the agent at %s for %v", e.address, e.bound)
}

// MismatchError reports a result that belongs to another attempt or request.
type MismatchError struct {
	want string
	got  string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("result of attempt %s arrived for attempt %s", e.got, e.want)
}

// ClientOptions holds what a Client needs.
type ClientOptions struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Silence is the time without a frame that retires a connection; SilenceBound when zero.
	FrameTimeout time.Duration
	// Dial replaces the network dialer in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o *ClientOptions) setDefaults() {
	if o.FrameTimeout == 0 {
		o.FrameTimeout = FrameTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
}

// Client sends attempts to agents. It keeps one connection pool for each agent,
// so that the pool of one silent path can be dropped without touching others.
type Client struct {
	o     ClientOptions
	mu    sync.Mutex
	pools map[string]*http.Client
	// retired is when the idle connections to all agents were last closed.
	retired time.Time
}

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	o.setDefaults()
	return &Client{o: o, pools: make(map[string]*http.Client)}
}

// Close drops all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// RemovePool drops the connection pool of an agent that is gone.
func (c *Client) RemovePool(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.CloseIdleConnections()
	}
}

// HTTPClient returns the HTTP client that holds the connection pool of an agent.
func (c *Client) HTTPClient(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &http.Client{Transport: &http.Transport{
			DialContext:         c.o.Dial,
			MaxIdleConnsPerHost: maxIdlePerTarget,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}}
		c.pools[address] = p
	}
	return p
}

// Do sends one attempt and reads its frames until the end. The context bounds
// the whole attempt; canceling it closes the connection. Tokens are handed to
// onToken in order of arrival; an error from onToken ends the attempt.
func (c *Client) Do(ctx context.Context, address string, req *wire.AttemptRequest, onToken func(*wire.Token) error) End {
	if address == "" {
		return &NotSent{err: errors.Errorf("attempt %s: the agent's address isn't known", req.GetAttempt())}
	}
	body, err := proto.Marshal(req)
	if err != nil {
		return &NotSent{err: errors.Wrapf(err, "encode attempt %s", req.GetAttempt())}
	}
	// The request outlives ctx by the end of the answer, see endAnswer.
	sent, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	hr, err := http.NewRequestWithContext(sent, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return &NotSent{err: errors.Wrapf(err, "address of attempt %s", req.GetAttempt())}
	}
	hr.Header.Set("Content-Type", "application/protobuf")
	s := &stream{frames: make(chan *wire.Frame), failed: make(chan error, 1), reused: make(chan struct{}, 1), quit: sent.Done(), done: make(chan struct{})}
	hr = hr.WithContext(httptrace.WithClientTrace(sent, s.trace()))
	go s.read(c.HTTPClient(address), hr)
	end := c.follow(ctx, cancel, address, req, s, onToken)
	switch end.(type) {
	case *Finished, *Refused:
		stop()
		go c.endAnswer(s, cancel)
	default:
		cancel()
	}
	return end
}

// endAnswer waits a short time for the end of an answer whose last frame was read.
// A connection whose answer was not read to the end can't be used again.
func (c *Client) endAnswer(s *stream, cancel func()) {
	defer cancel()
	select {
	case <-s.done:
	case <-c.o.Timers.After(endBound):
	}
}

// retire closes the idle connections to an agent, which share the path that went
// silent, so that none is used again. When the silent one had been idle, what made
// it silent has most likely dropped those to other agents as well. They are closed
// at most once in a retirePeriod, because a frozen agent looks the same.
func (c *Client) retire(address string, idle bool) {
	c.HTTPClient(address).CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !idle || c.o.Timers.Since(c.retired) < retirePeriod {
		return
	}
	c.retired = c.o.Timers.Now()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// stream reads the frames of one answer in its own goroutine, because a blocked
// read on a silent connection must not block the watch for silence.
type stream struct {
	frames chan *wire.Frame
	failed chan error
	// reused gets a value when the connection has carried attempts before.
	reused chan struct{}
	quit   <-chan struct{}
	done   chan struct{} // closed when nothing more is read
}

func (s *stream) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if !i.Reused {
			return
		}
		select {
		case s.reused <- struct{}{}:
		default:
		}
	}}
}

func (s *stream) read(client *http.Client, hr *http.Request) {
	defer close(s.done)
	resp, err := client.Do(hr)
	if err != nil {
		s.failed <- err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.failed <- errors.Errorf("agent answered %s", resp.Status)
		return
	}
	br := bufio.NewReader(resp.Body)
	for {
		f, err := readFrame(br)
		if err != nil {
			s.failed <- err
			return
		}
		select {
		case s.frames <- f:
		case <-s.quit:
			return
		}
	}
}

func (c *Client) follow(ctx context.Context, cancel func(), address string, req *wire.AttemptRequest, s *stream, onToken func(*wire.Token) error) End {
	started := false
	// idle is set while nothing has come on a connection that was idle before.
	idle, reused := false, s.reused
	for {
		bound := c.o.FrameTimeout
		if idle {
			bound = min(firstFrameBound, bound)
		}
		armed := c.o.Timers.Now()
		select {
		case <-reused:
			idle = true
		case f := <-s.frames:
			idle, reused = false, nil
			end, err := c.frame(f, req, &started, onToken)
			if err != nil {
				return &Lost{err: err, started: started}
			}
			if end != nil {
				return end
			}
		case err := <-s.failed:
			if isDialError(err) {
				return &NotSent{err: err}
			}
			return &Lost{err: err, started: started}
		case <-c.o.Timers.After(bound):
			if c.o.Timers.Since(armed) > bound+pauseMargin {
				// This process itself was paused; frames may wait unread.
				continue
			}
			cancel()
			c.retire(address, idle)
			return &Lost{err: &FrameTimeoutError{address: address, bound: bound}, silent: true, started: started}
		case <-ctx.Done():
			return &Lost{err: context.Cause(ctx), started: started}
		}
	}
}

func (c *Client) frame(f *wire.Frame, req *wire.AttemptRequest, started *bool, onToken func(*wire.Token) error) (End, error) {
	switch k := f.GetKind().(type) {
	case *wire.Frame_Started:
		if k.Started.GetAttempt() != req.GetAttempt() {
			return nil, &MismatchError{want: req.GetAttempt(), got: k.Started.GetAttempt()}
		}
		*started = true
	case *wire.Frame_Token:
		if onToken == nil {
			return nil, nil
		}
		return nil, onToken(k.Token)
	case *wire.Frame_KeepAlive:
	case *wire.Frame_Refused:
		return &Refused{refusal: k.Refused}, nil
	case *wire.Frame_Result:
		r := k.Result
		if r.GetAttempt() != req.GetAttempt() || r.GetRequest() != req.GetRequest() {
			return nil, &MismatchError{want: req.GetAttempt(), got: r.GetAttempt()}
		}
		return &Finished{result: r}, nil
	}
	return nil, nil
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
