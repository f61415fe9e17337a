package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const maxBodyBytes = 4 << 20

func (l *lifetime) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/info", l.unfrozen(l.serveInfo))
	mux.HandleFunc("POST /v1/stage/{operation}", l.unfrozen(l.serveStage))
	mux.HandleFunc("POST /v1/cancel", l.unfrozen(l.serveCancel))
	mux.HandleFunc("GET /v1/load", l.unfrozen(l.serveLoad))
	switch k := l.worker.(type) {
	case *engine:
		l.engineRoutes(mux, k)
	case *weightStore:
		mux.HandleFunc("POST /v1/weights/{model}", l.unfrozen(l.serveWeights(k)))
	}
	// The account and the faults stay in reach while the stand-in is frozen.
	mux.HandleFunc("GET /v1/account", l.serveAccount)
	mux.HandleFunc("POST /v1/faults", l.serveFaults)
	return mux
}

// unfrozen delays a call while the stand-in is frozen.
func (l *lifetime) unfrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if l.standin.faults.wait(r.Context()) == nil {
			next(w, r)
		}
	}
}

func (l *lifetime) serveInfo(w http.ResponseWriter, _ *http.Request) {
	o := &l.standin.options
	i := Info{Name: o.Name, Kind: o.Kind, Service: o.Service, Slots: o.Slots, Models: []string{}}
	if e, ok := l.worker.(*engine); ok {
		e.mu.Lock()
		state := e.state.clone()
		e.mu.Unlock()
		i.Models, i.Adapters, i.Versions, i.Role = state.Models, state.Adapters, state.Versions, state.Role
		i.ChecksFencing = o.Engine.ChecksFencing
	}
	writeJSON(w, http.StatusOK, i)
}

func (l *lifetime) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.report())
}

func (l *lifetime) serveAccount(w http.ResponseWriter, r *http.Request) {
	from, err := numberParam(r, "from")
	if err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	writeJSON(w, http.StatusOK, l.standin.Account(from))
}

func (l *lifetime) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f FaultCall
	if err := readStrictJSON(r, &f); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	if err := f.check(l.standin.options.Name); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	l.standin.faults.set(f.Faults)
	// The whole answer leaves before this connection goes silent or is closed. The
	// caller must not use the connection again.
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	l.standin.strike(f)
}

func (l *lifetime) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c CancelRequest
	if err := readJSON(r, &c); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	writeJSON(w, http.StatusOK, CancelResult{Attempt: c.Attempt, State: l.cancel(c.Attempt)})
}

// cancel stops an attempt and returns its state, as CancelResult describes it.
func (l *lifetime) cancel(attempt string) string {
	v, ok := l.active.Load(attempt)
	if !ok {
		return l.standin.book.state(attempt)
	}
	if v.(*activeAttempt).stop() {
		return StateCanceled
	}
	return StateRunning
}

func (l *lifetime) serveStage(w http.ResponseWriter, r *http.Request) {
	var req StageRequest
	if err := readJSON(r, &req); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	if req.Attempt == "" || req.Request == "" || req.FromOffset < 0 || req.PromptTokens < 0 {
		writeRefusal(w, badRequest(errors.New("want attempt, request and no negative numbers")))
		return
	}
	op, ok := l.operation(r.PathValue("operation"))
	if !ok {
		writeRefusal(w, errUnknown)
		return
	}
	a, err := l.open(r.Context(), op.Name, req)
	if err != nil {
		writeRefusal(w, refusalOf(err))
		return
	}
	defer l.close(a)
	l.attempt(w, a, op)
}

func (l *lifetime) operation(name string) (Operation, bool) {
	for _, op := range l.standin.options.Operations {
		if op.Name == name {
			return op, true
		}
	}
	return Operation{}, false
}

// open makes the attempt cancelable. It refuses an attempt id that is in use.
func (l *lifetime) open(ctx context.Context, operation string, req StageRequest) (*activeAttempt, error) {
	a := &activeAttempt{request: req, faults: l.standin.faults.call(operation)}
	if req.DeadlineMS > 0 {
		a.ctx, a.cancel = context.WithTimeout(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
	} else {
		a.ctx, a.cancel = context.WithCancel(ctx)
	}
	if _, taken := l.active.LoadOrStore(req.Attempt, a); taken {
		a.cancel()
		return nil, badRequest(errors.New("the attempt is running"))
	}
	return a, nil
}

func (l *lifetime) close(a *activeAttempt) {
	l.active.Delete(a.request.Attempt)
	a.cancel()
}

// attempt runs an attempt, answers it and records it.
func (l *lifetime) attempt(w http.ResponseWriter, a *activeAttempt, op Operation) {
	seq := l.standin.book.begin(op.Name, a.request, l.standin.timer.Now())
	var result StageResult
	var used work
	err := error(errFault)
	answer := answerWriter(&jsonAnswer{w: w})
	if !a.faults.fails {
		switch k := l.worker.(type) {
		case *engine:
			stream := &eventAnswer{w: w}
			answer = stream
			result, used, err = k.run(a, stream.token)
		case *pool:
			result, used, err = k.run(a, op)
		}
	}
	// The record ends before the answer, so that whoever has the answer finds it.
	l.standin.book.end(seq, op.Name, a.request, used, stateOf(err), l.standin.timer.Now())
	if l.standin.faults.wait(l.ctx) != nil {
		// A process that has died answers nothing, not even an empty success.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		answer.refusal(refusalOf(err))
		return
	}
	answer.result(result)
}

func stateOf(err error) string {
	switch {
	case err == nil:
		return StateFinished
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return StateCanceled
	default:
		return StateFailed
	}
}

// answerWriter writes the end of an answer.
type answerWriter interface {
	result(r StageResult)
	refusal(e *refusalError)
}

type jsonAnswer struct{ w http.ResponseWriter }

func (a *jsonAnswer) result(r StageResult)    { writeJSON(a.w, http.StatusOK, r) }
func (a *jsonAnswer) refusal(e *refusalError) { writeRefusal(a.w, e) }

// eventAnswer writes server-sent events. A refusal before the first event is
// answered with its status instead.
type eventAnswer struct {
	w       http.ResponseWriter
	started bool
}

func (a *eventAnswer) token(t TokenEvent) error { return a.send("token", t) }

func (a *eventAnswer) result(r StageResult) { _ = a.send("done", r) }

func (a *eventAnswer) refusal(e *refusalError) {
	if !a.started {
		writeRefusal(a.w, e)
		return
	}
	_ = a.send("error", Refusal{Reason: e.reason, Detail: e.detail})
}

func (a *eventAnswer) send(event string, v any) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode event %s", event)
	}
	if _, err := fmt.Fprintf(a.w, "event: %s\ndata: %s\n\n", event, data); err != nil {
		return errors.Wrapf(err, "write event %s", event)
	}
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return errors.Wrapf(err, "flush event %s", event)
	}
	return nil
}

// readJSON passes over unknown fields, as engines of different versions do.
func readJSON(r *http.Request, v any) error {
	return decode(json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)), r, v)
}

func readStrictJSON(r *http.Request, v any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	return decode(d, r, v)
}

// decode also reads the rest of the body, because the server notices that a
// caller has gone only after the end of the body.
func decode(d *json.Decoder, r *http.Request, v any) error {
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "decode body")
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxBodyBytes)
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeRefusal(w http.ResponseWriter, e *refusalError) {
	writeJSON(w, e.status, Refusal{Reason: e.reason, Detail: e.detail})
}

func numberParam(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "parameter %s", name)
	}
	return n, nil
}
