// Package catalog holds the routes that gateways serve: which service answers a
// host and path, what may be repeated, which stages come first, and who may ask.
//
// A Catalog is immutable. An operator replaces it as a whole by one with a
// higher version. It is built from an Input, which an adapter decodes from
// whatever format the operator's tools write.
//
// # Usage
//
//	c, err := catalog.New(input)
//	var invalid *catalog.InvalidError
//	if errors.As(err, &invalid) {
//		// tell the operator what is wrong with which item
//	}
//	route, ok := c.Route("quotes.example", "/drafts/7")
//	customer, ok := c.Customer(key)
package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by events, and run at most once unless the
	// route is resumable.
	Stream
)

// String returns the kind in snake case.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream"}[k]
}

// Input is a decoded catalog that has not been checked.
type Input struct {
	Version   uint64
	Routes    []RouteInput
	Services  []ServiceInput
	Limits    Limits
	Customers []CustomerInput
}

// RouteInput describes a route.
type RouteInput struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting, Objective the
	// time for a full success, to the first event on streams.
	Timeout   time.Duration
	Objective time.Duration
	// EventGap is the longest pause between events for a full success.
	EventGap time.Duration
	// Patience is how long callers wait for the first event of a stream, and for
	// each further one, before they leave; 0 when they wait until their deadline.
	ClientEventTimeout time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Split    []WeightedService
	// Attempts bounds the targets that one request may run on.
	MaxAttempts int
	Stages      []StageInput
	Public      bool // needs no key
	Resumable   bool // a broken stream may go on at another target
	// Affinity is set where requests name the parts of their prompt.
	PrefixAffinity bool
}

// WeightedService is the part of a route's requests that goes to one service.
type WeightedService struct {
	Service string
	Weight  float64
}

// StageInput describes work that is done before the request itself.
type StageInput struct {
	Service     string
	DependsOn   []int // indexes of earlier stages
	ResultBytes int64 // approximate size of one result
}

// ServiceInput describes a group of targets that answer the same requests.
type ServiceInput struct {
	Name       string
	HealthPath string
	MaxConns   int           // connections to one target, from all callers
	Batch      *BatchProfile // set when the service runs stages
	Engine     *EngineProfile
}

// BatchProfile describes how a target of a service runs pieces of stages.
type BatchProfile struct {
	MaxConcurrency int           // calls at the same time
	QueueLimit     int           // calls that may wait
	MaxBatchSize   int           // pieces in one call
	CallOverhead   time.Duration // per call
	PieceTime      time.Duration // per piece, approximate
	ResultBytes    int64         // memory for results
	ResultTTL      time.Duration // lifetime of a result that isn't freed
}

// EngineProfile describes a target that generates tokens.
type EngineProfile struct {
	Slots       int
	CacheTokens int64 // memory for prompts and running requests
}

// CustomerInput describes a customer.
type CustomerInput struct {
	Name string
	Keys []string
	// Priority goes before the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. A zero limit isn't enforced.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// InvalidError reports why a catalog can't be used.
type InvalidError struct {
	item   string
	reason string
}

// NewInvalidError returns an InvalidError for an item of a catalog.
func NewInvalidError(item, format string, args ...any) *InvalidError {
	return &InvalidError{item: item, reason: fmt.Sprintf(format, args...)}
}

// Item names the part of the catalog that is wrong.
func (e *InvalidError) Item() string { return e.item }

// Error implements error.
func (e *InvalidError) Error() string { return e.item + ": " + e.reason }

// Catalog is a checked set of routes, services and customers.
type Catalog struct {
	version   uint64
	hosts     map[string][]*Route // longest prefix first
	routes    []*Route
	services  map[string]*Service
	customers map[string]*Customer // by key
	keyed     bool                 // at least one customer is listed
	limits    Limits
}

// New checks the input and returns its catalog, or an *InvalidError.
func New(in Input) (*Catalog, error) {
	c := &Catalog{
		version:   in.Version,
		hosts:     map[string][]*Route{},
		services:  map[string]*Service{},
		customers: map[string]*Customer{},
		keyed:     len(in.Customers) > 0,
		limits:    in.Limits,
	}
	for _, s := range in.Services {
		if s.Name == "" {
			return nil, NewInvalidError("services", "a service has no name")
		}
		if _, ok := c.services[s.Name]; ok {
			return nil, NewInvalidError("service "+s.Name, "is listed twice")
		}
		c.services[s.Name] = &Service{in: s}
	}
	for _, r := range in.Routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, customer := range in.Customers {
		if err := c.addCustomer(customer); err != nil {
			return nil, err
		}
	}
	for _, list := range c.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.in.Prefix) - len(a.in.Prefix) })
	}
	return c, nil
}

func (c *Catalog) addRoute(in RouteInput) error {
	item := "route " + in.Name
	switch {
	case !strings.HasPrefix(in.Prefix, "/") || !strings.HasSuffix(in.Prefix, "/"):
		return NewInvalidError(item, "the prefix %q doesn't begin and end with a slash", in.Prefix)
	case in.Timeout <= 0:
		return NewInvalidError(item, "the timeout is 0")
	case len(in.Split) == 0:
		return NewInvalidError(item, "names no service")
	}
	total := 0.0
	for _, share := range in.Split {
		if _, ok := c.services[share.Service]; !ok {
			return NewInvalidError(item, "names the unknown service %q", share.Service)
		}
		if share.Weight < 0 {
			return NewInvalidError(item, "has a negative weight")
		}
		total += share.Weight
	}
	if total <= 0 {
		return NewInvalidError(item, "the weights add up to 0")
	}
	for i, stage := range in.Stages {
		if s, ok := c.services[stage.Service]; !ok || s.in.Batch == nil {
			return NewInvalidError(item, "stage %d names the service %q, which runs no stages", i, stage.Service)
		}
		for _, need := range stage.DependsOn {
			if need < 0 || need >= len(in.Stages) || need == i {
				return NewInvalidError(item, "stage %d needs stage %d, which doesn't exist", i, need)
			}
		}
	}
	in.Host = strings.ToLower(in.Host)
	for _, other := range c.hosts[in.Host] {
		if other.in.Prefix == in.Prefix {
			return NewInvalidError(item, "has the host and prefix of route %s", other.in.Name)
		}
	}
	r := &Route{in: in, weights: total}
	if err := r.orderStages(); err != nil {
		return err
	}
	c.hosts[in.Host] = append(c.hosts[in.Host], r)
	c.routes = append(c.routes, r)
	return nil
}

func (c *Catalog) addCustomer(in CustomerInput) error {
	customer := &Customer{in: in}
	for _, key := range in.Keys {
		if other, ok := c.customers[key]; ok && other.in.Name != in.Name {
			return NewInvalidError("customer "+in.Name, "shares a key with customer %s", other.in.Name)
		}
		c.customers[key] = customer
	}
	return nil
}

// Version returns the catalog's version.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns what callers may send.
func (c *Catalog) Limits() Limits { return c.limits }

// RequiresKey says whether requests on routes that aren't public need a key.
func (c *Catalog) RequiresKey() bool { return c.keyed }

// Route returns the route with the longest prefix that begins the path.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.in.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Routes returns all routes, which must not be changed.
func (c *Catalog) Routes() []*Route { return c.routes }

// Service returns the service with the name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services, sorted.
func (c *Catalog) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Customer returns the customer that holds the key.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	customer, ok := c.customers[key]
	return customer, ok
}

// Route is a checked route.
type Route struct {
	in      RouteInput
	weights float64
	order   []int // stages, each after those that it needs
	last    []int // stages that no other stage needs
}

// orderStages sorts the stages by what they need and finds the last ones.
func (r *Route) orderStages() error {
	done := make([]bool, len(r.in.Stages))
	for len(r.order) < len(r.in.Stages) {
		before := len(r.order)
		for i, stage := range r.in.Stages {
			ready := !done[i] && !slices.ContainsFunc(stage.DependsOn, func(need int) bool { return !done[need] })
			if ready {
				done[i] = true
				r.order = append(r.order, i)
			}
		}
		if len(r.order) == before {
			return NewInvalidError("route "+r.in.Name, "the stages need each other in a circle")
		}
	}
	for i := range r.in.Stages {
		needed := slices.ContainsFunc(r.in.Stages, func(s StageInput) bool { return slices.Contains(s.DependsOn, i) })
		if !needed {
			r.last = append(r.last, i)
		}
	}
	return nil
}

// Name returns the route's name.
func (r *Route) Name() string { return r.in.Name }

// Kind returns what may be repeated.
func (r *Route) Kind() Kind { return r.in.Kind }

// Retryable says whether a request may run again after it may have run.
func (r *Route) Retryable() bool {
	return r.in.Kind == Idempotent || r.in.Kind == Stream && r.in.Resumable
}

// Resumable says whether a broken stream may go on at another target.
func (r *Route) Resumable() bool { return r.in.Resumable }

// Timeout returns the longest time that a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.in.Timeout }

// Objective returns the time for a full success, to the first event on streams.
func (r *Route) Objective() time.Duration { return r.in.Objective }

// EventGap returns the longest pause between events for a full success.
func (r *Route) EventGap() time.Duration { return r.in.EventGap }

// ClientEventTimeout returns how long callers wait for an event of a stream; 0 when they
// wait until their deadline.
func (r *Route) ClientEventTimeout() time.Duration { return r.in.ClientEventTimeout }

// Priority returns the route's rank; 0 is the most urgent.
func (r *Route) Priority() int { return r.in.Priority }

// MaxAttempts returns how many targets one request may run on, at least 1.
func (r *Route) MaxAttempts() int { return max(r.in.MaxAttempts, 1) }

// Public says whether requests need no key.
func (r *Route) Public() bool { return r.in.Public }

// PrefixAffinity says whether requests name the parts of their prompt.
func (r *Route) PrefixAffinity() bool { return r.in.PrefixAffinity }

// Stages returns the stages by index.
func (r *Route) Stages() []StageInput { return r.in.Stages }

// StageOrder returns the stages' indexes, each after those that it needs.
func (r *Route) StageOrder() []int { return r.order }

// TerminalStages returns the indexes of the stages that no other stage needs.
func (r *Route) TerminalStages() []int { return r.last }

// SelectService draws the service for one request by the weights; roll is in [0, 1).
func (r *Route) SelectService(roll float64) string {
	left := roll * r.weights
	for _, share := range r.in.Split {
		if left < share.Weight {
			return share.Service
		}
		left -= share.Weight
	}
	for _, share := range slices.Backward(r.in.Split) {
		if share.Weight > 0 {
			return share.Service
		}
	}
	return r.in.Split[0].Service
}

// SelectRandomService draws the service for one request.
func (r *Route) SelectRandomService() string { return r.SelectService(rand.Float64()) }

// Service is a checked service.
type Service struct {
	in ServiceInput
}

// Name returns the service's name.
func (s *Service) Name() string { return s.in.Name }

// MaxConns returns the connections that one target accepts from all callers.
func (s *Service) MaxConns() int { return s.in.MaxConns }

// Batch returns how a target runs pieces of stages, or nil.
func (s *Service) Batch() *BatchProfile { return s.in.Batch }

// Engine returns how a target generates tokens, or nil.
func (s *Service) Engine() *EngineProfile { return s.in.Engine }

// Customer is a checked customer.
type Customer struct {
	in CustomerInput
}

// Name returns the customer's name.
func (c *Customer) Name() string { return c.in.Name }

// Priority returns the rank that goes before the route's, if there is one.
func (c *Customer) Priority() (int, bool) { return c.in.Priority, c.in.HasPriority }
