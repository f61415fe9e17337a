// Package kernel is the micro-kernel that every process runs.
//
// Parts of a process register under a name, find each other by that name, are
// started in the order of registration and stopped in reverse. Each part owns a
// done channel that is closed when all its goroutines have ended.
//
// # Usage
//
//	k := kernel.New()
//	k.Register("timer", ts)
//	k.Register("agent", agent)
//	if err := k.Start(ctx); err != nil {
//		return err
//	}
//	defer k.Stop(stopCtx)
//	a, err := kernel.Lookup[*agent.Agent](k, "agent")
package kernel

import (
	"context"
	"fmt"
	"sync"

	"github.com/go-faster/errors"
)

// Starter is implemented by parts that run goroutines of their own.
type Starter interface {
	// Start returns once the part is running. The context covers only the start.
	Start(ctx context.Context) error
}

// Stopper is implemented by parts that must end their work before the process does.
type Stopper interface {
	// Stop asks the part to finish and returns when it has, or when ctx is done.
	Stop(ctx context.Context) error
	// Done returns a channel that is closed when the part has ended.
	Done() <-chan struct{}
}

// MissingError reports a look-up of a name that isn't registered, or is
// registered with another type.
type MissingError struct {
	name string
	want string
	got  string
}

// Name returns the name that was looked up.
func (e *MissingError) Name() string { return e.name }

// Error implements error.
func (e *MissingError) Error() string {
	if e.got == "" {
		return fmt.Sprintf("no service named %q", e.name)
	}
	return fmt.Sprintf("service %q is a %s, not a %s", e.name, e.got, e.want)
}

type part struct {
	name    string
	service any
}

// Kernel holds the parts of one process.
type Kernel struct {
	mu      sync.Mutex
	parts   []part
	started int
}

// New returns an empty Kernel.
func New() *Kernel {
	return &Kernel{}
}

// Register adds a part under a name. It panics when the name is taken, because
// that is always a programming error.
func (k *Kernel) Register(name string, service any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.parts {
		if p.name == name {
			panic("kernel: service registered twice: " + name)
		}
	}
	k.parts = append(k.parts, part{name: name, service: service})
}

// Start starts the parts in the order of registration. When one fails, the ones
// already started are stopped and the cause is returned.
func (k *Kernel) Start(ctx context.Context) error {
	for i, p := range k.list() {
		s, ok := p.service.(Starter)
		if ok {
			if err := s.Start(ctx); err != nil {
				_ = k.Stop(ctx)
				return errors.Wrapf(err, "start %s", p.name)
			}
		}
		k.mu.Lock()
		k.started = i + 1
		k.mu.Unlock()
	}
	return nil
}

// Stop stops the started parts in reverse order and returns the first error.
// It goes on after an error, so that every part is asked to stop.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	parts := k.parts[:k.started]
	k.started = 0
	k.mu.Unlock()
	var first error
	for i := len(parts) - 1; i >= 0; i-- {
		s, ok := parts[i].service.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", parts[i].name)
		}
	}
	return first
}

func (k *Kernel) list() []part {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]part(nil), k.parts...)
}

func (k *Kernel) lookup(name string) (any, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.parts {
		if p.name == name {
			return p.service, true
		}
	}
	return nil, false
}

// Lookup returns the part with the name as a T, or a *MissingError.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	service, ok := k.lookup(name)
	if !ok {
		return zero, &MissingError{name: name}
	}
	t, ok := service.(T)
	if !ok {
		return zero, &MissingError{name: name, want: fmt.Sprintf("%T", &zero)[1:], got: fmt.Sprintf("%T", service)}
	}
	return t, nil
}
