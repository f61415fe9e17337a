package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// Loads through the entry and directly to the stand-in take turns, so that
	// the other users of the machine disturb both alike.
	rounds     = 3
	loadTime   = 3 * time.Second
	roundTime  = 1500 * time.Millisecond
	directTime = 1 * time.Second
	warmTime   = 500 * time.Millisecond
	// streamTokens is the length of the answers of the load levels.
	streamTokens = 64
	// stagesOfRequest is assumed: the middle of 3 to 6.
	stagesOfRequest = 4.5
)

// bench is a small system under load: an entry, an agent for each of two
// targets, and the stand-ins in a process of their own.
type bench struct {
	f       *fleet
	entry   string // address of the caller API
	lookups string // address of the stand-in for the plain service
	engine  string // address of the stand-in for the engine
}

// requestsGroup measures what requests cost the entry and the agents, and what
// both add to the latency of the target.
func requestsGroup(ctx context.Context, o Options, s *series) error {
	f, err := newFleet(ctx, o, 1)
	if err != nil {
		return err
	}
	defer f.stop()
	b, err := newBench(ctx, f, 100)
	if err != nil {
		return err
	}
	b.run(ctx, warmTime, 50, b.call()) // opens connections
	for _, step := range []func(context.Context, *series) error{b.callLevels, b.streamLevels, b.stageLevels, b.tokenLevels} {
		if err := step(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func newBench(ctx context.Context, f *fleet, customers int) (*bench, error) {
	if _, err := f.apply(ctx, manifestText(customers, 5)); err != nil {
		return nil, err
	}
	free, err := freeAddresses(ctx, 2)
	if err != nil {
		return nil, err
	}
	b := &bench{f: f, lookups: free[0], engine: free[1]}
	text := fmt.Sprintf(`standins:
  - {name: lookups-1, service: lookups, kind: service, listen: "%s", slots: 512, operations: [{name: lookup, idempotent: true, duration: 1ms}]}
  - {name: engine-1, service: generators, kind: engine, listen: "%s", slots: 128, engine: {models: [model-7b], step_base: %v, step_per_request: 1us, prompt_per_token: 1us}}
`, b.lookups, b.engine, stepTime)
	file := filepath.Join(f.folder, "standins.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings of the stand-ins")
	}
	if err := f.run(&child{name: "standins"}, "standin", "--settings", file); err != nil {
		return nil, err
	}
	if err := f.start(ctx, "agent", "agent-lookups", "", f.controls, targetSettings("lookups-1", "lookups", b.lookups)); err != nil {
		return nil, err
	}
	if err := f.start(ctx, "agent", "agent-engine", "", f.controls, targetSettings("engine-1", "generators", b.engine)); err != nil {
		return nil, err
	}
	if err := f.start(ctx, "entry", "entry-1", "", f.controls, ""); err != nil {
		return nil, err
	}
	for _, name := range []string{"agent-lookups", "agent-engine", "entry-1"} {
		if err := f.ready(ctx, name); err != nil {
			return nil, err
		}
	}
	b.entry = f.children["entry-1"].listen
	pause(ctx, settleTime)
	return b, nil
}

const input = "Which stems of the voyage are confirmed, and which are still open at the depot?"

func (b *bench) call() post {
	body := fmt.Sprintf(`{"deadline_ms":2000,"input":%q}`, input)
	return post{url: "http://" + b.entry + "/v1/services/lookups/lookup", body: body, want: `"outcome":"done"`}
}

func (b *bench) chain(stages int) post {
	body := fmt.Sprintf(`{"deadline_ms":5000,"input":%q}`, input)
	return post{url: fmt.Sprintf("http://%s/v1/pipelines/chain-%d", b.entry, stages), body: body, want: `"outcome":"done"`}
}

func (b *bench) stream(tokens int) post {
	body := fmt.Sprintf(`{"deadline_ms":5000,"input":%q,"max_tokens":%d}`, input, tokens)
	return post{url: "http://" + b.entry + "/v1/pipelines/talk-" + strconv.Itoa(tokens) + "/stream", body: body, want: `"outcome":"done"`}
}

func (b *bench) directCall() post {
	body := fmt.Sprintf(`{"attempt":"ATTEMPT","request":"ATTEMPT","customer":"load","input":%q,"deadline_ms":2000}`, input)
	return post{url: "http://" + b.lookups + "/v1/stage/lookup", body: body, want: `"output":`}
}

func (b *bench) directStream(tokens int) post {
	body := fmt.Sprintf(`{"attempt":"ATTEMPT","request":"ATTEMPT","customer":"load","model":"model-7b","input":%q,"max_tokens":%d,"deadline_ms":5000}`, input, tokens)
	return post{url: "http://" + b.engine + "/v1/stage/generate", body: body, want: `"output":`}
}

// used is what one load level used of a process, above what it uses without requests.
type used struct {
	entry, agent float64 // ms of processor time in each second
}

// loaded runs a load through the entry and returns its results with what entry
// and agent used.
func (b *bench) loaded(ctx context.Context, lasts time.Duration, agent string, rate float64, p post) (results, used, error) {
	before, err := b.f.read("entry-1", agent)
	if err != nil {
		return results{}, used{}, err
	}
	r := b.run(ctx, lasts, rate, p)
	after, err := b.f.read("entry-1", agent)
	if err != nil {
		return r, used{}, err
	}
	const perCent = 10 // ms of processor time per second in 1% of a core
	return r, used{entry: perCent * after.share(before, "entry-1"), agent: perCent * after.share(before, agent)}, r.check()
}

// level is what one load level measured, each the median of the rounds.
type level struct {
	used   used
	values map[string]float64
}

// latencies names the times of a level.
var latencies = []struct {
	name string
	of   func(r results) []float64
}{
	{"whole answer", func(r results) []float64 { return r.whole }},
	{"first token", func(r results) []float64 { return r.first }},
	{"between tokens", func(r results) []float64 { return r.gaps }},
}

var quantiles = []float64{0.5, 0.95, 0.99}

// level runs a load directly and through the entry by turns.
func (b *bench) level(ctx context.Context, agent string, rate float64, direct, through post) (level, error) {
	l := level{values: make(map[string]float64)}
	all := make(map[string][]float64)
	var entryTime, agentTime []float64
	for range rounds {
		d := b.run(ctx, directTime, rate, direct)
		if err := d.check(); err != nil {
			return l, err
		}
		r, u, err := b.loaded(ctx, roundTime, agent, rate, through)
		if err != nil {
			return l, err
		}
		entryTime, agentTime = append(entryTime, u.entry), append(agentTime, u.agent)
		for _, t := range latencies {
			for _, x := range quantiles {
				name := fmt.Sprintf("%s, p%.0f", t.name, 100*x)
				base := quantile(t.of(d), x)
				all[name+", directly"] = append(all[name+", directly"], base)
				all[name+", added"] = append(all[name+", added"], quantile(t.of(r), x)-base)
			}
		}
	}
	for name, values := range all {
		l.values[name] = median(values)
	}
	l.used = used{entry: median(entryTime), agent: median(agentTime)}
	return l, nil
}

func (l level) add(s *series, what, growsWith string, size, target float64, times ...string) {
	for _, t := range times {
		for _, x := range quantiles {
			for _, how := range []string{"directly", "added"} {
				name := fmt.Sprintf("%s, p%.0f, %s", t, 100*x, how)
				s.add(quantity{what + ": " + name, "ms", growsWith, target}, size, l.values[name])
			}
		}
	}
}

// callLevels measures a call of a plain service, which is one stage.
func (b *bench) callLevels(ctx context.Context, s *series) error {
	const grows = "calls per second"
	const entryTarget, agentTarget = targetRequests * stagesOfRequest / targetNodes, targetRequests * stagesOfRequest / targetWorkers
	for _, rate := range []float64{20, 100, 500} {
		l, err := b.level(ctx, "agent-lookups", rate, b.directCall(), b.call())
		if err != nil {
			return err
		}
		s.add(quantity{"calls: processor of the entry", "ms/s", grows, entryTarget}, rate, l.used.entry)
		s.add(quantity{"calls: processor of the agent", "ms/s", grows, agentTarget}, rate, l.used.agent)
		l.add(s, "calls", grows, rate, entryTarget, "whole answer")
	}
	return nil
}

// streamLevels measures streamed answers of 64 tokens.
func (b *bench) streamLevels(ctx context.Context, s *series) error {
	const grows = "tokens per second"
	const entryTarget, agentTarget = float64(targetTokens) / targetNodes, float64(targetTokens) / targetWorkers
	for _, rate := range []float64{10, 30, 90} {
		l, err := b.level(ctx, "agent-engine", rate, b.directStream(streamTokens), b.stream(streamTokens))
		if err != nil {
			return err
		}
		size := rate * streamTokens
		for _, x := range []role{{"entry", "entry-1"}, {"agent", "agent-engine"}} {
			now, _, err := memory(b.f.children[x.process].pid())
			if err != nil {
				return err
			}
			s.add(quantity{"streams: memory of the " + x.what, "MiB", grows, entryTarget}, size, now/mebi)
		}
		s.add(quantity{"streams: processor of the entry", "ms/s", grows, entryTarget}, size, l.used.entry)
		s.add(quantity{"streams: processor of the agent", "ms/s", grows, agentTarget}, size, l.used.agent)
		l.add(s, "streams", grows, size, entryTarget, "first token", "between tokens")
	}
	return nil
}

// stageLevels measures pipelines of several lengths at one rate.
func (b *bench) stageLevels(ctx context.Context, s *series) error {
	const rate, longest = 100, 6
	q := func(name, unit string) quantity { return quantity{name, unit, "stages", longest} }
	for _, n := range stageCounts {
		r, u, err := b.loaded(ctx, loadTime, "agent-lookups", rate, b.chain(n))
		if err != nil {
			return err
		}
		s.add(q("stages: processor of the entry for a request", "ms"), float64(n), u.entry/rate)
		s.add(q("stages: processor of the agents for a request", "ms"), float64(n), u.agent/rate)
		s.add(q("stages: latency, p50", "ms"), float64(n), quantile(r.whole, 0.5))
	}
	return nil
}

// tokenLevels measures streams of several lengths at one rate.
func (b *bench) tokenLevels(ctx context.Context, s *series) error {
	const rate = 20
	const target = float64(targetTokens) / targetRequests
	q := func(name, unit string) quantity { return quantity{name, unit, "tokens of a request", target} }
	for _, n := range tokenCounts {
		_, u, err := b.loaded(ctx, loadTime, "agent-engine", rate, b.stream(n))
		if err != nil {
			return err
		}
		s.add(q("tokens: processor of the entry for a request", "ms"), float64(n), u.entry/rate)
		s.add(q("tokens: processor of the agent for a request", "ms"), float64(n), u.agent/rate)
	}
	return nil
}

// check fails when a request wasn't answered: figures of a load that was partly
// refused would be those of another load.
func (r *results) check() error {
	if r.failed > 0 || len(r.whole) == 0 {
		return errors.Errorf("%d of %d requests failed: %s", r.failed, r.failed+len(r.whole), strings.TrimSpace(r.firstFailure))
	}
	return nil
}
