package standin

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Accounts serves the accounts of several stand-ins as a list at GET /v1/account,
// also of those that have died.
type Accounts struct {
	listen   string
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

// NewAccounts returns an Accounts that will listen on an address.
func NewAccounts(listen string, all ...*Standin) *Accounts {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/account", func(w http.ResponseWriter, r *http.Request) {
		from, err := numberParam(r, "from")
		if err != nil {
			writeRefusal(w, badRequest(err))
			return
		}
		list := make([]Account, 0, len(all))
		for _, s := range all {
			list = append(list, s.Account(from))
		}
		writeJSON(w, http.StatusOK, list)
	})
	return &Accounts{listen: listen, server: &http.Server{Handler: mux}, done: make(chan struct{})}
}

// Start listens and returns once connections are accepted.
func (a *Accounts) Start(context.Context) error {
	l, err := listenTCP(a.listen)
	if err != nil {
		return errors.Wrap(err, "start accounts")
	}
	a.listener = l
	go func() {
		defer close(a.done)
		_ = a.server.Serve(l)
	}()
	return nil
}

// Address returns the address that Accounts listens on, once it has started.
func (a *Accounts) Address() string { return a.listener.Addr().String() }

// Stop completes the calls in flight and ends the server.
func (a *Accounts) Stop(ctx context.Context) error {
	if err := a.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "stop accounts")
	}
	<-a.done
	return nil
}

// Done returns a channel that is closed when the server has ended.
func (a *Accounts) Done() <-chan struct{} { return a.done }
