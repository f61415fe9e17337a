package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// connections tracks the open connections of a listener, so that they can go
// silent. It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

func newConnections() *connections {
	return &connections{open: make(map[*trackedConn]struct{})}
}

func (c *connections) listen(l net.Listener) net.Listener {
	return &trackedListener{Listener: l, connections: c}
}

// closeAll closes the connections that are open, also silent ones.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Conn.Close()
	}
	clear(c.open)
}

func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.silent.Store(true)
	}
}

type trackedListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: inner, connections: l.connections}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	l.connections.open[c] = struct{}{}
	return c, nil
}

// trackedConn drops everything in both directions once it is silent.
type trackedConn struct {
	net.Conn
	connections *connections
	silent      atomic.Bool
}

// Read implements net.Conn. On a silent connection it returns only errors.
func (c *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection accepts everything, as a socket
// buffer does whose peer is unreachable.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. The peer of a silent connection doesn't learn of it.
func (c *trackedConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.connections.mu.Lock()
	delete(c.connections.open, c)
	c.connections.mu.Unlock()
	return c.Conn.Close()
}
