package gateway

import (
	"context"
	"io"
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

// recordBroken records that an engine ended the connection of a request whose answer had not
// begun, or only just.
func (d *crashDetector) recordBroken(c routing.Choice, prompt []PromptPart, cause error) {
	if len(prompt) < 2 || !isConnectionLost(cause) || d.g.o.Table.HasLeft(c.Target, bornMs(c)) {
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
	// The last part belongs to the request alone.
	for i, p := range prompt[:len(prompt)-1] {
		parts[quarantine.NewPart(p.ID, i)] = true
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

// sharedParts returns the ids of the parts of a prompt that other requests may share.
func sharedParts(prompt []PromptPart) []string {
	if len(prompt) < 2 {
		return nil
	}
	ids := make([]string, len(prompt)-1)
	for i := range ids {
		ids[i] = prompt[i].ID
	}
	return ids
}

// refuseBlocked refuses a request with a part that crashes engines. It reports whether it has
// done so.
func (x *exchange) refuseBlocked() bool {
	if x.trial {
		return false
	}
	v := x.g.o.Quarantine.Check(sharedParts(x.r.Prompt), x.g.o.Timers.Now())
	x.trial = v.Trial()
	if x.trial {
		klog.InfoS("Request tries a blocked part", "request", x.r.ID, "part", v.Part(), "suspects", v.Others())
	}
	if v.Blocked() {
		x.lastErr = "prompt part " + strings.Join(append([]string{v.Part()}, v.Others()...), " or ")
		x.refuse("part_crashes_engines", v.RetryAfter())
	}
	return v.Blocked()
}

// recordBegun records that an engine has survived the beginning of the answer.
func (x *exchange) recordBegun() {
	if x.survived {
		return
	}
	x.survived = true
	if ids := sharedParts(x.r.Prompt); len(ids) > 0 {
		x.g.o.Quarantine.RecordBegun(ids, x.g.o.Timers.Now())
	}
}
