package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cardamomline/cardamomline/internal/report"
)

// Groups of attainment and latency.
const (
	groupAll      = "all"
	groupClass    = "class"
	groupCustomer = "customer"
	groupRequest  = "request"
)

type group struct{ kind, name string }

// groups returns the groups that a record counts in.
func (r *Record) groups() []group {
	return []group{
		{groupAll, "all"},
		{groupClass, cmp.Or(r.Arrival.Request.Class, "default")},
		{groupCustomer, r.Arrival.Customer.Name},
		{groupRequest, r.Arrival.Request.Name},
	}
}

// Summarize computes what a run measured from its records and the accounts.
func Summarize(m *Mix, records []Record, e Evidence) *report.Run {
	run := &report.Run{Name: m.Name, Seed: m.Seed, Sent: len(records)}
	s := &summary{
		attainment: make(map[group]*report.Attainment),
		latency:    make(map[group]*hdrhistogram.Histogram),
		first:      make(map[group]*hdrhistogram.Histogram),
		gaps:       make(map[group]*hdrhistogram.Histogram),
	}
	for i := range records {
		run.Retries += records[i].Retries
		s.add(&records[i])
	}
	run.Attainment = s.shares()
	run.Latency, run.FirstToken, run.TokenGap = latencies(s.latency), latencies(s.first), latencies(s.gaps)
	run.Refusals = refusals(records)
	run.Stages = stageCosts(records, e.Accounts)
	run.JainIndex = jain(m, s.attainment)
	run.Checked = checked(records, e)
	run.Violations, run.Notes = Check(records, e)
	return run
}

type summary struct {
	attainment  map[group]*report.Attainment
	latency     map[group]*hdrhistogram.Histogram
	first, gaps map[group]*hdrhistogram.Histogram
}

func (s *summary) add(r *Record) {
	complete := r.Answer != nil && r.Answer.Outcome == OutcomeDone
	late := complete && r.Latency() > r.Arrival.Request.Deadline
	for _, g := range r.groups() {
		a, ok := s.attainment[g]
		if !ok {
			a = &report.Attainment{Group: g.kind, Name: g.name}
			s.attainment[g] = a
		}
		a.Sent++
		if complete && !late {
			a.Attained++
		}
		if late {
			a.Late++
		}
		if complete {
			histogram(s.latency, g, r.Latency())
		}
		if !r.FirstToken.IsZero() {
			histogram(s.first, g, r.FirstToken.Sub(r.Sent))
		}
		histogram(s.gaps, g, r.Gaps...)
	}
}

const (
	longestLatency    = 2 * time.Hour
	significantDigits = 3
)

// histogram adds values in microseconds to the histogram of a group.
func histogram(all map[group]*hdrhistogram.Histogram, g group, values ...time.Duration) {
	if len(values) == 0 {
		return
	}
	h, ok := all[g]
	if !ok {
		h = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
		all[g] = h
	}
	for _, v := range values {
		_ = h.RecordValue(min(max(v, 0), longestLatency).Microseconds())
	}
}

func latencies(all map[group]*hdrhistogram.Histogram) []report.Latency {
	out := []report.Latency{}
	for g, h := range all {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out = append(out, report.Latency{
			Group: g.kind, Name: g.name, Count: h.TotalCount(), Mean: h.Mean() / 1000,
			P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000,
		})
	}
	slices.SortFunc(out, func(a, b report.Latency) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func (s *summary) shares() []report.Attainment {
	out := []report.Attainment{}
	for _, a := range s.attainment {
		a.Share = float64(a.Attained) / float64(a.Sent)
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b report.Attainment) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// jain returns Jain's index over the attainment of the customers that share the
// most common weight, 1 when there are fewer than two.
func jain(m *Mix, attainment map[group]*report.Attainment) float64 {
	byWeight := make(map[int][]float64)
	for _, c := range m.Customers {
		if a, ok := attainment[group{groupCustomer, c.Name}]; ok {
			byWeight[c.Weight] = append(byWeight[c.Weight], a.Share)
		}
	}
	var shares []float64
	for _, s := range byWeight {
		if len(s) > len(shares) {
			shares = s
		}
	}
	sum, squares := 0.0, 0.0
	for _, x := range shares {
		sum += x
		squares += x * x
	}
	if len(shares) < 2 || squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func refusals(records []Record) []report.Refusal {
	type key struct{ outcome, reason string }
	counts := make(map[key]*report.Refusal)
	for i := range records {
		r := &records[i]
		f := report.Refusal{Outcome: "no_answer", Example: r.LastError}
		if a := r.Answer; a != nil {
			f = report.Refusal{Outcome: a.Outcome, Reason: a.Reason, Example: a.Detail}
		}
		if f.Outcome == OutcomeDone {
			continue
		}
		k := key{f.Outcome, f.Reason}
		if counts[k] == nil {
			counts[k] = &f
		}
		counts[k].Count++
	}
	out := []report.Refusal{}
	for _, f := range counts {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b report.Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

func checked(records []Record, e Evidence) report.Checked {
	c := report.Checked{
		Accounts: len(e.Accounts), MissingAccounts: e.Missing, Dropped: e.dropped(), Complete: e.Complete(),
	}
	orders := make(map[string]bool)
	for i := range records {
		if records[i].Answer != nil {
			c.Answers++
		}
		if records[i].Arrival.Request.Kind == KindOrder {
			orders[records[i].Arrival.Order] = true
		}
	}
	c.Orders = len(orders)
	for i := range e.Accounts {
		c.Effects += len(e.Accounts[i].Effects)
		c.Attempts += len(e.Accounts[i].Attempts)
	}
	return c
}
