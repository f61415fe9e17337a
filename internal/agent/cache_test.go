package agent

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against treating cache events across a gap as a complete history.
func TestCacheLogEndsAtGaps(t *testing.T) {
	l := &cacheLog{}
	add := func(text string) {
		var answer targetCacheEvents
		require.NoError(t, json.Unmarshal([]byte(text), &answer))
		l.add(&answer, time.Now())
	}
	add(`{"events": [{"number": 1, "action": "stored", "prefix": "a"}, {"number": 2, "action": "stored", "prefix": "b"}], "next": 2}`)
	first, events := l.since(1, time.Now())
	require.Equal(t, uint64(2), first)
	require.Len(t, events, 1)
	add(`{"events": [{"number": 4, "action": "evicted", "prefix": "a"}], "next": 4}`)
	first, events = l.since(1, time.Now())
	require.Equal(t, uint64(4), first)
	require.Len(t, events, 1)
	require.True(t, events[0].GetEvicted())
	_, events = l.since(4, time.Now())
	require.Empty(t, events)
}
