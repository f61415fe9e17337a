package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// serveAttempt is the data path. Every refusal leaves before the call has
// started at the target.
func (a *Agent) serveAttempt(w http.ResponseWriter, r *http.Request) {
	req, err := attempt.DecodeRequest(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	rc := http.NewResponseController(w)
	fw := attempt.NewFrameWriter(w, func() { _ = rc.Flush() })

	// The counter is raised before the check for leaving, so that Stop can't miss
	// an attempt that passed the check.
	a.active.Add(1)
	defer a.active.Done()
	if refusal := a.refuse(req); refusal != nil {
		a.refused(fw, refusal)
		return
	}
	ctx, cancel := a.attemptContext(r.Context(), req)
	defer cancel()
	rec, known := a.table.begin(req.GetAttempt(), !req.GetIdempotent(), cancel)
	if rec == nil {
		a.refused(fw, a.knownRefusal(known))
		return
	}
	a.runAttempt(ctx, fw, req, rec)
}

// attemptContext bounds an attempt by its time left. A call that must not repeat
// goes on when its entry is gone, so that its outcome can still be settled.
func (a *Agent) attemptContext(parent context.Context, req *wire.AttemptRequest) (context.Context, context.CancelFunc) {
	if !req.GetIdempotent() {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, time.Duration(req.GetTimeLeftMs())*time.Millisecond)
}

func (a *Agent) refuse(req *wire.AttemptRequest) *wire.Refused {
	cfg := a.o.Config.Current()
	switch {
	case req.GetAttempt() == "" || req.GetOperation() == "" || req.GetTimeLeftMs() <= 0:
		return &wire.Refused{Reason: attempt.ReasonBadRequest, Detail: "attempt, operation and time left are required"}
	case req.GetIncarnation() != a.incarnation:
		return &wire.Refused{Reason: attempt.ReasonOtherIncarnation, Retryable: true, Detail: "the agent was restarted after this attempt was addressed"}
	case !req.GetIdempotent() && a.isOutdated(req):
		return &wire.Refused{Reason: attempt.ReasonOutdated, Detail: "the order was addressed to this agent too long ago to start now"}
	case a.isLeaving():
		return &wire.Refused{Reason: attempt.ReasonLeaving, Retryable: true, Detail: "the target is leaving"}
	case cfg == nil:
		return &wire.Refused{Reason: attempt.ReasonNotReady, Retryable: true, Detail: "the agent knows no configuration yet"}
	case req.GetRevision() < cfg.Revision():
		return &wire.Refused{Reason: attempt.ReasonStaleRevision, Retryable: true, Detail: "the entry's configuration is older than the one in force"}
	case a.table.inFlight() >= a.acceptLimit():
		return &wire.Refused{Reason: attempt.ReasonOverloaded, Retryable: true, Detail: "too many attempts wait at the target"}
	}
	return nil
}

// isOutdated reports whether an order was addressed more than orderLifetime ago.
// Only the agent's own clock counts.
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

func (a *Agent) knownRefusal(known attemptState) *wire.Refused {
	switch known {
	case stateBarred:
		return &wire.Refused{Reason: attempt.ReasonBarred, Detail: "the attempt was barred before it arrived"}
	case stateRunning, stateFinished:
		return &wire.Refused{Reason: attempt.ReasonDuplicate, Detail: "the attempt has already started here"}
	}
	return &wire.Refused{Reason: attempt.ReasonOverloaded, Retryable: true, Detail: "the table of attempts is full"}
}

func (a *Agent) refused(fw *attempt.FrameWriter, refusal *wire.Refused) {
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
	ctx, cancel := context.WithTimeout(context.Background(), targetQueryBound)
	defer cancel()
	body := struct {
		Attempt string `json:"attempt"`
	}{id}
	_ = a.target.post(ctx, "/v1/cancel", body, nil)
}

// keepAlive writes a frame every KeepAlivePeriod until the returned function is called.
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

// output serialises the frames of one answer. Write errors are ignored: the
// entry has closed the connection, and the attempt's context tells the rest.
type output struct {
	mu sync.Mutex
	fw *attempt.FrameWriter
}

func (o *output) write(f *wire.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.fw.Write(f)
}
