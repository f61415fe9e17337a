// Package kernel manages the lifecycle of the components of a process.
//
// Components register under a name and look each other up by that name. They are
// started in the order of registration and stopped in reverse. Each component has
// a done channel that is closed when all its goroutines have finished.
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

// Starter is implemented by components that run their own goroutines.
type Starter interface {
	// Start returns once the component is running. The context applies only to the start.
	Start(ctx context.Context) error
}

// Stopper is implemented by components that must finish their work before the process
// exits.
type Stopper interface {
	// Stop stops the component and returns when it has stopped, or when ctx is done.
	Stop(ctx context.Context) error
	// Done returns a channel that is closed when the component has stopped.
	Done() <-chan struct{}
}

// MissingError reports a lookup of a name that isn't registered, or is registered with
// another type.
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
		return fmt.Sprintf("no component named %q", e.name)
	}
	return fmt.Sprintf("component %q is a %s, not a %s", e.name, e.got, e.want)
}

type component struct {
	name     string
	instance any
}

// Kernel manages the lifecycle of the components of one process.
type Kernel struct {
	mu         sync.Mutex
	components []component
	started    int
}

// New returns an empty Kernel.
func New() *Kernel {
	return &Kernel{}
}

// Register adds a component under a name. It panics if the name is already registered,
// because that is always a programming error.
func (k *Kernel) Register(name string, instance any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.components {
		if p.name == name {
			panic("kernel: component registered twice: " + name)
		}
	}
	k.components = append(k.components, component{name: name, instance: instance})
}

// Start starts the components in the order of registration. If one fails, those already
// started are stopped and the error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	for i, p := range k.snapshot() {
		s, ok := p.instance.(Starter)
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

// Stop stops the started components in reverse order and returns the first error.
// It continues after an error, so that every component is stopped.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.components[:k.started]
	k.started = 0
	k.mu.Unlock()
	var first error
	for i := len(started) - 1; i >= 0; i-- {
		s, ok := started[i].instance.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", started[i].name)
		}
	}
	return first
}

func (k *Kernel) snapshot() []component {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]component(nil), k.components...)
}

func (k *Kernel) lookup(name string) (any, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.components {
		if p.name == name {
			return p.instance, true
		}
	}
	return nil, false
}

// Lookup returns the component with the name as a T, or a *MissingError.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	instance, ok := k.lookup(name)
	if !ok {
		return zero, &MissingError{name: name}
	}
	t, ok := instance.(T)
	if !ok {
		return zero, &MissingError{name: name, want: fmt.Sprintf("%T", &zero)[1:], got: fmt.Sprintf("%T", instance)}
	}
	return t, nil
}
