package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// maxCacheEvents limits the stored events, maxCacheEventsPerResult the events that are sent with
	// one result.
	maxCacheEvents          = 256
	maxCacheEventsPerResult = 32

	cacheEvicted = "evicted"
)

// cacheLog holds the newest events of the target's prompt cache, with consecutive numbers.
// A gap in the target's numbers clears the log, so that entries detect the lost events.
type cacheLog struct {
	mu          sync.Mutex
	firstNumber uint64
	events      []loggedEvent
	next        uint64
}

type loggedEvent struct {
	event      *wire.CacheEvent
	receivedAt time.Time
}

// targetCacheEvents is the target's response to a query for cache events.
type targetCacheEvents struct {
	Events []struct {
		Number uint64 `json:"number"`
		Action string `json:"action"`
		Prefix string `json:"prefix"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

func (l *cacheLog) add(response *targetCacheEvents, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range response.Events {
		if len(l.events) == 0 || e.Number != l.firstNumber+uint64(len(l.events)) {
			l.firstNumber, l.events = e.Number, nil
		}
		l.events = append(l.events, loggedEvent{event: &wire.CacheEvent{Prefix: e.Prefix, Evicted: e.Action == cacheEvicted}, receivedAt: now})
	}
	if extra := len(l.events) - maxCacheEvents; extra > 0 {
		l.events = append([]loggedEvent(nil), l.events[extra:]...)
		l.firstNumber += uint64(extra)
	}
	l.next = max(l.next, response.Next)
}

// since returns the events after the number seen and the number of the first one. If there
// are more than maxCacheEventsPerResult, it returns the newest.
func (l *cacheLog) since(seen uint64, now time.Time) (uint64, []*wire.CacheEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := 0
	if seen >= l.firstNumber {
		from = min(int(seen+1-l.firstNumber), len(l.events))
	}
	from = max(from, len(l.events)-maxCacheEventsPerResult)
	out := make([]*wire.CacheEvent, 0, len(l.events)-from)
	for _, e := range l.events[from:] {
		out = append(out, &wire.CacheEvent{Prefix: e.event.GetPrefix(), Evicted: e.event.GetEvicted(), AgeMs: now.Sub(e.receivedAt).Milliseconds()})
	}
	return l.firstNumber + uint64(from), out
}

// readCacheEvents fetches the newest cache events if the target is an engine.
func (a *Agent) readCacheEvents(ctx context.Context) {
	info := a.info.Load()
	if info == nil || info.Kind != kindEngine {
		return
	}
	a.cache.mu.Lock()
	next := a.cache.next
	a.cache.mu.Unlock()
	var response targetCacheEvents
	if err := a.target.get(ctx, "/v1/cache-events?after="+strconv.FormatUint(next, 10), &response); err != nil {
		return
	}
	a.cache.add(&response, a.o.Timers.Now())
}

const kindEngine = "engine"
