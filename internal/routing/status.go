package routing

import "time"

// TargetStatus is what a Pool knows of one target, for metrics and explanations.
type TargetStatus struct {
	Name     string
	State    TargetState
	Cause    EjectionCause // of an ejection
	Until    time.Time     // end of an ejection
	InFlight int           // calls of this entry
	Load     float64       // estimated calls of all entries
	Slots    float64
	Slowness float64 // latency over the expected latency
	Failures float64 // share of failed calls lately
	Age      time.Duration
}

// TargetState says in snake case whether a target may get calls.
type TargetState string

// States of a target.
const (
	StateUsable   TargetState = "usable"
	StateLeaving  TargetState = "leaving"
	StateSilent   TargetState = "silent"
	StateNotReady TargetState = "not_ready"
	StateEjected  TargetState = "ejected"
)

func (t *target) state() TargetState {
	switch {
	case t.Leaving || t.leaving:
		return StateLeaving
	case t.Silent:
		return StateSilent
	case t.NotReady:
		return StateNotReady
	case t.health.ejected:
		return StateEjected
	}
	return StateUsable
}

// Status returns the state of all targets, sorted by name. Age is that of the
// load report.
func (p *Pool) Status(now time.Time) []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]TargetStatus, 0, len(p.order))
	for _, t := range p.order {
		s := TargetStatus{
			Name:     t.Name,
			State:    t.state(),
			InFlight: t.inFlight,
			Load:     t.load(p.meanOthers, now),
			Slots:    t.slots,
			Slowness: t.slowness,
			Failures: t.failures,
			Age:      now.Sub(t.reportedAt),
		}
		if s.State == StateEjected {
			s.Cause = t.health.cause
			s.Until = t.health.until
		}
		all = append(all, s)
	}
	return all
}

// Slots returns the calls that the usable targets can work on together.
func (p *Pool) Slots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := 0.0
	for _, t := range p.order {
		if t.state() == StateUsable {
			slots += t.slots
		}
	}
	return int(slots)
}
