package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/load"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// keptShares are the shares of the engines' interactive requests that the runs
// for a Ceiling send. At the least one the engines have room for all.
var keptShares = []float64{1, 0.9, 0.8, 0.7, 0.6}

// keptRefinement is how far the last steps are from the best of keptShares.
const keptRefinement = 0.05

// Ceiling is how many interactive requests of an overload's schedule the targets
// can answer in time when someone chooses beforehand which ones to send.
//
// The engines are what an overload exceeds. Each step sends the same arrivals
// without those that may wait, and with an even part of the interactive requests
// for engines, so that the proportions of the mix stay. The requests for other
// services, which have room, are all sent. The highest count is the ceiling.
// Counts and not rates are compared, because what the engines work off between
// the last arrival and its deadline is a large part of a short run.
type Ceiling struct {
	InTime int           `json:"in_time"`
	Steps  []CeilingStep `json:"steps"`
}

// CeilingStep is one run for a Ceiling.
type CeilingStep struct {
	Policy string  `json:"policy"`
	Kept   float64 `json:"kept"` // share of the engines' interactive requests
	Sent   int     `json:"sent"`
	InTime int     `json:"in_time"`
}

// ceiling makes the runs for the ceiling of a scenario: first in large steps,
// then on both sides of the best one.
func (e *Experiment) ceiling(ctx context.Context, s Scenario) (*Ceiling, error) {
	c := &Ceiling{}
	for _, kept := range keptShares {
		if err := e.ceilingStep(ctx, c, s, kept); err != nil {
			return nil, err
		}
	}
	for _, kept := range c.refinements() {
		if err := e.ceilingStep(ctx, c, s, kept); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// ceilingStep runs one step under both policies, because neither is known to be
// the better one at loads below the overload.
func (e *Experiment) ceilingStep(ctx context.Context, c *Ceiling, s Scenario, kept float64) error {
	s.kept = kept
	for _, policy := range []manifest.Policy{manifest.PolicyBaseline, manifest.PolicyAdaptive} {
		klog.InfoS("Step of the ceiling", "scenario", s.name, "policy", policy, "kept", kept)
		run, err := e.run(ctx, s, string(policy))
		if err != nil {
			return errors.Wrapf(err, "ceiling of scenario %s with %g of the requests under policy %s", s.name, kept, policy)
		}
		sent, inTime := interactiveCounts(run)
		c.add(CeilingStep{Policy: string(policy), Kept: kept, Sent: sent, InTime: inTime})
	}
	return nil
}

func (c *Ceiling) add(s CeilingStep) {
	c.Steps = append(c.Steps, s)
	c.InTime = max(c.InTime, s.InTime)
}

// refinements returns the shares on both sides of the best step.
func (c *Ceiling) refinements() []float64 {
	best := slices.MaxFunc(c.Steps, func(a, b CeilingStep) int { return cmp.Compare(a.InTime, b.InTime) })
	percent := func(share float64) float64 { return math.Round(100*share) / 100 }
	return []float64{percent(best.Kept - keptRefinement), min(percent(best.Kept+keptRefinement), 1)}
}

func (c *Ceiling) write(path string) error {
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode ceiling")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write ceiling")
	}
	return nil
}

// ceilingOf returns the ceiling of a scenario beyond capacity when it was asked
// for, and nil otherwise.
func (e *Experiment) ceilingOf(ctx context.Context, s Scenario) (*Ceiling, error) {
	if !e.o.Ceiling || s.load <= 1 {
		return nil, nil
	}
	c, err := e.ceiling(ctx, s)
	if err != nil {
		return nil, err
	}
	return c, c.write(filepath.Join(e.o.Folder, fmt.Sprintf("%s-%s-ceiling.json", e.o.Example, s.name)))
}

// thinned returns the requests of a mix for a step of a ceiling.
func thinned(requests []load.Request, kept float64) []load.Request {
	thin := slices.Clone(requests)
	for i := range thin {
		switch thin[i].Kind {
		case load.KindWaiting:
			thin[i].Skip = 1
		case load.KindPipeline, load.KindStream:
			thin[i].Skip = 1 - kept
		}
	}
	return thin
}
