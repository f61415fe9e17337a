package gateway

import (
	"sync"
	"time"
)

// latencyWeight is the weight of one answer in a route's average latency.
const latencyWeight = 0.05

// latencies keeps the average latency of each route, by which the answers of
// targets are compared.
type latencies struct {
	mu      sync.Mutex
	average map[string]time.Duration
}

func newLatencies() *latencies {
	return &latencies{average: map[string]time.Duration{}}
}

func (l *latencies) observe(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.average[route]
	if !ok {
		old = d
	}
	l.average[route] = old + time.Duration(latencyWeight*float64(d-old))
}

// expected returns the average, or the fallback before the first answer.
func (l *latencies) expected(route string, fallback time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.average[route]; ok {
		return d
	}
	return fallback
}
