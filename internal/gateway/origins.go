package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// maxOwnStreams bounds the streams whose software versions a gateway remembers.
	maxOwnStreams = 20_000
	// originMargin is added to the time for which a stream's version is kept, which is the time
	// that its caller waits.
	originMargin = 30 * time.Second
	// minOriginWindow is the least time before which a stream that is taken up can't have begun.
	minOriginWindow = 30 * time.Second
	// originStoreWait is how long the first events of a stream wait until its version is stored, and
	// failingStoreWait the same shortly after that has failed. Without a quorum, streams still begin.
	originStoreWait  = 250 * time.Millisecond
	failingStoreWait = 50 * time.Millisecond
	// originFindWait and originFindShare limit how long a caller waits until the version is found
	// that began its stream, the latter as a share of the caller's timeout.
	originFindWait  = 800 * time.Millisecond
	originFindShare = 1.0 / 8
	// storeFailedTime is how long streams are kept from being sent where their version would have
	// to be stored, after that has failed.
	storeFailedTime = 3 * time.Second
)

// errRestarted reports that a target has started again since it was chosen, so that another
// software version may have written its events.
var errRestarted = errors.New("the target has started again, maybe with another software version")

// errNotStored reports that the software version of a stream wasn't stored in time.
var errNotStored = errors.New("the software version of the stream was not stored in time")

// OriginStore stores which software versions began streams, outside of this process.
type OriginStore interface {
	// First returns the version of a service whose streams need no records, and false if it
	// isn't known yet.
	First(service string) (software string, ok bool)
	// Store stores a record. The channel is closed once the record outlasts this process.
	Store(origin.Record) <-chan struct{}
	// Find returns what is known of a stream of a service that began within a window. It waits
	// until that is enough, or ctx ends.
	Find(ctx context.Context, s origin.Stream, service string, window time.Duration) origin.Finding
}

// isTakeUp reports whether the caller takes up a stream that broke off.
func (x *exchange) isTakeUp() bool {
	return x.route.Kind() == catalog.Stream && x.route.Resumable() && x.r.ResumeAfter != ""
}

// stream identifies the stream: the request that brought its first event, or this one.
func (x *exchange) stream() origin.Stream {
	if x.isTakeUp() {
		return origin.StreamOf(x.customer, x.r.Resumes)
	}
	return origin.StreamOf(x.customer, x.r.ID)
}

// originLife is the time for which the caller may take up the stream.
func (x *exchange) originLife() time.Duration {
	return max(x.r.ClientTimeout, x.route.Timeout()) + originMargin
}

// bindVersion finds the software version that began a stream which the caller takes up, to which
// the request is bound. It refuses the request if that isn't known, or has no target.
func (x *exchange) bindVersion(ctx context.Context) bool {
	if !x.isTakeUp() {
		return true
	}
	began := x.g.o.Timers.Now()
	finding, source := x.findOrigin(ctx)
	ok := true
	switch f := finding.(type) {
	case origin.Recorded:
		ok = f.Service == x.service || slices.Contains(x.route.Services(), f.Service)
		x.service, x.version = f.Service, f.Software
	case origin.First:
		x.version = f.Software
	case origin.Only:
		x.version = f.Software
	default:
		ok, source = false, "unknown"
	}
	outcome := source
	switch {
	case source == "unknown":
		if u, isUnknown := finding.(origin.Unknown); isUnknown {
			x.lastErr = u.Cause
		}
	case !ok || !x.g.hasVersion(x.service, x.version):
		ok, outcome = false, "version_gone"
	}
	x.g.o.Metrics.CountReason("streams_taken_up", outcome)
	klog.InfoS("Stream taken up", "request", x.r.ID, "resumes", x.r.Resumes, "resume_after", x.r.ResumeAfter, "service", x.service, "software", x.version,
		"source", source, "outcome", outcome, "took_ms", x.g.o.Timers.Since(began).Milliseconds(), "cause", x.lastErr)
	switch {
	case ok:
		x.oneVersion = true
	case source == "unknown":
		x.refuse("version_unknown", unsureRetry)
	default:
		x.refuse("version_gone", x.g.versionRetry(x.service, x.version))
	}
	return ok
}

// findOrigin returns what is known of the version that began the caller's stream, and where from.
func (x *exchange) findOrigin(ctx context.Context) (f origin.Finding, source string) {
	now := x.g.o.Timers.Now()
	if r, ok := x.g.begun.Find(x.stream(), now); ok && x.r.Resumes != "" {
		return origin.Recorded{Service: r.Service(), Software: r.Software()}, "own"
	}
	f = origin.Unrecorded{}
	if x.g.o.Origins != nil {
		limit := originFindWait
		if x.r.ClientTimeout > 0 {
			limit = min(limit, time.Duration(float64(x.r.ClientTimeout)*originFindShare))
		}
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		f = x.g.o.Origins.Find(ctx, x.stream(), x.service, max(minOriginWindow, 2*x.route.Timeout()))
	}
	switch f.(type) {
	case origin.Recorded:
		return f, "recorded"
	case origin.First:
		if x.r.Resumes == "" {
			return origin.Unknown{Cause: "the caller doesn't name the request that began the stream"}, ""
		}
		return f, "first"
	case origin.Only:
		return f, "only"
	case origin.Unrecorded:
		// Gateways of an earlier release have begun the stream.
		if software := x.g.softwareVersions(x.service); len(software) == 1 {
			return origin.Only{Software: software[0]}, "targets"
		}
		return origin.Unknown{Cause: "no stream of the service was recorded"}, ""
	}
	return f, ""
}

// storeOrigin stores the version of the target that a new stream is about to be sent to, if it
// needs a record. While several versions run, streams at the first one are stored too, because
// control VMs that have started again can't tell which streams have no record; they don't wait for
// it.
func (x *exchange) storeOrigin(software string) {
	x.stored = nil
	if x.g.o.Origins == nil || !x.isNewStream() {
		return
	}
	first, known := x.g.o.Origins.First(x.service)
	needless := known && first == software && !x.hasRecord
	if needless && !x.g.isMixed(x.service) {
		return
	}
	stored := x.g.o.Origins.Store(origin.NewRecord(x.stream(), x.service, software, uint32(len(x.tried)), x.originLife()))
	if !needless {
		x.hasRecord, x.stored = true, stored
	}
}

// isNewStream reports whether the next target begins a stream that may be taken up.
func (x *exchange) isNewStream() bool {
	return !x.oneVersion && x.route.Kind() == catalog.Stream && x.route.Resumable()
}

// awaitStored waits until the version that is about to begin the stream is stored, since the caller
// may turn to another gateway from the first event on. If it isn't stored in time, a target of the
// first version, which needs no record, is better. The error is errNotStored.
func (x *exchange) awaitStored(ctx context.Context) error {
	if x.stored == nil || x.started {
		return nil
	}
	began, wait := x.g.o.Timers.Now(), originStoreWait
	if x.g.isStoreFailing() {
		wait = failingStoreWait
	}
	select {
	case <-x.stored:
		return nil
	case <-x.g.o.Timers.After(wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	x.g.storeFailed.Store(int64(timer.SinceBoot()))
	_, elsewhere := x.g.unstoredVersion(x.service)
	elsewhere = elsewhere && x.ran < x.route.MaxAttempts()
	x.g.o.Metrics.CountReason("stream_origins", "not_stored")
	klog.InfoS("Software version of a stream not stored in time", "request", x.r.ID, "service", x.service, "software", x.software,
		"waited_ms", x.g.o.Timers.Since(began).Milliseconds(), "sent_elsewhere", elsewhere)
	if elsewhere {
		return errNotStored
	}
	return nil
}

// unstoredVersion returns the version of a service that new streams are sent to while their version
// can't be stored: the first one, which needs no record, unless most targets run other ones.
func (g *Gateway) unstoredVersion(service string) (software string, ok bool) {
	if g.o.Origins == nil || !g.isStoreFailing() && g.isFresh() || !g.isMixed(service) {
		return "", false
	}
	first, known := g.o.Origins.First(service)
	if !known {
		return "", false
	}
	slots, all := 0, 0
	for _, l := range g.o.Table.Live(service, g.o.Timers.Now()) {
		if l.Leaving() || l.Silent() {
			continue
		}
		all += int(l.Record().GetSlots())
		if l.Record().GetSoftware() == first {
			slots += int(l.Record().GetSlots())
		}
	}
	return first, 2*slots >= all && slots > 0
}

// isStoreFailing reports whether the version of a stream was not stored in time a short time ago.
func (g *Gateway) isStoreFailing() bool {
	return timer.SinceBoot()-time.Duration(g.storeFailed.Load()) <= storeFailedTime
}

// isMixed reports whether the targets of a service run several software versions.
func (g *Gateway) isMixed(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed[service]
}

// recordBegunStream remembers the version whose events the caller has.
func (x *exchange) recordBegunStream() {
	if !x.route.Resumable() || x.isTakeUp() && x.r.Resumes == "" {
		return
	}
	r := origin.NewRecord(x.stream(), x.service, x.version, math.MaxUint32, x.originLife())
	x.g.begun.Record(r, x.g.o.Timers.Now())
	if x.g.o.Origins == nil || !x.isTakeUp() {
		return
	}
	if first, known := x.g.o.Origins.First(x.service); !known || first != x.version {
		x.g.o.Origins.Store(r) // keeps the record for as long as the caller waits
	}
}

// hasRestarted reports whether another process has announced itself under a target's id since the
// target was chosen. The answer may be its own: it took the request before its announcement arrived.
func (g *Gateway) hasRestarted(c routing.Choice) bool {
	r, ok := g.o.Table.Target(c.Target)
	return ok && r.GetBornMs() != bornMs(c)
}

// hasVersion reports whether a target of a service runs a software version and isn't leaving.
func (g *Gateway) hasVersion(service, software string) bool {
	for _, l := range g.o.Table.Live(service, g.o.Timers.Now()) {
		if !l.Leaving() && l.Record().GetSoftware() == software {
			return true
		}
	}
	return false
}

// softwareVersions returns the versions that the targets of a service run, those that leave too.
func (g *Gateway) softwareVersions(service string) []string {
	var list []string
	for _, l := range g.o.Table.Live(service, g.o.Timers.Now()) {
		if software := l.Record().GetSoftware(); !slices.Contains(list, software) {
			list = append(list, software)
		}
	}
	return list
}

// versionRetry returns the time after which a caller may come back whose stream needs a software
// version; 0 if that has no target that takes requests or may do so soon.
func (g *Gateway) versionRetry(service, software string) time.Duration {
	switch {
	case g.hasVersion(service, software):
		return g.retryAfter(service, func(r *wire.RegisteredTarget) bool { return r.GetSoftware() == software })
	case !g.startupOver():
		return unsureRetry // not all targets are known yet
	}
	return 0
}
