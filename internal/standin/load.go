package standin

import (
	"context"
	"sync"
	"time"
)

// loadReports holds the load report that calls are answered with.
type loadReports struct {
	mu   sync.Mutex
	last Load
	at   time.Time
}

// renewLoad takes a new load report every period, so that reports lag behind.
func (s *Standin) renewLoad(ctx context.Context) {
	ticker := s.timer.Subscribe(s.options.LoadLag)
	defer ticker.Stop()
	s.takeLoad()
	for {
		select {
		case <-ticker.C():
			s.takeLoad()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Standin) takeLoad() {
	if s.faults.get().Freeze {
		return
	}
	l := s.worker.load()
	l.Slots = s.options.Slots
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	s.reports.last, s.reports.at = l, s.timer.Now()
}

// Load returns the latest load report with its age.
func (s *Standin) Load() Load {
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	l := s.reports.last
	l.AgeMS = s.timer.Since(s.reports.at).Milliseconds()
	return l
}
