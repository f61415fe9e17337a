package placement

import (
	"slices"
	"time"
)

const (
	// MinCopies is the minimum number of copies of a needed model, so that one
	// remains when an engine or a failure domain is lost.
	MinCopies = 2

	// DefaultReadRate is the assumed read limit of the weight store, in bytes per
	// second.
	DefaultReadRate = 1_000_000_000

	// DefaultQuietTime is how long a copy must have been loaded, and the demand
	// must have been lower, before the copy may be unloaded. Loading a copy takes
	// seconds to minutes, so it is retained between bursts.
	DefaultQuietTime = 15 * time.Minute

	// retryInitialBackoff and retryMaxBackoff are the initial and the maximum
	// backoff after a failed load on an engine; modelRetryInitialBackoff and
	// modelRetryMaxBackoff those after a failed load of a model on any engine, so
	// that an unavailable weight store does not get requests from every engine in
	// turn.
	retryInitialBackoff      = 5 * time.Second
	retryMaxBackoff          = 10 * time.Minute
	modelRetryInitialBackoff = time.Second
	modelRetryMaxBackoff     = time.Minute
)

// Key identifies a model at a service.
type Key struct {
	Service string
	Model   string
}

// Copy identifies a model on an engine.
type Copy struct {
	Engine string
	Model  string
}

// Need is a model that a stage needs at a service.
type Need struct {
	Key
	// Copies is the number of copies required by the demand; values below MinCopies
	// mean MinCopies.
	Copies int
}

// Engine is a target of kind engine.
type Engine struct {
	Name    string
	Service string
	Domain  string
	Address string
	Models  []string
	// Usable is false for an engine that is draining, unresponsive or not ready.
	Usable bool
}

func (e *Engine) has(model string) bool { return slices.Contains(e.Models, model) }

// Failure counts consecutive failed loads of a model.
type Failure struct {
	Count int
	At    time.Time
}

// retryDue reports whether the backoff after the failure has passed. The backoff
// doubles with each failure from first up to most.
func (f Failure) retryDue(now time.Time, first, most time.Duration) bool {
	if f.Count == 0 {
		return true
	}
	pause := first
	for i := 1; i < f.Count && pause < most; i++ {
		pause *= 2
	}
	return now.Sub(f.At) >= min(pause, most)
}

// Limits are the constraints of Plan.
type Limits struct {
	// ReadRate is the read limit of the weight store in bytes per second, and
	// EngineReadRate the rate of one load. Their quotient is the number of
	// concurrent loads. An EngineReadRate of zero or above ReadRate means ReadRate.
	ReadRate       int64
	EngineReadRate int64
	// EngineMemory is the memory of an engine for models in bytes. Zero means
	// unknown: every load is attempted, and nothing is unloaded.
	EngineMemory int64
	// QuietTime is the minimum retention time of a copy; see DefaultQuietTime.
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

// LoadTime returns the duration of a load of the given size in bytes.
func (l Limits) LoadTime(size int64) time.Duration {
	l = l.withDefaults()
	return time.Duration(float64(size) / float64(l.EngineReadRate) * float64(time.Second))
}

// InFlight is an order that was sent and whose effect is not yet visible in the
// roster.
type InFlight struct {
	Order
	// Reading is set while the order may read from the weight store.
	Reading bool
}

// State is the input of Plan.
type State struct {
	Limits  Limits
	Needs   []Need           // in order of priority
	Sizes   map[string]int64 // by model; 0 for a model without a size
	Engines []Engine
	Orders  []InFlight
	// Wanted is the number of copies required by the demand during the quiet time,
	// by service and model; copies above it may be unloaded. Models that no stage
	// needs any more remain in it until the quiet time has passed.
	Wanted map[Key]int
	// Since is the time at which each copy was first seen. A copy without a time is
	// new.
	Since map[Copy]time.Time
	// Failed contains the failures by engine and model, FailedModels those by model.
	Failed       map[Copy]Failure
	FailedModels map[string]Failure
}
