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
// # Protocol
//
// Besides the calls on the design page there are:
//
//	GET  /v1/cache-events?after=N -> {events, next}; a number that is missing is a lost event
//	POST /v1/kv-export {prefix} -> {prefix, tokens, proof}
//	POST /v1/kv-import {prefix, tokens, proof} -> {prefix, tokens, proof}
//	POST /v1/weights/{model} {reader, bytes} -> {model, bytes, busy_ms}  (weight store)
//	POST /v1/faults {slow, errors, freeze, operations, calls, seed, silence, die, revive_ms} -> no body
//	GET  /v1/account?from=SEQUENCE
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
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// Standin is one stand-in. It is safe for concurrent use.
type Standin struct {
	options Options
	timer   *timer.Service
	book    *book
	faults  *faultState

	mu      sync.Mutex
	address string
	life    *lifetime // nil before the first start and after an end
	revival context.CancelFunc
	done    chan struct{}
}

// New returns a Standin that isn't running yet, or an *OptionError.
func New(o Options) (*Standin, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Standin{
		options: o, timer: o.Timer, book: newBook(o.Account), faults: newFaultState(o.Faults),
		address: o.Listen, done: make(chan struct{}),
	}, nil
}

// Start listens and returns once connections are accepted. A stand-in that has
// died or was stopped starts again at its address, with its account and the
// faults of its options, but without its caches.
func (s *Standin) Start(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil {
		return errors.Errorf("start stand-in %s: it is running", s.options.Name)
	}
	return s.start()
}

func (s *Standin) start() error {
	l, err := s.options.Open(s.address)
	if err != nil {
		return errors.Wrapf(err, "start stand-in %s", s.options.Name)
	}
	s.address = l.Addr().String()
	select {
	case <-s.done:
		s.done = make(chan struct{})
	default:
	}
	s.faults.set(s.options.Faults)
	s.life = newLifetime(s, l)
	return nil
}

// Stop completes the calls in flight and ends the stand-in. When ctx ends first,
// the remaining calls are cut off.
func (s *Standin) Stop(ctx context.Context) error {
	life := s.leave(nil)
	defer s.ended()
	if life == nil {
		return nil
	}
	err := life.server.Shutdown(ctx)
	life.kill()
	if err != nil {
		return errors.Wrapf(err, "stop stand-in %s", s.options.Name)
	}
	return nil
}

// Die ends the stand-in as a killed process would: it closes the listener and
// every connection, and work in progress has no effect.
func (s *Standin) Die() {
	if life := s.leave(nil); life != nil {
		life.kill()
	}
	s.ended()
}

// DieFor ends the stand-in like Die and starts it again after d. Done stays open.
func (s *Standin) DieFor(d time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	life := s.leave(cancel)
	if life == nil {
		cancel()
		return
	}
	life.kill()
	go s.revive(ctx, d)
}

func (s *Standin) revive(ctx context.Context, d time.Duration) {
	if s.timer.Sleep(ctx, d) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil && s.life == nil {
		// When the address has been taken, the stand-in stays dead.
		_ = s.start()
	}
}

// leave takes the running lifetime out of the stand-in, calls off a revival and
// sets how to call off the next one.
func (s *Standin) leave(revival context.CancelFunc) *lifetime {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revival != nil {
		s.revival()
	}
	s.revival = revival
	life := s.life
	s.life = nil
	return life
}

func (s *Standin) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil {
		return // started again in the meantime
	}
	select {
	case <-s.done:
	default:
		close(s.done)
	}
}

// Done returns a channel that is closed when the stand-in has ended.
func (s *Standin) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

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

// Kind returns what the stand-in stands for.
func (s *Standin) Kind() Kind { return s.options.Kind }

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

// Silence makes the connections that are open now go silent: they stay open, but
// nothing that is sent on them arrives. New connections work.
func (s *Standin) Silence() {
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	if life != nil {
		life.connections.silence()
	}
}
