package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// pipelineRun is one execution of a pipeline.
type pipelineRun struct {
	e         *Entry
	pipeline  *manifest.Pipeline
	manifest  *manifest.Manifest
	request   string
	customer  *manifest.Customer
	class     *manifest.Class
	prefix    string
	input     string
	maxTokens int
	deadline  time.Time
	onToken   func(*wire.Token) error
	timeline  *timeline
	// outputs holds the results of finished stages by name. It may initially contain
	// results that an earlier run recorded.
	outputs map[string][]byte
	// onStageDone is called after each finished stage.
	onStageDone func(ctx context.Context, stage string, output []byte) error
	results     []stageResult
	plan        *budget.Plan
	// ran is set when a stage may have run.
	ran bool
}

type stageResult struct {
	stage  string
	result *callResult
}

// run runs the stages in the order of the manifest, in which every stage follows its
// dependencies, and returns the output of the last one.
func (p *pipelineRun) run(ctx context.Context) ([]byte, error) {
	stages := p.pipeline.Stages()
	if err := p.prepare(stages); err != nil {
		return nil, err
	}
	for i, stage := range stages {
		if _, ok := p.outputs[stage.Name()]; ok {
			continue
		}
		r, err := p.e.execute(ctx, p.newCall(stages, i))
		if err != nil {
			var failed *callError
			if errors.As(err, &failed) {
				p.ran = p.ran || failed.mayHaveRun
			}
			return nil, err
		}
		p.ran = true
		p.timeline.finished(stage.Name(), r)
		p.outputs[stage.Name()] = r.output
		p.results = append(p.results, stageResult{stage: stage.Name(), result: r})
		if p.onStageDone != nil {
			if err := p.onStageDone(ctx, stage.Name(), r.output); err != nil {
				return nil, err
			}
		}
	}
	return p.outputs[stages[len(stages)-1].Name()], nil
}

// prepare creates the plan of the pipeline and rejects the request early if it can't
// finish in time, so that no stage runs for a result that arrives too late.
func (p *pipelineRun) prepare(stages []*manifest.Stage) error {
	plan, err := newPlan(p.pipeline)
	if err != nil {
		return err
	}
	p.plan = plan
	if p.manifest.Policy() == manifest.PolicyBaseline {
		return nil
	}
	now := p.e.o.Timers.Now()
	var done []string
	var wait time.Duration
	for _, stage := range stages {
		if _, ok := p.outputs[stage.Name()]; ok {
			done = append(done, stage.Name())
			continue
		}
		wait += p.expectedWait(stage, now)
	}
	v := plan.CanFinish(p.e.estimator, done, p.deadline.Sub(now), wait, now)
	if v.Fits {
		return nil
	}
	return &callError{reason: string(v.Reason), detail: fmt.Sprintf("the stages need %v and %v is left", v.Needed.Round(time.Millisecond), v.Left.Round(time.Millisecond))}
}

// expectedWait returns how long a call of the stage would currently wait for a slot.
func (p *pipelineRun) expectedWait(stage *manifest.Stage, now time.Time) time.Duration {
	service, _ := p.manifest.Service(stage.Service())
	return p.e.service(service, p.manifest.Policy()).queue.ExpectedWait(admission.Request{
		Customer: p.customer.Name(), Weight: float64(p.customer.Weight()), Priority: p.class.Priority(), Deadline: p.deadline,
	}, now)
}

func newPlan(pl *manifest.Pipeline) (*budget.Plan, error) {
	stages := make([]budget.Stage, 0, len(pl.Stages()))
	for _, s := range pl.Stages() {
		stages = append(stages, budget.Stage{Name: s.Name(), Needs: s.Needs(), Expected: s.Expected()})
	}
	return budget.NewPlan(pl.Name(), stages)
}

func (p *pipelineRun) newCall(stages []*manifest.Stage, i int) *call {
	stage := stages[i]
	service, _ := p.manifest.Service(stage.Service())
	now := p.e.o.Timers.Now()
	allot := p.plan.Allot(p.e.estimator, stage.Name(), p.deadline.Sub(now), now)
	operation, _ := service.Operation(stage.Operation())
	c := &call{
		request: p.request, customer: p.customer, class: p.class, service: service, operation: operation,
		stage: stage.Name(), model: stage.Model(), input: p.stageInput(stage), deadline: p.deadline,
		key: p.plan.Key(stage.Name()), expected: allot.Expected, typical: allot.Typical, needs: allot.Needs,
		limit: allot.Limit, hedgeAfter: allot.HedgeAfter, priorStagesRan: p.ran,
		policy: p.manifest.Policy(), timeline: p.timeline,
	}
	if service.Kind() == manifest.KindEngine {
		c.prefix, c.maxTokens, c.isEngine = p.prefix, p.maxTokens, true
	}
	if service.Kind() == manifest.KindEngine || p.class.MayWait() {
		// The duration of an engine call depends on its length, so its percentile says
		// nothing about one call. A call that may wait isn't worth a second attempt.
		c.hedgeAfter = 0
	}
	if i == len(stages)-1 {
		c.onToken = p.onToken
	}
	return c
}

// stageInput returns the request's input for a stage without dependencies, and otherwise
// the joined outputs of its dependencies.
func (p *pipelineRun) stageInput(stage *manifest.Stage) []byte {
	if len(stage.Needs()) == 0 {
		return []byte(p.input)
	}
	parts := make([]string, 0, len(stage.Needs()))
	for _, name := range stage.Needs() {
		parts = append(parts, string(p.outputs[name]))
	}
	return []byte(strings.Join(parts, "\n"))
}
