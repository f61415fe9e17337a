package entry

import (
	"fmt"
	"time"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	// paceSamples is the number of tokens of an attempt from which its pace is judged.
	paceSamples = 4
	// paceSlowness is how much slower than usual a stream must be to move: a move
	// processes the prompt again, which a slightly slow engine isn't worth.
	paceSlowness = 2.5
	// paceSlack is the part of the time left that the rest of the stream may take
	// elsewhere, so that a move only happens when it can still help.
	paceSlack = 0.8
)

// pace is how fast the tokens of one attempt arrive.
type pace struct {
	base  int // tokens received before this attempt
	count int
	first time.Time
	last  time.Time
}

func (p *pace) restart(base int) {
	*p = pace{base: base}
}

func (p *pace) add(now time.Time) {
	if p.count == 0 {
		p.first = now
	}
	p.count++
	p.last = now
}

// perToken is the mean time between the tokens of the attempt, or 0 when unknown.
func (p *pace) perToken() time.Duration {
	if p.count < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.count-1)
}

// slowError ends an attempt whose stream can't finish in time, while another
// target at the usual pace could.
type slowError struct {
	target   time.Duration
	usual    time.Duration
	took     time.Duration
	expected time.Duration
}

// Error implements error.
func (e *slowError) Error() string {
	return fmt.Sprintf("the target needs %v for a token, %v is usual", e.target.Round(time.Millisecond), e.usual.Round(time.Millisecond))
}

func (t *tries) paceKey() string {
	return "token/" + t.c.service.Name() + "/" + t.c.model
}

// watchPace returns a *slowError when the stream should go on elsewhere.
func (t *tries) watchPace() error {
	if t.c.policy == manifest.PolicyBaseline || t.pace.count < paceSamples || t.c.maxTokens == 0 {
		return nil
	}
	now := t.e.o.Timers.Now()
	usual := t.e.estimator.Estimate(t.paceKey(), 0, now)
	rest := time.Duration(t.c.maxTokens - len(t.tokens))
	left := t.c.deadline.Sub(now)
	per := t.pace.perToken()
	if usual.Samples == 0 || per*rest <= left || float64(per) < paceSlowness*float64(usual.Mean) {
		return nil
	}
	if float64(usual.Mean*rest) > paceSlack*float64(left) {
		return nil
	}
	steps := time.Duration(t.pace.count - 1)
	return &slowError{target: per, usual: usual.Mean, took: per * steps, expected: usual.Mean * steps}
}

// observePace adds the pace of an answered attempt to what is usual.
func (t *tries) observePace() {
	if per := t.pace.perToken(); per > 0 {
		t.e.estimator.Observe(t.paceKey(), per, t.e.o.Timers.Now())
	}
}

// typical is the time that the rest of the call and of the request takes.
func (t *tries) typical() time.Duration {
	if t.c.maxTokens == 0 || len(t.tokens) == 0 {
		return t.c.typical
	}
	done := min(float64(len(t.tokens))/float64(t.c.maxTokens), 1)
	return t.c.typical - time.Duration(done*float64(t.c.expected))
}
