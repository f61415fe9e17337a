package batching

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// Profiles of the stage services at the site with uneven customers.
var (
	sharedStage   = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 12, CallOverhead: 200 * time.Millisecond, PieceTime: 14 * time.Millisecond, ResultBytes: 27e6, ResultTTL: 4 * time.Second}
	outlineStage  = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 46, CallOverhead: 200 * time.Millisecond, PieceTime: 3700 * time.Microsecond, ResultBytes: 6.1e6, ResultTTL: 4 * time.Second}
	finishedStage = catalog.BatchProfile{MaxConcurrency: 1, QueueLimit: 2, MaxBatchSize: 64, CallOverhead: 200 * time.Millisecond, PieceTime: 2700 * time.Microsecond, ResultBytes: 850e3, ResultTTL: 4 * time.Second}
)

const (
	heavyBytes     = 1_500_000
	lightPieceTime = 4200 * time.Microsecond
	// heldByEngine is how long an engine needs the last results.
	heldByEngine = 250 * time.Millisecond
	// lateWorth is the worth of an answer after its objective, relative to one in time.
	lateWorth = 0.15
	// freshShare is the part of the usual time that a caller who comes first has at least,
	// by which the gateway tells those that come back.
	freshShare = 0.85
)

// siteKind is a kind of request at the site.
type siteKind struct {
	name                string
	priority            int
	perSecond           float64
	objective, deadline time.Duration
	worth               float64
	// light says that the request passes all three services with light pieces, and heavy
	// how many heavy pieces its stage at the first service has on average.
	light bool
	heavy float64
}

var (
	kindA = &siteKind{name: "A", priority: 0, perSecond: 121, objective: 1800 * time.Millisecond, deadline: 6 * time.Second, worth: 1.8, light: true}
	kindB = &siteKind{name: "B", priority: 1, perSecond: 98, objective: time.Second, deadline: 6 * time.Second, worth: 3.4, heavy: 2.5}
	kindC = &siteKind{name: "C", priority: 2, perSecond: 41, objective: 1800 * time.Millisecond, deadline: 15 * time.Second, worth: 1.1, light: true, heavy: 2}
)

// siteCount counts requests.
type siteCount struct {
	arrived, inTime, late, lost int
	// lostTwice counts those that came back after a rejection and were rejected again, and
	// lostBegun those rejected before a later stage.
	lostTwice, lostBegun, rejected, rerun int
}

func (c *siteCount) served() int { return c.inTime + c.late }

func (c *siteCount) String() string {
	return fmt.Sprintf("%d: in time %d late %d lost %d (twice %d, begun %d) rejections %d reruns %d", c.arrived, c.inTime, c.late, c.lost, c.lostTwice, c.lostBegun, c.rejected, c.rerun)
}

// site runs requests of several kinds through three services. Callers come back once after
// a rejection.
type site struct {
	*clock
	services  [3]*simulation
	random    *rand.Rand
	counts    map[*siteKind]*siteCount
	customers map[string]*siteCount
	// large counts requests of kindB with twice as many pieces as usual or more.
	large siteCount
	// measuring says that requests that arrive now are counted.
	measuring bool
	customer  func() string
	worth     float64 // of all answers
}

// newSite returns a site; shares are those of its targets that are in use.
func newSite(t *testing.T, seed uint64, shares [3]float64) *site {
	c := &clock{now: time.Unix(1000, 0)}
	s := &site{clock: c, random: rand.New(rand.NewPCG(seed, 7)), counts: map[*siteKind]*siteCount{}, customers: map[string]*siteCount{}, customer: func() string { return "" }}
	for _, k := range []*siteKind{kindA, kindB, kindC} {
		s.counts[k] = &siteCount{}
	}
	s.services[0] = newSimulationAt(t, c, sharedStage, int(shares[0]*19+0.5))
	s.services[0].pieceTime = func(j *Job) time.Duration {
		if j.ResultBytes < heavyBytes {
			return lightPieceTime
		}
		return sharedStage.PieceTime
	}
	s.services[1] = newSimulationAt(t, c, outlineStage, int(shares[1]*15+0.5))
	s.services[2] = newSimulationAt(t, c, finishedStage, int(shares[2]*15+0.5))
	return s
}

// siteRequest is one request while it is served.
type siteRequest struct {
	s           *site
	kind        *siteKind
	id          string
	customer    string
	heavyPieces int
	domain      string
	arrivedAt   time.Time // of the first attempt
	begunAt     time.Time // of this attempt
	waited      time.Duration
	deadline    time.Time
	again       bool
	counts      []*siteCount
	open        int // paths that haven't ended
	ended       bool
	jobs        map[*Job]*simulation // that haven't ended
	rounds      int                  // of the stages, which run again when results are lost
}

func (s *site) newRequest(k *siteKind) *siteRequest {
	s.n++
	r := &siteRequest{s: s, kind: k, id: fmt.Sprint("r", s.n), customer: s.customer(), domain: fmt.Sprint("d", s.random.IntN(3)), arrivedAt: s.now, deadline: s.now.Add(k.deadline)}
	if k.heavy > 0 {
		r.heavyPieces = 1 + min(int(s.random.ExpFloat64()*(k.heavy-0.5)), 9)
	}
	if s.measuring {
		r.counts = append(r.counts, s.counts[k])
		if k == kindB && float64(r.heavyPieces) >= 2*k.heavy {
			r.counts = append(r.counts, &s.large)
		}
		if s.customers[r.customer] == nil {
			s.customers[r.customer] = &siteCount{}
		}
		r.counts = append(r.counts, s.customers[r.customer])
	}
	r.count(func(c *siteCount) { c.arrived++ })
	return r
}

func (r *siteRequest) count(f func(*siteCount)) {
	for _, c := range r.counts {
		f(c)
	}
}

// start begins an attempt.
func (r *siteRequest) start() {
	r.begunAt = r.s.now
	r.waited = max(time.Duration(freshShare*float64(r.kind.deadline))-r.deadline.Sub(r.s.now), 0)
	r.rounds = 0
	r.round()
}

// round begins all stages.
func (r *siteRequest) round() {
	r.rounds++
	r.ended, r.jobs, r.open = false, map[*Job]*simulation{}, 1
	if r.kind.light && r.heavyPieces > 0 {
		r.open = 2
	}
	if r.kind.light {
		r.lightStage(0, nil)
	} else {
		r.heavyStage(nil)
	}
}

// job returns a job of a stage with the fields that the gateway sends.
func (r *siteRequest) job(stage, pieces int, bytes int64, path Path) *Job {
	return &Job{
		RequestID: r.id, Stage: stage, Pieces: pieces, ResultBytes: bytes, Path: path, Priority: r.kind.priority, Waited: r.waited, Customer: r.customer, FailureDomain: r.domain,
		Objective: r.begunAt.Add(r.kind.objective - r.waited), Deadline: r.deadline.Add(-path.MinDuration()),
	}
}

// lightStage runs one of the three stages with light pieces. The heavy stage beside them
// begins with the last one.
func (r *siteRequest) lightStage(i int, inputs []Result) {
	var stages []PathStage
	for k := i + 1; k < len(stagePieces); k++ {
		stages = append(stages, PathStage{Load: r.s.services[k].s.Load(), Pieces: stagePieces[k]})
	}
	j := r.job(i, stagePieces[i], stageBytes[i], NewPath(stages, firstToken))
	for _, in := range inputs {
		j.Inputs = append(j.Inputs, in.Handle)
	}
	r.run(i, j, func(o Outcome) {
		if i+1 == len(stagePieces) {
			r.hold(i, o.Results)
			r.pathDone()
			return
		}
		r.s.at(2*time.Millisecond, func() {
			if i+2 == len(stagePieces) && r.heavyPieces > 0 {
				r.heavyStage(o.Results)
			}
			r.lightStage(i+1, o.Results)
		})
	}, func() {
		if i > 0 {
			r.s.services[i-1].free(inputs)
		}
	})
}

func (r *siteRequest) heavyStage(begun []Result) {
	j := r.job(3, r.heavyPieces, heavyBytes, NewPath(nil, firstToken))
	j.Begun = begun != nil
	r.run(0, j, func(o Outcome) {
		r.hold(0, o.Results)
		r.pathDone()
	}, func() {})
}

func (r *siteRequest) run(service int, j *Job, done func(Outcome), after func()) {
	w := r.s.services[service]
	for _, in := range j.Inputs {
		if _, ok := r.s.services[service-1].stored[in]; !ok {
			r.s.at(0, func() { r.end(j, Outcome{Kind: InputGone}) })
			return
		}
	}
	r.jobs[j] = w
	w.s.Add(j, func(o Outcome) {
		r.s.at(0, after)
		delete(r.jobs, j)
		for _, in := range j.Inputs {
			if _, ok := r.s.services[service-1].stored[in]; !ok && o.Kind == Done {
				r.s.at(0, func() { w.free(o.Results) })
				o.Kind = InputGone
			}
		}
		switch {
		case r.ended:
			r.s.at(0, func() { w.free(o.Results) })
		case o.Kind == Done:
			done(o)
		default:
			r.s.at(0, func() { r.end(j, o) })
		}
	}, r.s.now)
	w.s.Publish(r.s.now)
}

// end ends the stages when one of them has given no results.
func (r *siteRequest) end(j *Job, o Outcome) {
	if r.ended {
		return
	}
	r.ended = true
	for other, w := range r.jobs {
		w.s.Cancel(other)
		w.free(w.s.Orphans())
	}
	if o.Kind == InputGone && r.rounds == 1 {
		r.count(func(c *siteCount) { c.rerun++ })
		r.round()
		return
	}
	r.reject(j, o)
}

// hold keeps results until the request ends.
func (r *siteRequest) hold(service int, results []Result) {
	r.s.at(0, func() {
		w := r.s.services[service]
		r.s.at(firstToken+heldByEngine, func() { w.free(results) })
	})
}

func (r *siteRequest) pathDone() {
	r.open--
	if r.open > 0 || r.ended {
		return
	}
	r.ended = true
	if end := r.s.now.Add(firstToken); end.After(r.arrivedAt.Add(r.kind.objective)) {
		r.count(func(c *siteCount) { c.late++ })
		r.s.worth += lateWorth * r.kind.worth
	} else {
		r.count(func(c *siteCount) { c.inTime++ })
		r.s.worth += r.kind.worth
	}
}

// reject ends an attempt. The caller honours the Retry-After for up to a third of the time
// left, and comes back once.
func (r *siteRequest) reject(j *Job, o Outcome) {
	r.count(func(c *siteCount) {
		c.rejected++
		if j.hasResults() {
			c.lostBegun++
		}
	})
	left := r.deadline.Sub(r.s.now)
	if r.again || left < r.kind.objective/2 {
		r.count(func(c *siteCount) {
			c.lost++
			if r.again {
				c.lostTwice++
			}
		})
		return
	}
	r.again = true
	r.s.at(max(min(o.RetryAfter, left/3), time.Millisecond), r.start)
}

// arrive sends requests of a kind at random times from a time on.
func (s *site) arrive(k *siteKind, times float64, from, d time.Duration, measured bool) {
	for at := time.Duration(0); at < d; at += time.Duration(s.random.ExpFloat64() / (times * k.perSecond) * float64(time.Second)) {
		s.at(from+at, func() {
			s.measuring = measured
			s.newRequest(k).start()
		})
	}
}

// calm is how long the usual load lasts before and after a burst.
const calm = 8 * time.Second

// burst runs some seconds of the usual load, a burst of some kinds, and the usual load for
// as long as requests of the burst may take. The counts are of the requests that arrive in
// the burst; the worth is that of all requests that arrive from then on.
func (s *site) burst(d time.Duration, times map[*siteKind]float64) {
	for _, k := range []*siteKind{kindA, kindB, kindC} {
		s.arrive(k, 1, 0, calm, false)
		s.arrive(k, max(times[k], 1), calm, d, true)
		s.arrive(k, 1, calm+d, calm, false)
	}
	s.run(40 * time.Second)
}

// runBurst runs a burst at a site and logs its counts.
func runBurst(t *testing.T, shares [3]float64, d time.Duration, times map[*siteKind]float64) *site {
	s := newSite(t, 1, shares)
	s.burst(d, times)
	for _, k := range []*siteKind{kindA, kindB, kindC} {
		t.Logf("%s %v", k.name, s.counts[k])
	}
	t.Logf("large %v, worth %.0f", &s.large, s.worth)
	return s
}

func (c *siteCount) of(n int) float64 { return float64(n) / float64(max(c.arrived, 1)) }

// Load pattern: 2.2 times the usual requests of the most urgent kind, which passes three
// stages, for six seconds with all targets, and with seven in ten. Guards against a priority
// inversion: requests of that kind that start as on time and miss their objective before the
// last stage, where they take the place of others, while a less urgent kind with one stage is
// served in time.
func TestBurstOfTheMostUrgentKind(t *testing.T) {
	t.Parallel()
	times := map[*siteKind]float64{kindA: 2.2}
	s := runBurst(t, [3]float64{1, 1, 1}, 6*time.Second, times)
	a, b := s.counts[kindA], s.counts[kindB]
	require.Greater(t, a.of(a.served()), b.of(b.served())-0.05)
	require.Greater(t, a.of(a.inTime), 0.9)

	s = runBurst(t, [3]float64{0.7, 0.7, 0.7}, 6*time.Second, times)
	a, b = s.counts[kindA], s.counts[kindB]
	// The last stage has capacity for 68 in 100 and nothing for the others that pass it.
	require.Greater(t, a.of(a.inTime), 0.64)
	require.Greater(t, b.of(b.inTime), 0.93)
}

// Load pattern: 2.2 times the usual requests of the kind with heavy pieces for five seconds.
// Guards against an order that pays for the more urgent kind with answers of this one.
func TestBurstOfTheHeavyKind(t *testing.T) {
	t.Parallel()
	s := runBurst(t, [3]float64{1, 1, 1}, 5*time.Second, map[*siteKind]float64{kindB: 2.2})
	a, b := s.counts[kindA], s.counts[kindB]
	require.Greater(t, a.of(a.inTime), 0.98)
	require.Greater(t, b.of(b.inTime), 0.87)
	// The largest requests find room in a call less often.
	require.Greater(t, s.large.of(s.large.served()), b.of(b.served())/2)
}

// Load pattern: 2.2 times the usual requests of the kind with heavy pieces for five seconds,
// with seven in ten targets. Guards against patient requests of the least urgent kind that
// are rejected in the burst, or before their last stage, although there is room after it.
func TestPatientRequestsAreServedAfterTheBurst(t *testing.T) {
	t.Parallel()
	s := runBurst(t, [3]float64{0.7, 0.7, 0.7}, 5*time.Second, map[*siteKind]float64{kindB: 2.2})
	b, c := s.counts[kindB], s.counts[kindC]
	require.Greater(t, c.of(c.served()), 0.85)
	require.Less(t, c.of(c.lostBegun), 0.03)
	require.Greater(t, b.of(b.inTime), 0.62)
	// The largest requests find room in a call less often.
	require.Greater(t, s.large.of(s.large.served()), b.of(b.served())/2)
}

// Guards against a caller that comes back after a rejection and waits behind those that have
// come for the first time, when neither can meet its objective any more.
func TestReturningCallerGoesFirst(t *testing.T) {
	t.Parallel()
	s, c, now := newCall(t, firstStage, 8, 8_000)
	var order []string
	add := func(id string, waited time.Duration) {
		j := &Job{RequestID: id, Pieces: 8, Waited: waited, Objective: now.Add(-time.Second), Deadline: now.Add(3*time.Second + waited)}
		s.Add(j, func(o Outcome) {
			require.Equal(t, Done, o.Kind)
			order = append(order, id)
		}, now)
	}
	add("new", 0)
	add("back", 100*time.Millisecond)
	add("newer", 0)
	for range 4 {
		now = now.Add(c.Expected)
		s.Finish(c, CallCompleted{Outcomes: make([]PieceOutcome, 8), Handles: []string{"", "", "", "", "", "", "", ""}}, now)
		c, _ = s.Next(now)
	}
	require.Equal(t, []string{"back", "new", "newer"}, order)
}

// Load pattern: a burst of summaries at twice the capacity. Guards against a Retry-After at
// which there is no room: who comes back at that time, after the end of the burst, is served.
func TestRetryAfterNamesATimeWithRoom(t *testing.T) {
	t.Parallel()
	const burst = 5 * time.Second
	w := newSimulation(t, invoicing, 4)
	w.hold = 250 * time.Millisecond
	end := w.now.Add(burst)
	returned, served := 0, 0
	var send func(again bool)
	send = func(again bool) {
		w.s.Add(w.job(2, 8_000, 800*time.Millisecond, 4*time.Second), func(o Outcome) {
			w.at(w.hold, func() { w.free(o.Results) })
			switch {
			case again && o.Kind == Done:
				served++
			case !again && o.Kind != Done && w.now.Add(o.RetryAfter).After(end):
				returned++
				w.at(o.RetryAfter, func() { send(true) })
			}
		}, w.now)
	}
	for at := time.Duration(0); at < burst; at += time.Second / 80 {
		w.at(at, func() { send(false) })
	}
	w.run(40 * time.Second)
	require.Greater(t, returned, 20)
	require.Greater(t, float64(served), 0.95*float64(returned))
}

// Load pattern: a burst of the heavy kind with seven in ten targets, in which one customer
// sends seven in ten requests. Guards against a customer that crowds out the others.
func TestCustomersShareABurst(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, [3]float64{0.7, 0.7, 0.7})
	s.customer = func() string {
		if s.random.Float64() < 0.7 {
			return "large"
		}
		return fmt.Sprint("small", s.random.IntN(3))
	}
	s.burst(5*time.Second, map[*siteKind]float64{kindB: 2.2})
	large := s.customers["large"]
	for name, c := range s.customers {
		t.Logf("%s %v", name, c)
		if c != large {
			require.Greater(t, c.of(c.served()), large.of(large.served())+0.1)
		}
	}
	require.Greater(t, large.of(large.served()), 0.6, "what the others leave over is the large one's")
	require.Greater(t, s.counts[kindA].of(s.counts[kindA].inTime), 0.98)
}

// Guards against fair shares that stay on after the last rejection, that cost a customer for
// requests that didn't start, or that keep customers who have none waiting.
func TestFairSharesEndAfterTheLastRejection(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fairShares{rate: 10}
	job := func(customer string) *Job { return &Job{Customer: customer, Pieces: 2} }
	calm := job("a")
	f.add(calm, now)
	require.Nil(t, calm.fairQueue)
	f.recordRejection(now)
	jobs := []*Job{job("a"), job("a"), job("b"), job("a")}
	for _, j := range jobs {
		f.add(j, now)
	}
	require.Zero(t, f.delay(jobs[0], now))
	require.Equal(t, fairDelayLimit, f.delay(jobs[1], now), "two pieces of each of two customers go before")
	require.Zero(t, f.delay(jobs[2], now))
	jobs[3].leaveFairQueue(false)
	again := job("a")
	f.add(again, now)
	require.InDelta(t, 4, again.startTag, 1e-9)
	jobs[0].leaveFairQueue(true)
	jobs[1].leaveFairQueue(true)
	require.InDelta(t, 2, f.queues[0].virtualTime, 1e-9)
	require.Zero(t, f.delay(again, now.Add(fairHold)), "the last rejection is long ago")
	again.leaveFairQueue(false)
	jobs[2].leaveFairQueue(true)
	require.Empty(t, f.queues[0].customers)
}
