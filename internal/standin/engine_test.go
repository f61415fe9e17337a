package standin_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/standin"
)

var steps = standin.EngineOptions{
	StepBase: 10 * time.Millisecond, StepPerRequest: time.Millisecond, PromptPerToken: 100 * time.Microsecond, PrefixTokens: 100,
}

// Guards against an engine whose batch is free of charge or runs one by one.
func TestStepGrowsWithBatch(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		e := b.engine(steps)
		prompt := 100 * time.Microsecond
		require.Equal(t, 10*11*time.Millisecond+prompt, b.generate(e, request(0), 0).took)
		var wg sync.WaitGroup
		for n := 1; n <= 4; n++ {
			wg.Go(func() { require.Greater(t, b.generate(e, request(n), 0).took, 10*13*time.Millisecond) })
		}
		start := time.Now()
		wg.Wait()
		require.Less(t, time.Since(start), 12*14*time.Millisecond)
		busy := 0.0
		for _, a := range e.Account(0).Attempts[1:] {
			busy += a.BusyMS
		}
		// The shares of all requests add up to the time that the engine was busy.
		require.InDelta(t, float64(time.Since(start).Milliseconds()), busy, 1)
	})
}

// Guards against a cache that doesn't help, or that holds more than its memory.
func TestPrefixCacheSavesPromptUntilEvicted(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		o := steps
		o.CacheTokens = 150
		e := b.engine(o)
		took := func(n int, prefix string) time.Duration {
			r := request(n)
			r.Prefix, r.PromptTokens = prefix, 300
			return b.generate(e, r, 0).took
		}
		cold := took(1, "quotes")
		require.Equal(t, 10*time.Millisecond, cold-took(2, "quotes"))
		require.Equal(t, cold, took(3, "stems"))
		require.Equal(t, cold, took(4, "quotes"), "the second prefix has evicted the first")
	})
}

// Guards against cache events that are prompt and complete, unlike those of engines.
func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		o := steps
		o.CacheTokens, o.EventDelay, o.EventGap = 150, time.Second, 3
		e := b.engine(o)
		for n, prefix := range []string{"quotes", "stems", "drafts"} {
			r := request(n)
			r.Prefix, r.PromptTokens = prefix, 300
			b.generate(e, r, 0)
		}
		var events standin.CacheEvents
		b.get(e, "/v1/cache-events", &events)
		require.Empty(t, events.Events)
		time.Sleep(time.Second)
		b.get(e, "/v1/cache-events?after=1", &events)
		require.Equal(t, []standin.CacheEvent{
			{Number: 2, Action: standin.CacheStored, Prefix: "stems", Tokens: 100},
			{Number: 4, Action: standin.CacheStored, Prefix: "drafts", Tokens: 100},
			{Number: 5, Action: standin.CacheEvicted, Prefix: "stems", Tokens: 100},
		}, events.Events)
	})
}

// Guards against imported cache that doesn't save the prompt, or that is damaged.
func TestKVMovesBetweenEngines(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		from, to := b.engine(steps), b.engine(steps)
		r := request(1)
		r.Prefix, r.PromptTokens = "quotes", 300
		cold := b.generate(from, r, 0).took
		var block standin.KVBlock
		status, _ := b.call(t.Context(), from, "/v1/kv-export", standin.KVBlock{Prefix: "quotes"}, &block)
		require.Equal(t, http.StatusOK, status)
		damaged := block
		damaged.Tokens++
		status, _ = b.call(t.Context(), to, "/v1/kv-import", damaged, nil)
		require.Equal(t, http.StatusBadRequest, status)
		status, _ = b.call(t.Context(), to, "/v1/kv-import", block, nil)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, 10*time.Millisecond, cold-b.generate(to, r, 0).took)
	})
}

// Guards against urgent requests that wait behind others.
func TestUrgentRequestOvertakesQueue(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		e := b.start(standin.Options{Name: "engine-1", Kind: standin.KindEngine, Slots: 1, Engine: steps})
		order := finishOrder([]int{5, 5, 0}, func(r standin.StageRequest) { b.generate(e, r, 0) })
		require.Equal(t, []int{0, 2, 1}, order)
	})
}

// Guards against a text that loses, repeats or changes a token where one engine
// takes over from another.
func TestResumeHasNoSeam(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		first, second := b.engine(steps), b.engine(steps)
		r := request(1)
		head := b.generate(first, r, 4)
		r.Attempt, r.FromOffset = "a2", 4
		tail := b.generate(second, r, 0)
		require.Equal(t, 10, tail.done.Tokens)
		require.Equal(t, tail.done.Output, head.text+tail.text)
		require.NoError(t, standin.CheckText(head.text+tail.text, "stem 1", "r1", 10))
		synctest.Wait()
		require.Equal(t, standin.StateCanceled, first.Account(0).Attempts[0].State)
		require.Equal(t, 6, second.Account(0).Attempts[0].Tokens)
	})
}

// Guards against a canceled request that keeps its slot.
func TestCancelFreesSlot(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		e := b.start(standin.Options{Name: "engine-1", Kind: standin.KindEngine, Slots: 1, Engine: steps})
		long := request(1)
		long.MaxTokens = 10_000
		var wg sync.WaitGroup
		wg.Go(func() { require.Nil(t, b.generate(e, long, 0).done) })
		time.Sleep(100 * time.Millisecond)
		var canceled standin.CancelResult
		_, err := b.call(t.Context(), e, "/v1/cancel", standin.CancelRequest{Attempt: "a1"}, &canceled)
		require.NoError(t, err)
		require.Equal(t, standin.StateCanceled, canceled.State)
		require.Less(t, b.generate(e, request(2), 0).took, 130*time.Millisecond)
		wg.Wait()
		record := e.Account(0).Attempts[0]
		require.Equal(t, standin.StateCanceled, record.State)
		require.True(t, record.Ran)
		require.InDelta(t, 100, record.BusyMS, 12)
	})
}

// Guards against an engine that lets a stale order through, also when a newer one
// overtakes it, and against one that checks although it should ignore tokens.
func TestFencingOfEngineOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		onBench(t, func(t *testing.T, b *bench) {
			o := steps
			o.ChecksFencing, o.ModelLoad = checks, time.Second
			e := b.engine(o)
			var wg sync.WaitGroup
			var overtaken int
			wg.Go(func() {
				overtaken, _ = b.call(t.Context(), e, "/v1/engine-orders",
					standin.EngineOrder{Fence: 3, Action: standin.ActionLoadModel, Model: "bunker-7b"}, nil)
			})
			time.Sleep(100 * time.Millisecond)
			status, _ := b.call(t.Context(), e, "/v1/engine-orders", standin.EngineOrder{Fence: 4, Action: standin.ActionSetRole, Role: "decode"}, nil)
			require.Equal(t, http.StatusOK, status)
			wg.Wait()
			stale, _ := b.call(t.Context(), e, "/v1/engine-orders", standin.EngineOrder{Fence: 2, Action: standin.ActionSetRole, Role: "prefill"}, nil)
			var info standin.Info
			b.get(e, "/v1/info", &info)
			want := standin.Info{Role: "prefill", Models: []string{"bunker-7b"}}
			wantStatus := http.StatusOK
			if checks {
				want = standin.Info{Role: "decode", Models: []string{}}
				wantStatus = http.StatusConflict
			}
			require.Equal(t, []int{wantStatus, wantStatus}, []int{overtaken, stale})
			require.Equal(t, want.Role, info.Role)
			require.Equal(t, want.Models, info.Models)
			applied := 0
			for _, r := range e.Account(0).EngineOrders {
				if r.Stale && r.Applied {
					applied++
				}
			}
			require.Equal(t, checks, applied == 0)
		})
	}
}

// Guards against a weight store that gives each reader the whole rate.
func TestWeightStoreSharesItsRate(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		store := b.start(standin.Options{Name: "store", Kind: standin.KindWeightStore, Listen: "store:80", ReadRate: 1000})
		o := steps
		o.WeightStore, o.ModelBytes = "http://"+store.Address(), 2000
		start := time.Now()
		var wg sync.WaitGroup
		for range 2 {
			e := b.engine(o)
			wg.Go(func() {
				status, _ := b.call(t.Context(), e, "/v1/engine-orders", standin.EngineOrder{Action: standin.ActionLoadModel, Model: "bunker-7b"}, nil)
				require.Equal(t, http.StatusOK, status)
			})
		}
		wg.Wait()
		require.InDelta(t, 4, time.Since(start).Seconds(), 0.1)
		require.Equal(t, 2, store.Account(0).Totals[0].Finished)
	})
}
