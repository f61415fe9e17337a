package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

const (
	// balancerNotice is the time in which the load balancer detects that a gateway isn't
	// ready: two checks, one a second.
	balancerNotice = 2200 * time.Millisecond
	// stopEndMargin is the time before the end of a stop in which answers that end with it are
	// written.
	stopEndMargin = 150 * time.Millisecond
	// maxPhaseShare is the largest share of a stop that its first or its last phase takes.
	maxPhaseShare = 3
)

// errStopping is the cause of requests that end with a planned stop.
var errStopping = errors.New("the gateway stops")

// stopPlan holds the times of the phases of a planned stop, from its beginning. Until
// refuseStreams all requests are served, because the load balancer still sends some. Then
// streams are refused, and at endWaiting those that have not reached an engine, since they
// would be cut off. From refuseAll on nothing is sent to a target any more, and connections
// are closed, so that what was sent before is answered by end, when all that is left ends.
type stopPlan struct {
	refuseStreams, endWaiting, refuseAll, end time.Duration
}

// newStopPlan returns the plan of a stop that takes at most total, where requests that aren't
// streams take at most longest.
func newStopPlan(total, longest time.Duration) stopPlan {
	p := stopPlan{end: max(total-stopEndMargin, total/2)}
	p.refuseStreams = min(balancerNotice, total/maxPhaseShare)
	p.refuseAll = max(p.refuseStreams, p.end-min(longest, total/maxPhaseShare))
	p.endWaiting = (p.refuseStreams + p.refuseAll) / 2
	return p
}

// BeginStop starts the phases of a planned stop that ends after total. It makes the gateway
// report that it isn't ready.
func (g *Gateway) BeginStop(total time.Duration) {
	g.Drain()
	p := newStopPlan(total, g.longestRequest())
	klog.InfoS("Gateway leaves the balancer", "in_flight", g.InFlight(), "refuse_streams_ms", p.refuseStreams.Milliseconds(),
		"end_waiting_ms", p.endWaiting.Milliseconds(), "refuse_all_ms", p.refuseAll.Milliseconds(), "end_ms", p.end.Milliseconds())
	g.wg.Go(func() { g.runStop(p) })
}

// runStop carries out a plan until the gateway has stopped.
func (g *Gateway) runStop(p stopPlan) {
	begin := g.o.Timers.Now()
	for _, phase := range []struct {
		at    time.Duration
		name  string
		enter func()
	}{
		{p.refuseStreams, "refuse_streams", func() { g.RefuseStreams(); close(g.streamsRefused) }},
		{p.endWaiting, "end_waiting", g.endWaiting},
		{p.refuseAll, "refuse_all", func() { g.refusing.Store(true); close(g.allRefused) }},
		{p.end, "end", g.endAll},
	} {
		if err := g.o.Timers.Sleep(g.ctx, phase.at-g.o.Timers.Since(begin)); err != nil {
			return // all requests have ended before
		}
		klog.InfoS("Gateway stop phase", "phase", phase.name, "in_flight", g.InFlight(), "streams", g.Streams())
		phase.enter()
	}
}

// StreamsRefused returns a channel that is closed when streams are refused in a planned stop.
func (g *Gateway) StreamsRefused() <-chan struct{} { return g.streamsRefused }

// AllRefused returns a channel that is closed when all requests are refused in a planned stop.
func (g *Gateway) AllRefused() <-chan struct{} { return g.allRefused }

// longestRequest returns the longest timeout of a route that isn't a stream.
func (g *Gateway) longestRequest() time.Duration {
	longest := time.Duration(0)
	if c := g.catalog.Load(); c != nil {
		for _, r := range c.Routes() {
			if r.Kind() != catalog.Stream {
				longest = max(longest, r.Timeout())
			}
		}
	}
	return longest
}

// withStop returns a context that ends with errStopping when a phase of a planned stop, which
// ends phase, begins. The function releases it.
func withStop(ctx, phase context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(phase, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isStopping reports whether a planned stop has ended a request.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }
