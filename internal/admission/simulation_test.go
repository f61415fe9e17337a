package admission_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/stretchr/testify/require"
)

// simulation is a discrete-event simulation of several entries that run pipelines
// on targets with slots and a FIFO queue. It calls admission, budget and routing
// in the same way as an entry.
type simulation struct {
	now            time.Time
	end            time.Time // of arrivals
	events         eventHeap
	serviceRNG     *rand.Rand // service times and faults
	arrivalRNG     *rand.Rand // arrivals; separate, so that both policies get the same
	baseline       bool       // baseline policies
	targets        map[string][]*simTarget
	entries        []*simEntry
	classes        []*simClass
	scheduled      int
	slotTime       time.Duration // slot time
	unusedSlotTime time.Duration // slot time of calls whose result was not used
}

type simClass struct {
	name         string
	priority     int
	deadline     time.Duration
	rate         float64 // per second
	stages       []simStage
	offered      int
	onTime       int // within the deadline
	pastDeadline int
	rejected     int
	failed       int
}

type simStage struct {
	service string
	mean    time.Duration
}

type simTarget struct {
	name        string
	slots       int
	running     int
	queue       []*simCall
	slowdown    float64
	failureRate float64 // fraction of calls that fail after a tenth of their service time
}

type simEntry struct {
	pools     map[string]*routing.Pool
	queues    map[string]*admission.Queue
	estimator *budget.Estimator
	retries   *budget.Retries
	plans     map[string]*budget.Plan
}

type simRequest struct {
	class        *simClass
	entry        *simEntry
	deadline     time.Time
	stage        int
	ticket       *admission.Ticket
	allot        budget.Allotment
	attempted    []string
	attempts     int
	open         []*simCall
	startedAt    time.Time
	slotTime     time.Duration
	usedSlotTime time.Duration
}

type simCall struct {
	request   *simRequest
	target    *simTarget
	choice    routing.Choice
	sentAt    time.Time
	startedAt time.Time
	running   bool
	finished  bool
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (s *simulation) after(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{s.now.Add(d), s.scheduled, run})
}

func (s *simulation) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		if s.now.Before(s.end.Add(10 * time.Minute)) {
			s.every(d, run)
		}
	})
}

// newSimulation returns a simulation with 4 retrievers of 4 slots and 8 generators
// of 8 slots.
func newSimulation(base bool, classes ...*simClass) *simulation {
	s := &simulation{now: time.Unix(1_800_000_000, 0), serviceRNG: rand.New(rand.NewPCG(7, 7)), arrivalRNG: rand.New(rand.NewPCG(8, 8)), baseline: base, classes: classes}
	s.targets = map[string][]*simTarget{"retrievers": simTargets("retriever", 4, 4), "generators": simTargets("generator", 8, 8)}
	const entries = 3
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(uint64(i), entries))
	}
	return s
}

func simTargets(name string, count, slots int) []*simTarget {
	var all []*simTarget
	for i := range count {
		all = append(all, &simTarget{name: fmt.Sprintf("%s-%d", name, i), slots: slots, slowdown: 1})
	}
	return all
}

func (s *simulation) newEntry(seed uint64, entries int) *simEntry {
	e := &simEntry{
		pools: map[string]*routing.Pool{}, queues: map[string]*admission.Queue{},
		estimator: budget.NewEstimator(), plans: map[string]*budget.Plan{},
	}
	var rp routing.Policy = routing.Adaptive{}
	var ap admission.Policy = admission.Adaptive{}
	var bp budget.Policy = budget.Adaptive{}
	if s.baseline {
		rp, ap, bp = routing.Baseline{}, admission.Baseline{}, budget.Baseline{}
	}
	e.retries = budget.NewRetries(budget.RetryOptions{Policy: bp})
	for _, service := range []string{"retrievers", "generators"} {
		e.pools[service] = routing.NewPool(routing.Options{Service: service, Policy: rp, Seed: seed})
		slots := 0
		for _, t := range s.targets[service] {
			slots += t.slots
			e.pools[service].Upsert(routing.Target{Name: t.name, Slots: t.slots}, s.now)
		}
		e.queues[service] = admission.NewQueue(admission.Options{Policy: ap, Slots: (slots + entries - 1) / entries})
	}
	for _, c := range s.classes {
		var stages []budget.Stage
		for i, st := range c.stages {
			stage := budget.Stage{Name: st.service, Expected: st.mean}
			if i > 0 {
				stage.Needs = []string{c.stages[i-1].service}
			}
			stages = append(stages, stage)
		}
		e.plans[c.name], _ = budget.NewPlan(c.name, stages)
	}
	return e
}

// run generates arrivals for d and then processes the remaining events.
func (s *simulation) run(d time.Duration) {
	s.end = s.now.Add(d)
	for _, c := range s.classes {
		s.arrivals(c)
	}
	s.every(50*time.Millisecond, s.expire)
	s.every(250*time.Millisecond, s.tick)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) arrivals(c *simClass) {
	if c.rate <= 0 {
		return
	}
	s.after(time.Duration(s.arrivalRNG.ExpFloat64()/c.rate*float64(time.Second)), func() {
		if s.now.Before(s.end) {
			s.arrive(c)
			s.arrivals(c)
		}
	})
}

func (s *simulation) expire() {
	for _, e := range s.entries {
		for _, service := range []string{"retrievers", "generators"} {
			deliver(e.queues[service].Expire(s.now))
		}
	}
}

// tick sends load reports that are 250 ms old when they arrive.
func (s *simulation) tick() {
	const age = 250 * time.Millisecond
	for _, service := range []string{"retrievers", "generators"} {
		for _, t := range s.targets[service] {
			load := routing.LoadReport{Queued: len(t.queue), Running: t.running, Slots: t.slots, Age: age}
			s.after(age, func() {
				for _, e := range s.entries {
					e.pools[service].ReportLoad(t.name, load, s.now)
				}
			})
		}
		for _, e := range s.entries {
			e.pools[service].Tick(s.now)
		}
	}
}

func deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		d.For().Owner().(func(admission.Decision))(d)
	}
}

func (s *simulation) arrive(c *simClass) {
	c.offered++
	e := s.entries[s.arrivalRNG.IntN(len(s.entries))]
	r := &simRequest{class: c, entry: e, deadline: s.now.Add(c.deadline)}
	if !s.baseline {
		var wait time.Duration
		for _, st := range c.stages {
			wait += e.queues[st.service].ExpectedWait(s.request(r, st), s.now)
		}
		if !e.plans[c.name].CanFinish(e.estimator, nil, c.deadline, wait, s.now).Fits {
			c.rejected++
			return
		}
	}
	s.stage(r)
}

func (s *simulation) request(r *simRequest, st simStage) admission.Request {
	a := r.entry.plans[r.class.name].Allot(r.entry.estimator, st.service, r.deadline.Sub(s.now), s.now)
	r.allot = a
	return admission.Request{
		Customer: "depot", Priority: r.class.priority, Deadline: r.deadline,
		Expected: a.Expected, Needs: a.Needs, Started: r.stage > 0,
	}
}

func (s *simulation) stage(r *simRequest) {
	st := r.class.stages[r.stage]
	r.attempted, r.attempts = nil, 0
	q := r.entry.queues[st.service]
	ar := s.request(r, st)
	decided := func(d admission.Decision) {
		switch d := d.(type) {
		case admission.Admitted:
			r.ticket = d.Ticket
			r.startedAt = s.now
			r.entry.retries.Request(st.service)
			s.send(r)
		case admission.Refused:
			s.count(r, &r.class.rejected)
		}
	}
	ar.Owner = decided
	decided(q.Offer(ar, s.now))
}

func (s *simulation) send(r *simRequest) {
	st := r.class.stages[r.stage]
	pool := r.entry.pools[st.service]
	pr := routing.Request{Exclude: r.attempted, MayProbe: r.deadline.Sub(s.now) > 2*r.allot.Needs}
	choice, err := pool.Pick(pr, s.now)
	var none *routing.NoTargetError
	if errors.As(err, &none) && len(r.attempted) > 0 {
		// All targets have been attempted; exclude only the last one.
		r.attempted = r.attempted[len(r.attempted)-1:]
		pr.Exclude = r.attempted
		choice, err = pool.Pick(pr, s.now)
	}
	if err != nil {
		s.finish(r, admission.Dropped{}, &r.class.failed)
		return
	}
	var target *simTarget
	for _, t := range s.targets[st.service] {
		if t.name == choice.Target {
			target = t
		}
	}
	c := &simCall{request: r, target: target, choice: choice, sentAt: s.now}
	r.open = append(r.open, c)
	r.attempted = append(r.attempted, choice.Target)
	r.attempts++
	limit := 4 * time.Second // fixed timeout of the operation
	if !s.baseline {
		limit = r.entry.plans[r.class.name].Allot(r.entry.estimator, st.service, r.deadline.Sub(s.now), s.now).Limit
		s.after(r.allot.HedgeAfter, func() { s.hedge(c) })
	} else if st.mean > time.Second {
		limit = time.Minute
	}
	s.after(limit, func() { s.fail(c) })
	target.queue = append(target.queue, c)
	s.serve(target)
}

func (s *simulation) attempt(r *simRequest) budget.Attempt {
	service := r.class.stages[r.stage].service
	return budget.Attempt{
		Service: service, Idempotent: true, Attempts: r.attempts, Cause: budget.FailedCall{},
		TimeLeft: r.deadline.Sub(s.now), Typical: r.allot.Typical, IdleCapacity: r.entry.queues[service].HasIdleCapacity(),
	}
}

func (s *simulation) hedge(c *simCall) {
	r := c.request
	if !c.finished {
		r.entry.pools[r.class.stages[r.stage].service].ReportOverdue(c.choice, s.now.Sub(c.sentAt), r.allot.Expected)
	}
	if !c.finished && len(r.open) == 1 && r.entry.retries.Hedge(s.attempt(r)).Allowed {
		s.send(r)
	}
}

// serve starts queued calls in the target's free slots.
func (s *simulation) serve(t *simTarget) {
	for t.running < t.slots && len(t.queue) > 0 {
		c := t.queue[0]
		t.queue = t.queue[1:]
		if c.finished {
			continue
		}
		t.running++
		c.running = true
		c.startedAt = s.now
		mean := c.request.class.stages[c.request.stage].mean
		took := time.Duration((0.5 + 0.5*s.serviceRNG.ExpFloat64()) * float64(mean) * t.slowdown)
		if s.serviceRNG.Float64() < t.failureRate {
			s.after(took/10, func() { s.fail(c) })
			continue
		}
		s.after(took, func() { s.succeed(c, took) })
	}
}

// close ends a call and releases its slot.
func (s *simulation) close(c *simCall, o routing.Outcome) bool {
	if c.finished {
		return false
	}
	c.finished = true
	c.request.open = slices.DeleteFunc(c.request.open, func(o *simCall) bool { return o == c })
	if c.running {
		took := s.now.Sub(c.startedAt)
		c.request.slotTime += took
		if _, ok := o.(routing.Success); ok {
			c.request.usedSlotTime += took
		}
		c.target.running--
		s.serve(c.target)
	}
	service := c.request.class.stages[c.request.stage].service
	c.request.entry.pools[service].Finish(c.choice, o, s.now)
	return true
}

func (s *simulation) fail(c *simCall) {
	if !s.close(c, routing.Failure{}) || len(c.request.open) > 0 {
		return
	}
	r := c.request
	if !s.now.Before(r.deadline) {
		r.entry.estimator.Observe(r.entry.plans[r.class.name].Key(r.class.stages[r.stage].service), s.now.Sub(r.startedAt), s.now)
	}
	if r.entry.retries.Retry(s.attempt(r)).Allowed {
		s.send(r)
		return
	}
	s.finish(r, admission.Dropped{}, &r.class.failed)
}

func (s *simulation) succeed(c *simCall, busy time.Duration) {
	r := c.request
	st := r.class.stages[r.stage]
	if !s.close(c, routing.Success{Latency: s.now.Sub(c.sentAt), ProcessingTime: busy, Expected: r.allot.Expected}) {
		return
	}
	for _, other := range slices.Clone(r.open) {
		s.close(other, routing.Canceled{Ran: s.now.Sub(other.sentAt), Expected: r.allot.Expected})
	}
	took := s.now.Sub(r.startedAt)
	completed := admission.Completed{Latency: took, AttemptTime: s.now.Sub(c.sentAt), ProcessingTime: busy}
	r.entry.estimator.Observe(r.entry.plans[r.class.name].Key(st.service), took, s.now)
	if r.stage+1 < len(r.class.stages) {
		deliver(r.entry.queues[st.service].Finish(r.ticket, completed, s.now))
		r.stage++
		s.stage(r)
		return
	}
	result := &r.class.onTime
	if s.now.After(r.deadline) {
		result = &r.class.pastDeadline
	}
	s.finish(r, completed, result)
}

func (s *simulation) count(r *simRequest, result *int) {
	*result++
	s.slotTime += r.slotTime
	s.unusedSlotTime += r.slotTime
	if result == &r.class.onTime {
		s.unusedSlotTime -= r.usedSlotTime
	}
}

func (s *simulation) finish(r *simRequest, o admission.Outcome, result *int) {
	s.count(r, result)
	deliver(r.entry.queues[r.class.stages[r.stage].service].Finish(r.ticket, o, s.now))
}

// generatorRate is the capacity of the generators in quotes per second.
const generatorRate = 8 * 8 / 0.3

func quotes(load float64) *simClass {
	return &simClass{name: "quote", priority: 0, deadline: 2 * time.Second, rate: load * generatorRate, stages: []simStage{
		{"retrievers", 20 * time.Millisecond}, {"generators", 300 * time.Millisecond},
	}}
}

func summaries() *simClass {
	return &simClass{name: "summary", priority: 5, deadline: 10 * time.Minute, stages: []simStage{{"generators", 3 * time.Second}}}
}

func attainment(c *simClass) float64 { return float64(c.onTime) / float64(c.offered) }

// TestSimulationAdaptiveAgainstBaseline guards against missed objectives for
// responses within the deadline under single faults and overload, and logs the
// results of the baseline policies.
func TestSimulationAdaptiveAgainstBaseline(t *testing.T) {
	const duration = 30 * time.Second
	scenarios := []struct {
		name    string
		load    float64
		minimum float64 // responses within the deadline, as a fraction of capacity
		unused  float64 // maximum fraction of slot time with unused results
		prepare func(s *simulation)
	}{
		{"steady state at 70%", 0.7, 0.99, 0.05, func(*simulation) {}},
		{"one of 8 generators 10 times slower", 0.7, 0.95, 0.05, func(s *simulation) { s.targets["generators"][0].slowdown = 10 }},
		{"retrievers fail half their calls", 0.7, 0.95, 0.05, func(s *simulation) {
			for _, target := range s.targets["retrievers"] {
				target.failureRate = 0.5
			}
		}},
		{"twice the capacity", 2, 0.9, 0.05, func(*simulation) {}},
		{"twice the capacity beside summaries", 2, 0.9, 0.05, func(s *simulation) {
			// Summaries add 60% of the capacity.
			s.classes[1].rate = 0.6 * generatorRate * 0.3 / 3
		}},
		{"burst of 600 summaries", 0.6, 0.99, 0.05, func(s *simulation) {
			s.after(10*time.Second, func() {
				for range 600 {
					s.arrive(s.classes[1])
				}
			})
		}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			for _, base := range []bool{true, false} {
				s := newSimulation(base, quotes(sc.load), summaries())
				sc.prepare(s)
				s.run(duration)
				quote, summary := s.classes[0], s.classes[1]
				share := attainment(quote) / min(1, 1/sc.load)
				unused := float64(s.unusedSlotTime) / float64(s.slotTime)
				t.Logf("baseline %-5v: in time of capacity %.3f; unused slot time %.3f; quotes offered %d, answered %d, late %d, refused %d, failed %d; summaries answered %d of %d",
					base, share, unused, quote.offered, quote.onTime, quote.pastDeadline, quote.rejected, quote.failed, summary.onTime, summary.offered)
				if base {
					continue
				}
				require.GreaterOrEqual(t, share, sc.minimum)
				require.LessOrEqual(t, unused, sc.unused)
				require.Equal(t, summary.offered, summary.onTime, "summaries must arrive")
			}
		})
	}
}
