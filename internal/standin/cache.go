package standin

import (
	"container/list"
	"time"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// Actions of a CacheEvent.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent is one change of a prefix cache.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Action string `json:"action"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// CacheEvents is the answer to GET /v1/cache-events. A reader asks for the next
// events with after=Next. Numbers that are missing are events that were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// maxCacheEvents bounds the events kept; older ones are lost to slow readers.
const maxCacheEvents = 4096

// prefixCache remembers prompt prefixes up to a number of tokens and evicts the
// least recently used ones. Its owner guards it.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List // of *cachedPrefix, most recently used first
	byName   map[string]*list.Element
	timer    *timer.Service
	delay    time.Duration
	gap      uint64
	number   uint64
	events   []timedEvent
}

type cachedPrefix struct {
	name   string
	tokens int
}

type timedEvent struct {
	event CacheEvent
	at    time.Time
}

func newPrefixCache(o EngineOptions, ts *timer.Service) *prefixCache {
	return &prefixCache{
		capacity: o.CacheTokens, order: list.New(), byName: make(map[string]*list.Element),
		timer: ts, delay: o.EventDelay, gap: uint64(o.EventGap),
	}
}

// use returns how many of the prefix's tokens the cache holds and stores the
// prefix with all of them.
func (c *prefixCache) use(name string, tokens int) int {
	if name == "" || tokens <= 0 {
		return 0
	}
	cached := min(c.tokens(name), tokens)
	if cached < tokens {
		c.store(name, tokens)
	}
	return cached
}

// tokens returns the cached tokens of a prefix and marks it as used.
func (c *prefixCache) tokens(name string) int {
	e, ok := c.byName[name]
	if !ok {
		return 0
	}
	c.order.MoveToFront(e)
	return e.Value.(*cachedPrefix).tokens
}

func (c *prefixCache) store(name string, tokens int) {
	if tokens > c.capacity {
		return
	}
	c.forget(name)
	c.byName[name] = c.order.PushFront(&cachedPrefix{name: name, tokens: tokens})
	c.used += tokens
	c.record(CacheStored, name, tokens)
	for c.used > c.capacity {
		last := c.order.Back().Value.(*cachedPrefix)
		c.forget(last.name)
		c.record(CacheEvicted, last.name, last.tokens)
	}
}

func (c *prefixCache) forget(name string) {
	e, ok := c.byName[name]
	if !ok {
		return
	}
	c.used -= e.Value.(*cachedPrefix).tokens
	c.order.Remove(e)
	delete(c.byName, name)
}

// record numbers an event and keeps it, unless it falls into a gap.
func (c *prefixCache) record(action, name string, tokens int) {
	c.number++
	if c.gap > 0 && c.number%c.gap == 0 {
		return
	}
	e := CacheEvent{Number: c.number, Action: action, Prefix: name, Tokens: tokens}
	c.events = append(c.events, timedEvent{event: e, at: c.timer.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events with higher numbers that are old enough to be visible.
func (c *prefixCache) since(after uint64) CacheEvents {
	out := CacheEvents{Events: []CacheEvent{}, Next: after}
	for _, e := range c.events {
		if e.event.Number > after && c.timer.Since(e.at) >= c.delay {
			out.Events = append(out.Events, e.event)
			out.Next = e.event.Number
		}
	}
	return out
}
