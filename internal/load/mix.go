package load

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Kind says how a request is sent and what its answer must show.
type Kind string

// Kinds of requests.
const (
	KindPipeline Kind = "pipeline" // POST, answered when complete
	KindStream   Kind = "stream"   // POST, answered token by token
	KindCall     Kind = "call"     // an idempotent operation of a service
	KindOrder    Kind = "order"    // a non-idempotent operation, with an order id
	KindWaiting  Kind = "waiting"  // a submission that is fetched later
)

// Customer is one customer of a Mix.
type Customer struct {
	Name   string `yaml:"name"`
	Key    string `yaml:"key"`
	Weight int    `yaml:"weight"` // share of the requests
}

// Request is one sort of requests of a Mix.
type Request struct {
	Name      string        `yaml:"name"`
	Kind      Kind          `yaml:"kind"`
	Pipeline  string        `yaml:"pipeline"`
	Service   string        `yaml:"service"`
	Operation string        `yaml:"operation"`
	Class     string        `yaml:"class"`
	Weight    int           `yaml:"weight"`
	Deadline  time.Duration `yaml:"deadline"`
	Tokens    int           `yaml:"tokens"`       // upper limit of generated tokens
	Input     int           `yaml:"input_length"` // bytes
	Prefix    string        `yaml:"prefix"`
	Customers []string      `yaml:"customers"` // all when empty
	Resend    float64       `yaml:"resend"`    // share of orders that repeat an earlier order id
	Skip      float64       `yaml:"skip"`      // share of the planned arrivals that isn't sent; not for orders
}

// Phase is a stretch of time with one rate.
type Phase struct {
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	Rate     float64       `yaml:"rate"`     // requests per second
	Burst    int           `yaml:"burst"`    // requests that arrive together; 0 and 1 for single arrivals
	Requests []string      `yaml:"requests"` // names of the requests sent; all when empty
}

// Mix describes a bounded open-loop load.
type Mix struct {
	Name        string        `yaml:"name"`
	Seed        uint64        `yaml:"seed"`
	Entries     []string      `yaml:"entries"`  // host:port
	Accounts    []string      `yaml:"accounts"` // base URLs of the stand-ins, or of an accounts listener
	MaxRequests int           `yaml:"max_requests"`
	MaxInFlight int           `yaml:"max_in_flight"`
	Grace       time.Duration `yaml:"grace"`   // wait for an answer after its deadline
	Collect     time.Duration `yaml:"collect"` // wait for waiting requests after the last phase
	Customers   []Customer    `yaml:"customers"`
	Requests    []Request     `yaml:"requests"`
	Phases      []Phase       `yaml:"phases"`
}

const (
	defaultMaxRequests = 10_000
	defaultMaxInFlight = 4096
	defaultGrace       = 2 * time.Second
	defaultCollect     = 5 * time.Minute
	defaultTokens      = 32
	defaultInput       = 200
	maxDuration        = time.Hour
)

// MixError reports a mix that can't be run.
type MixError struct {
	field string
	want  string
}

// Error implements error.
func (e *MixError) Error() string { return fmt.Sprintf("%s: want %s", e.field, e.want) }

// ReadMix reads a mix file.
func ReadMix(path string) (*Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read mix")
	}
	return ParseMix(path, data)
}

// ParseMix decodes a mix and checks it. Unknown keys are errors; the error names
// the file and shows line and column.
func ParseMix(name string, data []byte) (*Mix, error) {
	var m Mix
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&m); err != nil {
		return nil, errors.Wrapf(err, "decode %s", name)
	}
	if err := m.complete(); err != nil {
		return nil, errors.Wrapf(err, "check %s", name)
	}
	return &m, nil
}

// Duration returns the time of all phases.
func (m *Mix) Duration() time.Duration {
	var sum time.Duration
	for _, p := range m.Phases {
		sum += p.Duration
	}
	return sum
}

// complete sets defaults and checks the mix.
func (m *Mix) complete() error {
	m.MaxRequests = positiveOr(m.MaxRequests, defaultMaxRequests)
	m.MaxInFlight = positiveOr(m.MaxInFlight, defaultMaxInFlight)
	m.Grace = positiveOr(m.Grace, defaultGrace)
	m.Collect = positiveOr(m.Collect, defaultCollect)
	if len(m.Customers) == 0 || len(m.Requests) == 0 || len(m.Phases) == 0 {
		return &MixError{field: "customers, requests, phases", want: "at least one of each"}
	}
	for i := range m.Customers {
		if err := m.Customers[i].complete(); err != nil {
			return err
		}
	}
	for i := range m.Requests {
		if err := m.Requests[i].complete(m); err != nil {
			return err
		}
	}
	for _, p := range m.Phases {
		if err := p.check(m); err != nil {
			return err
		}
	}
	if m.Duration() > maxDuration {
		return &MixError{field: "phases", want: "at most " + maxDuration.String() + " in all"}
	}
	return nil
}

func (c *Customer) complete() error {
	c.Weight = positiveOr(c.Weight, 1)
	if c.Name == "" || c.Key == "" {
		return &MixError{field: "customers", want: "a name and a key for each"}
	}
	return nil
}

func (r *Request) complete(m *Mix) error {
	r.Weight = positiveOr(r.Weight, 1)
	r.Tokens = positiveOr(r.Tokens, defaultTokens)
	r.Input = positiveOr(r.Input, defaultInput)
	field := fmt.Sprintf("requests %q", r.Name)
	if r.Name == "" || r.Deadline <= 0 {
		return &MixError{field: field, want: "a name and a deadline"}
	}
	switch r.Kind {
	case KindPipeline, KindStream, KindWaiting:
		if r.Pipeline == "" {
			return &MixError{field: field, want: "a pipeline"}
		}
	case KindCall, KindOrder:
		if r.Service == "" || r.Operation == "" {
			return &MixError{field: field, want: "a service and an operation"}
		}
	default:
		return &MixError{field: field, want: "kind pipeline, stream, call, order or waiting"}
	}
	if r.Resend < 0 || r.Resend >= 1 {
		return &MixError{field: field, want: "resend from 0 to below 1"}
	}
	if r.Skip < 0 || r.Skip > 1 || r.Skip > 0 && r.Kind == KindOrder {
		// A skipped order could be the first one of an order that is sent again.
		return &MixError{field: field, want: "skip from 0 to 1, and 0 for an order"}
	}
	for _, name := range r.Customers {
		if !slices.ContainsFunc(m.Customers, func(c Customer) bool { return c.Name == name }) {
			return &MixError{field: field, want: fmt.Sprintf("known customers, not %q", name)}
		}
	}
	return nil
}

func (p *Phase) check(m *Mix) error {
	field := fmt.Sprintf("phases %q", p.Name)
	if p.Duration <= 0 || p.Rate <= 0 || p.Burst < 0 {
		return &MixError{field: field, want: "a duration and a rate above 0"}
	}
	for _, name := range p.Requests {
		if !slices.ContainsFunc(m.Requests, func(r Request) bool { return r.Name == name }) {
			return &MixError{field: field, want: fmt.Sprintf("known requests, not %q", name)}
		}
	}
	return nil
}

func positiveOr[T int | time.Duration](value, byDefault T) T {
	if value <= 0 {
		return byDefault
	}
	return value
}
