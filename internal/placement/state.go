package placement

import (
	"slices"
	"time"
)

const (
	// MinCopies is the number of copies of a needed model that remain when one
	// engine or one failure domain is lost, plus one.
	MinCopies = 2

	// DefaultReadRate is the assumed read limit of the weight store, in bytes per second.
	DefaultReadRate = 1_000_000_000

	// DefaultQuietTime is how long a copy must have been loaded, and the demand
	// must have been lower, before the copy may be unloaded. A copy costs a read of
	// seconds to minutes, so it stays through the pauses between bursts.
	DefaultQuietTime = 15 * time.Minute

	// retryFirst and retryMost bound the pause after a load that failed on an
	// engine; modelRetryFirst and modelRetryMost that after a model failed on any
	// engine, so that a weight store that is down isn't asked for every engine in turn.
	retryFirst      = 5 * time.Second
	retryMost       = 10 * time.Minute
	modelRetryFirst = time.Second
	modelRetryMost  = time.Minute
)

// Key names a model at a service.
type Key struct {
	Service string
	Model   string
}

// Copy names a model on an engine.
type Copy struct {
	Engine string
	Model  string
}

// Need is a model that a stage needs at a service.
type Need struct {
	Key
	// Copies is how many copies the demand asks for; below MinCopies it counts as MinCopies.
	Copies int
}

// Engine is a target of kind engine.
type Engine struct {
	Name    string
	Service string
	Domain  string
	Address string
	Models  []string
	// Usable is false for an engine that is leaving, silent or not ready.
	Usable bool
}

func (e *Engine) has(model string) bool { return slices.Contains(e.Models, model) }

// Failure counts the loads of a model that failed in a row.
type Failure struct {
	Count int
	At    time.Time
}

// over reports whether the pause after the failure has passed. It doubles with
// each failure from first up to most.
func (f Failure) over(now time.Time, first, most time.Duration) bool {
	if f.Count == 0 {
		return true
	}
	pause := first
	for i := 1; i < f.Count && pause < most; i++ {
		pause *= 2
	}
	return now.Sub(f.At) >= min(pause, most)
}

// Limits are the limits that Plan keeps to.
type Limits struct {
	// ReadRate is the read limit of the weight store in bytes per second, and
	// EngineReadRate the rate of one load. Their quotient is the number of loads
	// at a time. An EngineReadRate of zero or above ReadRate counts as ReadRate.
	ReadRate       int64
	EngineReadRate int64
	// EngineMemory is the memory of an engine for models in bytes. Zero is
	// unknown: each load is tried, and nothing is unloaded.
	EngineMemory int64
	// QuietTime is how long a copy stays at least.
	QuietTime time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.ReadRate <= 0 {
		l.ReadRate = DefaultReadRate
	}
	if l.EngineReadRate <= 0 || l.EngineReadRate > l.ReadRate {
		l.EngineReadRate = l.ReadRate
	}
	if l.QuietTime <= 0 {
		l.QuietTime = DefaultQuietTime
	}
	return l
}

// LoadTime returns how long a load of so many bytes takes.
func (l Limits) LoadTime(size int64) time.Duration {
	l = l.withDefaults()
	return time.Duration(float64(size) / float64(l.EngineReadRate) * float64(time.Second))
}

// InFlight is an order that was sent and whose effect the roster doesn't show yet.
type InFlight struct {
	Order
	// Reading is set while the order may read from the weight store.
	Reading bool
}

// State is what Plan decides by.
type State struct {
	Limits  Limits
	Needs   []Need           // in order of priority
	Sizes   map[string]int64 // by model; a model without a size counts as zero
	Engines []Engine
	Orders  []InFlight
	// Wanted holds the copies that the demand asked for during the quiet time, by
	// service and model; copies above it may be unloaded. Models that no stage
	// needs any more are in it until the quiet time has passed.
	Wanted map[Key]int
	// Since holds when each copy was first seen. A copy without a time is new.
	Since map[Copy]time.Time
	// Failed holds the failures by engine and model, FailedModels those by model.
	Failed       map[Copy]Failure
	FailedModels map[string]Failure
}
