package gateway

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/upstream"
)

const (
	// maxChoices bounds the targets chosen for one request, most of which did not
	// run it: they were full, left, or didn't take the connection.
	maxChoices = 4
	// nonIdempotentIdle bounds the idle time of a connection that carries a request
	// which can't be sent again when the target has just closed it.
	nonIdempotentIdle = time.Second
	// prefillRate is the nominal number of prompt tokens that an engine reads in a
	// second, and firstTokenTime what else passes until the first event. They scale
	// the latencies of long and short prompts to each other.
	prefillRate    = 40_000
	firstTokenTime = 30 * time.Millisecond
	// attemptShare is the part of the time left that one attempt may take when
	// another one could follow.
	attemptShare = 0.5
	// fullRetry is the time after which a caller may come back when all targets
	// are full.
	fullRetry = 200 * time.Millisecond
	// returnTime is the time that a caller who is refused needs at least to return and be served.
	returnTime = 500 * time.Millisecond
)

// verdict is what follows from an attempt.
type verdict int

const (
	answered verdict = iota // the caller has its answer
	notRun                  // the request did not run there
	mayHaveRun
	inputGone // a result of a stage is gone; it did not run
)

// forward sends the request to targets until one answers it.
func (x *exchange) forward(ctx context.Context, inputs *inputs) {
	defer inputs.free()
	x.g.o.Retries.Request(x.service, x.g.o.Timers.Now())
	pool := x.g.pool(x.service)
	if pool == nil {
		x.refuse("no_target", x.targetRetry())
		return
	}
	for {
		if ctx.Err() != nil {
			x.giveUp(ctx)
			return
		}
		if x.g.refusing.Load() {
			x.refuse("stopping", stoppingRetry)
			return
		}
		if x.refuseBlocked() {
			return
		}
		choice, err := x.pick(pool)
		if err != nil {
			x.lastErr = err.Error()
			x.refuse(noTargetReason(err), x.targetRetry())
			return
		}
		x.tried = append(x.tried, choice.Target)
		x.target, x.software = choice.Target, choice.Software
		v := x.attempt(ctx, pool, choice, inputs)
		if v == answered {
			return
		}
		if ctx.Err() != nil {
			x.giveUp(ctx)
			return
		}
		if v == inputGone {
			again, ok := x.runStages(ctx)
			if !ok {
				return
			}
			inputs.replace(again)
		}
		if !x.mayRepeat(v) {
			return
		}
	}
}

// pick chooses a target. While the versions of streams can't be stored, new streams go to the
// version that needs no record, if it has a target.
func (x *exchange) pick(pool *routing.Pool) (routing.Choice, error) {
	now := x.g.o.Timers.Now()
	if x.isNewStream() {
		if software, ok := x.g.unstoredVersion(x.service); ok {
			r := x.routingRequest()
			r.OneVersion, r.Software = true, software
			if choice, err := pool.Pick(r, now); err == nil {
				return choice, nil
			}
		}
	}
	return pool.Pick(x.routingRequest(), now)
}

// targetRetry returns the time after which a caller may come back for whose request there is no
// target.
func (x *exchange) targetRetry() time.Duration {
	if x.oneVersion {
		return x.g.versionRetry(x.service, x.version)
	}
	return x.g.targetRetry(x.service)
}

// noTargetReason returns the reason of a refusal for lack of a target.
func noTargetReason(err error) string {
	var shortage *routing.NoTargetError
	if errors.As(err, &shortage) && shortage.Shortage() == routing.ShortageNoVersion {
		return "version_gone"
	}
	return "no_target"
}

func (x *exchange) routingRequest() routing.Request {
	return routing.Request{
		Prefix: x.prefix(), Rendezvous: true, DomainWeights: x.g.domainWeights(x.route.Name()), OneVersion: x.oneVersion, Software: x.version, Exclude: x.tried, MayProbe: x.route.Retryable() && x.ran == 0,
	}
}

// homeDomain returns the failure domain of the target that the request will most
// likely go to, so that its stages run where their results are fetched.
func (x *exchange) homeDomain() string {
	if pool := x.g.pool(x.service); pool != nil {
		if domain, ok := pool.HomeDomain(x.routingRequest(), x.g.o.Timers.Now()); ok {
			return domain
		}
	}
	return x.g.o.FailureDomain
}

// prefix names the part of the prompt that other requests share.
func (x *exchange) prefix() string {
	n := len(x.r.Prompt) - 1
	if n <= 0 {
		return ""
	}
	return promptIDs(x.r.Prompt[:n])
}

// promptIDs returns the ids of parts of a prompt, separated by commas.
func promptIDs(parts []PromptPart) string {
	ids := make([]string, len(parts))
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return strings.Join(ids, ",")
}

// mayRepeat decides whether another target is tried, and answers the caller if not.
func (x *exchange) mayRepeat(v verdict) bool {
	ran := v == mayHaveRun
	switch {
	case ran && !x.route.Retryable():
		x.fail(http.StatusBadGateway, "may_have_run")
		return false
	case ran && x.ran >= x.route.MaxAttempts():
		x.fail(http.StatusBadGateway, "attempts_spent")
		return false
	case ran && x.suspectedReason() != "":
		x.fail(http.StatusBadGateway, x.suspectedReason())
		return false
	case len(x.tried) >= maxChoices:
		x.refuse("no_other_target", x.targetRetry())
		return false
	}
	now := x.g.o.Timers.Now()
	urgent := x.ran > 0 || x.deadline.Sub(now) < returnTime
	d := x.g.o.Retries.Repeat(x.service, urgent, now)
	x.g.o.Metrics.CountReason("repeats", repeatOutcome(d, urgent))
	if d.Allowed {
		klog.InfoS("Request sent again", "request", x.r.ID, "service", x.service, "after", x.target, "software", x.software, "begun", x.started, "ran", ran, "urgent", urgent,
			"budget_left", x.g.o.Retries.Held(x.service, now), "gateways", x.g.o.Retries.Members(), "cause", x.lastErr)
		return true
	}
	x.lastErr = string(d.Reason) + " after " + x.lastErr
	x.refuse("retry_budget", x.targetRetry())
	return false
}

// repeatOutcome returns the name under which a decision on a repeat is counted.
func repeatOutcome(d budget.Decision, urgent bool) string {
	name := "refused"
	if d.Allowed {
		name = "sent"
	}
	if urgent {
		return name + "_urgent"
	}
	return name
}

// attempt sends the request to one target.
func (x *exchange) attempt(ctx context.Context, pool *routing.Pool, choice routing.Choice, in *inputs) verdict {
	began := x.g.o.Timers.Now()
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.storeOrigin(choice.Software)
	begun := make(chan struct{})
	go x.awaitFetch(actx, in, begun)
	resp, err := x.send(actx, cancel, x.call(choice, in.handles()))
	close(begun)
	if err != nil {
		return x.noAnswer(ctx, pool, choice, err)
	}
	a := x.g.o.Codec.DecodeResponse(resp.Response)
	x.g.recordNotice(choice, a.Notice, began)
	if a.NotExecuted || a.Misdirected {
		return x.notRunThere(pool, choice, resp, a)
	}
	x.ran++
	if resp.StatusCode >= http.StatusInternalServerError && x.route.Kind() == catalog.Idempotent && x.ran < x.route.MaxAttempts() {
		resp.Drain()
		pool.Finish(choice, routing.Failure{}, x.g.o.Timers.Now())
		x.lastErr = resp.Status
		return mayHaveRun
	}
	return x.deliver(ctx, cancel, pool, choice, resp, in, began)
}

// awaitFetch reports the inputs of an attempt as fetched, unless the attempt ends or its answer
// begins first.
func (x *exchange) awaitFetch(ctx context.Context, in *inputs, begun <-chan struct{}) {
	if len(in.handles()) == 0 || !x.g.release.allowed(x.g.o.Timers.Now()) {
		return
	}
	select {
	case <-x.g.o.Timers.After(fetchTime):
		x.released.Store(true)
		x.g.release.recordRelease()
		in.fetched(ctx)
	case <-begun:
	case <-ctx.Done():
	}
}

// send sends the request and waits until its answer begins. An attempt that could
// be followed by another is cancelled in time for that.
func (x *exchange) send(ctx context.Context, cancel context.CancelFunc, c upstream.Call) (*upstream.Response, error) {
	if !x.route.Retryable() || x.ran+1 >= x.route.MaxAttempts() {
		return x.g.o.Upstream.Do(ctx, c)
	}
	left := x.deadline.Sub(x.g.o.Timers.Now())
	patience := x.g.o.Timers.After(time.Duration(float64(left) * attemptShare))
	begun := make(chan struct{})
	defer close(begun)
	go func() {
		select {
		case <-patience:
			cancel()
		case <-begun:
		}
	}()
	return x.g.o.Upstream.Do(ctx, c)
}

// call returns the request to a target.
func (x *exchange) call(choice routing.Choice, handles []string) upstream.Call {
	left := x.deadline.Sub(x.g.o.Timers.Now())
	r := &http.Request{
		Method: x.in.Method, Host: x.in.Host, URL: &url.URL{Scheme: "http", Host: choice.Address},
		Header: x.g.o.Codec.EncodeRequestHeader(x.in.Header, OutboundMetadata{
			Target: choice.Target, Customer: x.customer, RemainingTime: left, Inputs: handles, ResumeAfter: x.resumeAfter(),
		}),
	}
	c := upstream.Call{Address: choice.Address, Request: r, RequestTarget: x.in.RequestURI, Body: x.body, Match: x.matchResponse}
	// A late copy of the target's earlier response has the same id.
	c.NewConnection = x.regained
	c.Withdrawn = func() bool { return x.g.takesNoRequests(choice) }
	if !x.route.Retryable() {
		c.MaxIdle = nonIdempotentIdle
	}
	return c
}

func (x *exchange) matchResponse(resp *http.Response) upstream.Match {
	switch x.g.o.Codec.DecodeResponse(resp).RequestID {
	case x.r.ID:
		return upstream.Matched
	case "":
		return upstream.Unnamed
	}
	return upstream.Mismatched
}

// noAnswer judges an attempt without an answer.
func (x *exchange) noAnswer(ctx context.Context, pool *routing.Pool, choice routing.Choice, err error) verdict {
	now := x.g.o.Timers.Now()
	x.lastErr = err.Error()
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.MayHaveArrived()
	if ctx.Err() != nil || errors.Is(err, upstream.ErrWithdrawn) {
		pool.Finish(choice, routing.Canceled{}, now)
	} else {
		pool.Finish(choice, routing.Failure{}, now)
		x.g.o.Upstream.CloseIdle(choice.Address)
		x.logBrokenAttempt(choice)
		x.g.crashes.recordBroken(choice, x.evidence(), err)
	}
	if !sent {
		pool.ReturnPlace(choice, now)
		return notRun
	}
	x.ran++
	return mayHaveRun
}

// logBrokenAttempt writes a line for an attempt without a whole answer. The prompt's parts
// show what the requests that a target leaves unanswered have in common.
func (x *exchange) logBrokenAttempt(choice routing.Choice) {
	since := x.eventAt
	if since.IsZero() {
		since = x.began
	}
	klog.InfoS("Attempt broken", "request", x.r.ID, "route", x.route.Name(), "target", choice.Target, "incarnation", choice.Incarnation, "software", choice.Software,
		"prompt", promptIDs(x.r.Prompt), "answer_begun", !x.eventAt.IsZero(), "since_event_ms", x.g.o.Timers.Since(since).Milliseconds(), "cause", x.lastErr)
}

// notRunThere judges a refusal by the target.
func (x *exchange) notRunThere(pool *routing.Pool, choice routing.Choice, resp *upstream.Response, a ResponseMetadata) verdict {
	resp.Drain()
	x.lastErr = resp.Status + " not run"
	now := x.g.o.Timers.Now()
	switch {
	case a.Misdirected:
		pool.Finish(choice, routing.Draining{}, now)
	case resp.StatusCode == http.StatusConflict && !x.regained:
		if x.released.Load() && x.g.release.recordMiss(now) {
			klog.InfoS("Results are held to the end", "request", x.r.ID, "target", choice.Target, "hold_ms", holdTime.Milliseconds())
		}
		pool.Finish(choice, routing.Canceled{}, now)
		x.regained = true
		x.tried = slices.DeleteFunc(x.tried, func(t string) bool { return t == choice.Target })
		return inputGone
	default:
		pool.Finish(choice, routing.Overloaded{}, now)
	}
	return notRun
}

// expectedFirst returns how long such a request takes until its answer begins.
func (x *exchange) expectedFirst() time.Duration {
	if x.r.PromptTokens > 0 {
		return firstTokenTime + time.Duration(float64(x.r.PromptTokens)/prefillRate*float64(time.Second))
	}
	return x.g.times.expected(x.route.Name(), x.route.Objective())
}
