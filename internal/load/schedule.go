package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Arrival is one planned request.
type Arrival struct {
	Index    int
	At       time.Duration // from the start of the run
	Phase    string
	Customer Customer
	Request  Request
	Order    string // order id or submission id
	Input    string
	ResendOf int  // index of the arrival whose order is sent again, else -1
	Copied   bool // whether a later arrival sends the order again
}

// Name returns the name of the request with its number.
func (a *Arrival) Name() string { return fmt.Sprintf("%s #%d", a.Request.Name, a.Index) }

// Schedule plans the arrivals of a mix. The same mix and run name give the same
// plan. The run name goes into order ids and inputs, so that two runs against the
// same accounts don't meet.
func Schedule(m *Mix, run string) []Arrival {
	s := &scheduler{mix: m, run: run, random: rand.New(rand.NewPCG(m.Seed, 0))}
	var start time.Duration
	for _, p := range m.Phases {
		s.phase(p, start)
		start += p.Duration
	}
	return thinned(s.arrivals)
}

// thinned leaves out the share of arrivals that each request skips, evenly over
// the run. The others keep their times, numbers and inputs, so that runs with
// different shares send parts of the same load.
func thinned(arrivals []Arrival) []Arrival {
	skipped := make(map[string]float64)
	return slices.DeleteFunc(arrivals, func(a Arrival) bool {
		name := a.Request.Name
		skipped[name] += a.Request.Skip
		if skipped[name] < 1 {
			return false
		}
		skipped[name]--
		return true
	})
}

type scheduler struct {
	mix      *Mix
	run      string
	random   *rand.Rand
	arrivals []Arrival
}

// phase adds the arrivals of a phase: groups of p.Burst requests with
// exponentially distributed distances, at p.Rate requests per second.
func (s *scheduler) phase(p Phase, start time.Duration) {
	group := max(p.Burst, 1)
	mean := float64(time.Second) * float64(group) / p.Rate
	at := time.Duration(s.random.ExpFloat64() * mean)
	for ; at < p.Duration; at += time.Duration(s.random.ExpFloat64() * mean) {
		for range group {
			if len(s.arrivals) >= s.mix.MaxRequests {
				return
			}
			s.add(p, start+at)
		}
	}
}

func (s *scheduler) add(p Phase, at time.Duration) {
	r := s.request(p)
	a := Arrival{Index: len(s.arrivals), At: at, Phase: p.Name, Customer: s.customer(r), Request: r, ResendOf: -1}
	a.Order = fmt.Sprintf("%s-%d", s.run, a.Index)
	a.Input = s.input(&a)
	if r.Kind == KindOrder && s.random.Float64() < r.Resend {
		s.resend(&a)
	}
	s.arrivals = append(s.arrivals, a)
}

// resend turns the arrival into a copy of an earlier order.
func (s *scheduler) resend(a *Arrival) {
	const lookBack = 64
	from := max(0, len(s.arrivals)-lookBack)
	var earlier []int
	for i := from; i < len(s.arrivals); i++ {
		if s.arrivals[i].Request.Name == a.Request.Name && s.arrivals[i].ResendOf < 0 {
			earlier = append(earlier, i)
		}
	}
	if len(earlier) == 0 {
		return
	}
	first := &s.arrivals[earlier[s.random.IntN(len(earlier))]]
	a.ResendOf, first.Copied = first.Index, true
	a.Customer, a.Order, a.Input = first.Customer, first.Order, first.Input
}

func (s *scheduler) request(p Phase) Request {
	eligible := named(s.mix.Requests, p.Requests, func(r Request) string { return r.Name })
	return weighted(s.random, eligible, func(r Request) int { return r.Weight })
}

func (s *scheduler) customer(r Request) Customer {
	eligible := named(s.mix.Customers, r.Customers, func(c Customer) string { return c.Name })
	return weighted(s.random, eligible, func(c Customer) int { return c.Weight })
}

// named returns the elements with one of the names, all when there are no names.
func named[T any](from []T, names []string, name func(T) string) []T {
	if len(names) == 0 {
		return from
	}
	var out []T
	for _, x := range from {
		if slices.Contains(names, name(x)) {
			out = append(out, x)
		}
	}
	return out
}

// input returns a text that no other arrival has.
func (s *scheduler) input(a *Arrival) string {
	text := fmt.Sprintf("run %s, %s, customer %s. ", s.run, a.Name(), a.Customer.Name)
	const filler = "Delivered alongside in good order. "
	if missing := a.Request.Input - len(text); missing > 0 {
		text += strings.Repeat(filler, missing/len(filler)+1)[:missing]
	}
	return text
}

func weighted[T any](random *rand.Rand, from []T, weight func(T) int) T {
	sum := 0
	for _, x := range from {
		sum += weight(x)
	}
	n := random.IntN(sum)
	for _, x := range from {
		if n -= weight(x); n < 0 {
			return x
		}
	}
	return from[len(from)-1]
}
