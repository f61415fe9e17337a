package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// orderService is three targets of orders-core.
func (s *system) orderService(slow time.Duration) {
	for i := range 3 {
		s.addTarget(standin.Options{
			Name: fmt.Sprintf("core-%d", i+1), Service: "orders-core", Kind: standin.KindService, Slots: 4,
			Operations: []standin.Operation{{Name: "release_fuel", Idempotent: false, Duration: slow}},
		})
	}
}

// The defaults are for CI; scripts/soak raises them.
var (
	orderSeeds = flag.Uint64("order-seeds", 12, "number of seeds of the order fault test")
	orderFirst = flag.Uint64("order-first", 0, "first seed of the order fault test")
)

const orderPath = "/v1/services/orders-core/release_fuel"

// Guards P3 and P4: an order that runs twice, or that runs although its caller
// was told that it did not, under lost answers, silent connections, crashed
// agents, lost quorums, isolated entries and resends to other entries.
func TestOrdersRunAtMostOnceUnderFaults(t *testing.T) {
	for i := range *orderSeeds {
		seed := *orderFirst + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOrderFaults(t, seed) })
		})
	}
}

func runOrderFaults(t *testing.T, seed uint64) {
	s := newSystem(t)
	defer s.stop()
	s.orderService(20 * time.Millisecond)
	entries := []*runningEntry{s.addEntry("entry-1"), s.addEntry("entry-2")}
	time.Sleep(3 * time.Second)

	quit := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, 1)), entries, quit) })
	told := make(map[string]int)
	var mu sync.Mutex
	for i := range 12 {
		order := fmt.Sprintf("release-%d", i)
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		callers.Go(func() {
			outcome := s.placeOrder(rng, entries, order)
			mu.Lock()
			defer mu.Unlock()
			told[outcome]++
		})
	}
	callers.Wait()
	close(quit)
	faults.Wait()
	require.Positive(t, told["done"], "no order was done: %v", told)
}

// placeOrder asks with one order id until the outcome is done, as a desk would,
// and checks each answer against what ran.
func (s *system) placeOrder(rng *rand.Rand, entries []*runningEntry, order string) string {
	var a answer
	ran := 0
	for try := range 12 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		if ran == 0 && a.Outcome == "not_run" {
			require.Zero(s.t, s.effects(order), "%s ran after its caller was told not_run (%s: %s)", order, a.Reason, a.Detail)
		}
		body := map[string]any{"deadline_ms": 2500, "order_id": order, "input": "release 40 t", "first_attempt": try == 0}
		_, a = entries[rng.IntN(len(entries))].post(orderPath, body)
		ran = s.effects(order)
		require.LessOrEqual(s.t, ran, 1, "%s ran twice", order)
		switch a.Outcome {
		case "not_run":
			require.Zero(s.t, ran, "%s ran, but its caller was told not_run (%s: %s)", order, a.Reason, a.Detail)
		case "done":
			require.Equal(s.t, 1, ran, "%s is told done, but did not run", order)
			require.Contains(s.t, a.Output, "order:"+order)
			return a.Outcome
		}
	}
	return a.Outcome
}

// injectFaults breaks one thing after the other and mends it again.
func (s *system) injectFaults(rng *rand.Rand, entries []*runningEntry, quit <-chan struct{}) {
	pause := func() bool {
		select {
		case <-time.After(time.Duration(100+rng.IntN(900)) * time.Millisecond):
			return true
		case <-quit:
			return false
		}
	}
	for {
		mend := s.injectFault(rng, entries[rng.IntN(len(entries))])
		more := pause()
		mend()
		if !more || !pause() {
			return
		}
	}
}

func (s *system) injectFault(rng *rand.Rand, e *runningEntry) (mend func()) {
	a := s.agents[rng.IntN(len(s.agents))]
	target := s.targets[rng.IntN(len(s.targets))]
	switch rng.IntN(7) {
	case 0:
		a.crash()
		return a.start
	case 1:
		s.control.noQuorum.Store(true)
		return func() { s.control.noQuorum.Store(false) }
	case 2:
		e.control.loseAnswer.Store(true)
		return func() { e.control.loseAnswer.Store(false) }
	case 3:
		e.control.cut.Store(true)
		return func() { e.control.cut.Store(false) }
	case 4:
		e.data.loseAnswer.Store(true)
		return func() { e.data.loseAnswer.Store(false) }
	case 5:
		e.data.cut.Store(true)
		return func() { e.data.cut.Store(false) }
	}
	_ = target.SetFaults(standin.Faults{Errors: 0.5, Slow: 20, Seed: rng.Uint64()})
	return func() { _ = target.SetFaults(standin.Faults{}) }
}

// Guards P4: two entries that get the same order at the same moment both run it.
func TestSameOrderAtTwoEntriesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.orderService(300 * time.Millisecond)
		entries := []*runningEntry{s.addEntry("entry-1"), s.addEntry("entry-2")}
		time.Sleep(3 * time.Second)
		body := map[string]any{"deadline_ms": 3000, "order_id": "release-1", "input": "release 40 t"}
		answers := make([]answer, 2)
		var wg sync.WaitGroup
		for i, e := range entries {
			wg.Go(func() { _, answers[i] = e.post(orderPath, body) })
		}
		wg.Wait()
		for _, a := range answers {
			require.Equal(t, "done", a.Outcome, a.Detail)
		}
		require.Equal(t, 1, s.effects("release-1"))
		require.NotEqual(t, answers[0].Repeated, answers[1].Repeated)
	})
}

// Guards P3: without a quorum an order is sent, or an order of which an earlier
// request ran is told as not run.
func TestOrderWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.orderService(10 * time.Millisecond)
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		body := func(order string, first bool) map[string]any {
			return map[string]any{"deadline_ms": 2500, "order_id": order, "input": "release 40 t", "first_attempt": first}
		}
		_, a := e.post(orderPath, body("release-1", true))
		require.Equal(t, "done", a.Outcome)
		s.control.noQuorum.Store(true)
		_, a = e.post(orderPath, body("release-1", false))
		require.Equal(t, "unknown", a.Outcome)
		_, a = e.post(orderPath, body("release-2", true))
		require.Equal(t, "not_run", a.Outcome)
		require.Equal(t, "no_quorum", a.Reason)
		s.control.noQuorum.Store(false)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, s.effects("release-1"))
		require.Zero(t, s.effects("release-2"))
		_, a = e.post(orderPath, body("release-1", false))
		require.Equal(t, "done", a.Outcome)
		require.True(t, a.Repeated)
	})
}

// Guards P4: an agent that died after it passed the order on makes the order run
// again at another target.
func TestOrderIsUnknownAfterItsAgentRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		a := s.addTarget(standin.Options{
			Name: "core-1", Service: "orders-core", Kind: standin.KindService, Slots: 4,
			Operations: []standin.Operation{{Name: "release_fuel", Idempotent: false, Duration: 400 * time.Millisecond}},
		})
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		go func() {
			time.Sleep(200 * time.Millisecond)
			a.crash()
			a.start()
		}()
		body := map[string]any{"deadline_ms": 2500, "order_id": "release-1", "input": "release 40 t"}
		_, got := e.post(orderPath, body)
		require.Equal(t, "unknown", got.Outcome, got.Detail)
		time.Sleep(3 * time.Second)
		_, got = e.post(orderPath, body)
		require.Equal(t, "unknown", got.Outcome, got.Detail)
		require.LessOrEqual(t, s.effects("release-1"), 1)
	})
}

// Guards P2 and P4: an answer that comes after the caller was told "unknown" is
// forgotten, so that the outcome is never known or the order runs again.
func TestOutcomeAfterUnknownIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.orderService(500 * time.Millisecond)
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		body := map[string]any{"deadline_ms": 1000, "order_id": "release-1", "input": "release 40 t"}
		time.AfterFunc(100*time.Millisecond, func() { e.data.loseAnswer.Store(true) })
		_, a := e.post(orderPath, body)
		require.Equal(t, "unknown", a.Outcome, a.Detail)
		e.data.loseAnswer.Store(false)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, s.effects("release-1"))
		record, ok := s.control.ledger.Order("depot-milford", "release-1")
		require.True(t, ok)
		require.Equal(t, wire.OrderState_ORDER_STATE_DONE, record.GetState())
		_, a = e.post(orderPath, body)
		require.Equal(t, "done", a.Outcome, a.Detail)
		require.True(t, a.Repeated)
		require.Equal(t, 1, s.effects("release-1"))
	})
}

// Guards P3 and P4: an entry that was frozen between its claim and its send
// resumes after another entry has barred the attempt and run the order, at once
// or when the agent no longer remembers the attempt.
func TestFrozenEntryResumesAfterItsClaim(t *testing.T) {
	for _, frozen := range []time.Duration{3 * time.Second, 15 * time.Minute} {
		t.Run(frozen.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { resumeAfterClaim(t, frozen) })
		})
	}
}

func resumeAfterClaim(t *testing.T, pause time.Duration) {
	s := newSystem(t)
	defer s.stop()
	s.orderService(20 * time.Millisecond)
	frozen, other := s.addEntry("entry-1"), s.addEntry("entry-2")
	time.Sleep(3 * time.Second)
	body := map[string]any{"deadline_ms": 2500, "order_id": "release-1", "input": "release 40 t"}
	frozen.control.holdAfterClaim.Store(frozen.data)
	var wg sync.WaitGroup
	wg.Go(func() { frozen.post(orderPath, body) })
	time.Sleep(100 * time.Millisecond)
	record, ok := s.control.ledger.Order("depot-milford", "release-1")
	require.True(t, ok, "the frozen entry has no claim")
	require.Equal(t, wire.OrderState_ORDER_STATE_CLAIMED, record.GetState())
	first := record.GetAttempt()

	_, a := other.post(orderPath, body)
	require.Equal(t, "not_run", a.Outcome, a.Detail)
	require.Zero(t, s.effects("release-1"))
	_, a = other.post(orderPath, body)
	require.Equal(t, "done", a.Outcome, a.Detail)
	require.Equal(t, 1, s.effects("release-1"))
	record, _ = s.control.ledger.Order("depot-milford", "release-1")
	require.NotEqual(t, first, record.GetAttempt())

	wg.Wait()
	time.Sleep(pause)
	frozen.data.hold.Store(false)
	require.Positive(t, frozen.data.release(t), "the frozen entry has sent nothing")
	time.Sleep(3 * time.Second)
	require.Equal(t, 1, s.effects("release-1"))
}

// Guards against an order that was never sent, told as not run, and that stays
// claimed until a person settles it, because the answer to its claim was lost.
func TestLostClaimIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.orderService(10 * time.Millisecond)
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		e.control.loseAnswer.Store(true)
		_, a := e.post(orderPath, map[string]any{"deadline_ms": 2500, "order_id": "release-1", "input": "release 40 t", "first_attempt": true})
		require.Equal(t, "not_run", a.Outcome, a.Detail)
		record, ok := s.control.ledger.Order("depot-milford", "release-1")
		require.True(t, ok)
		require.Equal(t, wire.OrderState_ORDER_STATE_CLAIMED, record.GetState())
		e.control.loseAnswer.Store(false)
		time.Sleep(5 * time.Second)
		record, _ = s.control.ledger.Order("depot-milford", "release-1")
		require.Equal(t, wire.OrderState_ORDER_STATE_NOT_RUN, record.GetState())
		require.Zero(t, s.effects("release-1"))
	})
}
