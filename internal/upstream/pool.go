// Package upstream sends requests to targets over connections that it keeps.
//
// net/http's client repeats some requests by itself and takes whatever arrives
// next on a connection for the answer. A target may send a second answer, or
// answer late, so that a Pool compares the answer with the request, never sends
// twice, and tells whether a request that failed can have arrived. Messages are
// written and parsed by net/http.
//
// # Usage
//
//	p := upstream.NewPool(upstream.Options{Timers: ts})
//	resp, err := p.Do(ctx, upstream.Call{Address: "10.0.0.1:80", Request: r, Body: body})
//	if err != nil {
//		var failed *upstream.Error
//		sent := !errors.As(err, &failed) || failed.Sent()
//	}
//	defer resp.Close()
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	// dialTimeout bounds the opening of a connection, which takes a few
	// milliseconds at a target that works. A lost packet is sent again after 1 s.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections that went silent
	// while an answer is awaited, within 2.5 s.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// defaultIdle is how long an idle connection is used again when the target
	// doesn't say for how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is kept to the time that the target states, for the request's way.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one target.
	maxIdle = 32
	// maxForeign bounds the answers to other requests that are passed over on one
	// connection.
	maxForeign = 3
	// maxForeignBytes bounds the body of one of them.
	maxForeignBytes = 1 << 20
	readBuffer      = 4 << 10
)

// Error reports a call without an answer.
type Error struct {
	address string
	step    string
	sent    bool
	cause   error
}

// MayHaveArrived says whether the target may have received the request.
func (e *Error) MayHaveArrived() bool { return e.sent }

// Step returns what failed: dial, write or read.
func (e *Error) Step() string { return e.step }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.step, e.address, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Options holds what a Pool needs.
type Options struct {
	Timers *timer.Service
	// OnDial is told of each new connection; may be nil.
	OnDial func(address string)
}

// Call is one request to a target.
type Call struct {
	Address string
	// Request has the method, URL, host and header; its body is Body.
	Request *http.Request
	Body    []byte
	// Answers says whether a response answers the request; nil takes any.
	Matches func(*http.Response) bool
	// MaxIdle bounds the idle time of a connection that is used again; 0 doesn't.
	MaxIdle time.Duration
}

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	o    Options
	dial net.Dialer
	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is a connection to a target.
type conn struct {
	net     net.Conn
	r       *bufio.Reader
	since   time.Time // when it became idle
	expires time.Time // when the target closes it
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	return &Pool{o: o, idle: map[string][]*conn{}, dial: net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setAckTimeout,
	}}
}

// Do sends the request once and returns the answer as soon as its header is
// complete. The error is an *Error. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, c Call) (*Response, error) {
	cn, err := p.connect(ctx, c)
	if err != nil {
		return nil, &Error{address: c.Address, step: "dial", cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.net.SetDeadline(time.Unix(1, 0)) })
	if err := cn.write(c); err != nil {
		stop()
		_ = cn.net.Close()
		return nil, &Error{address: c.Address, step: "write", sent: true, cause: first(ctx.Err(), err)}
	}
	resp, err := cn.read(c)
	if err != nil {
		stop()
		_ = cn.net.Close()
		return nil, &Error{address: c.Address, step: "read", sent: true, cause: first(ctx.Err(), err)}
	}
	return &Response{Response: resp, pool: p, conn: cn, address: c.Address, stop: stop}, nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// connect returns an idle connection that is still open, or a new one.
func (p *Pool) connect(ctx context.Context, c Call) (*conn, error) {
	for {
		cn := p.take(c)
		if cn == nil {
			break
		}
		if cn.quiet() {
			return cn, nil
		}
		_ = cn.net.Close()
	}
	nc, err := p.dial.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	if p.o.OnDial != nil {
		p.o.OnDial(c.Address)
	}
	return &conn{net: nc, r: bufio.NewReaderSize(nc, readBuffer)}, nil
}

func (p *Pool) take(c Call) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Timers.Now()
	list := p.idle[c.Address]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[c.Address] = list
		if now.Before(cn.expires) && (c.MaxIdle == 0 || now.Sub(cn.since) <= c.MaxIdle) {
			return cn
		}
		_ = cn.net.Close()
	}
	delete(p.idle, c.Address)
	return nil
}

func (p *Pool) put(address string, cn *conn, keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = cn.net.Close()
		return
	}
	cn.since = p.o.Timers.Now()
	cn.expires = cn.since.Add(keep)
	p.idle[address] = append(p.idle[address], cn)
}

// CloseIdle closes the idle connections to an address, whose target has left or
// whose connections went silent.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, cn := range list {
		_ = cn.net.Close()
	}
}

// quiet reports whether an idle connection is open and has received nothing.
// Bytes that arrived while it was idle belong to no request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && open
}

// write sends the request in one piece.
func (c *conn) write(call Call) error {
	var b bytes.Buffer
	r := call.Request
	r.ContentLength = int64(len(call.Body))
	r.Body = io.NopCloser(bytes.NewReader(call.Body))
	if len(call.Body) == 0 {
		r.Body = http.NoBody
	}
	if err := r.Write(&b); err != nil {
		return err
	}
	_, err := c.net.Write(b.Bytes())
	return err
}

// read returns the answer to the request, past answers to others.
func (c *conn) read(call Call) (*http.Response, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(c.r, call.Request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if call.Matches == nil || call.Matches(resp) {
			return resp, nil
		}
		n, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes)
		if err == nil || !errors.Is(err, io.EOF) || resp.Close {
			return nil, errors.Errorf("an answer to another request of %d bytes or more: %v", n, err)
		}
	}
	return nil, errors.New("only answers to other requests")
}

// Response is an answer whose body is read from the connection.
type Response struct {
	*http.Response
	pool    *Pool
	conn    *conn
	address string
	stop    func() bool
	ended   bool
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.ended = true
	}
	return n, err
}

// BodyComplete says whether the whole body has been read.
func (r *Response) BodyComplete() bool { return r.ended }

// Close ends the call. The connection is kept when the whole body was read.
func (r *Response) Close() {
	live := r.stop()
	keep := keepTime(r.Response)
	if !live || !r.ended || r.Response.Close || keep <= 0 || r.conn.r.Buffered() > 0 {
		_ = r.conn.net.Close()
		return
	}
	r.pool.put(r.address, r.conn, keep)
}

// keepTime returns for how long the connection may be used again.
func keepTime(r *http.Response) time.Duration {
	for _, field := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0
		}
		return time.Duration(seconds*float64(time.Second)) - idleMargin
	}
	return defaultIdle
}
