package entry_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/standin"
)

const (
	limitPath = "/v1/services/encoders/encode"
	callTime  = 200 * time.Millisecond
	// warmUp is the documented time in which a new allocator raises no share, with three
	// entries, plus two report periods.
	warmUp = 8 * time.Second
	// reallocation is the documented time after which a customer whose load has moved to
	// one entry has its full limit there.
	reallocation = 5 * time.Second
)

// limitSystem is three entries and targets with capacity for far more calls than the
// limits allow.
func limitSystem(t *testing.T, concurrent, rate int) (*system, []*runningEntry) {
	s := newSystem(t)
	limits := fmt.Sprintf("max_concurrent: %d, rate: %d,", concurrent, rate)
	s.apply("limits", 1, strings.Replace(testManifest, "max_concurrent: 64, rate: 1000,", limits, 1))
	for i := range 2 {
		s.addTarget(standin.Options{
			Name: fmt.Sprintf("encoder-%d", i+1), Service: "encoders", Kind: standin.KindEncoder, Slots: 200,
			Operations: []standin.Operation{{Name: "encode", Idempotent: true, Duration: callTime}},
		})
	}
	entries := []*runningEntry{s.addEntry("entry-1"), s.addEntry("entry-2"), s.addEntry("entry-3")}
	time.Sleep(warmUp)
	return s, entries
}

// traffic collects the results of an open loop of calls.
type traffic struct {
	mu               sync.Mutex
	wg               sync.WaitGroup
	offered          int
	reasons          map[string]int
	details          []string
	running          []callSpan
	slowestRejection time.Duration
}

type callSpan struct{ from, to time.Time }

// offer sends calls to an entry at a constant rate for a duration.
func (l *traffic) offer(e *runningEntry, perSecond int, d time.Duration) {
	if perSecond == 0 {
		return
	}
	l.wg.Go(func() {
		for range int(d.Seconds() * float64(perSecond)) {
			l.wg.Go(func() { l.call(e) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
}

func (l *traffic) call(e *runningEntry) {
	from := time.Now()
	_, a := e.post(limitPath, map[string]any{"deadline_ms": 2000, "input": "text"})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offered++
	if a.Outcome == "done" {
		l.running = append(l.running, callSpan{from: from, to: time.Now()})
		return
	}
	l.slowestRejection = max(l.slowestRejection, time.Since(from))
	if l.reasons == nil {
		l.reasons = map[string]int{}
	}
	l.reasons[a.Reason]++
	l.details = append(l.details, a.Detail)
}

// maxConcurrent returns the highest number of calls that ran at the same time.
func (l *traffic) maxConcurrent() int {
	most := 0
	for _, at := range l.running {
		n := 0
		for _, s := range l.running {
			if !s.from.After(at.from) && s.to.After(at.from) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// offerAll sends calls to the entries at the given rates, waits for the responses and
// returns the traffic.
func offerAll(entries []*runningEntry, d time.Duration, rates ...int) *traffic {
	l := &traffic{}
	for i, r := range rates {
		l.offer(entries[i], r, d)
	}
	l.wg.Wait()
	return l
}

// Guards against limits that apply per entry: a customer that uses three entries would get
// three times its rate, or less than its rate if it uses one entry more than the others.
// Also guards against rejecting load within the limit.
func TestRateOfCustomerHoldsOverEntries(t *testing.T) {
	const rate, seconds = 30, 20
	loads := []struct {
		name  string
		rates []int
	}{
		{name: "even, 3 times the limit", rates: []int{30, 30, 30}},
		{name: "one entry, 3 times the limit", rates: []int{90, 0, 0}},
		{name: "uneven, 3 times the limit", rates: []int{75, 10, 5}},
		{name: "even, 0.8 of the limit", rates: []int{8, 8, 8}},
		{name: "one entry, 0.8 of the limit", rates: []int{24, 0, 0}},
		{name: "uneven, 0.8 of the limit", rates: []int{20, 3, 1}},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, entries := limitSystem(t, 1000, rate)
				defer s.stop()
				offerAll(entries, reallocation, load.rates...)
				l := offerAll(entries, seconds*time.Second, load.rates...)
				done := len(l.running)
				fits := min(l.offered, rate*seconds)
				t.Logf("offered %d, done %d: %.1f/s, attainment %.3f of what the limit allows, reasons %v", l.offered, done, float64(done)/seconds, float64(done)/float64(fits), l.reasons)
				// A customer may use its rate of one second in a burst.
				require.LessOrEqual(t, done, rate*seconds+rate)
				require.GreaterOrEqual(t, done, fits*95/100)
				if l.offered < rate*seconds {
					require.Equal(t, l.offered, done, "%v", l.reasons)
				}
			})
		})
	}
}

// Guards against more concurrent requests than the limit while the load moves, while an
// entry can't reach the allocator or the control VMs, or after the allocator crashed. Also
// guards against a limit that isn't available at the one entry that needs it, requests
// that wait for the allocator, and rejections that don't state the limit and the share.
func TestConcurrencyOfCustomerHoldsOverEntries(t *testing.T) {
	const limit = 12
	// The documented tolerance: the fallback shares of the other two entries.
	const slack = 2 * limit / 3
	synctest.Test(t, func(t *testing.T) {
		s, entries := limitSystem(t, limit, 10_000)
		defer s.stop()
		check := func(what string, most int, d time.Duration, rates ...int) *traffic {
			l := offerAll(entries, d, rates...)
			t.Logf("%s: %d at once, done %d of %d", what, l.maxConcurrent(), len(l.running), l.offered)
			require.LessOrEqual(t, l.maxConcurrent(), most, what)
			require.Less(t, l.slowestRejection, 20*time.Millisecond, "%s: a rejection took %v", what, l.slowestRejection)
			return l
		}
		check("even load begins", limit+slack, reallocation, 40, 40, 40)
		l := check("even load", limit, 4*time.Second, 40, 40, 40)
		require.Equal(t, limit, l.maxConcurrent())
		require.Contains(t, l.details[0], "share of the customer's max_concurrent of 12 is used up; the share is 4, granted by entry-")
		check("load moves to one entry", limit+slack, reallocation, 0, 120, 0)
		l = check("one entry", limit, 4*time.Second, 0, 120, 0)
		require.Equal(t, limit, l.maxConcurrent(), "one entry doesn't get the full limit")
		check("load moves back to all entries", limit+slack, reallocation, 40, 40, 40)
		check("even load again", limit, 4*time.Second, 40, 40, 40)

		entries[1].peers.disconnected.Store(true)
		entries[1].peers.dropResponses.Store(true)
		check("entry-2 loses the responses of the others", limit+slack, 10*time.Second, 40, 120, 40)
		entries[1].peers.disconnected.Store(false)
		entries[1].peers.dropResponses.Store(false)
		check("entry-2 is connected again", limit+slack, warmUp, 40, 120, 40)
		check("entry-2 is connected again, stable", limit, 4*time.Second, 40, 120, 40)

		entries[0].control.disconnected.Store(true)
		check("entry-1 reaches no control VM", limit+slack, warmUp, 40, 40, 40)
		l = check("entry-1 still reaches none", limit+slack, 4*time.Second, 120, 40, 40)
		require.True(t, slices.ContainsFunc(l.details, func(d string) bool {
			return strings.HasSuffix(d, "the share is 4, the limit divided by 3 ready entries")
		}), "no rejection states the fallback share")
		entries[0].control.disconnected.Store(false)
		check("entry-1 is connected again", limit+slack, 2*warmUp, 40, 40, 40)
		check("entry-1 is connected again, stable", limit, 4*time.Second, 40, 40, 40)

		for i, e := range entries[:2] {
			e.crash()
			rates := []int{0, 0, 120}
			if i == 0 {
				rates = []int{0, 60, 60}
			}
			check("an entry crashes", limit+slack, 2*warmUp, rates...)
			l = check("the other entries are stable", limit, 4*time.Second, rates...)
			require.Equal(t, limit, l.maxConcurrent(), "the limit isn't fully available to the remaining entries")
		}
	})
}

// crash stops the entry like a kill signal: it doesn't notify the others.
func (e *runningEntry) crash() {
	e.control.disconnected.Store(true)
	e.peers.disconnected.Store(true)
	_ = e.adminListener.Close()
	e.adminListener.(*trackingListener).closeAll()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.kernel.Stop(ctx)
}
