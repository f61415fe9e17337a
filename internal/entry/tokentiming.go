package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	// minRateTokens is the number of tokens of an attempt after which its token rate is
	// evaluated.
	minRateTokens = 4
	// slowStreamFactor is the ratio of a stream's token interval to the usual one above
	// which the stream moves. Moving processes the prompt again, which isn't worthwhile
	// for a slightly slow engine.
	slowStreamFactor = 2.5
	// failoverTimeFraction is the part of the remaining time that the rest of the stream
	// may take at another target, so that a stream only moves if it can still finish in
	// time.
	failoverTimeFraction = 0.8

	// stallCheckInterval is how often a stream is checked for a stall. A stream is stalled
	// when no token has arrived for minStallTimeout and for stallTokenIntervals usual
	// token intervals, or, before the first token, for stallFirstTokenFactor times the
	// 90th percentile of the time to the first token.
	stallCheckInterval    = 250 * time.Millisecond
	minStallTimeout       = time.Second
	stallTokenIntervals   = 20
	stallFirstTokenFactor = 3
)

// tokenTiming records when the tokens of one attempt arrive. It is safe for concurrent
// use.
type tokenTiming struct {
	mu      sync.Mutex
	sentAt  time.Time
	count   int
	firstAt time.Time
	lastAt  time.Time
}

// timingSample is a snapshot of a tokenTiming.
type timingSample struct {
	count         int
	tokenInterval time.Duration // 0 when unknown
	timeToFirst   time.Duration // from the send to the first token
	lastAt        time.Time     // of the newest token, or of the send
}

func (p *tokenTiming) restart(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt, p.count = now, 0
}

func (p *tokenTiming) add(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		p.firstAt = now
	}
	p.count++
	p.lastAt = now
}

func (p *tokenTiming) sample() timingSample {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := timingSample{count: p.count, lastAt: p.sentAt}
	if p.count == 0 {
		return s
	}
	s.lastAt = p.lastAt
	s.timeToFirst = p.firstAt.Sub(p.sentAt)
	if p.count > 1 {
		s.tokenInterval = p.lastAt.Sub(p.firstAt) / time.Duration(p.count-1)
	}
	return s
}

// slowStreamError aborts an attempt whose stream can't finish in time, while another
// target at the usual token rate could.
type slowStreamError struct {
	tokenInterval time.Duration
	usualInterval time.Duration
	took          time.Duration
	expected      time.Duration
}

// Error implements error.
func (e *slowStreamError) Error() string {
	return fmt.Sprintf("the target takes %v for a token, the usual time is %v", e.tokenInterval.Round(time.Millisecond), e.usualInterval.Round(time.Millisecond))
}

// stalledStreamError aborts an attempt whose stream has stalled.
type stalledStreamError struct {
	idleTime time.Duration
	tokens   int
}

// Error implements error.
func (e *stalledStreamError) Error() string {
	return fmt.Sprintf("no token for %v after %d tokens", e.idleTime.Round(time.Millisecond), e.tokens)
}

func (t *callRunner) tokenIntervalKey() string {
	return "token/" + t.c.service.Name() + "/" + t.c.model
}

func (t *callRunner) firstTokenKey() string {
	return "first_token/" + t.c.service.Name() + "/" + t.c.model
}

// checkTokenRate returns a *slowStreamError if the stream should move to another target.
func (t *callRunner) checkTokenRate() error {
	s := t.timing.sample()
	if t.c.policy == manifest.PolicyBaseline || s.count < minRateTokens || t.c.maxTokens == 0 {
		return nil
	}
	now := t.e.o.Timers.Now()
	usual := t.e.estimator.Estimate(t.tokenIntervalKey(), 0, now)
	rest := time.Duration(t.c.maxTokens - len(t.tokens))
	left := t.c.deadline.Sub(now)
	if usual.Samples == 0 || s.tokenInterval*rest <= left || float64(s.tokenInterval) < slowStreamFactor*float64(usual.Mean) {
		return nil
	}
	if float64(usual.Mean*rest) > failoverTimeFraction*float64(left) {
		return nil
	}
	steps := time.Duration(s.count - 1)
	return &slowStreamError{tokenInterval: s.tokenInterval, usualInterval: usual.Mean, took: s.tokenInterval * steps, expected: usual.Mean * steps}
}

// watchStall cancels the attempt when no token arrives for much longer than usual. The
// agent's keep-alives show only that the path to the agent works, not the target or the
// path from the agent to it.
func (t *callRunner) watchStall(ctx context.Context, cancel context.CancelCauseFunc) {
	if t.c.policy == manifest.PolicyBaseline {
		return
	}
	ticker := t.e.o.Timers.Subscribe(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
		s := t.timing.sample()
		now := t.e.o.Timers.Now()
		bound := t.stallTimeout(s.count, now)
		if silence := now.Sub(s.lastAt); bound > 0 && silence > bound {
			cancel(&stalledStreamError{idleTime: silence, tokens: s.count})
			return
		}
	}
}

// stallTimeout returns how long the next token may take, or 0 if there is no estimate.
func (t *callRunner) stallTimeout(count int, now time.Time) time.Duration {
	if count > 0 {
		usual := t.e.estimator.Estimate(t.tokenIntervalKey(), 0, now)
		return max(minStallTimeout, stallTokenIntervals*usual.Mean)
	}
	usual := t.e.estimator.Estimate(t.firstTokenKey(), 0, now)
	if usual.Samples == 0 {
		return 0
	}
	return max(minStallTimeout, stallFirstTokenFactor*usual.Guard)
}

// recordTiming adds the timing of a successful attempt to the estimates.
func (t *callRunner) recordTiming() {
	s := t.timing.sample()
	now := t.e.o.Timers.Now()
	if s.tokenInterval > 0 {
		t.e.estimator.Observe(t.tokenIntervalKey(), s.tokenInterval, now)
	}
	if s.count > 0 {
		t.e.estimator.Observe(t.firstTokenKey(), s.timeToFirst, now)
	}
}

// remainingTypical returns the typical time to the end of the request: the rest of this
// call and the stages after it.
func (t *callRunner) remainingTypical() time.Duration {
	if t.c.maxTokens == 0 || len(t.tokens) == 0 {
		return t.c.typical
	}
	done := min(float64(len(t.tokens))/float64(t.c.maxTokens), 1)
	return t.c.typical - time.Duration(done*float64(t.c.expected))
}
