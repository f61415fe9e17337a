package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults says how a stand-in misbehaves. The zero value is a healthy stand-in.
type Faults struct {
	Slow   float64 `json:"slow,omitempty" yaml:"slow"`     // factor on all working times; 0 and 1 change nothing
	Errors float64 `json:"errors,omitempty" yaml:"errors"` // share of calls that fail, 0 to 1
	Freeze bool    `json:"freeze,omitempty" yaml:"freeze"` // accept calls, answer none and stop all work
	Seed   uint64  `json:"seed,omitempty" yaml:"seed"`     // of the choice of failing calls
}

func (f Faults) check(standin string) error {
	if f.Slow < 0 {
		return &OptionError{standin: standin, option: "faults.slow", want: "no negative factor"}
	}
	if f.Errors < 0 || f.Errors > 1 {
		return &OptionError{standin: standin, option: "faults.errors", want: "a share from 0 to 1"}
	}
	return nil
}

// faultState is the faults in force. It is safe for concurrent use.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	thawed chan struct{} // closed while the stand-in isn't frozen
}

func newFaultState(f Faults) *faultState {
	s := &faultState{thawed: make(chan struct{})}
	close(s.thawed)
	s.set(f)
	return s
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = f
	s.random = rand.New(rand.NewPCG(f.Seed, 1))
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultState) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Errors > 0 && s.random.Float64() < s.faults.Errors
}

// scale returns the duration of work that takes d in a healthy stand-in.
func (s *faultState) scale(d time.Duration) time.Duration {
	f := s.get()
	if f.Slow == 0 {
		return d
	}
	return time.Duration(float64(d) * f.Slow)
}

// wait returns once the stand-in isn't frozen, or with the error of ctx.
func (s *faultState) wait(ctx context.Context) error {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
