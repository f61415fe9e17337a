package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against wanted copies that follow every burst and every pause of the
// demand, which would load and unload models alternately.
func TestLevelsHaveHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const quiet = time.Minute
		k := Key{Service: "generators", Model: "bunker-7b"}
		l := copyTargets{}
		l.update(map[Key]int{k: MinCopies}, quiet, testStart)
		history := []int{MinCopies}
		for range rapid.IntRange(1, 15).Draw(t, "phases") {
			// A needed model has a demand of at least MinCopies, any other has none.
			demand := rapid.SampledFrom([]int{0, 2, 3, 4, 5, 6}).Draw(t, "demand")
			for range rapid.IntRange(1, 90).Draw(t, "seconds") {
				before := l.copies()[k]
				history = append(history, demand)
				l.update(map[Key]int{k: demand}, quiet, testStart.Add(time.Duration(len(history))*time.Second))
				after := l.copies()[k]
				checkChange(t, history, before, after)
			}
		}
	})
}

func checkChange(t *rapid.T, history []int, before, after int) {
	// A model that is needed again gets its minimum immediately.
	for i := 1; after > max(before, MinCopies) && i <= int(raiseDelay/time.Second); i++ {
		require.Greater(t, history[len(history)-i], before, "raised after a burst")
	}
	for i := 1; after < before && i <= min(60, len(history)); i++ {
		require.LessOrEqual(t, history[len(history)-i], after, "lowered below the demand of the quiet time")
	}
}

// Guards against a busy model that gets no further copies, and against engines
// without a report that count as idle.
func TestDemandAsksForCopies(t *testing.T) {
	k := Key{Service: "generators", Model: "bunker-7b"}
	needs := []Need{{Key: k}}
	engine := func(name string) Engine {
		return Engine{Name: name, Service: "generators", Models: []string{"bunker-7b"}, Usable: true}
	}
	engines := []Engine{engine("engine-1"), engine("engine-2"), engine("engine-3")}
	require.Equal(t, MinCopies, requiredCopies(needs, engines, nil)[k])
	require.Equal(t, MinCopies, requiredCopies(needs, engines, map[string]EngineLoad{"engine-1": {Slots: 16, Requests: 2}})[k])
	require.Equal(t, 5, requiredCopies(needs, engines, map[string]EngineLoad{"engine-1": {Slots: 16, Requests: 16}, "engine-2": {Slots: 16, Requests: 16}})[k])
}
