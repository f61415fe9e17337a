package budget

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Reason is the cause of a rejection, in snake case.
type Reason string

// Reasons for rejecting a request, a retry or a hedge.
const (
	ReasonNotEnoughTime Reason = "not_enough_time"
	ReasonNotIdempotent Reason = "not_idempotent"
	ReasonNotRetryable  Reason = "not_retryable"
	ReasonAttemptsSpent Reason = "attempts_spent"
	ReasonServiceBudget Reason = "service_retry_budget_spent"
	ReasonEntryBudget   Reason = "entry_retry_budget_spent"
	ReasonHedgeBudget   Reason = "hedge_budget_spent"
	ReasonPolicy        Reason = "policy_has_no_hedges"
)

// Stage is one stage of a pipeline.
type Stage struct {
	Name     string
	Needs    []string // names of the stages that this one depends on
	Expected time.Duration
}

// PlanError reports an invalid pipeline.
type PlanError struct {
	pipeline string
	stage    string
	problem  string
}

// Stage returns the name of the invalid stage.
func (e *PlanError) Stage() string { return e.stage }

// Error implements error.
func (e *PlanError) Error() string {
	return fmt.Sprintf("plan pipeline %s: stage %s: %s", e.pipeline, e.stage, e.problem)
}

// Plan is the dependency graph of the stages of a pipeline.
type Plan struct {
	pipeline   string
	stages     []Stage // in topological order
	keys       []string
	index      map[string]int
	successors [][]int // direct successors
}

// NewPlan returns the Plan of a pipeline, or a *PlanError for unknown names,
// duplicate names and dependency cycles.
func NewPlan(pipeline string, stages []Stage) (*Plan, error) {
	p := &Plan{pipeline: pipeline, index: map[string]int{}}
	names := map[string]bool{}
	for _, s := range stages {
		if names[s.Name] {
			return nil, &PlanError{pipeline, s.Name, "name is used twice"}
		}
		names[s.Name] = true
	}
	for _, s := range stages {
		for _, n := range s.Needs {
			if !names[n] {
				return nil, &PlanError{pipeline, s.Name, "needs unknown stage " + n}
			}
		}
	}
	left := slices.Clone(stages)
	for len(left) > 0 {
		i := slices.IndexFunc(left, p.dependenciesPlanned)
		if i < 0 {
			return nil, &PlanError{pipeline, left[0].Name, "is part of a cycle"}
		}
		p.add(left[i])
		left = slices.Delete(left, i, i+1)
	}
	return p, nil
}

// dependenciesPlanned reports whether all dependencies of s are in the plan.
func (p *Plan) dependenciesPlanned(s Stage) bool {
	for _, n := range s.Needs {
		if _, ok := p.index[n]; !ok {
			return false
		}
	}
	return true
}

func (p *Plan) add(s Stage) {
	i := len(p.stages)
	p.index[s.Name] = i
	p.stages = append(p.stages, s)
	p.keys = append(p.keys, p.Key(s.Name))
	p.successors = append(p.successors, nil)
	for _, n := range s.Needs {
		j := p.index[n]
		p.successors[j] = append(p.successors[j], i)
	}
}

// Key returns the key of a stage in an Estimator.
func (p *Plan) Key(stage string) string {
	return p.pipeline + "/" + stage
}

// Need is the estimated duration of one stage.
type Need struct {
	Mean  time.Duration
	Guard time.Duration // 90th percentile; at least Mean
}

// Allotment is the part of the time left that one stage may use.
type Allotment struct {
	Limit      time.Duration // timeout of the call
	Later      time.Duration // reserved for the following stages
	Expected   time.Duration // mean of this stage
	Typical    time.Duration // mean of this stage and the longest path after it
	Needs      time.Duration // 90th percentile of this stage and the longest path after it
	HedgeAfter time.Duration
}

// Allot divides the time left between a stage and the longest path of stages
// after it. The stage gets all the time that the following stages are not
// expected to need. A stage that is not part of the plan gets all the time left.
func (p *Plan) Allot(e *Estimator, stage string, left time.Duration, now time.Time) Allotment {
	i, ok := p.index[stage]
	if !ok {
		return Allotment{Limit: max(left, 0)}
	}
	estimates := p.estimates(e, now)
	path := p.criticalPath(estimates, i)
	parts := Split(left, path)
	a := Allotment{
		Limit:      parts[0],
		Expected:   estimates[i].Mean,
		HedgeAfter: estimates[i].Hedge,
	}
	for _, part := range parts[1:] {
		a.Later += part
	}
	var total pathTime
	for j := len(path) - 1; j >= 0; j-- {
		total = total.plus(path[j])
	}
	a.Typical = total.mean
	a.Needs = total.guard()
	return a
}

// pathTime is the estimated duration of consecutive stages.
type pathTime struct {
	mean     time.Duration
	variance float64 // sum of the squared differences between guard and mean, in s²
}

func (t pathTime) plus(n Need) pathTime {
	distance := max(n.Guard-n.Mean, 0).Seconds()
	return pathTime{mean: t.mean + max(n.Mean, 0), variance: t.variance + distance*distance}
}

// guard estimates the 90th percentile of the sum. The differences between mean
// and guard are added like standard deviations of independent durations; the sum
// of the guards would be far above the percentile of the sum.
func (t pathTime) guard() time.Duration {
	return t.mean + time.Duration(math.Sqrt(t.variance)*float64(time.Second))
}

func (p *Plan) estimates(e *Estimator, now time.Time) []Estimate {
	all := make([]Estimate, len(p.stages))
	for i, s := range p.stages {
		all[i] = e.Estimate(p.keys[i], s.Expected, now)
	}
	return all
}

// criticalPath returns the estimated durations along the critical path from stage i
// to the end.
func (p *Plan) criticalPath(estimates []Estimate, i int) []Need {
	total := make([]time.Duration, len(p.stages))
	next := make([]int, len(p.stages))
	for j := len(p.stages) - 1; j >= i; j-- {
		next[j] = -1
		for _, k := range p.successors[j] {
			if next[j] < 0 || total[k] > total[next[j]] {
				next[j] = k
			}
		}
		total[j] = estimates[j].Guard
		if next[j] >= 0 {
			total[j] += total[next[j]]
		}
	}
	var path []Need
	for j := i; j >= 0; j = next[j] {
		path = append(path, Need{Mean: estimates[j].Mean, Guard: estimates[j].Guard})
	}
	return path
}

// Split divides the time left between a stage and the following ones. The first
// gets what remains after the guards of the others. When the time left is shorter
// than all guards, it is divided in proportion to the guards. No part is negative
// and their sum never exceeds the time left.
func Split(left time.Duration, needs []Need) []time.Duration {
	parts := make([]time.Duration, len(needs))
	if left <= 0 || len(needs) == 0 {
		return parts
	}
	var guards, later time.Duration
	for i, n := range needs {
		guards += guard(n)
		if i > 0 {
			later += guard(n)
		}
	}
	if guards <= left {
		parts[0] = left - later
		for i, n := range needs[1:] {
			parts[i+1] = guard(n)
		}
		return parts
	}
	for i, n := range needs {
		parts[i] = time.Duration(float64(left) * (float64(guard(n)) / float64(guards)))
	}
	return parts
}

func guard(n Need) time.Duration {
	return max(n.Guard, n.Mean, 0)
}

// Verdict reports whether a request is expected to meet its deadline.
type Verdict struct {
	Fits   bool
	Reason Reason // empty if Fits is set
	Left   time.Duration
	Needed time.Duration // for the stages and the waits
}

// waitMargin scales expected waits. Without it, an overloaded service starts
// every call at its latest start, and a tenth of the calls then miss their
// deadline and waste slot time.
const waitMargin = 2

// CanFinish reports whether the remaining stages fit into the time left: the sum
// of the 90th percentile of the longest path and waitMargin times the expected
// wait must not exceed it.
func (p *Plan) CanFinish(e *Estimator, done []string, left, wait time.Duration, now time.Time) Verdict {
	estimates := p.estimates(e, now)
	total := make([]pathTime, len(p.stages))
	var longest time.Duration
	for i := len(p.stages) - 1; i >= 0; i-- {
		for _, k := range p.successors[i] {
			if total[k].guard() > total[i].guard() {
				total[i] = total[k]
			}
		}
		if !slices.Contains(done, p.stages[i].Name) {
			total[i] = total[i].plus(Need{Mean: estimates[i].Mean, Guard: estimates[i].Guard})
		}
		longest = max(longest, total[i].guard())
	}
	v := Verdict{Left: left, Needed: longest + waitMargin*max(wait, 0), Fits: true}
	if v.Needed > left {
		v.Fits = false
		v.Reason = ReasonNotEnoughTime
	}
	return v
}
