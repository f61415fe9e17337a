package manifest

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
)

// Limits on sizes. They bound the memory and time that a faulty generator can
// cost every process of the system.
const (
	MaxBytes      = 16 << 20 // of the file; 24,000 customers take about 3 MB
	MaxClasses    = 32
	MaxCustomers  = 50_000
	MaxModels     = 64
	MaxServices   = 256
	MaxOperations = 64 // per service
	MaxPipelines  = 128
	MaxStages     = 12  // per pipeline
	MaxName       = 63  // characters of a name
	MaxKey        = 128 // characters of a customer key, as in the caller API
)

// Limits on values.
const (
	MaxPriority      = 9
	MaxWeight        = 1000
	MaxConcurrent    = 100_000
	MinDeadline      = 10 * time.Millisecond
	MaxDeadline      = 24 * time.Hour // as in the caller API
	MinStageTime     = time.Millisecond
	MaxStageTime     = time.Hour
	MinRate          = 0.001 // requests per second
	MaxRate          = 1_000_000
	minSize          = strictyaml.Size(1)
	maxSize          = strictyaml.Size(100e12)
	supportedVersion = 1
)

// Defaults of keys that a manifest may leave out.
const (
	DefaultPolicy        = PolicyAdaptive
	DefaultUnconfirmed   = UnconfirmedServe
	DefaultPriority      = 5
	DefaultWeight        = 1
	DefaultMaxConcurrent = 64
	DefaultRate          = 50 // requests per second
	DefaultTimeout       = 5 * time.Second
)
