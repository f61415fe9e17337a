// Package upstream sends requests to targets over pooled connections.
//
// The client of net/http retries some requests automatically and accepts whatever
// arrives next on a connection as the response. A target may send a second or a
// delayed response, or bytes that are no response and never end. A Pool therefore
// matches the response to the request, limits the head of the response, never sends a
// request twice, and reports whether a failed request may have reached the target.
// Messages are written and parsed by net/http.
//
// # Usage
//
//	p := upstream.NewPool(upstream.Options{Timers: ts})
//	resp, err := p.Do(ctx, upstream.Call{Address: "10.0.0.1:80", Request: r, Body: body})
//	if err != nil {
//		var failed *upstream.Error
//		sent := !errors.As(err, &failed) || failed.MayHaveArrived()
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
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	// dialTimeout is the connect timeout. Connecting to a working target takes a few
	// milliseconds, and a lost packet is retransmitted after 1 s.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the time for which sent bytes may remain unacknowledged before
	// the connection is closed.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive so that a
	// connection that becomes unresponsive while a response is pending is detected
	// within 2.5 s.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// defaultIdleTimeout is the idle timeout of a connection if the target does not
	// state its own.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that the target states,
	// to allow for the transit time of the request.
	idleTimeoutMargin = 700 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections to all targets are closed.
	sweepInterval = time.Second
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 32
	// maxMismatched is the maximum number of mismatched responses that are skipped
	// on one connection.
	maxMismatched = 3
	// maxMismatchedBytes is the maximum body size of a skipped response.
	maxMismatchedBytes = 1 << 20
	// MaxHeadBytes is the maximum size of all response heads of one call together, interim
	// and mismatched responses included.
	MaxHeadBytes = 64 << 10
	// drainBytes and drainTimeout limit the rest of a body that Drain reads to keep the
	// connection.
	drainBytes     = 64 << 10
	drainTimeout   = 50 * time.Millisecond
	readBufferSize = 4 << 10
)

// HeadTooLargeError reports a response head that exceeds MaxHeadBytes.
type HeadTooLargeError struct{}

// Error implements error.
func (*HeadTooLargeError) Error() string {
	return fmt.Sprintf("response head exceeds %d bytes", MaxHeadBytes)
}

// InvalidStatusError reports a response whose status code isn't one of the protocol.
type InvalidStatusError struct{ status string }

// Error implements error.
func (e *InvalidStatusError) Error() string { return fmt.Sprintf("invalid status %q", e.status) }

// Error reports a call without a response.
type Error struct {
	address string
	step    string
	sent    bool
	cause   error
}

// MayHaveArrived reports whether the target may have received the request.
func (e *Error) MayHaveArrived() bool { return e.sent }

// Step returns the failed step: dial, write or read.
func (e *Error) Step() string { return e.step }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.step, e.address, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// ErrWithdrawn is the cause of an Error if Call.Withdrawn has kept the request from being sent.
var ErrWithdrawn = errors.New("the target takes no requests any more")

// Options configures a Pool.
type Options struct {
	Timers *timer.Service
	// OnDial is called for each new connection; may be nil.
	OnDial func(address string)
}

// Call is one request to a target.
type Call struct {
	Address string
	// Request has the method, URL, host and header; the body is Body.
	Request *http.Request
	// RequestTarget is sent as the target of the request line in the place of the URL's path and
	// query, because net/url changes some targets. It has no white space or control characters.
	RequestTarget string
	Body          []byte
	// Match reports whether a response belongs to the request; nil accepts any.
	Match func(*http.Response) Match
	// MaxIdle is the maximum idle time of a reused connection; 0 means no limit.
	MaxIdle time.Duration
	// NewConnection prevents the reuse of a connection.
	NewConnection bool
	// Withdrawn reports whether the request must not be sent any more; it is asked once there is
	// a connection. It may be nil.
	Withdrawn func() bool
}

// Match is the relation between a response and a request.
type Match int

// Relations between a response and a request. A response that names no request is accepted
// only on a new connection, where it can't be a late response to an earlier request.
const (
	Matched Match = iota
	Mismatched
	Unnamed
)

// Pool is a pool of connections to targets. It is safe for concurrent use.
type Pool struct {
	o    Options
	dial net.Dialer
	mu   sync.Mutex
	idle map[string][]*conn
	// sweptAt is when expired connections were last closed.
	sweptAt time.Time
}

// conn is a connection to a target.
type conn struct {
	net       net.Conn
	head      *headLimiter
	r         *bufio.Reader
	used      bool      // a response was read
	idleSince time.Time // when it became idle
	expires   time.Time // end of reuse, before the target closes it
}

// headLimiter limits the bytes that are read while a response head is parsed. Reading a line
// or a header without end would otherwise take memory until the end of the call.
type headLimiter struct {
	r      io.Reader
	active bool
	left   int
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.active {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, &HeadTooLargeError{}
	}
	n, err := l.r.Read(b)
	l.left -= n
	return n, err
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	return &Pool{o: o, idle: map[string][]*conn{}, dial: net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setAckTimeout,
	}}
}

// Do sends the request once and returns the response as soon as its header is
// complete. The error is an *Error. The end of ctx aborts the call and closes the
// connection.
func (p *Pool) Do(ctx context.Context, c Call) (*Response, error) {
	cn, err := p.connect(ctx, c)
	if err != nil {
		return nil, &Error{address: c.Address, step: "dial", cause: err}
	}
	if c.Withdrawn != nil && c.Withdrawn() {
		keep := defaultIdleTimeout
		if cn.used {
			keep = cn.expires.Sub(p.o.Timers.Now())
		}
		p.put(c.Address, cn, keep)
		return nil, &Error{address: c.Address, step: "dial", cause: ErrWithdrawn}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.net.SetDeadline(time.Unix(1, 0)) })
	if err := cn.write(c); err != nil {
		stop()
		_ = cn.net.Close()
		return nil, &Error{address: c.Address, step: "write", sent: true, cause: firstError(ctx.Err(), err)}
	}
	reused := cn.used
	resp, err := cn.read(c)
	if err != nil {
		stop()
		_ = cn.net.Close()
		return nil, &Error{address: c.Address, step: "read", sent: true, cause: firstError(ctx.Err(), err)}
	}
	return &Response{Response: resp, pool: p, conn: cn, reused: reused, address: c.Address, stop: stop}, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// connect returns an idle connection that is still open, or a new one.
func (p *Pool) connect(ctx context.Context, c Call) (*conn, error) {
	for !c.NewConnection {
		cn := p.take(c)
		if cn == nil {
			break
		}
		if cn.isReusable() {
			return cn, nil
		}
		_ = cn.net.Close()
	}
	return p.open(ctx, c.Address)
}

// Probe reports whether a target accepts connections, and keeps the connection for a call. The
// error is that of the dialer.
func (p *Pool) Probe(ctx context.Context, address string) error {
	cn, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.put(address, cn, defaultIdleTimeout)
	return nil
}

// open returns a new connection.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dial.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.o.OnDial != nil {
		p.o.OnDial(address)
	}
	head := &headLimiter{r: nc}
	return &conn{net: nc, head: head, r: bufio.NewReaderSize(head, readBufferSize)}, nil
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
		if now.Before(cn.expires) && (c.MaxIdle == 0 || now.Sub(cn.idleSince) <= c.MaxIdle) {
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
	p.sweep()
	if len(p.idle[address]) >= maxIdlePerTarget {
		_ = cn.net.Close()
		return
	}
	cn.idleSince = p.o.Timers.Now()
	cn.expires = cn.idleSince.Add(keep)
	p.idle[address] = append(p.idle[address], cn)
}

// sweep closes the expired connections to all addresses: a target that is gone is never called
// again, and its connections would stay open. p.mu is held.
func (p *Pool) sweep() {
	now := p.o.Timers.Now()
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for address, list := range p.idle {
		live := list[:0]
		for _, cn := range list {
			if now.Before(cn.expires) {
				live = append(live, cn)
				continue
			}
			_ = cn.net.Close()
		}
		clear(list[len(live):])
		if p.idle[address] = live; len(live) == 0 {
			delete(p.idle, address)
		}
	}
}

// CloseIdle closes the idle connections to an address, for a target that has been
// removed or whose connections became unresponsive.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, cn := range list {
		_ = cn.net.Close()
	}
}

// isReusable reports whether an idle connection is still open and has received no
// data. Data that arrives on an idle connection belongs to no request.
func (c *conn) isReusable() bool {
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

// write sends the request. The body isn't copied, because the target may read it slowly.
func (c *conn) write(call Call) error {
	head, err := requestHead(call)
	if err != nil {
		return err
	}
	message := net.Buffers{head, call.Body}
	_, err = message.WriteTo(c.net)
	return err
}

// requestHead returns the message up to its body.
func requestHead(call Call) ([]byte, error) {
	var b bytes.Buffer
	var body unreadBody
	r := call.Request
	r.ContentLength = int64(len(call.Body))
	r.Body = &body
	if len(call.Body) == 0 {
		r.Body = http.NoBody
	}
	// The head is complete when the body is read.
	if err := r.Write(&b); err != nil && !body.reached {
		return nil, err
	}
	if call.RequestTarget == "" {
		return b.Bytes(), nil
	}
	return withTarget(b.Bytes(), call.RequestTarget)
}

// unreadBody is a body that ends the writing of a request when it is read.
type unreadBody struct{ reached bool }

// Read implements io.Reader.
func (b *unreadBody) Read([]byte) (int, error) {
	b.reached = true
	return 0, errors.New("the body is sent separately")
}

// Close implements io.Closer.
func (b *unreadBody) Close() error { return nil }

// withTarget replaces the target in the request line of a message.
func withTarget(message []byte, target string) ([]byte, error) {
	method, rest, ok := bytes.Cut(message, []byte(" "))
	if !ok {
		return nil, errors.New("the message has no request line")
	}
	_, rest, ok = bytes.Cut(rest, []byte(" "))
	if !ok {
		return nil, errors.New("the request line has no version")
	}
	return slices.Concat(method, []byte(" "+target+" "), rest), nil
}

// read returns the response to the request and skips responses to other requests.
func (c *conn) read(call Call) (*http.Response, error) {
	reused := c.used
	c.used = true
	c.head.left = MaxHeadBytes
	for range maxMismatched {
		resp, err := c.readHead(call)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		match := Matched
		if call.Match != nil {
			match = call.Match(resp)
		}
		switch {
		case match == Matched, match == Unnamed && !reused:
			return resp, nil
		case match == Unnamed:
			return nil, errors.New("response on a reused connection names no request")
		}
		n, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBytes)
		if err == nil || !errors.Is(err, io.EOF) || resp.Close {
			return nil, errors.Errorf("mismatched response with a body of %d bytes or more: %v", n, err)
		}
	}
	return nil, errors.New("only interim or mismatched responses received")
}

func (c *conn) readHead(call Call) (*http.Response, error) {
	c.head.active = true
	defer func() { c.head.active = false }()
	resp, err := http.ReadResponse(c.r, call.Request)
	if err != nil {
		return nil, err
	}
	if !isValidStatus(resp.Status) {
		return nil, &InvalidStatusError{status: resp.Status}
	}
	return resp, nil
}

// isValidStatus reports whether a status line has one of the codes of RFC 9110, from 100 to 599.
// net/http also takes other numbers of three characters, and signs.
func isValidStatus(status string) bool {
	code, _, _ := strings.Cut(status, " ")
	return len(code) == 3 && code[0] >= '1' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// Response is a response whose body is read from the connection.
type Response struct {
	*http.Response
	pool     *Pool
	conn     *conn
	reused   bool
	address  string
	stop     func() bool
	complete bool
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// BodyComplete reports whether the complete body has been read.
func (r *Response) BodyComplete() bool { return r.complete }

// Reused reports whether the connection had carried another call before, so that the response may
// be a late copy of an earlier one.
func (r *Response) Reused() bool { return r.reused }

// EndsWithConnection reports whether the end of the connection ends the body, so that a
// body that is cut off can't be told from a complete one.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Drain reads the rest of a short body, so that the connection can be reused, and ends the
// call.
func (r *Response) Drain() {
	_ = r.conn.net.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, r, drainBytes)
	_ = r.conn.net.SetReadDeadline(time.Time{})
	r.Close()
}

// Discard ends the call and closes the connection.
func (r *Response) Discard() {
	r.complete = false
	r.Close()
}

// Close ends the call. The connection is reused if the complete body was read.
func (r *Response) Close() {
	live := r.stop()
	keep := idleTimeout(r.Response)
	if !live || !r.complete || r.Response.Close || keep <= 0 || r.conn.r.Buffered() > 0 {
		_ = r.conn.net.Close()
		return
	}
	r.pool.put(r.address, r.conn, keep)
}

// idleTimeout returns the time for which an idle connection may be reused.
func idleTimeout(r *http.Response) time.Duration {
	for _, field := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0
		}
		return time.Duration(seconds*float64(time.Second)) - idleTimeoutMargin
	}
	return defaultIdleTimeout
}
