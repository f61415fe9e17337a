package standin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// engine is a model engine with continuous batching. Every step it processes a
// chunk of prompts and decodes one token of each request whose prompt is done.
type engine struct {
	life    *lifetime
	options EngineOptions
	slots   int
	limit   int
	wake    chan struct{}

	mu    sync.Mutex
	queue []*sequence // by priority, then by arrival
	batch []*sequence
	cache *prefixCache
	state EngineState
}

// bytesPerToken estimates the prompt tokens of a call that doesn't say them.
const bytesPerToken = 4

// sequence is one request in the engine.
type sequence struct {
	request  StageRequest
	total    int // tokens of the whole text
	produced int // next offset
	prompt   int // prompt tokens still to process
	busy     time.Duration
	ran      bool
	ended    bool
	news     chan struct{} // holds a value after produced or ended changed
}

func newEngine(l *lifetime, o Options) *engine {
	return &engine{
		life: l, options: o.Engine, slots: o.Slots, limit: o.Queue,
		wake:  make(chan struct{}, 1),
		cache: newPrefixCache(o.Engine, l.standin.timer),
		state: newEngineState(o.Engine),
	}
}

// run generates the text of one attempt and hands every token to emit.
func (e *engine) run(a *activeAttempt, emit func(TokenEvent) error) (StageResult, work, error) {
	seq, err := e.add(a.request)
	if err != nil {
		return StageResult{}, work{}, err
	}
	defer e.remove(seq)
	origin := Origin(a.request.Input)
	next := a.request.FromOffset
	for {
		produced, ended := e.progress(seq)
		for ; next < produced; next++ {
			text := Token(origin, a.request.Request, seq.total, next)
			if err := emit(TokenEvent{Offset: next, Text: text}); err != nil {
				return StageResult{}, e.remove(seq), err
			}
		}
		if ended {
			break
		}
		select {
		case <-seq.news:
		case <-a.ctx.Done():
			return StageResult{}, e.remove(seq), a.ctx.Err()
		}
	}
	w := e.remove(seq)
	if next < seq.total {
		return StageResult{}, w, context.Canceled
	}
	return StageResult{
		Attempt: a.request.Attempt, Request: a.request.Request, BusyMS: millis(w.busy), Tokens: seq.total,
		Output: Text(origin, a.request.Request, 0, seq.total),
	}, w, nil
}

func (e *engine) add(r StageRequest) (*sequence, error) {
	total := max(r.MaxTokens, MinTokens)
	seq := &sequence{request: r, total: total, produced: min(r.FromOffset, total), news: make(chan struct{}, 1)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.allow(r); err != nil {
		return nil, err
	}
	if len(e.queue) >= e.limit {
		return nil, errOverloaded
	}
	at := len(e.queue)
	for at > 0 && e.queue[at-1].request.Priority > r.Priority {
		at--
	}
	e.queue = slices.Insert(e.queue, at, seq)
	e.notify()
	return seq, nil
}

// remove takes the sequence out of the engine and returns what it used.
func (e *engine) remove(seq *sequence) work {
	e.mu.Lock()
	defer e.mu.Unlock()
	is := func(x *sequence) bool { return x == seq }
	e.queue = slices.DeleteFunc(e.queue, is)
	e.batch = slices.DeleteFunc(e.batch, is)
	return work{busy: seq.busy, ran: seq.ran, tokens: max(0, seq.produced-seq.request.FromOffset)}
}

func (e *engine) progress(seq *sequence) (produced int, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seq.produced, seq.ended
}

// loop steps until the lifetime ends.
func (e *engine) loop() {
	ctx := e.life.ctx
	for ctx.Err() == nil {
		d, promptBudget := e.plan()
		if d == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		slow := e.life.standin.faults.slow(OperationGenerate)
		if e.life.spend(ctx, d, slow) == nil {
			e.step(time.Duration(float64(d)*slow), promptBudget)
		}
	}
}

// plan fills the batch and returns the duration of the next step, 0 when there
// is nothing to do, and the prompt tokens it processes.
func (e *engine) plan() (time.Duration, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch) < e.slots && len(e.queue) > 0 {
		seq := e.queue[0]
		e.queue = e.queue[1:]
		e.admit(seq)
	}
	if len(e.batch) == 0 {
		return 0, 0
	}
	prompt := 0
	for _, seq := range e.batch {
		prompt += seq.prompt
	}
	prompt = min(prompt, e.options.PromptChunk)
	d := e.options.StepBase + time.Duration(len(e.batch))*e.options.StepPerRequest
	return d + time.Duration(prompt)*e.options.PromptPerToken, prompt
}

func (e *engine) admit(seq *sequence) {
	seq.ran = true
	prompt := cmp.Or(seq.request.PromptTokens, len(seq.request.Input)/bytesPerToken)
	cached := e.cache.use(seq.request.Prefix, min(prompt, e.options.PrefixTokens))
	// The tokens of a resumed text are part of the prompt.
	seq.prompt = prompt - cached + seq.request.FromOffset
	e.batch = append(e.batch, seq)
}

// step applies a step that took d to the requests still in the batch.
func (e *engine) step(d time.Duration, promptBudget int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.batch) == 0 {
		return
	}
	share := d / time.Duration(len(e.batch))
	for _, seq := range e.batch {
		seq.busy += share
		done := min(seq.prompt, promptBudget)
		seq.prompt -= done
		promptBudget -= done
		if seq.prompt == 0 {
			seq.produced++
		}
		seq.ended = seq.produced >= seq.total
		seq.notify()
	}
	e.batch = slices.DeleteFunc(e.batch, func(seq *sequence) bool { return seq.ended })
}

func (e *engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *engine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{
		Queued: len(e.queue), Running: len(e.batch), Models: append([]string{}, e.state.Models...), CachedTokens: e.cache.used,
	}
}

func (s *sequence) notify() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}
