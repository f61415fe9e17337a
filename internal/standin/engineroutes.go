package standin

import (
	"context"
	"net/http"
)

// engineRoutes adds the calls that only engines answer.
func (l *lifetime) engineRoutes(mux *http.ServeMux, e *engine) {
	mux.HandleFunc("GET /v1/cache-events", l.unfrozen(e.serveCacheEvents))
	mux.HandleFunc("POST /v1/engine-orders", l.unfrozen(serveCall(e.order)))
	mux.HandleFunc("POST /v1/kv-export", l.unfrozen(serveCall(func(ctx context.Context, b KVBlock) (KVBlock, error) {
		return e.export(ctx, b.Prefix)
	})))
	mux.HandleFunc("POST /v1/kv-import", l.unfrozen(serveCall(func(ctx context.Context, b KVBlock) (KVBlock, error) {
		return b, e.importKV(ctx, b)
	})))
}

// serveCall answers a JSON call with what f returns.
func serveCall[Q, A any](f func(context.Context, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := readStrictJSON(r, &q); err != nil {
			writeRefusal(w, badRequest(err))
			return
		}
		a, err := f(r.Context(), q)
		if err != nil {
			writeRefusal(w, refusalOf(err))
			return
		}
		writeJSON(w, http.StatusOK, a)
	}
}

func (e *engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := numberParam(r, "after")
	if err != nil {
		writeRefusal(w, badRequest(err))
		return
	}
	e.mu.Lock()
	events := e.cache.since(after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// serveWeights answers reads from a weight store and records them in the account.
func (l *lifetime) serveWeights(store *weightStore) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		model := r.PathValue("model")
		serveCall(func(ctx context.Context, q WeightRequest) (WeightResult, error) {
			s := l.standin
			call := StageRequest{Attempt: q.Reader + "/" + model, Request: model, Customer: q.Reader}
			seq := s.book.begin(operationWeights, call, s.timer.Now())
			start := s.timer.Now()
			err := store.read(ctx, q.Bytes, s.faults.call(operationWeights).slow)
			used := work{busy: s.timer.Since(start), ran: true}
			s.book.end(seq, operationWeights, call, used, stateOf(err), s.timer.Now())
			return WeightResult{Model: model, Bytes: q.Bytes, BusyMS: millis(used.busy)}, err
		})(w, r)
	}
}
