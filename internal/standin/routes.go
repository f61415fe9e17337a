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

func (s *Standin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/info", s.unfrozen(s.serveInfo))
	mux.HandleFunc("POST /v1/stage/{operation}", s.unfrozen(s.serveStage))
	mux.HandleFunc("POST /v1/cancel", s.unfrozen(s.serveCancel))
	mux.HandleFunc("GET /v1/load", s.unfrozen(s.serveLoad))
	// The account and the faults stay in reach while the stand-in is frozen.
	mux.HandleFunc("GET /v1/account", s.serveAccount)
	mux.HandleFunc("POST /v1/faults", s.serveFaults)
	return mux
}

// unfrozen delays a call while the stand-in is frozen.
func (s *Standin) unfrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.wait(r.Context()) == nil {
			next(w, r)
		}
	}
}

func (s *Standin) serveInfo(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Info{
		Name: s.options.Name, Kind: s.options.Kind, Service: s.options.Service,
		Models: s.worker.load().Models, ChecksFencing: s.options.Engine.ChecksFencing,
		Slots: s.options.Slots, Role: s.options.Engine.Role,
	})
}

func (s *Standin) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Load())
}

func (s *Standin) serveAccount(w http.ResponseWriter, r *http.Request) {
	from, err := numberParam(r, "from")
	if err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	writeJSON(w, http.StatusOK, s.Account(from))
}

func (s *Standin) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := readStrictJSON(r, &f); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	if err := s.SetFaults(f); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	writeJSON(w, http.StatusOK, f)
}

func (s *Standin) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c CancelRequest
	if err := readJSON(r, &c); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	writeJSON(w, http.StatusOK, CancelResult{Attempt: c.Attempt, State: s.cancel(c.Attempt)})
}

// cancel stops an attempt and returns its state, as CancelResult describes it.
func (s *Standin) cancel(attempt string) string {
	v, ok := s.active.Load(attempt)
	if !ok {
		return s.book.state(attempt)
	}
	if v.(*activeAttempt).stop() {
		return StateCanceled
	}
	return StateRunning
}

func (s *Standin) serveStage(w http.ResponseWriter, r *http.Request) {
	var req StageRequest
	if err := readJSON(r, &req); err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	if req.Attempt == "" || req.Request == "" || req.FromOffset < 0 || req.PromptTokens < 0 {
		writeRefusal(w, badRequest(errors.New("want attempt, request and no negative numbers")))
		return
	}
	op, ok := s.operation(r.PathValue("operation"))
	if !ok {
		writeRefusal(w, errUnknown)
		return
	}
	a, err := s.open(r.Context(), req)
	if err != nil {
		writeRefusal(w, refusalOf(err))
		return
	}
	defer s.close(a)
	s.attempt(w, a, op)
}

func (s *Standin) operation(name string) (Operation, bool) {
	for _, op := range s.options.Operations {
		if op.Name == name {
			return op, true
		}
	}
	return Operation{}, false
}

// open makes the attempt cancelable. It refuses an attempt id that is in use.
func (s *Standin) open(ctx context.Context, req StageRequest) (*activeAttempt, error) {
	a := &activeAttempt{request: req}
	if req.DeadlineMS > 0 {
		a.ctx, a.cancel = context.WithTimeout(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
	} else {
		a.ctx, a.cancel = context.WithCancel(ctx)
	}
	if _, taken := s.active.LoadOrStore(req.Attempt, a); taken {
		a.cancel()
		return nil, badRequest(errors.New("the attempt is running"))
	}
	return a, nil
}

func (s *Standin) close(a *activeAttempt) {
	s.active.Delete(a.request.Attempt)
	a.cancel()
}

// attempt runs an attempt, answers it and records it.
func (s *Standin) attempt(w http.ResponseWriter, a *activeAttempt, op Operation) {
	seq := s.book.begin(op.Name, a.request, s.timer.Now())
	var result StageResult
	var used work
	err := error(errFault)
	answer := answerWriter(&jsonAnswer{w: w})
	if !s.faults.fails() {
		switch k := s.worker.(type) {
		case *engine:
			stream := &eventAnswer{w: w}
			answer = stream
			result, used, err = k.run(a, stream.token)
		case *pool:
			result, used, err = k.run(a, op)
		}
	}
	// The record ends before the answer, so that whoever has the answer finds it.
	s.book.end(seq, op.Name, a.request, used, stateOf(err), s.timer.Now())
	if s.faults.wait(s.life) != nil {
		return
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
	return decode(json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)), v)
}

func readStrictJSON(r *http.Request, v any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	return decode(d, v)
}

func decode(d *json.Decoder, v any) error {
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "decode body")
	}
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
