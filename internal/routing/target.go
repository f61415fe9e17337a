package routing

import (
	"math"
	"slices"
	"time"
)

// Target describes one target as membership announces it.
type Target struct {
	Name          string
	Address       string // of its agent
	Incarnation   string // of its agent; a new one resets what was observed
	FailureDomain string
	Models        []string
	Slots         int // calls it works on at the same time; 0 is unknown
	Leaving       bool
	Silent        bool
	NotReady      bool
}

// Load is a load report of a target.
type Load struct {
	Queued   int
	Running  int
	Slots    int
	InFlight int           // calls at the agent, from all entries
	Age      time.Duration // between measurement and receipt
}

const (
	// latencyWeight is the weight of one sample in the latency average. Three
	// samples of a target that turned slow are enough to halve its share.
	latencyWeight = 0.25
	// failureWeight is the weight of one result in the failure average.
	failureWeight = 0.1
	// failurePenalty scales the failure average into the score, because a target
	// that fails fast otherwise looks idle and attracts calls.
	failurePenalty = 4
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 500 * time.Millisecond
	// historyStep and historySize bound the record of own in-flight counts that
	// is used to find how many of a report's calls are this entry's own.
	historyStep = 50 * time.Millisecond
	historySize = 32
)

type target struct {
	Target
	epoch    uint64
	inFlight int

	others     float64 // calls of other entries, from the newest report
	reportedAt time.Time
	slots      float64

	slowness float64 // latency over expected latency, averaged
	samples  int
	failures float64 // share of failed calls, averaged

	health  health
	leaving bool // learnt from a refusal, before membership says so

	history     [historySize]uint16
	historyTick int64
}

func newTarget(t Target, now time.Time) *target {
	n := &target{reportedAt: now}
	n.describe(t)
	n.reset()
	return n
}

func (t *target) describe(d Target) {
	d.Models = slices.Clone(d.Models)
	t.Target = d
	if d.Slots > 0 {
		t.slots = float64(d.Slots)
	}
	t.slots = max(t.slots, 1)
}

// reset forgets what was observed of an earlier incarnation. Choices of the
// earlier epoch no longer count.
func (t *target) reset() {
	t.epoch++
	t.inFlight = 0
	t.others = 0
	t.slowness = 1
	t.samples = 0
	t.failures = 0
	t.leaving = false
	t.health = health{}
	t.history = [historySize]uint16{}
}

// available reports whether membership allows calls to the target.
func (t *target) available() bool {
	return !t.Leaving && !t.leaving && !t.Silent && !t.NotReady
}

func (t *target) serves(model string) bool {
	return model == "" || slices.Contains(t.Models, model)
}

// count changes the own in-flight count and records it by time.
func (t *target) count(delta int, now time.Time) {
	t.advance(now)
	t.inFlight = max(t.inFlight+delta, 0)
	t.history[t.historyTick%historySize] = uint16(min(t.inFlight, math.MaxUint16))
}

// advance fills the history up to now with the unchanged count.
func (t *target) advance(now time.Time) {
	tick := now.UnixNano() / int64(historyStep)
	steps := min(tick-t.historyTick, historySize)
	for i := range max(steps, 0) {
		t.history[(tick-i)%historySize] = uint16(min(t.inFlight, math.MaxUint16))
	}
	t.historyTick = max(tick, t.historyTick)
}

// countAt returns the own in-flight count a while ago.
func (t *target) countAt(age time.Duration, now time.Time) int {
	t.advance(now)
	steps := min(int64(age/historyStep), historySize-1)
	return int(t.history[max(t.historyTick-steps, 0)%historySize])
}

func (t *target) report(l Load, now time.Time) {
	total := max(l.Queued+l.Running, l.InFlight)
	t.others = float64(max(total-t.countAt(l.Age, now), 0))
	t.reportedAt = now.Add(-l.Age)
	if l.Slots > 0 {
		t.slots = float64(l.Slots)
	}
}

// load estimates the calls at the target now: the own ones, which are exact,
// and those of other entries, from the report. An old report counts less, and
// the pool's mean takes its place.
func (t *target) load(meanOthers float64, now time.Time) float64 {
	age := now.Sub(t.reportedAt)
	weight := 1 / (1 + float64(max(age, 0))/float64(reportHalfLife))
	return float64(t.inFlight) + weight*t.others + (1-weight)*meanOthers
}

func (t *target) observe(s Success) {
	took := s.Latency
	if s.Busy > 0 {
		took = s.Busy
	}
	ratio := took.Seconds()
	if s.Expected > 0 {
		ratio = float64(took) / float64(s.Expected)
	}
	t.samples++
	if t.samples == 1 {
		t.slowness = ratio
	} else {
		t.slowness += latencyWeight * (ratio - t.slowness)
	}
	t.failures -= failureWeight * t.failures
}

func (t *target) observeFailure() {
	t.failures += failureWeight * (1 - t.failures)
}
