package standin

import (
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
func (l *lifetime) renewLoad() {
	ticker := l.standin.timer.Subscribe(l.standin.options.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			l.takeLoad()
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *lifetime) takeLoad() {
	if l.standin.faults.frozen() {
		return
	}
	now := l.worker.load()
	now.Slots = l.standin.options.Slots
	l.reports.mu.Lock()
	defer l.reports.mu.Unlock()
	l.reports.last, l.reports.at = now, l.standin.timer.Now()
}

// report returns the latest load report with its age.
func (l *lifetime) report() Load {
	l.reports.mu.Lock()
	defer l.reports.mu.Unlock()
	last := l.reports.last
	last.AgeMS = l.standin.timer.Since(l.reports.at).Milliseconds()
	return last
}
