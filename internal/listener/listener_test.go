package listener

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowListener is a listener without a network whose Accept returns some time after Close. Like
// a listening socket, it fails to close a second time.
type slowListener struct {
	closed   chan struct{}
	isClosed atomic.Bool
}

func newSlowListener() *slowListener { return &slowListener{closed: make(chan struct{})} }

func (l *slowListener) Accept() (net.Conn, error) {
	<-l.closed
	time.Sleep(time.Second)
	return nil, net.ErrClosed
}

func (l *slowListener) Close() error {
	if !l.isClosed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	close(l.closed)
	return nil
}

func (l *slowListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a planned stop that reports a failure because the server closes its listening
// socket again before it has noticed that the socket is closed.
func TestStopClosesTheListenerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Listener: newSlowListener(), Handler: http.NotFoundHandler()})
		require.NoError(t, s.Start(t.Context()))
		synctest.Wait()
		require.NoError(t, s.Stop(t.Context()))
	})
}
