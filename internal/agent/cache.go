package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// maxCacheEvents bounds the events kept for entries, maxCacheReply those that
	// ride on one result.
	maxCacheEvents = 256
	maxCacheReply  = 32

	cacheEvicted = "evicted"
)

// cacheLog holds the newest events of the target's prompt cache without a gap in
// their numbers. An event that the target lost empties the log, so that entries
// see the gap.
type cacheLog struct {
	mu     sync.Mutex
	first  uint64
	events []loggedEvent
	next   uint64
}

type loggedEvent struct {
	event *wire.CacheEvent
	at    time.Time
}

// targetCacheEvents is the target's answer to a request for its cache events.
type targetCacheEvents struct {
	Events []struct {
		Number uint64 `json:"number"`
		Action string `json:"action"`
		Prefix string `json:"prefix"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

func (l *cacheLog) add(answer *targetCacheEvents, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range answer.Events {
		if len(l.events) == 0 || e.Number != l.first+uint64(len(l.events)) {
			l.first, l.events = e.Number, nil
		}
		l.events = append(l.events, loggedEvent{event: &wire.CacheEvent{Prefix: e.Prefix, Evicted: e.Action == cacheEvicted}, at: now})
	}
	if extra := len(l.events) - maxCacheEvents; extra > 0 {
		l.events = append([]loggedEvent(nil), l.events[extra:]...)
		l.first += uint64(extra)
	}
	l.next = max(l.next, answer.Next)
}

// since returns the events after a number, the newest when there are many, and
// the number of the first one.
func (l *cacheLog) since(seen uint64, now time.Time) (uint64, []*wire.CacheEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := 0
	if seen >= l.first {
		from = min(int(seen+1-l.first), len(l.events))
	}
	from = max(from, len(l.events)-maxCacheReply)
	out := make([]*wire.CacheEvent, 0, len(l.events)-from)
	for _, e := range l.events[from:] {
		out = append(out, &wire.CacheEvent{Prefix: e.event.GetPrefix(), Evicted: e.event.GetEvicted(), AgeMs: now.Sub(e.at).Milliseconds()})
	}
	return l.first + uint64(from), out
}

// readCacheEvents asks an engine for its newest cache events.
func (a *Agent) readCacheEvents(ctx context.Context) {
	info := a.info.Load()
	if info == nil || info.Kind != kindEngine {
		return
	}
	a.cache.mu.Lock()
	next := a.cache.next
	a.cache.mu.Unlock()
	var answer targetCacheEvents
	if err := a.target.get(ctx, "/v1/cache-events?after="+strconv.FormatUint(next, 10), &answer); err != nil {
		return
	}
	a.cache.add(&answer, a.o.Timers.Now())
}

const kindEngine = "engine"
