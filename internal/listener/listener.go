// Package listener runs the HTTP servers of a process as components of its kernel.
//
// # Usage
//
//	s := listener.New(listener.Options{Address: "127.0.0.1:0", Handler: h})
//	k.Register("server", s)
//	k.Register("admin", listener.New(listener.Options{Address: admin, Handler: listener.Admin(m, ready)}))
package listener

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/timer"
)

const (
	// defaultMaxHeaderBytes limits the head of a request.
	defaultMaxHeaderBytes = 16 << 10

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute

	// defaultMaxConns limits the open connections of one server.
	defaultMaxConns = 8192
)

// Options configures a Server.
type Options struct {
	// Address is the IP:port to listen on; port 0 selects a free port.
	Address string
	// Handler serves the requests; required.
	Handler http.Handler
	// Listener replaces listening on Address.
	Listener net.Listener
	// MaxConns limits the open connections; defaults to 8192.
	MaxConns int
	// MaxHeaderBytes limits the head of a request; defaults to 16 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes limits the body of a request; 0 leaves that to the handler.
	MaxBodyBytes int64
}

// Server is an HTTP server that starts and stops with its kernel.
type Server struct {
	options  Options
	http     *http.Server
	mu       sync.Mutex
	listener net.Listener
	draining *drainListener
	done     chan struct{}
}

// New returns a Server.
func New(o Options) *Server {
	if o.MaxConns == 0 {
		o.MaxConns = defaultMaxConns
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.MaxBodyBytes > 0 {
		o.Handler = http.MaxBytesHandler(o.Handler, o.MaxBodyBytes)
	}
	return &Server{options: o, listener: o.Listener, done: make(chan struct{}), http: &http.Server{
		Handler:           o.Handler,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         setState,
	}}
}

// Start implements kernel.Starter.
func (s *Server) Start(ctx context.Context) error {
	if s.listener == nil {
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp", s.options.Address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.options.Address)
		}
		s.mu.Lock()
		s.listener = l
		s.mu.Unlock()
	}
	s.draining = newDrainListener(s.listener, timer.NewService(), s.options.MaxConns)
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.draining)
	}()
	return nil
}

// Address returns the address that the server listens on after it has started.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return s.options.Address
	}
	return s.listener.Addr().String()
}

// Stop implements kernel.Stopper. Requests that have reached the process are served, and
// running ones may finish, until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.draining.stopping.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	s.draining.awaitAccepted(ctx)
	_ = s.draining.Close()
	// Shutdown would drop requests that were read and not answered yet, so it follows when
	// all connections are closed.
	err := s.draining.awaitClosed(ctx)
	if err == nil {
		err = s.http.Shutdown(ctx)
	}
	if err != nil {
		_ = s.http.Close()
		err = errors.Wrapf(err, "shut down server on %s", s.Address())
	}
	<-s.done
	return err
}

// Done implements kernel.Stopper.
func (s *Server) Done() <-chan struct{} { return s.done }

// ReadyFunc reports whether a process accepts new work, and if not, why.
type ReadyFunc func() (ok bool, reason string)

// NewAdminMux returns the handler of /metrics, /healthz and /readyz.
func NewAdminMux(m *metrics.Metrics, ready ReadyFunc) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready()
		if !ok {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	return mux
}
