package relay

import (
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second

	// chunk bounds the bytes read and not yet written in each direction, so that a
	// held connection fills the sender's socket buffer, as an unreachable peer does.
	chunk = 16 << 10
)

// conn is one forwarded connection.
type conn struct {
	relay  *Relay
	client net.Conn
	server net.Conn
	from   string // process that opened the connection
	to     string // process behind the link
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newConn(r *Relay, client, server net.Conn, from, to string) *conn {
	return &conn{relay: r, client: client, server: server, from: from, to: to, silent: make(chan struct{}), closed: make(chan struct{})}
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

// run forwards both directions and closes the connection when both have ended. The
// ends of a silent connection don't learn of each other, so it lasts until both close.
func (c *conn) run() {
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(c.server, c.client, c.from, c.to) })
	wg.Go(func() { c.copy(c.client, c.server, c.to, c.from) })
	wg.Wait()
	c.close()
}

// copy forwards one direction. The end of the stream is held back like bytes.
func (c *conn) copy(dst, src net.Conn, from, to string) {
	buf := make([]byte, chunk)
	for {
		n, err := src.Read(buf)
		if !c.pass(from, to) {
			if err != nil {
				return
			}
			continue // a silent connection swallows what it reads
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				c.hangUp(src)
				return
			}
		}
		if err != nil {
			c.hangUp(dst)
			return
		}
	}
}

// pass waits while the direction is cut. It reports false once the connection is
// silent or closed.
func (c *conn) pass(from, to string) bool {
	for {
		if c.isSilent() {
			return false
		}
		held := c.relay.hold(from, to)
		if held == nil {
			return true
		}
		select {
		case <-held:
		case <-c.silent:
		case <-c.closed:
			return false
		}
	}
}

// hangUp closes an end whose other end is gone. HTTP/1.1, which runs over the
// links, never goes on after one direction has ended.
func (c *conn) hangUp(end net.Conn) {
	if !c.isSilent() {
		_ = end.Close()
	}
}
