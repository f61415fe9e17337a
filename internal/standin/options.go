package standin

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// Kind says what a stand-in stands for.
type Kind string

// Kinds of stand-ins.
const (
	KindEngine      Kind = "engine"
	KindEncoder     Kind = "encoder"
	KindRetriever   Kind = "retriever"
	KindReranker    Kind = "reranker"
	KindService     Kind = "service"
	KindWeightStore Kind = "weight_store"
)

// Operation is one operation of a pool or a plain service.
type Operation struct {
	Name       string        `yaml:"name"`
	Idempotent bool          `yaml:"idempotent"`
	Duration   time.Duration `yaml:"duration"` // time in a slot; 5 ms when zero
}

// EngineOptions sets the speed and the memory of an engine.
type EngineOptions struct {
	Models         []string      `yaml:"models"`           // loaded at the start
	StepBase       time.Duration `yaml:"step_base"`        // duration of a decoding step
	StepPerRequest time.Duration `yaml:"step_per_request"` // added to a step by each request in the batch
	PromptPerToken time.Duration `yaml:"prompt_per_token"` // processing of one uncached prompt token
	PromptChunk    int           `yaml:"prompt_chunk"`     // prompt tokens that one step processes at most
	CacheTokens    int           `yaml:"cache_tokens"`     // capacity of the prefix cache
	PrefixTokens   int           `yaml:"prefix_tokens"`    // length of a shared prompt prefix
	KVPerToken     time.Duration `yaml:"kv_per_token"`     // export or import of one cached token
	ModelBytes     int64         `yaml:"model_bytes"`      // weights of a model
	ChecksFencing  bool          `yaml:"checks_fencing"`   // refuse a fencing token lower than the highest one seen
	Role           string        `yaml:"role"`             // prefill, decode or both
	EventDelay     time.Duration `yaml:"event_delay"`      // age at which a cache event becomes visible
	EventGap       int           `yaml:"event_gap"`        // every EventGap-th cache event is lost; 0 loses none
	ModelLoad      time.Duration `yaml:"model_load"`       // time to load a model without a weight store
	WeightStore    string        `yaml:"weight_store"`     // base URL of the store that weights are read from
}

// Options describes one stand-in.
type Options struct {
	Name       string           `yaml:"name"`
	Service    string           `yaml:"service"`
	Kind       Kind             `yaml:"kind"`
	Listen     string           `yaml:"listen"`     // address; port 0 takes a free one
	Slots      int              `yaml:"slots"`      // requests worked on at the same time
	Queue      int              `yaml:"queue"`      // requests that may wait for a slot
	Operations []Operation      `yaml:"operations"` // of a pool or a plain service
	Engine     EngineOptions    `yaml:"engine"`
	ReadRate   float64          `yaml:"read_rate"` // bytes per second of a weight store
	LoadLag    time.Duration    `yaml:"load_lag"`  // period at which the load report is renewed
	Account    int              `yaml:"account"`   // attempts, and orders, that the account keeps
	Faults     Faults           `yaml:"faults"`
	Schedule   []ScheduledFault `yaml:"schedule"` // faults to come, by time after each start

	Timer *timer.Service `yaml:"-"`
	// Client reads from the weight store.
	Client *http.Client `yaml:"-"`
	// Open replaces net.Listen, so that tests can use connections in memory.
	Open func(address string) (net.Listener, error) `yaml:"-"`
}

const (
	defaultQueue       = 1024
	defaultDuration    = 5 * time.Millisecond
	defaultAccount     = 100_000
	defaultLoadLag     = 200 * time.Millisecond
	defaultStepBase    = 8 * time.Millisecond
	defaultStepRequest = 400 * time.Microsecond
	defaultPromptToken = 40 * time.Microsecond
	defaultPromptChunk = 512
	defaultCacheTokens = 32_768
	defaultModelLoad   = 2 * time.Second
	defaultPrefix      = 256
	defaultKVPerToken  = 2 * time.Microsecond
	defaultModelBytes  = 8 << 30
	defaultEventDelay  = 300 * time.Millisecond
	defaultReadRate    = 1 << 30
)

// OptionError reports an option that can't be used.
type OptionError struct {
	standin string
	option  string
	want    string
}

// Option returns the name of the option.
func (e *OptionError) Option() string { return e.option }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("stand-in %q: %s: want %s", e.standin, e.option, e.want)
}

func (o Options) withDefaults() (Options, error) {
	if err := o.check(); err != nil {
		return o, err
	}
	o.Listen = orDefault(o.Listen, "127.0.0.1:0")
	o.Service = orDefault(o.Service, o.Name)
	o.Queue = orDefault(o.Queue, defaultQueue)
	o.Account = orDefault(o.Account, defaultAccount)
	o.LoadLag = orDefault(o.LoadLag, defaultLoadLag)
	o.ReadRate = orDefault(o.ReadRate, defaultReadRate)
	o.Timer = orDefault(o.Timer, timer.NewService())
	o.Client = orDefault(o.Client, http.DefaultClient)
	if o.Open == nil {
		o.Open = listenTCP
	}
	o.Slots = orDefault(o.Slots, defaultSlots(o.Kind))
	if len(o.Operations) == 0 {
		o.Operations = defaultOperations(o.Kind)
	}
	o.Operations = slices.Clone(o.Operations)
	for i := range o.Operations {
		o.Operations[i].Duration = orDefault(o.Operations[i].Duration, defaultDuration)
	}
	o.Engine = o.Engine.withDefaults()
	return o, nil
}

func (o Options) check() error {
	if o.Name == "" {
		return &OptionError{standin: o.Name, option: "name", want: "a name"}
	}
	switch o.Kind {
	case KindEngine, KindEncoder, KindRetriever, KindReranker, KindWeightStore:
	case KindService:
		if len(o.Operations) == 0 {
			return &OptionError{standin: o.Name, option: "operations", want: "at least one operation"}
		}
	default:
		return &OptionError{
			standin: o.Name, option: "kind",
			want: "engine, encoder, retriever, reranker, service or weight_store",
		}
	}
	if o.Slots < 0 || o.Queue < 0 || o.Account < 0 || o.LoadLag < 0 || o.ReadRate < 0 {
		return &OptionError{standin: o.Name, option: "slots, queue, account, load_lag and read_rate", want: "no negative value"}
	}
	for _, op := range o.Operations {
		if op.Name == "" || op.Duration < 0 {
			return &OptionError{standin: o.Name, option: "operations", want: "a name and no negative duration for each"}
		}
	}
	if err := o.Engine.check(o.Name); err != nil {
		return err
	}
	for _, f := range o.Schedule {
		if err := f.check(o.Name); err != nil {
			return err
		}
	}
	return o.Faults.check(o.Name)
}

func (e EngineOptions) check(standin string) error {
	least := min(e.StepBase, e.StepPerRequest, e.PromptPerToken, e.KVPerToken, e.EventDelay, e.ModelLoad)
	if least < 0 || min(e.PromptChunk, e.CacheTokens, e.PrefixTokens, e.EventGap) < 0 || e.ModelBytes < 0 {
		return &OptionError{standin: standin, option: "engine", want: "no negative value"}
	}
	return nil
}

func (e EngineOptions) withDefaults() EngineOptions {
	e.StepBase = orDefault(e.StepBase, defaultStepBase)
	e.StepPerRequest = orDefault(e.StepPerRequest, defaultStepRequest)
	e.PromptPerToken = orDefault(e.PromptPerToken, defaultPromptToken)
	e.PromptChunk = orDefault(e.PromptChunk, defaultPromptChunk)
	e.PrefixTokens = orDefault(e.PrefixTokens, defaultPrefix)
	e.KVPerToken = orDefault(e.KVPerToken, defaultKVPerToken)
	e.ModelBytes = orDefault(e.ModelBytes, defaultModelBytes)
	e.CacheTokens = orDefault(e.CacheTokens, defaultCacheTokens)
	e.ModelLoad = orDefault(e.ModelLoad, defaultModelLoad)
	e.EventDelay = orDefault(e.EventDelay, defaultEventDelay)
	e.Role = orDefault(e.Role, "both")
	return e
}

func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}

func defaultSlots(k Kind) int {
	if k == KindEngine {
		return 16
	}
	return 8
}

func defaultOperations(k Kind) []Operation {
	switch k {
	case KindEngine:
		return []Operation{{Name: OperationGenerate, Idempotent: true}}
	case KindEncoder:
		return []Operation{{Name: "encode", Idempotent: true, Duration: 5 * time.Millisecond}}
	case KindRetriever:
		return []Operation{{Name: "retrieve", Idempotent: true, Duration: 10 * time.Millisecond}}
	case KindReranker:
		return []Operation{{Name: "rerank", Idempotent: true, Duration: 10 * time.Millisecond}}
	default:
		return nil
	}
}

func listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return l, nil
}
