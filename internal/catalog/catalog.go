// Package catalog defines the routes that gateways serve: which service handles a host and
// path, which requests may be retried, which stages run first, and who has access.
//
// A Catalog is immutable. An operator replaces it completely by one with a higher version.
// It is built from an Input, which an adapter decodes from the format that the operator's
// tools write.
//
// # Usage
//
//	c, err := catalog.New(input)
//	var invalid *catalog.InvalidError
//	if errors.As(err, &invalid) {
//		// report the invalid item and the reason to the operator
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

// Kind specifies which of a route's requests may be retried.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests receive events as the response. They run at most once unless the
	// route is resumable.
	Stream
)

// String returns the kind in snake case.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream"}[k]
}

// Input is a decoded catalog that has not been validated.
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
	// Timeout is the maximum time until the response. Objective is the time limit for a
	// full success, which applies to the first event on streams.
	Timeout   time.Duration
	Objective time.Duration
	// EventGap is the longest interval between events for a full success.
	EventGap time.Duration
	// ClientEventTimeout is how long clients wait for the first event of a stream, and for
	// each further one, before they disconnect; 0 if they wait until their deadline.
	ClientEventTimeout time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Split    []WeightedService
	// MaxAttempts limits the number of targets that one request may run on.
	MaxAttempts int
	Stages      []StageInput
	Public      bool // requires no key
	Resumable   bool // an interrupted stream may continue on another target
	// PrefixAffinity is set if requests identify the parts of their prompt.
	PrefixAffinity bool
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// StageInput describes a stage that runs before the request itself.
type StageInput struct {
	Service     string
	DependsOn   []int // indexes of earlier stages
	ResultBytes int64 // approximate size of one result
}

// ServiceInput describes a group of targets that serve the same requests.
type ServiceInput struct {
	Name       string
	HealthPath string
	MaxConns   int           // connections to one target, from all callers
	Batch      *BatchProfile // set when the service runs stages
	Engine     *EngineProfile
	Cold       *ColdProfile // set when targets are cold after their start
}

// ColdProfile describes targets that take few requests until they are warm.
type ColdProfile struct {
	// Duration is how long a target is cold after its start.
	Duration time.Duration
	// RequestRate is the number of requests a second that a cold target takes from all
	// gateways together.
	RequestRate float64
}

// BatchProfile describes how a target of a service runs pieces of stages.
type BatchProfile struct {
	MaxConcurrency int           // concurrent calls
	QueueLimit     int           // queued calls
	MaxBatchSize   int           // pieces per call
	CallOverhead   time.Duration // per call
	PieceTime      time.Duration // per piece, approximate
	ResultBytes    int64         // memory for results
	ResultTTL      time.Duration // lifetime of a result that isn't released
}

// EngineProfile describes a target that generates tokens.
type EngineProfile struct {
	Slots       int
	CacheTokens int64 // capacity for prompts and running requests, in tokens
}

// CustomerInput describes a customer.
type CustomerInput struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on callers' requests. A limit of 0 isn't enforced.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// InvalidError reports why a catalog is invalid.
type InvalidError struct {
	item   string
	reason string
}

// NewInvalidError returns an InvalidError for an item of a catalog.
func NewInvalidError(item, format string, args ...any) *InvalidError {
	return &InvalidError{item: item, reason: fmt.Sprintf(format, args...)}
}

// Item returns the name of the invalid item.
func (e *InvalidError) Item() string { return e.item }

// Error implements error.
func (e *InvalidError) Error() string { return e.item + ": " + e.reason }

// Catalog is a validated set of routes, services and customers.
type Catalog struct {
	version        uint64
	routesByHost   map[string][]*Route // longest prefix first
	routes         []*Route
	services       map[string]*Service
	customersByKey map[string]*Customer // by key
	hasKeys        bool                 // at least one customer is listed
	limits         Limits
}

// New validates the input and returns its catalog, or an *InvalidError.
func New(in Input) (*Catalog, error) {
	c := &Catalog{
		version:        in.Version,
		routesByHost:   map[string][]*Route{},
		services:       map[string]*Service{},
		customersByKey: map[string]*Customer{},
		hasKeys:        len(in.Customers) > 0,
		limits:         in.Limits,
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
	for _, list := range c.routesByHost {
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
		return NewInvalidError(item, "the timeout must be positive")
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
		if share.Weight > 0 {
			c.services[share.Service].takesRequests = true
		}
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
	for _, other := range c.routesByHost[in.Host] {
		if other.in.Prefix == in.Prefix {
			return NewInvalidError(item, "has the same host and prefix as route %s", other.in.Name)
		}
	}
	r := &Route{in: in, totalWeight: total}
	if err := r.orderStages(); err != nil {
		return err
	}
	c.routesByHost[in.Host] = append(c.routesByHost[in.Host], r)
	c.routes = append(c.routes, r)
	return nil
}

func (c *Catalog) addCustomer(in CustomerInput) error {
	customer := &Customer{in: in}
	for _, key := range in.Keys {
		if other, ok := c.customersByKey[key]; ok && other != customer {
			return NewInvalidError("customer "+in.Name, "shares a key with customer %s", other.in.Name)
		}
		c.customersByKey[key] = customer
	}
	return nil
}

// Version returns the catalog's version.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns the limits on callers' requests.
func (c *Catalog) Limits() Limits { return c.limits }

// RequiresKey reports whether requests on routes that aren't public require a key.
func (c *Catalog) RequiresKey() bool { return c.hasKeys }

// Route returns the route with the longest matching path prefix.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.in.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Routes returns all routes. The slice must not be modified.
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

// Customer returns the customer that owns the key.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	customer, ok := c.customersByKey[key]
	return customer, ok
}

// Route is a validated route.
type Route struct {
	in             RouteInput
	totalWeight    float64
	stageOrder     []int // stages in dependency order
	terminalStages []int // stages that no other stage depends on
}

// orderStages sorts the stages by their dependencies and determines the terminal ones.
func (r *Route) orderStages() error {
	done := make([]bool, len(r.in.Stages))
	for len(r.stageOrder) < len(r.in.Stages) {
		before := len(r.stageOrder)
		for i, stage := range r.in.Stages {
			ready := !done[i] && !slices.ContainsFunc(stage.DependsOn, func(need int) bool { return !done[need] })
			if ready {
				done[i] = true
				r.stageOrder = append(r.stageOrder, i)
			}
		}
		if len(r.stageOrder) == before {
			return NewInvalidError("route "+r.in.Name, "the stages have a dependency cycle")
		}
	}
	for i := range r.in.Stages {
		needed := slices.ContainsFunc(r.in.Stages, func(s StageInput) bool { return slices.Contains(s.DependsOn, i) })
		if !needed {
			r.terminalStages = append(r.terminalStages, i)
		}
	}
	return nil
}

// Name returns the route's name.
func (r *Route) Name() string { return r.in.Name }

// Kind returns which requests may be retried.
func (r *Route) Kind() Kind { return r.in.Kind }

// Retryable reports whether a request may run again after it may already have run.
func (r *Route) Retryable() bool {
	return r.in.Kind == Idempotent || r.in.Kind == Stream && r.in.Resumable
}

// Resumable reports whether an interrupted stream may continue on another target.
func (r *Route) Resumable() bool { return r.in.Resumable }

// Timeout returns the maximum time until the response.
func (r *Route) Timeout() time.Duration { return r.in.Timeout }

// Objective returns the time limit for a full success, which applies to the first event on
// streams.
func (r *Route) Objective() time.Duration { return r.in.Objective }

// EventGap returns the longest interval between events for a full success.
func (r *Route) EventGap() time.Duration { return r.in.EventGap }

// ClientEventTimeout returns how long clients wait for an event of a stream; 0 if they wait
// until their deadline.
func (r *Route) ClientEventTimeout() time.Duration { return r.in.ClientEventTimeout }

// Priority returns the route's rank; 0 is the most urgent.
func (r *Route) Priority() int { return r.in.Priority }

// MaxAttempts returns how many targets one request may run on, at least 1.
func (r *Route) MaxAttempts() int { return max(r.in.MaxAttempts, 1) }

// Public reports whether requests require no key.
func (r *Route) Public() bool { return r.in.Public }

// PrefixAffinity reports whether requests identify the parts of their prompt.
func (r *Route) PrefixAffinity() bool { return r.in.PrefixAffinity }

// Stages returns the stages by index.
func (r *Route) Stages() []StageInput { return r.in.Stages }

// StageOrder returns the stages' indexes in dependency order.
func (r *Route) StageOrder() []int { return r.stageOrder }

// TerminalStages returns the indexes of the stages that no other stage depends on.
func (r *Route) TerminalStages() []int { return r.terminalStages }

// SelectService selects the service for one request by weight. The random value roll is in
// [0, 1).
func (r *Route) SelectService(roll float64) string {
	left := roll * r.totalWeight
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

// Services returns the services that the route sends requests to.
func (r *Route) Services() []string {
	list := make([]string, 0, len(r.in.Split))
	for _, s := range r.in.Split {
		if s.Weight > 0 {
			list = append(list, s.Service)
		}
	}
	return list
}

// SelectRandomService selects a random service for one request by weight.
func (r *Route) SelectRandomService() string { return r.SelectService(rand.Float64()) }

// Service is a validated service.
type Service struct {
	in            ServiceInput
	takesRequests bool
}

// Name returns the service's name.
func (s *Service) Name() string { return s.in.Name }

// MaxConns returns the maximum number of connections to one target, from all callers.
func (s *Service) MaxConns() int { return s.in.MaxConns }

// Batch returns the batch profile, or nil if the service runs no stages.
func (s *Service) Batch() *BatchProfile { return s.in.Batch }

// Engine returns the engine profile, or nil if the service's targets aren't engines.
func (s *Service) Engine() *EngineProfile { return s.in.Engine }

// TakesRequests reports whether a route sends requests to the service. One that runs stages may take
// requests as well, or only pieces of stages.
func (s *Service) TakesRequests() bool { return s.takesRequests }

// Cold returns the profile of cold targets, or nil if the service's targets take any number of
// requests from their start.
func (s *Service) Cold() *ColdProfile { return s.in.Cold }

// Customer is a validated customer.
type Customer struct {
	in CustomerInput
}

// Name returns the customer's name.
func (c *Customer) Name() string { return c.in.Name }

// Priority returns the rank that overrides the route's priority, if there is one.
func (c *Customer) Priority() (int, bool) { return c.in.Priority, c.in.HasPriority }
