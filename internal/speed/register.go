// Package speed learns how fast the targets of a service are relative to one another.
//
// Gateways observe how long answers take over what is usual for them, and send decayed sums to
// the control VMs. A control VM estimates the speed of each incarnation of a target from the sums
// of all gateways, and publishes it in coarse steps. A Register uses neither network nor clock.
//
// # Usage
//
//	r := speed.NewRegister() // at a gateway
//	r.Observe("engine-1", bornMs, latencyOverUsual, now)
//	sums := r.Sums(source, now)               // for a control VM
//	vm.MergeSums("gateway-1", sums, now)      // there
//	values, version := vm.ChangesSince(0)     // for gateways
//	r.MergeValues(source, epoch, values, now)
//	factor := r.Speed("engine-1", bornMs)     // 1 is the usual speed
package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// halfLife is how fast evidence loses weight. Some engines are slow for seconds only.
	halfLife = 5 * time.Second
	// priorWeight is the weight of the usual speed, in samples, and priorVariance their variance:
	// a few samples that are alike by chance prove little.
	priorWeight   = 8
	priorVariance = 0.25
	// medianError is the standard error of a median over that of a mean.
	medianError = 1.25
	// observerWeight bounds the weight of one observer, where there are minObservers or more.
	observerWeight = 4
	minObservers   = 3
	// stepSize is the step of published values: 15%.
	stepSize = 0.2016 // log2(1.15)
	// minDistance and minErrors are how far the estimate has to be from the published value for
	// a change, in steps and in standard errors.
	minDistance = 0.8
	minErrors   = 3
	// minSpeed and maxSpeed bound the values, and maxSample the logarithm of one sample.
	minSpeed  = 0.4
	maxSpeed  = 2.5
	maxSample = 4
	// sendInterval is the least time between two messages with the sums of one target, and
	// estimateInterval that between two estimates.
	sendInterval     = time.Second
	estimateInterval = 500 * time.Millisecond
	// forgottenWeight is the weight below which sums are dropped.
	forgottenWeight = 0.1
	// valueRetention is how long values of a control VM are used that no longer answers.
	valueRetention = 30 * time.Second
	maxTargets     = 2048
	maxObservers   = 512
)

// Sums are the decayed samples of one target at one observer.
type Sums struct {
	target              string
	bornMs              int64
	weight, sum, square float64
}

// NewSums returns Sums. The samples are logarithms to the base 2.
func NewSums(target string, bornMs int64, weight, sum, square float64) Sums {
	return Sums{target: target, bornMs: bornMs, weight: weight, sum: sum, square: square}
}

// Target returns the id of the target.
func (s Sums) Target() string { return s.target }

// BornMs returns the start of the target's process in Unix milliseconds.
func (s Sums) BornMs() int64 { return s.bornMs }

// Weight returns the number of samples, Sum their sum and Square the sum of their squares.
func (s Sums) Weight() float64 { return s.weight }

// Sum returns the sum of the samples.
func (s Sums) Sum() float64 { return s.sum }

// Square returns the sum of the squares of the samples.
func (s Sums) Square() float64 { return s.square }

// isValid reports whether a process can have sent the sums.
func (s Sums) isValid() bool {
	return s.weight > 0 && s.weight < 1e9 && math.Abs(s.sum) <= maxSample*s.weight*1.001 && s.square >= 0 && s.square <= maxSample*maxSample*s.weight*1.001
}

// after returns the sums when some time has passed.
func (s Sums) after(d time.Duration) Sums {
	f := math.Exp2(-max(d, 0).Seconds() / halfLife.Seconds())
	s.weight, s.sum, s.square = s.weight*f, s.sum*f, s.square*f
	return s
}

// Value is the published speed of a target.
type Value struct {
	target string
	bornMs int64
	steps  int32 // above 0 if slower than usual
}

// NewValue returns a Value.
func NewValue(target string, bornMs int64, steps int32) Value {
	return Value{target: target, bornMs: bornMs, steps: steps}
}

// Target returns the id of the target.
func (v Value) Target() string { return v.target }

// BornMs returns the start of the target's process in Unix milliseconds.
func (v Value) BornMs() int64 { return v.bornMs }

// Steps returns by how many steps the target is slower than usual.
func (v Value) Steps() int32 { return v.steps }

// Speed returns the speed, of which 1 is the usual one.
func (v Value) Speed() float64 {
	if v.steps == 0 {
		return 1
	}
	return min(max(math.Exp2(-stepSize*float64(v.steps)), minSpeed), maxSpeed)
}

// timedSums are sums at a time.
type timedSums struct {
	Sums
	at time.Time
}

// entry is what a process knows of one target.
type entry struct {
	bornMs      int64
	own         timedSums
	sampled     time.Time            // last own sample
	sent        map[string]time.Time // to each control VM
	observers   map[string]timedSums // at a control VM
	estimatedAt time.Time
	published   int32
	version     uint64
	values      map[string]int32 // by control VM
}

// source is a control VM that publishes values.
type source struct {
	epoch string
	at    time.Time
}

// Register holds the speeds that a process knows. It is safe for concurrent use.
type Register struct {
	mu       sync.Mutex
	entries  map[string]*entry
	sources  map[string]source
	version  uint64
	uneven   atomic.Int64 // values other than the usual speed
	changed  chan struct{}
	onChange func(target string, speed float64)
}

// NewRegister returns an empty Register.
func NewRegister() *Register {
	return &Register{entries: map[string]*entry{}, sources: map[string]source{}, changed: make(chan struct{}), onChange: func(string, float64) {}}
}

// OnChange sets the function that is called when a value changes. It must not call the Register.
func (r *Register) OnChange(f func(target string, speed float64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = f
}

// entry returns the entry of an incarnation, or nil for an earlier one; r.mu is held.
func (r *Register) entry(target string, bornMs int64) *entry {
	e := r.entries[target]
	switch {
	case e == nil && len(r.entries) >= maxTargets, e != nil && bornMs < e.bornMs:
		return nil
	case e == nil || bornMs > e.bornMs:
		e = &entry{bornMs: bornMs, sent: map[string]time.Time{}, observers: map[string]timedSums{}, values: map[string]int32{}}
		r.entries[target] = e
		r.count()
	}
	return e
}

// count counts the values that aren't the usual speed; r.mu is held.
func (r *Register) count() {
	n := 0
	for _, e := range r.entries {
		for _, steps := range e.values {
			if steps != 0 {
				n++
			}
		}
	}
	r.uneven.Store(int64(n))
}

// Observe records how long an answer took over what is usual at this gateway.
func (r *Register) Observe(target string, bornMs int64, latency float64, now time.Time) {
	if latency <= 0 || math.IsInf(latency, 0) || math.IsNaN(latency) {
		return
	}
	sample := min(max(math.Log2(latency), -maxSample), maxSample)
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(target, bornMs)
	if e == nil {
		return
	}
	s := e.own.after(now.Sub(e.own.at))
	e.own = timedSums{NewSums(target, bornMs, s.weight+1, s.sum+sample, s.square+sample*sample), now}
	e.sampled = now
}

// Sums returns the own sums that a control VM needs: those with a sample since the last message.
func (r *Register) Sums(vm string, now time.Time) []Sums {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Sums
	for target, e := range r.entries {
		if last := e.sent[vm]; e.sampled.After(last) && now.Sub(last) >= sendInterval {
			e.sent[vm] = now
			s := e.own.after(now.Sub(e.own.at))
			s.target = target
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Sums) int { return strings.Compare(a.target, b.target) })
	return list
}

// MergeSums takes the sums of a gateway over. It is called at control VMs.
func (r *Register) MergeSums(observer string, sums []Sums, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range sums {
		e := r.entry(s.target, s.bornMs)
		if e == nil || !s.isValid() {
			continue
		}
		if _, known := e.observers[observer]; !known && len(e.observers) >= maxObservers {
			continue
		}
		e.observers[observer] = timedSums{s, now}
		if now.Sub(e.estimatedAt) >= estimateInterval {
			r.publish(s.target, e, now)
		}
	}
}

// publish estimates the speed of a target, and publishes it if it is another one; r.mu is held.
func (r *Register) publish(target string, e *entry, now time.Time) {
	e.estimatedAt = now
	x, deviation := e.estimate(now)
	if off := math.Abs(x/stepSize - float64(e.published)); off < max(minDistance, minErrors*deviation/stepSize) {
		return
	}
	steps := int32(math.Round(x / stepSize))
	limit := func(speed float64) int32 { return int32(math.Ceil(math.Abs(math.Log2(speed)) / stepSize)) }
	steps = min(max(steps, -limit(maxSpeed)), limit(minSpeed))
	if steps == e.published {
		return
	}
	e.published = steps
	r.version++
	e.version = r.version
	close(r.changed)
	r.changed = make(chan struct{})
	r.onChange(target, NewValue(target, e.bornMs, steps).Speed())
}

// estimate returns the logarithm of the relative duration of a target's answers, and its standard
// error.
func (e *entry) estimate(now time.Time) (x, deviation float64) {
	type vote struct{ mean, weight float64 }
	var votes []vote
	var all Sums
	capped := 0.0
	maps.DeleteFunc(e.observers, func(_ string, s timedSums) bool { return s.after(now.Sub(s.at)).weight < forgottenWeight })
	for _, timed := range e.observers {
		s := timed.after(now.Sub(timed.at))
		all.weight, all.sum, all.square = all.weight+s.weight, all.sum+s.sum, all.square+s.square
		v := vote{mean: s.sum / s.weight, weight: min(s.weight, observerWeight)}
		capped += v.weight
		votes = append(votes, v)
	}
	if all.weight == 0 {
		return 0, 0
	}
	mean, weight := all.sum/all.weight, all.weight
	variance := (max(all.square-mean*all.sum, 0) + priorWeight*priorVariance) / (all.weight + priorWeight)
	factor := 1.0
	if len(votes) >= minObservers {
		slices.SortFunc(votes, func(a, b vote) int { return cmp.Compare(a.mean, b.mean) })
		left := capped / 2
		for _, v := range votes {
			if left -= v.weight; left <= 0 {
				mean = v.mean
				break
			}
		}
		weight, factor = capped, medianError
	}
	shrunk := weight / (weight + priorWeight)
	return mean * shrunk, factor * math.Sqrt(variance/weight) * shrunk
}

// Tick estimates the speeds of targets without new sums, whose evidence becomes old, and drops
// old entries. It is called at control VMs.
func (r *Register) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for target, e := range r.entries {
		if now.Sub(e.estimatedAt) >= estimateInterval {
			r.publish(target, e, now)
		}
	}
}

// Keep drops the targets for which keep is false.
func (r *Register) Keep(keep func(target string, bornMs int64) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.entries, func(target string, e *entry) bool { return !keep(target, e.bornMs) })
	r.count()
}

// Changed returns a channel that is closed at the next change of a published value.
func (r *Register) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Version returns the version, which increases with each change of a published value.
func (r *Register) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// ChangesSince returns the values that changed after a version, and the current version.
func (r *Register) ChangesSince(version uint64) ([]Value, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Value
	for target, e := range r.entries {
		if e.version > version {
			list = append(list, NewValue(target, e.bornMs, e.published))
		}
	}
	slices.SortFunc(list, func(a, b Value) int { return strings.Compare(a.target, b.target) })
	return list, r.version
}

// MergeValues takes the values of a control VM over. Those of its earlier process, which has
// another epoch, are dropped, and those of control VMs that are silent for long.
func (r *Register) MergeValues(vm, epoch string, values []Value, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.sources[vm]
	r.sources[vm] = source{epoch: epoch, at: now}
	dropped := before.epoch != "" && before.epoch != epoch
	silent := map[string]bool{vm: dropped}
	maps.DeleteFunc(r.sources, func(name string, s source) bool {
		if now.Sub(s.at) > valueRetention {
			silent[name] = true
		}
		return silent[name] && name != vm
	})
	for _, e := range r.entries {
		maps.DeleteFunc(e.values, func(name string, _ int32) bool { return silent[name] })
	}
	for _, v := range values {
		if e := r.entry(v.target, v.bornMs); e != nil {
			old := e.value()
			e.values[vm] = v.steps
			if steps := e.value(); steps != old {
				r.onChange(v.target, NewValue(v.target, v.bornMs, steps).Speed())
			}
		}
	}
	if len(values) > 0 || len(silent) > 1 || dropped {
		r.count()
	}
}

// value returns the lower median of what the control VMs publish.
func (e *entry) value() int32 {
	if len(e.values) == 0 {
		return 0
	}
	list := slices.Sorted(maps.Values(e.values))
	return list[(len(list)-1)/2]
}

// Speed returns the published speed of an incarnation of a target, 1 being the usual one.
func (r *Register) Speed(target string, bornMs int64) float64 {
	if r.uneven.Load() == 0 {
		return 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[target]
	if e == nil || e.bornMs != bornMs {
		return 1
	}
	return NewValue(target, bornMs, e.value()).Speed()
}

// Speeds returns the speeds that differ from the usual one, by target: those published here, and
// those that control VMs publish.
func (r *Register) Speeds() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[string]float64{}
	for target, e := range r.entries {
		steps := e.published
		if steps == 0 {
			steps = e.value()
		}
		if steps != 0 {
			list[target] = NewValue(target, e.bornMs, steps).Speed()
		}
	}
	return list
}
