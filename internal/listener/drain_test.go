package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/timer"
)

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// dial opens a connection and sends a request on it.
func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, getRequest)
	require.NoError(t, err)
	return c
}

func requireAnswer(t *testing.T, c net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close, "the connection ends with the response")
}

// Guards against a planned stop that resets connections whose requests wait in the queue of
// the listening socket, because all slots of the server are taken.
func TestStopServesWaitingConnections(t *testing.T) {
	serving, release := make(chan struct{}, 2), make(chan struct{})
	s := New(Options{Address: "127.0.0.1:0", MaxConns: 1, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		serving <- struct{}{}
		<-release
	})})
	require.NoError(t, s.Start(t.Context()))
	first := dial(t, s.Address())
	<-serving
	second := dial(t, s.Address())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	requireAnswer(t, first)
	requireAnswer(t, second)
	require.NoError(t, <-stopped)
}

// Guards against a planned stop that waits for connections on which nothing was sent, or
// beyond the end of its context.
func TestStopClosesUnusedConnections(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	s := New(Options{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-block })})
	require.NoError(t, s.Start(t.Context()))
	unused, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer func() { _ = unused.Close() }()
	dial(t, s.Address())
	require.Eventually(t, func() bool { return len(s.draining.connections()) == 2 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*firstRequestTime)
	defer cancel()
	require.ErrorIs(t, s.Stop(ctx), context.DeadlineExceeded, "a request is running")
	_, err = unused.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against an idle connection that is closed although a request has arrived on it, and
// against one that is never closed.
func TestIdleConnectionWithRequestIsKept(t *testing.T) {
	base, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newDrainListener(base, timer.NewService(), 10)
	defer func() { _ = l.Close() }()
	for name, c := range map[string]struct {
		send    string
		read    bool
		running bool
		kept    bool
	}{
		"in the socket": {send: getRequest, kept: true},
		"read":          {send: getRequest, read: true, kept: true},
		"nothing":       {},
		"not stopping":  {send: getRequest, running: true},
	} {
		t.Run(name, func(t *testing.T) {
			client, err := net.Dial("tcp", base.Addr().String())
			require.NoError(t, err)
			defer func() { _ = client.Close() }()
			server, err := l.Accept()
			require.NoError(t, err)
			l.stopping.Store(!c.running)
			setState(server, http.StateIdle)
			_, err = io.WriteString(client, c.send)
			require.NoError(t, err)
			dc := server.(*drainConn)
			require.Eventually(t, func() bool { return dc.hasBytes() == (c.send != "") }, 10*time.Second, time.Millisecond)
			if c.read {
				_, err = io.ReadFull(server, make([]byte, len(c.send)))
				require.NoError(t, err)
			}
			require.NoError(t, server.Close())
			require.Equal(t, c.kept, len(l.connections()) == 1)
			_ = server.Close()
			require.Empty(t, l.connections())
		})
	}
}

// Guards against a stop that waits to its end for a connection on which the next request has arrived
// just when the server had ended with it: nobody reads it any more.
func TestStopEndsWhileRequestsFollowOneAnother(t *testing.T) {
	for n := range 300 {
		s := New(Options{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
		require.NoError(t, s.Start(t.Context()))
		c := dial(t, s.Address())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for r := bufio.NewReader(c); ; {
				if _, err := http.ReadResponse(r, nil); err != nil {
					return
				}
				if _, err := io.WriteString(c, getRequest); err != nil {
					return
				}
			}
		}()
		time.Sleep(time.Duration(n%7) * 100 * time.Microsecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		err := s.Stop(ctx)
		cancel()
		require.NoError(t, err, "stop %d", n)
		<-ended
	}
}
