package standin

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Faults says how a stand-in misbehaves. The zero value is a healthy stand-in.
type Faults struct {
	Slow       float64  `json:"slow,omitempty" yaml:"slow"`             // factor on working times; 0 and 1 change nothing
	Errors     float64  `json:"errors,omitempty" yaml:"errors"`         // share of calls that fail, 0 to 1
	Freeze     bool     `json:"freeze,omitempty" yaml:"freeze"`         // accept calls, answer none and stop all work
	Operations []string `json:"operations,omitempty" yaml:"operations"` // that Slow and Errors apply to; all when empty
	Calls      int      `json:"calls,omitempty" yaml:"calls"`           // Slow and Errors end after so many calls; 0 for never
	Seed       uint64   `json:"seed,omitempty" yaml:"seed"`             // of the choice of failing calls
}

// FaultCall is the body of POST /v1/faults: the faults in force from now on and
// what happens at once.
type FaultCall struct {
	Faults   `yaml:",inline"`
	Silence  bool  `json:"silence,omitempty" yaml:"silence"`     // connections that are open now go silent
	Die      bool  `json:"die,omitempty" yaml:"die"`             // close the listener and all connections
	ReviveMS int64 `json:"revive_ms,omitempty" yaml:"revive_ms"` // start again so long after Die; 0 for never
}

// ScheduledFault is a FaultCall that comes some time after each start.
type ScheduledFault struct {
	After     time.Duration `yaml:"after"`
	FaultCall `yaml:",inline"`
}

func (f Faults) check(standin string) error {
	if f.Slow < 0 || f.Calls < 0 {
		return &OptionError{standin: standin, option: "faults.slow and faults.calls", want: "no negative number"}
	}
	if f.Errors < 0 || f.Errors > 1 {
		return &OptionError{standin: standin, option: "faults.errors", want: "a share from 0 to 1"}
	}
	return nil
}

func (f Faults) applies(operation string) bool {
	return len(f.Operations) == 0 || slices.Contains(f.Operations, operation)
}

// strike lets happen what a FaultCall does at once.
func (s *Standin) strike(f FaultCall) {
	if f.Silence {
		s.Silence()
	}
	if !f.Die {
		return
	}
	// Dying waits for the goroutine that asked for it.
	if f.ReviveMS > 0 {
		go s.DieFor(time.Duration(f.ReviveMS) * time.Millisecond)
	} else {
		go s.Die()
	}
}

// callFaults is what the faults in force do to one call.
type callFaults struct {
	slow  float64
	fails bool
}

// faultState is the faults in force. It is safe for concurrent use.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	left   int // calls that Slow and Errors still apply to, when Calls is set
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
	s.faults, s.left = f, f.Calls
	s.random = rand.New(rand.NewPCG(f.Seed, 1))
}

func (s *faultState) frozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Freeze
}

// call returns what the faults do to a call that begins now.
func (s *faultState) call(operation string) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if !f.applies(operation) || (f.Calls > 0 && s.left == 0) {
		return callFaults{slow: 1}
	}
	s.left = max(0, s.left-1)
	return callFaults{slow: orDefault(f.Slow, 1), fails: f.Errors > 0 && s.random.Float64() < f.Errors}
}

// slow returns the factor on work that belongs to no single call.
func (s *faultState) slow(operation string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.applies(operation) || (s.faults.Calls > 0 && s.left == 0) {
		return 1
	}
	return orDefault(s.faults.Slow, 1)
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
