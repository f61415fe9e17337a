package control_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/listener"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// startMultiplexed starts a server for other processes and returns its address.
func startMultiplexed(t *testing.T, l net.Listener, h http.Handler) string {
	s := listener.New(listener.Options{Listener: l, Handler: h, Multiplexed: true})
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
	})
	return l.Addr().String()
}

// Guards against one connection for each request that waits at a collector: 370 gateways with
// 6 requests a second each that wait for half a second in three stages would need more
// connections than a control VM has descriptors (4,096).
func TestConcurrentCallsShareConnections(t *testing.T) {
	const gateways, calls = 20, 100
	var waiting atomic.Int64
	release := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counting := &countingListener{Listener: l}
	address := startMultiplexed(t, counting, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		waiting.Add(1)
		<-release
	}))
	var wg sync.WaitGroup
	for range gateways {
		client := control.NewMultiplexedClient()
		get := func() {
			resp, err := client.Get("http://" + address)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		for range calls {
			wg.Go(get)
		}
	}
	require.Eventually(t, func() bool { return waiting.Load() == gateways*calls }, 20*time.Second, 10*time.Millisecond)
	close(release)
	wg.Wait()
	// A gateway keeps at most what it opened before its first connection was ready.
	require.LessOrEqual(t, counting.accepted.Load(), int64(2*gateways))
}

// silenceableConn discards what the server writes once it is silenced.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silenceableListener silences the connections that were accepted before a call of silence.
type silenceableListener struct {
	net.Listener
	silent atomic.Pointer[atomic.Bool]
}

func (l *silenceableListener) silence() { l.silent.Swap(&atomic.Bool{}).Store(true) }

func (l *silenceableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silenceableConn{Conn: c, silent: l.silent.Load()}, nil
}

// Guards against a connection that goes silent and holds all calls of a gateway until their
// deadlines, while new connections work.
func TestSilentMultiplexedConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	silenceable := &silenceableListener{Listener: l}
	silenceable.silent.Store(&atomic.Bool{})
	address := startMultiplexed(t, silenceable, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	client := control.NewMultiplexedClient()
	get := func(ctx context.Context) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
		require.NoError(t, err)
		resp, err := client.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	require.NoError(t, get(t.Context()))
	silenceable.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for get(ctx) != nil {
		require.NoError(t, ctx.Err(), "the silent connection is kept")
	}
}
