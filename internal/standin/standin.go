// Package standin provides small HTTP servers that stand in for model engines,
// encoder, retriever and reranker pools, plain services and the weight store.
//
// A stand-in speaks the protocol between an agent and its target, takes about
// the time that the real system would, misbehaves on request, and keeps an
// account of all work it did, which the load tool checks answers against.
//
// # Proof of origin
//
// The output of a stage contains a heading, "[origin:HASH request:ID ...]".
// HASH identifies the input that the request entered the pipeline with: the
// first stage hashes its input, and a stage whose input holds the heading of an
// earlier output repeats its hash. The tokens of a generated text are numbered
// and carry a hash of origin, request id and number. Check therefore finds a
// text that belongs to another request, and a lost, repeated or foreign token,
// from the text alone.
//
// # Usage
//
//	s, err := standin.New(standin.Options{Name: "engine-1", Kind: standin.KindEngine})
//	if err != nil {
//		return err
//	}
//	if err := s.Start(ctx); err != nil {
//		return err
//	}
//	defer s.Stop(stopCtx)
//	url := "http://" + s.Address()
package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// worker does the work of a kind of stand-in.
type worker interface {
	load() Load
}

// Standin is one stand-in. It is safe for concurrent use.
type Standin struct {
	options Options
	timer   *timer.Service
	book    *book
	faults  *faultState
	worker  worker
	active  sync.Map // attempt id to *activeAttempt
	handler http.Handler
	reports loadReports

	mu       sync.Mutex
	server   *http.Server
	address  string
	life     context.Context
	end      context.CancelFunc
	done     chan struct{}
	routines sync.WaitGroup
}

// New returns a Standin that isn't running yet, or an *OptionError.
func New(o Options) (*Standin, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Standin{options: o, timer: o.Timer, book: newBook(o.Account), faults: newFaultState(o.Faults), done: make(chan struct{})}
	switch o.Kind {
	case KindEngine:
		s.worker = newEngine(s, o)
	default:
		s.worker = newPool(s, o)
	}
	s.life, s.end = context.WithCancel(context.Background())
	s.handler = s.routes()
	return s, nil
}

// Start listens and returns once connections are accepted.
func (s *Standin) Start(context.Context) error {
	l, err := s.options.Open(s.options.Listen)
	if err != nil {
		return errors.Wrapf(err, "start stand-in %s", s.options.Name)
	}
	s.mu.Lock()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s.handler}
	server := s.server
	s.mu.Unlock()
	if e, ok := s.worker.(*engine); ok {
		s.routines.Go(func() { e.loop(s.life) })
	}
	s.routines.Go(func() { s.renewLoad(s.life) })
	s.routines.Go(func() { _ = server.Serve(l) })
	go func() {
		s.routines.Wait()
		close(s.done)
	}()
	return nil
}

// Stop completes the calls in flight and ends the stand-in. When ctx ends first,
// the remaining calls are cut off.
func (s *Standin) Stop(ctx context.Context) error {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	s.end()
	if err != nil {
		_ = server.Close()
	}
	<-s.done
	if err != nil {
		return errors.Wrapf(err, "stop stand-in %s", s.options.Name)
	}
	return nil
}

// Done returns a channel that is closed when the stand-in has ended.
func (s *Standin) Done() <-chan struct{} { return s.done }

// Address returns the address that the stand-in listens on, once it has started.
func (s *Standin) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Name returns the name of the stand-in.
func (s *Standin) Name() string { return s.options.Name }

// Service returns the service that the stand-in belongs to.
func (s *Standin) Service() string { return s.options.Service }

// Account returns the account with the attempts from a sequence number on.
func (s *Standin) Account(from uint64) Account {
	a := s.book.account(from)
	a.Name, a.Service, a.Kind = s.options.Name, s.options.Service, s.options.Kind
	return a
}

// SetFaults replaces the faults in force.
func (s *Standin) SetFaults(f Faults) error {
	if err := f.check(s.options.Name); err != nil {
		return err
	}
	s.faults.set(f)
	return nil
}

// lifetime returns a context that ends with the stand-in.
func (s *Standin) lifetime() context.Context { return s.life }

// spend lets the working time d pass, as the faults in force change it.
func (s *Standin) spend(ctx context.Context, d time.Duration) error {
	if err := s.faults.wait(ctx); err != nil {
		return err
	}
	if err := s.timer.Sleep(ctx, s.faults.scale(d)); err != nil {
		return err
	}
	return s.faults.wait(ctx)
}
