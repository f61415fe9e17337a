package stagelink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Options configures a Client.
type Options struct {
	Timers *timer.Service
	// Dial opens a connection; it defaults to the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends stages to collectors. It is safe for concurrent use.
type Client struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	peers  map[string]*peer
	wg     sync.WaitGroup
	done   chan struct{}
}

// NewClient returns a Client.
func NewClient(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{o: o, ctx: ctx, cancel: cancel, peers: map[string]*peer{}, done: make(chan struct{})}
}

// RunStage runs a stage at the collector with the address. The error is a *LinkError, a
// *FrameError, or that of ctx.
func (c *Client) RunStage(ctx context.Context, address string, r *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	s, err := c.peer(address).session(ctx)
	if err != nil {
		return nil, err
	}
	return s.run(ctx, r)
}

// FreeResults tells the collector which results nobody needs any more. They may not reach it;
// results expire by themselves.
func (c *Client) FreeResults(ctx context.Context, address string, r *wire.FreeResultsRequest) error {
	s, err := c.peer(address).session(ctx)
	if err != nil {
		return err
	}
	return s.link.send(&wire.StageFrame{Content: &wire.StageFrame_Free{Free: r}})
}

// Stop implements kernel.Stopper. Stages that wait fail.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
	close(c.done)
	return nil
}

// Done implements kernel.Stopper.
func (c *Client) Done() <-chan struct{} { return c.done }

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{client: c, address: address}
		c.peers[address] = p
	}
	return p
}

// peer holds the connections to one collector.
type peer struct {
	client  *Client
	address string
	mu      sync.Mutex
	slots   [connsPerCollector]*slot
}

// slot is a connection that is open or being opened.
type slot struct {
	ready   chan struct{}
	session *clientSession // nil if opening failed with err
	err     error
	waiting int // stages that wait for the opening
}

// load returns the number of stages of the connection. The connection with fewer stages is
// used: a connection that is delayed by lost packets has more of them.
func (s *slot) load() int {
	select {
	case <-s.ready:
		return s.session.load()
	default:
		return s.waiting
	}
}

// session returns a connection for a new stage and opens it if necessary.
func (p *peer) session(ctx context.Context) (*clientSession, error) {
	p.mu.Lock()
	s := p.choose()
	s.waiting++
	p.mu.Unlock()
	select {
	case <-s.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.err != nil {
		return nil, &LinkError{address: p.address, cause: s.err}
	}
	return s.session, nil
}

// choose returns the connection with the fewest stages, a new one in an empty place; p.mu is
// held.
func (p *peer) choose() *slot {
	best := -1
	for i, s := range p.slots {
		if s == nil || s.isOver() {
			s = &slot{ready: make(chan struct{})}
			p.slots[i] = s
			if !p.client.spawn(func() { p.open(s) }) {
				s.err = net.ErrClosed
				close(s.ready)
			}
			return s
		}
		if best < 0 || s.load() < p.slots[best].load() {
			best = i
		}
	}
	return p.slots[best]
}

func (s *slot) isOver() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.session.link.cause() != nil
	default:
		return false
	}
}

// spawn runs f unless the client has stopped.
func (c *Client) spawn(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	c.wg.Go(f)
	return true
}

// open opens the connection of a slot and serves it until it ends.
func (p *peer) open(s *slot) {
	l, err := p.client.dial(p.address)
	if err != nil {
		s.err = err
		close(s.ready)
		return
	}
	now := p.client.o.Timers.Now()
	s.session = &clientSession{link: l, address: p.address, timers: p.client.o.Timers, waiting: map[uint64]chan *wire.RunStageResponse{}, receivedAt: now, usedAt: now}
	close(s.ready)
	s.session.serve(p.client.ctx)
}

// dial opens a connection and upgrades it.
func (c *Client) dial(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := c.o.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	r := &http.Request{
		Method: http.MethodPost, Host: address, URL: &url.URL{Path: Path},
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}, "User-Agent": {""}},
	}
	var reader *bufio.Reader
	if err = r.Write(conn); err == nil {
		reader, err = readUpgrade(conn, r)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return newLink(conn, reader, c.o.Timers), nil
}

// readUpgrade reads the response to the upgrade request.
func readUpgrade(conn net.Conn, r *http.Request) (*bufio.Reader, error) {
	// The head has to fit into the buffer, so that a peer can't send one without end.
	head := &io.LimitedReader{R: conn, N: readBufferBytes}
	reader := bufio.NewReaderSize(head, readBufferBytes)
	resp, err := http.ReadResponse(reader, r)
	if err != nil {
		return nil, errors.Wrap(err, "read response to upgrade")
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, &UpgradeError{status: resp.StatusCode}
	}
	head.N = int64(^uint64(0) >> 1)
	return reader, nil
}

// clientSession is the gateway's side of one connection.
type clientSession struct {
	link    *link
	address string
	timers  *timer.Service
	mu      sync.Mutex
	last    uint64 // number of the newest stage
	waiting map[uint64]chan *wire.RunStageResponse
	// receivedAt is when the last frame arrived or, if it is later, the first of the waiting
	// stages was sent; usedAt is when the last stage was sent or ended.
	receivedAt, usedAt time.Time
}

func (s *clientSession) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// run sends a stage and waits for its response.
func (s *clientSession) run(ctx context.Context, r *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	answered := make(chan *wire.RunStageResponse, 1)
	s.mu.Lock()
	s.usedAt = s.timers.Now()
	if len(s.waiting) == 0 {
		s.receivedAt = s.usedAt
	}
	s.last++
	call := s.last
	s.waiting[call] = answered
	s.mu.Unlock()
	defer s.remove(call)
	if err := s.link.send(&wire.StageFrame{Call: call, Content: &wire.StageFrame_Run{Run: r}}); err != nil {
		var frame *FrameError
		if errors.As(err, &frame) {
			return nil, err
		}
		return nil, &LinkError{address: s.address, cause: err}
	}
	select {
	case resp := <-answered:
		return resp, nil
	case <-s.link.ended:
		return nil, &LinkError{address: s.address, cause: s.link.cause()}
	case <-ctx.Done():
		_ = s.link.send(&wire.StageFrame{Call: call, Content: &wire.StageFrame_Cancel{Cancel: &wire.CancelStage{}}}) // the end of the link cancels it as well
		return nil, ctx.Err()
	}
}

func (s *clientSession) remove(call uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, call)
	s.usedAt = s.timers.Now()
}

// serve reads frames until the connection ends.
func (s *clientSession) serve(ctx context.Context) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.timers.Every(watching, pingInterval, func(context.Context) { s.check() }) })
	stop := context.AfterFunc(ctx, func() { s.link.close(net.ErrClosed) })
	defer stop()
	for {
		f, err := s.link.receive()
		if err != nil {
			break
		}
		s.take(f)
	}
	cancel()
	wg.Wait()
	s.link.wg.Wait()
	klog.InfoS("Connection for stages closed", "collector", s.address, "waiting", s.load(), "cause", s.link.cause().Error())
}

// take hands a response to its stage. The results of a stage that was canceled meanwhile are
// released, because nobody else knows them.
func (s *clientSession) take(f *wire.StageFrame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedAt = s.timers.Now()
	r := f.GetResponse()
	if r == nil {
		return
	}
	if answered := s.waiting[f.GetCall()]; answered != nil {
		delete(s.waiting, f.GetCall())
		answered <- r
	} else if len(r.GetResults()) > 0 {
		_ = s.link.send(&wire.StageFrame{Content: &wire.StageFrame_Free{Free: &wire.FreeResultsRequest{Results: r.GetResults()}}}) // they expire by themselves
	}
}

// check pings a connection on which stages wait and nothing arrives, and closes one that
// stays silent or is no longer used.
func (s *clientSession) check() {
	s.mu.Lock()
	now := s.timers.Now()
	silent, unused, waiting := now.Sub(s.receivedAt), now.Sub(s.usedAt), len(s.waiting)
	s.mu.Unlock()
	switch {
	case waiting == 0 && unused >= idleTimeout:
		s.link.close(net.ErrClosed)
	case waiting == 0:
	case silent >= pingInterval+pongTimeout:
		s.link.close(&SilentError{after: silent})
	case silent >= pingInterval:
		_ = s.link.send(&wire.StageFrame{Content: &wire.StageFrame_Ping{Ping: &wire.Ping{}}}) // a link that has ended needs no ping
	}
}
