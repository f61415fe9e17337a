// Package timer is the single source of time for all components of a process.
//
// Components don't use the time package to wait. They receive ticks and single
// events from the Service on channels, so that a test can run the same code on
// virtual time with testing/synctest.
//
// # Usage
//
//	ts := timer.NewService()
//	ts.Every(ctx, time.Second, func(ctx context.Context) {
//		// periodic work
//	})
//
// or, together with other events:
//
//	ticker := ts.Subscribe(time.Second)
//	defer ticker.Stop()
//	for {
//		select {
//		case <-ticker.C():
//			// periodic work
//		case <-done:
//			return
//		}
//	}
package timer

import (
	"context"
	"time"
)

// Service provides the current time, tickers and timers. The zero value is ready for use
// and safe for concurrent use.
type Service struct{}

// NewService returns a Service on the process clock, or on the virtual clock
// when it runs in a testing/synctest bubble.
func NewService() *Service {
	return &Service{}
}

// Now returns the current time with its monotonic reading.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return time.Since(t)
}

// Subscribe returns a Ticker that delivers the time every period. Ticks are dropped for a
// slow receiver. The period must be positive.
func (s *Service) Subscribe(period time.Duration) *Ticker {
	return &Ticker{t: time.NewTicker(period)}
}

// After returns a channel that receives the time once, after d.
func (s *Service) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Sleep waits for d or until ctx is done. In the latter case it returns the error of ctx.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls do immediately and then every period, until ctx is done. A call that takes
// longer than the period delays the next one.
func (s *Service) Every(ctx context.Context, period time.Duration, do func(ctx context.Context)) {
	ticker := s.Subscribe(period)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
	}
}

// Ticker delivers ticks to one subscriber.
type Ticker struct {
	t *time.Ticker
}

// C returns the channel on which ticks are delivered.
func (t *Ticker) C() <-chan time.Time {
	return t.t.C
}

// Stop stops the ticker. The channel isn't closed.
func (t *Ticker) Stop() {
	t.t.Stop()
}
