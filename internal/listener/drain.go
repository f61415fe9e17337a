package listener

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	// acceptInterval is the interval at which a server that stops checks for connections that
	// wait to be accepted, and maxAcceptTime how long it accepts them.
	acceptInterval = 2 * time.Millisecond
	maxAcceptTime  = 500 * time.Millisecond
	// closeInterval is the interval at which a server that stops checks the open connections,
	// and firstRequestTime how long a new connection may take to send its first byte then.
	closeInterval    = 5 * time.Millisecond
	firstRequestTime = 200 * time.Millisecond
)

// drainListener tracks the accepted connections, so that a server that stops serves the
// requests that have reached the process: in the queue of the listening socket, in the buffer
// of a connection, or read but not parsed yet. http.Server.Shutdown drops all of these. It is
// safe for concurrent use.
type drainListener struct {
	net.Listener
	timers *timer.Service
	slots  chan struct{} // one for each open connection
	closed chan struct{}
	// close closes the listening socket the first time and returns that result each time:
	// both Server.Stop and the HTTP server close it.
	close func() error
	// stopping is set when the server stops. Until then, a close is never ignored.
	stopping atomic.Bool
	mu       sync.Mutex
	open     map[*drainConn]struct{}
}

// newDrainListener returns a listener that accepts at most maxConns connections at a time.
func newDrainListener(l net.Listener, ts *timer.Service, maxConns int) *drainListener {
	closed := make(chan struct{})
	return &drainListener{
		Listener: l, timers: ts, slots: make(chan struct{}, maxConns), closed: closed, open: map[*drainConn]struct{}{},
		close: sync.OnceValue(func() error {
			close(closed)
			return l.Close()
		}),
	}
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	dc := &drainConn{Conn: c, listener: l, acceptedAt: l.timers.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[dc] = struct{}{}
	return dc, nil
}

// Close implements net.Listener.
func (l *drainListener) Close() error {
	return l.close()
}

func (l *drainListener) remove(c *drainConn) {
	<-l.slots
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connections returns the open connections.
func (l *drainListener) connections() []*drainConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// awaitAccepted waits until no connection waits to be accepted.
func (l *drainListener) awaitAccepted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxAcceptTime)
	defer cancel()
	ticker := l.timers.Subscribe(acceptInterval)
	defer ticker.Stop()
	for l.hasWaiting() {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
	}
}

// hasWaiting reports whether a connection waits to be accepted.
func (l *drainListener) hasWaiting() bool {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}

// awaitClosed waits until all connections are closed, which the server does after each
// response. It closes those that have sent nothing.
func (l *drainListener) awaitClosed(ctx context.Context) error {
	ticker := l.timers.Subscribe(closeInterval)
	defer ticker.Stop()
	for {
		open := l.connections()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			if !c.received.Load() && !c.hasBytes() && l.timers.Since(c.acceptedAt) > firstRequestTime {
				_ = c.Close()
			}
		}
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drainConn keeps an idle connection open on which a request has arrived.
type drainConn struct {
	net.Conn
	listener   *drainListener
	acceptedAt time.Time
	idle       atomic.Bool // no request is being served
	received   atomic.Bool // bytes were read since the connection became idle
	kept       atomic.Bool // a close was ignored
	once       sync.Once
}

// setState is the hook of http.Server for changes of a connection's state.
func setState(c net.Conn, s http.ConnState) {
	dc, ok := c.(*drainConn)
	if !ok {
		return
	}
	if s == http.StateIdle {
		dc.received.Store(false)
	}
	dc.idle.Store(s == http.StateIdle)
	if s == http.StateClosed {
		_ = dc.closeNow() // nobody reads it any more
	}
}

// Read implements net.Conn.
func (c *drainConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// Close implements net.Conn. When the server stops it closes all idle connections. This first
// close is ignored for a connection on which a request has arrived: the server serves the
// request and then closes the connection itself.
func (c *drainConn) Close() error {
	if c.listener.stopping.Load() && c.idle.Load() && (c.received.Load() || c.hasBytes()) && c.kept.CompareAndSwap(false, true) {
		return nil
	}
	return c.closeNow()
}

func (c *drainConn) closeNow() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.Conn.Close()
		c.listener.remove(c)
	})
	return err
}

// hasBytes reports whether bytes wait in the buffer of the socket.
func (c *drainConn) hasBytes() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
