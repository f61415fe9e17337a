package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// serveAttempt handles a request of the data path. Refusals are sent only before the call
// has started at the target.
func (a *Agent) serveAttempt(w http.ResponseWriter, r *http.Request) {
	req, err := attempt.DecodeRequest(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	rc := http.NewResponseController(w)
	fw := attempt.NewFrameWriter(w, func() { _ = rc.Flush() })

	// The counter is incremented before the check for shutdown, so that Stop can't miss an
	// attempt that passed the check.
	a.activeAttempts.Add(1)
	defer a.activeAttempts.Done()
	if refusal := a.checkAttempt(req); refusal != nil {
		a.writeRefusal(fw, refusal)
		return
	}
	ctx, cancel := a.attemptContext(r.Context(), req)
	defer cancel()
	rec, known := a.table.begin(req.GetAttempt(), !req.GetIdempotent(), cancel)
	if rec == nil {
		a.writeRefusal(fw, a.refuseKnown(known))
		return
	}
	a.runAttempt(ctx, fw, req, rec)
}

// attemptContext limits an attempt to its remaining time. A non-idempotent call continues
// when its entry disconnects, so that its outcome can still be resolved.
func (a *Agent) attemptContext(parent context.Context, req *wire.AttemptRequest) (context.Context, context.CancelFunc) {
	if !req.GetIdempotent() {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, time.Duration(req.GetTimeLeftMs())*time.Millisecond)
}

func (a *Agent) checkAttempt(req *wire.AttemptRequest) *wire.Refused {
	cfg := a.o.Config.Current()
	switch {
	case req.GetAttempt() == "" || req.GetOperation() == "" || req.GetTimeLeftMs() <= 0:
		return &wire.Refused{Reason: attempt.ReasonBadRequest, Detail: "attempt, operation and time_left_ms are required"}
	case req.GetIncarnation() != a.incarnation:
		return &wire.Refused{Reason: attempt.ReasonOtherIncarnation, Retryable: true, Detail: "the agent was restarted after this attempt was addressed"}
	case !req.GetIdempotent() && a.isOutdated(req):
		return &wire.Refused{Reason: attempt.ReasonOutdated, Detail: "the order was addressed to this agent too long ago to be started"}
	case a.isDraining():
		return &wire.Refused{Reason: attempt.ReasonLeaving, Retryable: true, Detail: "the target is draining"}
	case cfg == nil:
		return &wire.Refused{Reason: attempt.ReasonNotReady, Retryable: true, Detail: "the agent has no configuration yet"}
	case req.GetRevision() < cfg.Revision():
		return &wire.Refused{Reason: attempt.ReasonStaleRevision, Retryable: true, Detail: "the entry's configuration is older than the active one"}
	case a.table.inFlight() >= a.acceptLimit():
		return &wire.Refused{Reason: attempt.ReasonOverloaded, Retryable: true, Detail: "too many attempts wait at the target"}
	}
	return nil
}

// isOutdated reports whether an order was addressed more than orderLifetime ago, by the
// agent's own clock.
func (a *Agent) isOutdated(req *wire.AttemptRequest) bool {
	age := time.Duration(a.clockMs()-req.GetAddressedAtMs()) * time.Millisecond
	return req.GetAddressedAtMs() <= 0 || age > orderLifetime
}

func (a *Agent) acceptLimit() int {
	info := a.info.Load()
	if info == nil {
		return minAccepted
	}
	return max(minAccepted, acceptFactor*int(info.Slots))
}

func (a *Agent) refuseKnown(known attemptState) *wire.Refused {
	switch known {
	case stateBlocked:
		return &wire.Refused{Reason: attempt.ReasonBarred, Detail: "the attempt was blocked before it arrived"}
	case stateRunning, stateFinished:
		return &wire.Refused{Reason: attempt.ReasonDuplicate, Detail: "the attempt has already started here"}
	}
	return &wire.Refused{Reason: attempt.ReasonOverloaded, Retryable: true, Detail: "the table of attempts is full"}
}

func (a *Agent) writeRefusal(fw *attempt.FrameWriter, refusal *wire.Refused) {
	refusal.Revision = a.o.Config.Revision()
	refusal.Load = a.loadReport()
	a.o.Metrics.CountReason("agent_refusals", refusal.GetReason())
	_ = fw.Write(&wire.Frame{Kind: &wire.Frame_Refused{Refused: refusal}})
}

func (a *Agent) runAttempt(ctx context.Context, fw *attempt.FrameWriter, req *wire.AttemptRequest, rec *record) {
	out := &output{fw: fw}
	out.write(&wire.Frame{Kind: &wire.Frame_Started{Started: &wire.Started{
		Attempt: req.GetAttempt(), Incarnation: a.incarnation, Revision: a.o.Config.Revision(), Load: a.loadReport(),
	}}})
	stop := a.keepAlive(out)
	onToken := func(t *wire.Token) {
		if req.GetStream() {
			out.write(&wire.Frame{Kind: &wire.Frame_Token{Token: t}})
		}
	}
	result := a.target.run(ctx, req, onToken)
	stop()
	if result.GetCanceled() || result.GetError() == ErrorDeadline {
		a.cancelAtTarget(req.GetAttempt())
	}
	result.Revision = a.o.Config.Revision()
	result.Load = a.loadReport()
	result.Load.CacheFirst, result.Load.CacheEvents = a.cache.since(req.GetCacheSeen(), a.o.Timers.Now())
	a.table.finish(rec, result)
	a.o.Metrics.CountReason("agent_results", resultKind(result))
	out.write(&wire.Frame{Kind: &wire.Frame_Result{Result: result}})
}

func resultKind(r *wire.AttemptResult) string {
	switch {
	case r.GetError() == "":
		return "done"
	case r.GetCanceled():
		return "canceled"
	}
	return "failed"
}

func (a *Agent) cancelAtTarget(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), targetQueryTimeout)
	defer cancel()
	body := struct {
		Attempt string `json:"attempt"`
	}{id}
	_ = a.target.post(ctx, "/v1/cancel", body, nil)
}

// keepAlive writes a keep-alive frame every KeepAlivePeriod until the returned function is
// called.
func (a *Agent) keepAlive(out *output) (stop func()) {
	ticker := a.o.Timers.Subscribe(attempt.KeepAlivePeriod)
	quit := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C():
				out.write(&wire.Frame{Kind: &wire.Frame_KeepAlive{KeepAlive: &wire.KeepAlive{}}})
			case <-quit:
				return
			}
		}
	})
	return func() {
		close(quit)
		wg.Wait()
	}
}

// output serializes the frames of one response. Write errors are ignored, because they
// mean that the entry has closed the connection, which the attempt's context reports too.
type output struct {
	mu sync.Mutex
	fw *attempt.FrameWriter
}

func (o *output) write(f *wire.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.fw.Write(f)
}
