package routing

import "time"

// TargetStatus is what a Pool knows of one target, for metrics and explanations.
type TargetStatus struct {
	Name            string
	State           TargetState
	EjectionCause   EjectionCause // of an ejection
	EjectedUntil    time.Time     // end of an ejection
	InFlight        int           // calls of this entry
	Load            float64       // estimated calls of all entries
	Slots           float64
	RelativeLatency float64 // latency over the expected latency
	FailureRate     float64 // share of failed calls lately
	ReportAge       time.Duration
}

// TargetState says in snake case whether a target may get calls.
type TargetState string

// States of a target.
const (
	StateUsable            TargetState = "usable"
	StateDraining          TargetState = "leaving"
	StateHeartbeatTimedOut TargetState = "silent"
	StateNotReady          TargetState = "not_ready"
	StatePaused            TargetState = "paused"
	StateEvacuated         TargetState = "evacuated"
	StateEjected           TargetState = "ejected"
)

func (t *target) state() TargetState {
	switch {
	case t.Evacuated:
		return StateEvacuated
	case t.Draining || t.leaving:
		return StateDraining
	case t.HeartbeatTimedOut:
		return StateHeartbeatTimedOut
	case t.NotReady:
		return StateNotReady
	case t.Paused:
		return StatePaused
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
			Name:            t.Name,
			State:           t.state(),
			InFlight:        t.inFlight,
			Load:            t.load(p.meanOthers, now),
			Slots:           t.slots,
			RelativeLatency: t.slowness,
			FailureRate:     t.failures,
			ReportAge:       now.Sub(t.reportedAt),
		}
		if s.State == StateEjected {
			s.EjectionCause = t.health.cause
			s.EjectedUntil = t.health.until
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
