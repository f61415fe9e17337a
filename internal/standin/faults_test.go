package standin_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/standin"
)

func (b *bench) orders(o standin.Options) *standin.Standin {
	o.Name, o.Service, o.Kind, o.Listen = "orders-1", "orders-core", standin.KindService, "orders:80"
	o.Operations = []standin.Operation{
		{Name: "release_fuel", Duration: 100 * time.Millisecond},
		{Name: "stock_lookup", Duration: 10 * time.Millisecond, Idempotent: true},
	}
	return b.start(o)
}

func (b *bench) fault(s *standin.Standin, f standin.FaultCall) {
	b.t.Helper()
	status, err := b.call(b.t.Context(), s, "/v1/faults", f, nil)
	require.NoError(b.t, err)
	require.Equal(b.t, http.StatusOK, status)
}

// lookup calls an idempotent operation and returns its status and duration.
func (b *bench) lookup(ctx context.Context, s *standin.Standin, n int) (int, time.Duration, error) {
	start := time.Now()
	status, err := b.call(ctx, s, "/v1/stage/stock_lookup", request(n), nil)
	return status, time.Since(start), err
}

// Guards against faults that are accepted but do nothing, or that don't end.
func TestSlowAndFailingCalls(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{})
		b.fault(s, standin.FaultCall{Faults: standin.Faults{Slow: 3, Calls: 1}})
		_, took, _ := b.lookup(t.Context(), s, 1)
		require.Equal(t, 30*time.Millisecond, took)
		_, took, _ = b.lookup(t.Context(), s, 2)
		require.Equal(t, 10*time.Millisecond, took)
		b.fault(s, standin.FaultCall{Faults: standin.Faults{Errors: 0.5, Seed: 1, Operations: []string{"stock_lookup"}}})
		failed := 0
		for n := range 200 {
			if status, _, _ := b.lookup(t.Context(), s, 10+n); status == http.StatusInternalServerError {
				failed++
			}
		}
		require.InDelta(t, 100, failed, 25)
		status, _ := b.call(t.Context(), s, "/v1/stage/release_fuel", request(3), nil)
		require.Equal(t, http.StatusOK, status, "the fault names another operation")
		require.Equal(t, failed, s.Account(0).Totals[1].Failed)
	})
}

// Guards against a frozen stand-in that answers, or that loses what it was doing.
func TestFreezeHoldsWorkUntilThawed(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{})
		var wg sync.WaitGroup
		wg.Go(func() {
			r := request(1)
			r.Order = "o1"
			status, err := b.call(t.Context(), s, "/v1/stage/release_fuel", r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
		})
		time.Sleep(50 * time.Millisecond)
		b.fault(s, standin.FaultCall{Faults: standin.Faults{Freeze: true}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, _, err := b.lookup(ctx, s, 2)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Empty(t, s.Account(0).Effects)
		b.fault(s, standin.FaultCall{})
		wg.Wait()
		require.Equal(t, 1, s.Account(0).Effects[0].Count)
	})
}

// Guards against a death that leaves connections or effects behind, or is final
// when it should not be.
func TestDieAndRevive(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{Schedule: []standin.ScheduledFault{
			{After: time.Second, FaultCall: standin.FaultCall{Faults: standin.Faults{Slow: 3}, Die: true, ReviveMS: 3000}},
		}})
		time.Sleep(950 * time.Millisecond)
		_, err := b.call(t.Context(), s, "/v1/stage/release_fuel", request(1), nil)
		require.Error(t, err, "the connection closes in the middle of the call")
		_, _, err = b.lookup(t.Context(), s, 2)
		require.ErrorContains(t, err, "connection refused")
		synctest.Wait()
		require.Empty(t, s.Account(0).Effects)
		require.Equal(t, standin.StateCanceled, s.Account(0).Attempts[0].State)
		time.Sleep(3100 * time.Millisecond)
		status, took, err := b.lookup(t.Context(), s, 3)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, 10*time.Millisecond, took, "the faults of its former life are over")
		s.Die()
		<-s.Done()
	})
}

// Guards against silence that also takes new connections, or that old ones survive
// in either direction.
func TestSilenceTakesOnlyOpenConnections(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{})
		_, _, err := b.lookup(t.Context(), s, 1)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		// The first client keeps an idle connection; two others have one in use.
		working, other := b.twin(), b.twin()
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := working.call(ctx, s, "/v1/stage/release_fuel", request(2), nil)
			require.ErrorIs(t, err, context.DeadlineExceeded, "the answer doesn't arrive")
		})
		time.Sleep(50 * time.Millisecond)
		other.fault(s, standin.FaultCall{Silence: true})
		synctest.Wait()
		_, _, err = b.lookup(ctx, s, 3)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		wg.Wait()
		require.Len(t, s.Account(0).Attempts, 2, "the call on the idle connection doesn't arrive")
		require.Len(t, s.Account(0).Effects, 1)
		status, _, err := b.twin().lookup(t.Context(), s, 4)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
}

// Guards against a pool that ignores priorities, and against a slot that is lost
// when a caller gives up at the moment it gets one.
func TestPoolQueue(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{Slots: 1})
		order := finishOrder([]int{5, 5, 0}, func(r standin.StageRequest) {
			_, err := b.call(t.Context(), s, "/v1/stage/stock_lookup", r, nil)
			require.NoError(t, err)
		})
		require.Equal(t, []int{0, 2, 1}, order)
		var wg sync.WaitGroup
		for n := range 50 {
			wg.Go(func() { _, _, _ = b.lookup(t.Context(), s, 100+2*n) })
			synctest.Wait()
			r := request(101 + 2*n)
			r.DeadlineMS = 10 // ends when the slot becomes free
			_, _ = b.call(t.Context(), s, "/v1/stage/stock_lookup", r, nil)
			wg.Wait()
		}
		_, took, err := b.lookup(t.Context(), s, 300)
		require.NoError(t, err)
		require.Equal(t, 10*time.Millisecond, took)
	})
}

// Guards against an effect that is undone, unrecorded or stopped because the
// caller has gone: such services finish what they have started.
func TestEffectOutlivesCaller(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{})
		r := request(1)
		r.Order = "o1"
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := b.call(ctx, s, "/v1/stage/release_fuel", r, nil)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		var c standin.CancelResult
		_, err = b.call(t.Context(), s, "/v1/cancel", standin.CancelRequest{Attempt: "a1"}, &c)
		require.NoError(t, err)
		require.Equal(t, standin.StateRunning, c.State)
		time.Sleep(time.Second)
		require.Equal(t, []string{"a1"}, s.Account(0).Effects[0].Attempts)
		require.Equal(t, standin.StateFinished, s.Account(0).Attempts[0].State)
	})
}

// Guards against an account that miscounts repeated orders, or grows without bound.
func TestAccountCountsExactly(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{Account: 5, Slots: 4})
		var wg sync.WaitGroup
		for n := range 20 {
			wg.Go(func() {
				r := request(n)
				r.Order = "o" + string(rune('a'+n%4))
				_, err := b.call(t.Context(), s, "/v1/stage/release_fuel", r, nil)
				require.NoError(t, err)
			})
		}
		wg.Wait()
		a := s.Account(0)
		require.Len(t, a.Effects, 4)
		for _, e := range a.Effects {
			require.Equal(t, 5, e.Count, e.Order)
			require.Len(t, e.Attempts, 5)
		}
		require.Len(t, a.Attempts, 5)
		require.Equal(t, 15, a.DroppedAttempts)
		require.Equal(t, []standin.Total{{
			Customer: "depot-milford", Operation: "release_fuel", Attempts: 20, Finished: 20, BusyMS: 2000,
		}}, a.Totals)
		for _, order := range []string{"oe", "of"} {
			r := request(99)
			r.Attempt, r.Order = order, order
			_, err := b.call(t.Context(), s, "/v1/stage/release_fuel", r, nil)
			require.NoError(t, err)
		}
		require.Len(t, s.Account(0).Effects, 5)
		require.Equal(t, 1, s.Account(0).DroppedEffects)
	})
}

// Guards against load reports that are current, unlike those of real targets.
func TestLoadReportLags(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		s := b.orders(standin.Options{LoadLag: 80 * time.Millisecond})
		go func() { _, _ = b.call(t.Context(), s, "/v1/stage/release_fuel", request(1), nil) }()
		time.Sleep(50 * time.Millisecond)
		var l standin.Load
		b.get(s, "/v1/load", &l)
		require.Equal(t, standin.Load{Slots: 8, AgeMS: 50, Models: []string{}}, l)
		time.Sleep(40 * time.Millisecond)
		b.get(s, "/v1/load", &l)
		require.Equal(t, standin.Load{Running: 1, Slots: 8, AgeMS: 10, Models: []string{}}, l)
		time.Sleep(time.Second)
	})
}

// Guards against settings whose mistakes pass unseen.
func TestSettingsAreStrict(t *testing.T) {
	good := `
standins:
  - name: engine-1
    kind: engine
    engine: {step_base: 5ms, checks_fencing: true}
    faults: {slow: 2}
    schedule: [{after: 2s, slow: 3, die: true, revive_ms: 500}]
`
	s, err := standin.ParseSettings("s.yaml", []byte(good))
	require.NoError(t, err)
	require.Equal(t, 5*time.Millisecond, s.Standins[0].Engine.StepBase)
	require.Equal(t, int64(500), s.Standins[0].Schedule[0].ReviveMS)
	require.InDelta(t, 3, s.Standins[0].Schedule[0].Slow, 0)
	example, err := standin.LoadSettings("../../examples/standins/harbwr.yaml")
	require.NoError(t, err)
	require.Len(t, example.Standins, 6)
	for text, want := range map[string]string{
		"standins:\n  - {name: a, kind: engine, slotz: 3}":             "[2:29]",
		"standins:\n  - {name: a, kind: printer}":                      "kind: want engine",
		"standins:\n  - {name: a, kind: encoder, faults: {errors: 2}}": "a share from 0 to 1",
		"standins:\n  - {name: a, kind: service}":                      "at least one operation",
		"standins: []": "at least one stand-in",
		"standins:\n  - {name: a, kind: encoder, schedule: [{slow: -1}]}":     "no negative number",
		"standins:\n  - {name: a, kind: engine, engine: {model_load: -1s}}\n": "no negative",
	} {
		_, err := standin.ParseSettings("s.yaml", []byte(text))
		require.ErrorContains(t, err, want)
	}
}
