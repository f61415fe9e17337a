package routing

import (
	"math"
	"slices"
	"time"
)

// Target describes one target as membership announces it.
type Target struct {
	Name              string
	Address           string // of its agent
	Incarnation       string // of its agent; a new one resets what was observed
	FailureDomain     string
	Software          string // version of the software that it runs; empty if it doesn't say
	Models            []string
	Slots             int // calls it works on at the same time; 0 is unknown
	Draining          bool
	HeartbeatTimedOut bool
	NotReady          bool
	Paused            bool // it takes no calls for a while, at its own request
	Evacuated         bool // an operator has ordered that nothing is sent to its failure domain
	Pacer             Pacer
	// Ramp limits the share of a target that has started or recovered; nil for none.
	Ramp Ramp
	// Speed is what is known of the target's speed; nil if it isn't used.
	Speed Speed
}

// Speed is the speed of a target relative to the usual one. Its methods must not call the Pool.
type Speed interface {
	// Speed returns the speed, 1 being the usual one.
	Speed() float64
	// Observe records the latency of an answer over what is usual in the pool.
	Observe(latency float64, now time.Time)
}

// Ramp is the ramp-up of a target. Its methods must not call the Pool.
type Ramp interface {
	// Share returns the part of its usual calls that the target gets, above 0 and at most 1, and
	// whether it has only risen so far. It still counts as rising for a while at 1.
	Share(now time.Time) (share float64, rising bool)
	// Sent identifies the share with which a call is sent, for Observe.
	Sent(now time.Time) uint64
	// Observe records whether the target has answered a call well.
	Observe(sent uint64, good bool, now time.Time)
	// Returned is called when the target takes calls again after an ejection, or after
	// returnTime or more in which it took none.
	Returned(now time.Time)
}

// Pacer paces the calls to a target. A target without one gets any number of calls.
type Pacer interface {
	// Allows reports whether a call may be sent now.
	Allows(now time.Time) bool
	// Take counts a call that is about to be sent, and Return gives its place back when it isn't
	// sent.
	Take(now time.Time)
	Return(now time.Time)
	// Rate returns the calls a second that may be sent, and whether there is a limit.
	Rate(now time.Time) (perSecond float64, limited bool)
}

// LoadReport is a load report of a target.
type LoadReport struct {
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
	// relaxRate is the part of the distance to the pool's median by which the
	// averages of a target without results return in each TickPeriod: half within
	// some 5 s. A target that is avoided gets no results that could correct them.
	relaxRate = 0.035
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 500 * time.Millisecond
	// returnTime is the time without calls after which a target that takes calls again has
	// returned: its queue may be empty, and what it had cached may be gone.
	returnTime = time.Second
	// leavingTime is how long a refusal as leaving is believed when membership
	// doesn't confirm it. Membership takes at most 3 s.
	leavingTime = 5 * time.Second
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
	heard    bool    // whether there was a result since the last tick

	speed   float64 // known speed; 1 if it is the usual one or not known
	reduced bool    // the ramp is below that of other targets
	share   float64 // of its usual calls, relative to the other targets; 1 without a ramp
	// warming says that the share has only risen so far. The latency then decides by the
	// share, not by the average, which would hold the first answers of a cold target against
	// it for long.
	warming bool
	awayAt  time.Time // when it stopped to be available; zero while it is

	health  health
	leaving bool // learnt from a refusal, before membership says so
	refused time.Time

	cacheNext uint64    // sequence number of the next cache event
	cacheGap  time.Time // when cache events were last lost

	history     [historySize]uint16
	historyTick int64
}

func newTarget(t Target, now time.Time) *target {
	n := &target{reportedAt: now, share: 1, speed: 1}
	n.describe(t)
	n.reset()
	return n
}

func (t *target) describe(d Target) {
	if t.Draining && !d.Draining {
		// A drain was taken back.
		t.leaving = false
	}
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
	t.cacheNext = 0
	t.awayAt = time.Time{}
}

// available reports whether membership allows calls to the target.
func (t *target) available() bool {
	return !t.Draining && !t.leaving && !t.HeartbeatTimedOut && !t.NotReady && !t.Paused && !t.Evacuated
}

// isPaced reports whether the target takes no call just now.
func (t *target) isPaced(now time.Time) bool { return t.Pacer != nil && !t.Pacer.Allows(now) }

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

func (t *target) report(l LoadReport, now time.Time) {
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

// observe learns from a success and returns its latency over the expected one.
func (t *target) observe(s Success) float64 {
	took := s.Latency
	if s.ProcessingTime > 0 {
		took = s.ProcessingTime
	}
	r := ratio(took, s.Expected)
	t.average(r)
	t.failures -= failureWeight * t.failures
	return r
}

// observeAtLeast learns from a call without a result, whose latency is longer
// than the time it ran, and returns that over the expected latency.
func (t *target) observeAtLeast(ran, expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	r := ratio(ran, expected)
	if r > t.slowness {
		t.average(r)
	}
	return r
}

// ratio returns took over expected, or took in seconds if nothing was expected.
func ratio(took, expected time.Duration) float64 {
	if expected <= 0 {
		return took.Seconds()
	}
	return float64(took) / float64(expected)
}

// relax moves the averages of a target without results towards the median.
func (t *target) relax(median float64) {
	if !t.heard {
		t.slowness += relaxRate * (median - t.slowness)
		t.failures -= relaxRate * t.failures
	}
	t.heard = false
}

func (t *target) average(r float64) {
	t.heard = true
	if t.warming {
		t.samples = 0 // only the last one is kept
	}
	t.samples++
	if t.samples == 1 {
		t.slowness = r
		return
	}
	t.slowness += latencyWeight * (r - t.slowness)
}

func (t *target) observeFailure() {
	t.heard = true
	t.failures += failureWeight * (1 - t.failures)
}
