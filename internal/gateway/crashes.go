package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/upstream"
)

const (
	// crashCollectTime is how long requests are collected that end with one crash, and after
	// which it is checked that nothing listens at the engine's address.
	crashCollectTime = 30 * time.Millisecond
	// crashCheckTimeout limits this check.
	crashCheckTimeout = 500 * time.Millisecond
	// survivalTime is the time after its first event for which a stream has to go on until its
	// engine has survived the beginning of its answer.
	survivalTime = 300 * time.Millisecond
	// digestSize is the size in bytes of the digest of a request.
	digestSize = 16
)

// crashDetector finds out which requests an engine had in hand when it crashed. A lost
// connection alone shows no crash: engines close connections, and networks break. Nor is it one
// when an engine ends that has said that it leaves. It is safe for concurrent use.
type crashDetector struct {
	g       *Gateway
	mu      sync.Mutex
	pending map[string]map[quarantine.Part]bool // parts of broken requests, by engine and incarnation
}

func newCrashDetector(g *Gateway) *crashDetector {
	return &crashDetector{g: g, pending: map[string]map[quarantine.Part]bool{}}
}

// recordBroken records that a target ended the connection of a request whose answer had not
// begun, or only just.
func (d *crashDetector) recordBroken(c routing.Choice, evidence []quarantine.Part, cause error) {
	if !isConnectionLost(cause) || d.g.o.Table.HasLeft(c.Target, bornMs(c)) {
		return
	}
	engine := c.Target + "/" + c.Incarnation
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := d.pending[engine]
	if parts == nil {
		if d.g.ctx.Err() != nil {
			return
		}
		parts = map[quarantine.Part]bool{}
		d.pending[engine] = parts
		at := d.g.o.Timers.Now()
		d.g.wg.Go(func() { d.check(engine, c, at) })
	}
	for _, p := range evidence {
		parts[p] = true
	}
}

// isConnectionLost reports whether the other end has ended a connection on which a request was
// sent.
func isConnectionLost(cause error) bool {
	var failed *upstream.Error
	if errors.As(cause, &failed) && !failed.MayHaveArrived() {
		return false
	}
	return errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) || errors.Is(cause, errTruncatedEvent) ||
		errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
}

// check records a crash if nothing listens at the engine's address any more. Engines in evacuated
// domains aren't asked.
func (d *crashDetector) check(engine string, c routing.Choice, at time.Time) {
	err := d.g.o.Timers.Sleep(d.g.ctx, crashCollectTime)
	d.mu.Lock()
	parts := d.pending[engine]
	delete(d.pending, engine)
	d.mu.Unlock()
	if err != nil || d.g.o.Evacuations.Contains(c.FailureDomain) {
		return // the gateway stops, or nothing may be sent there
	}
	ctx, cancel := context.WithTimeout(d.g.ctx, crashCheckTimeout)
	defer cancel()
	if err := d.g.o.Upstream.Probe(ctx, c.Address); !errors.Is(err, syscall.ECONNREFUSED) {
		klog.V(1).InfoS("Engine lost a connection", "engine", engine, "parts", len(parts), "check", err)
		return
	}
	list := make([]quarantine.Part, 0, len(parts))
	ids := make([]string, 0, len(parts))
	for p := range parts {
		list = append(list, p)
		ids = append(ids, p.ID())
	}
	klog.InfoS("Engine crashed", "engine", engine, "parts", ids)
	d.g.o.Metrics.Count("engine_crashes", 1)
	d.g.o.Quarantine.RecordCrash(engine, list, at, d.g.o.Timers.Now())
}

// evidence returns what a crash is held against: the parts of the prompt that other requests may
// share, and the request itself, which may come again.
func (x *exchange) evidence() []quarantine.Part {
	if x.parts != nil {
		return x.parts
	}
	// The last part belongs to the request alone.
	for i := range len(x.r.Prompt) - 1 {
		x.parts = append(x.parts, quarantine.NewPart(x.r.Prompt[i].ID, i))
	}
	x.parts = append(x.parts, quarantine.NewRequest(x.digest()))
	return x.parts
}

// digest identifies the content of the request: two with the same one run alike.
func (x *exchange) digest() string {
	h := sha256.New()
	for _, s := range []string{x.customer, x.in.Method, strings.ToLower(x.in.Host), x.in.RequestURI, promptIDs(x.r.Prompt)} {
		_, _ = io.WriteString(h, strconv.Itoa(len(s))+":"+s)
	}
	_, _ = h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil)[:digestSize])
}

// ids returns the ids of parts.
func ids(parts []quarantine.Part) []string {
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = p.ID()
	}
	return list
}

// refuseBlocked refuses a request that crashes targets, or one with a part that crashes engines. It
// reports whether it has done so.
func (x *exchange) refuseBlocked() bool {
	if x.trial {
		return false
	}
	v := x.g.o.Quarantine.Check(ids(x.evidence()), x.g.o.Timers.Now())
	x.trial = v.Trial()
	if x.trial {
		klog.InfoS("Request tries a blocked part", "request", x.r.ID, "part", v.Part(), "suspects", v.Others())
	}
	if v.Blocked() {
		reason, what := "part_crashes_engines", "prompt part "
		if quarantine.IsRequest(v.Part()) {
			reason, what = "request_crashes_targets", ""
		}
		x.lastErr = what + strings.Join(append([]string{v.Part()}, v.Others()...), " or ")
		x.refuse(reason, v.RetryAfter())
	}
	return v.Blocked()
}

// suspectedReason returns the reason why a request isn't sent to another target after a crash, or "".
func (x *exchange) suspectedReason() string {
	all, now := ids(x.evidence()), x.g.o.Timers.Now()
	last := len(all) - 1
	switch {
	case x.g.o.Quarantine.Suspected(all[:last], now):
		return "part_may_crash_engines"
	case x.g.o.Quarantine.Suspected(all[last:], now):
		return "request_may_crash_targets"
	}
	return ""
}

// recordBegun records that a target has survived the beginning of the answer.
func (x *exchange) recordBegun() {
	if x.survived {
		return
	}
	x.survived = true
	x.g.o.Quarantine.RecordBegun(ids(x.evidence()), x.g.o.Timers.Now())
}
