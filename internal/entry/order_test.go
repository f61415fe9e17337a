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

// orderService adds three targets of orders-core.
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

// Requirements P3 and P4: guards against an order that runs twice, or that runs although
// its caller got the outcome not_run, under lost responses, unresponsive connections,
// crashed agents, lost quorums, partitioned entries and retries at other entries.
func TestOrdersRunAtMostOnceUnderFaults(t *testing.T) {
	for i := range *orderSeeds {
		seed := *orderFirst + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testOrderFaults(t, seed) })
		})
	}
}

func testOrderFaults(t *testing.T, seed uint64) {
	s := newSystem(t)
	defer s.stop()
	s.orderService(20 * time.Millisecond)
	entries := []*runningEntry{s.addEntry("entry-1"), s.addEntry("entry-2")}
	time.Sleep(3 * time.Second)

	quit := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, 1)), entries, quit) })
	outcomes := make(map[string]int)
	var mu sync.Mutex
	for i := range 12 {
		order := fmt.Sprintf("release-%d", i)
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		callers.Go(func() {
			outcome := s.placeOrder(rng, entries, order)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	callers.Wait()
	close(quit)
	faults.Wait()
	require.Positive(t, outcomes["done"], "no order was done: %v", outcomes)
}

// placeOrder retries with one order id until the outcome is done, as a client would, and
// checks each response against the effects at the targets.
func (s *system) placeOrder(rng *rand.Rand, entries []*runningEntry, order string) string {
	var a answer
	ran := 0
	for attempt := range 12 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		if ran == 0 && a.Outcome == "not_run" {
			require.Zero(s.t, s.effects(order), "%s ran after its caller got not_run (%s: %s)", order, a.Reason, a.Detail)
		}
		body := map[string]any{"deadline_ms": 2500, "order_id": order, "input": "release 40 t", "first_attempt": attempt == 0}
		_, a = entries[rng.IntN(len(entries))].post(orderPath, body)
		ran = s.effects(order)
		require.LessOrEqual(s.t, ran, 1, "%s ran twice", order)
		switch a.Outcome {
		case "not_run":
			require.Zero(s.t, ran, "%s ran, but its caller got not_run (%s: %s)", order, a.Reason, a.Detail)
		case "done":
			require.Equal(s.t, 1, ran, "%s has the outcome done, but did not run", order)
			require.Contains(s.t, a.Output, "order:"+order)
			return a.Outcome
		}
	}
	return a.Outcome
}

// injectFaults injects one random fault after the other and repairs each.
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
		repair := s.startFault(rng, entries[rng.IntN(len(entries))])
		more := pause()
		repair()
		if !more || !pause() {
			return
		}
	}
}

func (s *system) startFault(rng *rand.Rand, e *runningEntry) (repair func()) {
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
		e.control.dropResponses.Store(true)
		return func() { e.control.dropResponses.Store(false) }
	case 3:
		e.control.disconnected.Store(true)
		return func() { e.control.disconnected.Store(false) }
	case 4:
		e.data.dropResponses.Store(true)
		return func() { e.data.dropResponses.Store(false) }
	case 5:
		e.data.disconnected.Store(true)
		return func() { e.data.disconnected.Store(false) }
	}
	_ = target.SetFaults(standin.Faults{Errors: 0.5, Slow: 20, Seed: rng.Uint64()})
	return func() { _ = target.SetFaults(standin.Faults{}) }
}

// Requirement P4: guards against running the same order twice when two entries receive it
// at the same moment.
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

// Requirement P3: guards against sending an order without a quorum, and against the
// outcome not_run for an order of which an earlier request has run.
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

// Requirement P4: guards against running an order again at another target after its agent
// crashed while the order was running.
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

// Requirements P2 and P4: guards against losing a result that arrives after the caller got
// the outcome unknown, which would leave the outcome unknown or run the order again.
func TestOutcomeAfterUnknownIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.orderService(500 * time.Millisecond)
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		body := map[string]any{"deadline_ms": 1000, "order_id": "release-1", "input": "release 40 t"}
		time.AfterFunc(100*time.Millisecond, func() { e.data.dropResponses.Store(true) })
		_, a := e.post(orderPath, body)
		require.Equal(t, "unknown", a.Outcome, a.Detail)
		e.data.dropResponses.Store(false)
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

// Requirements P3 and P4: guards against running an order twice when an entry freezes
// between its claim and its attempt, and resumes after another entry has blocked the
// attempt and run the order, either immediately or after the agent has removed the record
// of the attempt.
func TestFrozenEntryResumesAfterItsClaim(t *testing.T) {
	for _, frozen := range []time.Duration{3 * time.Second, 15 * time.Minute} {
		t.Run(frozen.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testResumeAfterClaim(t, frozen) })
		})
	}
}

func testResumeAfterClaim(t *testing.T, pause time.Duration) {
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
	frozen.data.holdAttempts.Store(false)
	require.Positive(t, frozen.data.sendHeld(t), "the frozen entry has no held attempts")
	time.Sleep(3 * time.Second)
	require.Equal(t, 1, s.effects("release-1"))
}

// Guards against an order that was never sent but stays claimed until an operator resolves
// it, because the response to its claim was lost.
func TestLostClaimIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.orderService(10 * time.Millisecond)
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		e.control.dropResponses.Store(true)
		_, a := e.post(orderPath, map[string]any{"deadline_ms": 2500, "order_id": "release-1", "input": "release 40 t", "first_attempt": true})
		require.Equal(t, "not_run", a.Outcome, a.Detail)
		record, ok := s.control.ledger.Order("depot-milford", "release-1")
		require.True(t, ok)
		require.Equal(t, wire.OrderState_ORDER_STATE_CLAIMED, record.GetState())
		e.control.dropResponses.Store(false)
		time.Sleep(5 * time.Second)
		record, _ = s.control.ledger.Order("depot-milford", "release-1")
		require.Equal(t, wire.OrderState_ORDER_STATE_NOT_RUN, record.GetState())
		require.Zero(t, s.effects("release-1"))
	})
}
