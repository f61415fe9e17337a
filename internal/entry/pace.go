package entry

import (
	"context"
	"fmt"
	"sync"
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

	// stallPeriod is how often a stream is checked for a stall. A stall is a
	// silence of leastStall and of stallTokens usual gaps between tokens, or before
	// the first token of stallFirst times the 90th percentile of the first token.
	stallPeriod = 250 * time.Millisecond
	leastStall  = time.Second
	stallTokens = 20
	stallFirst  = 3
)

// pace is how fast the tokens of one attempt arrive. It is safe for concurrent use.
type pace struct {
	mu    sync.Mutex
	sent  time.Time
	count int
	first time.Time
	last  time.Time
}

// paceSample is what a pace has seen at one moment.
type paceSample struct {
	count    int
	perToken time.Duration // 0 when unknown
	first    time.Duration // from the send to the first token
	last     time.Time     // of the newest token, or of the send
}

func (p *pace) restart(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent, p.count = now, 0
}

func (p *pace) add(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		p.first = now
	}
	p.count++
	p.last = now
}

func (p *pace) sample() paceSample {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := paceSample{count: p.count, last: p.sent}
	if p.count == 0 {
		return s
	}
	s.last = p.last
	s.first = p.first.Sub(p.sent)
	if p.count > 1 {
		s.perToken = p.last.Sub(p.first) / time.Duration(p.count-1)
	}
	return s
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

// stalledError ends an attempt whose stream has stopped.
type stalledError struct {
	silence time.Duration
	tokens  int
}

// Error implements error.
func (e *stalledError) Error() string {
	return fmt.Sprintf("no token for %v after %d tokens", e.silence.Round(time.Millisecond), e.tokens)
}

func (t *tries) paceKey() string {
	return "token/" + t.c.service.Name() + "/" + t.c.model
}

func (t *tries) firstKey() string {
	return "first_token/" + t.c.service.Name() + "/" + t.c.model
}

// watchPace returns a *slowError when the stream should go on elsewhere.
func (t *tries) watchPace() error {
	s := t.pace.sample()
	if t.c.policy == manifest.PolicyBaseline || s.count < paceSamples || t.c.maxTokens == 0 {
		return nil
	}
	now := t.e.o.Timers.Now()
	usual := t.e.estimator.Estimate(t.paceKey(), 0, now)
	rest := time.Duration(t.c.maxTokens - len(t.tokens))
	left := t.c.deadline.Sub(now)
	if usual.Samples == 0 || s.perToken*rest <= left || float64(s.perToken) < paceSlowness*float64(usual.Mean) {
		return nil
	}
	if float64(usual.Mean*rest) > paceSlack*float64(left) {
		return nil
	}
	steps := time.Duration(s.count - 1)
	return &slowError{target: s.perToken, usual: usual.Mean, took: s.perToken * steps, expected: usual.Mean * steps}
}

// watchStall cancels the attempt when no token arrives for far longer than usual.
// The agent's keep-alives tell that the path to the agent works, but not that the
// target or the path behind the agent does.
func (t *tries) watchStall(ctx context.Context, cancel context.CancelCauseFunc) {
	if t.c.policy == manifest.PolicyBaseline {
		return
	}
	ticker := t.e.o.Timers.Subscribe(stallPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
		s := t.pace.sample()
		now := t.e.o.Timers.Now()
		bound := t.stallBound(s.count, now)
		if silence := now.Sub(s.last); bound > 0 && silence > bound {
			cancel(&stalledError{silence: silence, tokens: s.count})
			return
		}
	}
}

// stallBound is how long the next token may take, or 0 when nothing is known.
func (t *tries) stallBound(count int, now time.Time) time.Duration {
	if count > 0 {
		usual := t.e.estimator.Estimate(t.paceKey(), 0, now)
		return max(leastStall, stallTokens*usual.Mean)
	}
	usual := t.e.estimator.Estimate(t.firstKey(), 0, now)
	if usual.Samples == 0 {
		return 0
	}
	return max(leastStall, stallFirst*usual.Guard)
}

// observePace adds the pace of an answered attempt to what is usual.
func (t *tries) observePace() {
	s := t.pace.sample()
	now := t.e.o.Timers.Now()
	if s.perToken > 0 {
		t.e.estimator.Observe(t.paceKey(), s.perToken, now)
	}
	if s.count > 0 {
		t.e.estimator.Observe(t.firstKey(), s.first, now)
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
