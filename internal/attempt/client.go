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
	"github.com/cardamomline/cardamomline/internal/upstream"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	dialTimeout      = 500 * time.Millisecond
	idleConnTimeout  = 30 * time.Second
	maxIdlePerTarget = 64
	// responseEndTimeout is the timeout for the end of a response after its last
	// frame.
	responseEndTimeout = 100 * time.Millisecond
	// minRetireInterval is the minimum time between two closings of all idle
	// connections.
	minRetireInterval = time.Second

	// firstFrameTimeout is the time without a first frame after which a reused
	// connection is closed. An agent sends the first frame before it calls its
	// target, and a lookup of 500 ms needs time for another attempt.
	firstFrameTimeout = 250 * time.Millisecond

	// maxTimerDelay is the timer delay above which this process is considered to
	// have been paused, which must not be mistaken for an unresponsive connection.
	maxTimerDelay = 250 * time.Millisecond
)

// End is the outcome of an attempt at the client: *Finished, *Refused, *NotSent or
// *Lost.
type End interface {
	isEnd()
}

// Finished is an attempt with a result from the target.
type Finished struct {
	result *wire.AttemptResult
}

// Result returns the target's result, which echoes the attempt and request IDs.
func (f *Finished) Result() *wire.AttemptResult { return f.result }

// Refused is an attempt that the agent rejected before it was started.
type Refused struct {
	refusal *wire.Refused
}

// Refusal returns the agent's refusal.
func (r *Refused) Refusal() *wire.Refused { return r.refusal }

// NotSent is an attempt of which no byte was sent.
type NotSent struct {
	err error
}

// Err returns the reason why nothing was sent.
func (n *NotSent) Err() error { return n.err }

// Lost is an attempt that may have run, without a complete response.
type Lost struct {
	err          error
	unresponsive bool
	started      bool
}

// Err returns the error that ended the response.
func (l *Lost) Err() error { return l.err }

// Unresponsive reports whether the connection became unresponsive, which implies
// nothing about the target.
func (l *Lost) Unresponsive() bool { return l.unresponsive }

// Started reports whether the agent had accepted the attempt.
func (l *Lost) Started() bool { return l.started }

func (*Finished) isEnd() {}
func (*Refused) isEnd()  {}
func (*NotSent) isEnd()  {}
func (*Lost) isEnd()     {}

// FrameTimeoutError reports a connection that received no frame within the timeout.
type FrameTimeoutError struct {
	address string
	timeout time.Duration
}

// Error implements error.
func (e *FrameTimeoutError) Error() string {
	return fmt.Sprintf("no frame from the agent at %s for %v", e.address, e.timeout)
}

// MismatchError reports a frame that belongs to another attempt or request.
type MismatchError struct {
	want string
	got  string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("result of attempt %s arrived for attempt %s", e.got, e.want)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// FrameTimeout is the time without a frame after which a connection is closed;
	// the constant FrameTimeout when zero.
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

// Client sends attempts to agents. It has one connection pool per agent, so that
// the pool of an unresponsive path can be closed without affecting others.
type Client struct {
	o     ClientOptions
	mu    sync.Mutex
	pools map[string]*http.Client
	// lastRetired is when the idle connections to all agents were last closed.
	lastRetired time.Time
}

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	o.setDefaults()
	return &Client{o: o, pools: make(map[string]*http.Client)}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// RemovePool closes the connection pool of an agent that has been removed.
func (c *Client) RemovePool(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.CloseIdleConnections()
	}
}

// HTTPClient returns the HTTP client with the connection pool of an agent.
func (c *Client) HTTPClient(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &http.Client{Transport: &http.Transport{
			DialContext:            c.o.Dial,
			MaxIdleConnsPerHost:    maxIdlePerTarget,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: upstream.MaxHeadBytes,
		}}
		c.pools[address] = p
	}
	return p
}

// Do sends one attempt and reads its frames until the end. The context covers the
// complete attempt; canceling it closes the connection. onToken is called for the
// tokens in order of arrival; an error from onToken ends the attempt.
func (c *Client) Do(ctx context.Context, address string, req *wire.AttemptRequest, onToken func(*wire.Token) error) End {
	if address == "" {
		return &NotSent{err: errors.Errorf("attempt %s: agent address is unknown", req.GetAttempt())}
	}
	body, err := proto.Marshal(req)
	if err != nil {
		return &NotSent{err: errors.Wrapf(err, "encode attempt %s", req.GetAttempt())}
	}
	// The request outlives ctx until the end of the response, see drainResponse.
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
	end := c.readFrames(ctx, cancel, address, req, s, onToken)
	switch end.(type) {
	case *Finished, *Refused:
		stop()
		go c.drainResponse(s, cancel)
	default:
		cancel()
	}
	return end
}

// drainResponse waits up to responseEndTimeout for the end of a response whose last
// frame has been read. A connection cannot be reused unless its response is read to
// the end.
func (c *Client) drainResponse(s *stream, cancel func()) {
	defer cancel()
	select {
	case <-s.done:
	case <-c.o.Timers.After(responseEndTimeout):
	}
}

// closeIdle closes the idle connections to an agent, which share the path that
// became unresponsive, so that none is reused. If the unresponsive connection had
// been idle, the same cause has most likely dropped the idle connections to other
// agents as well, so they are closed too, but at most once per minRetireInterval,
// because a frozen agent has the same symptoms.
func (c *Client) closeIdle(address string, idle bool) {
	c.HTTPClient(address).CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !idle || c.o.Timers.Since(c.lastRetired) < minRetireInterval {
		return
	}
	c.lastRetired = c.o.Timers.Now()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// stream reads the frames of one response in its own goroutine, because a blocked
// read on an unresponsive connection must not block the frame timeout.
type stream struct {
	frames chan *wire.Frame
	failed chan error
	// reused receives a value if the connection was used before.
	reused chan struct{}
	quit   <-chan struct{}
	done   chan struct{} // closed when reading has ended
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
		s.failed <- errors.Errorf("agent returned status %s", resp.Status)
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

func (c *Client) readFrames(ctx context.Context, cancel func(), address string, req *wire.AttemptRequest, s *stream, onToken func(*wire.Token) error) End {
	started := false
	// idle is set until the first frame arrives on a connection that was idle
	// before.
	idle, reused := false, s.reused
	for {
		bound := c.o.FrameTimeout
		if idle {
			bound = min(firstFrameTimeout, bound)
		}
		armed := c.o.Timers.Now()
		select {
		case <-reused:
			idle = true
		case f := <-s.frames:
			idle, reused = false, nil
			end, err := c.handleFrame(f, req, &started, onToken)
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
			if c.o.Timers.Since(armed) > bound+maxTimerDelay {
				// This process was paused; there may be unread frames.
				continue
			}
			cancel()
			c.closeIdle(address, idle)
			return &Lost{err: &FrameTimeoutError{address: address, timeout: bound}, unresponsive: true, started: started}
		case <-ctx.Done():
			return &Lost{err: context.Cause(ctx), started: started}
		}
	}
}

func (c *Client) handleFrame(f *wire.Frame, req *wire.AttemptRequest, started *bool, onToken func(*wire.Token) error) (End, error) {
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
