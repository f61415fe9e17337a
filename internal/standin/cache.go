package standin

import (
	"container/list"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// prefixCache remembers prompt prefixes up to a number of tokens and evicts the
// least recently used ones. Its owner guards it.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List // of *cachedPrefix, most recently used first
	byName   map[string]*list.Element
}

type cachedPrefix struct {
	name   string
	tokens int
}

func newPrefixCache(o EngineOptions, _ *timer.Service) *prefixCache {
	return &prefixCache{capacity: o.CacheTokens, order: list.New(), byName: make(map[string]*list.Element)}
}

// use returns how many of the prompt's tokens the cache holds for the prefix
// and then stores the prefix with all of them.
func (c *prefixCache) use(name string, tokens int) int {
	if name == "" || tokens <= 0 {
		return 0
	}
	cached := 0
	if e, ok := c.byName[name]; ok {
		cached = min(e.Value.(*cachedPrefix).tokens, tokens)
		c.order.MoveToFront(e)
	}
	if cached < tokens {
		c.store(name, tokens)
	}
	return cached
}

func (c *prefixCache) store(name string, tokens int) {
	if tokens > c.capacity {
		return
	}
	c.remove(name)
	c.byName[name] = c.order.PushFront(&cachedPrefix{name: name, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity {
		c.remove(c.order.Back().Value.(*cachedPrefix).name)
	}
}

func (c *prefixCache) remove(name string) {
	e, ok := c.byName[name]
	if !ok {
		return
	}
	c.used -= e.Value.(*cachedPrefix).tokens
	c.order.Remove(e)
	delete(c.byName, name)
}
