package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/eventstream"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/upstream"
)

const (
	copyBuffer = 4 << 10
	// bufferedAnswer bounds an answer that is read whole before it is passed on,
	// so that one that breaks off can be replaced by another target's.
	bufferedAnswer = 64 << 10
	// maxAnswerBytes limits an answer that isn't a stream. The platform sets no limit; this
	// one is far above its answers and ends those that never end.
	maxAnswerBytes = 64 << 20
	// maxEventBytes limits one event of a stream, which is held until it is whole.
	maxEventBytes = 256 << 10
	// eventTimeoutMargin is added to the time after which callers abandon a stream, so that
	// a sound stream isn't ended before its caller would leave.
	eventTimeoutMargin = 250 * time.Millisecond
)

// errTruncatedEvent reports a stream that ended within an event, or before the first one.
var errTruncatedEvent = errors.New("the stream ended within an event")

// EventTooLargeError reports an event of a stream that exceeds maxEventBytes.
type EventTooLargeError struct{}

// Error implements error.
func (*EventTooLargeError) Error() string {
	return fmt.Sprintf("an event exceeds %d bytes", maxEventBytes)
}

// deliver passes an answer on to the caller. cancel ends the attempt, and ctx is that of the
// request.
func (x *exchange) deliver(ctx context.Context, cancel context.CancelFunc, pool *routing.Pool, choice routing.Choice, resp *upstream.Response, in *inputs, began time.Time) verdict {
	defer resp.Close()
	first := x.g.o.Timers.Since(began)
	in.free()
	if x.started && resp.StatusCode != x.status {
		// The caller has the status and events of an earlier target, so that the end of this
		// answer would look like the end of the stream.
		x.lastErr = resp.Status + " to a resumed stream"
		pool.Finish(choice, routing.Failure{}, x.g.o.Timers.Now())
		return x.brokenStream(ctx)
	}
	success := resp.StatusCode < http.StatusInternalServerError
	if x.route.Kind() != catalog.Stream || !success {
		return x.deliverWhole(pool, choice, resp, first, success)
	}
	w := x.watchEvents(ctx, cancel)
	err := x.copyEvents(ctx, resp, choice, w, func() {
		now := x.g.o.Timers.Now()
		choice = pool.Begun(choice, routing.Success{Latency: now.Sub(began), Expected: x.expectedFirst()}, now)
	})
	w.stop()
	now := x.g.o.Timers.Now()
	if err == nil {
		x.recordBegun()
		pool.Finish(choice, routing.Success{Latency: first, Expected: x.expectedFirst()}, now)
		x.reason = "answered"
		return answered
	}
	x.lastErr = err.Error()
	switch {
	case w.expired.Load():
		x.lastErr = "no whole event within " + x.eventTimeout().String()
		pool.Finish(choice, routing.Failure{}, now)
	case errors.Is(err, errNotStored) || x.in.Context().Err() != nil || ctx.Err() != nil:
		pool.Finish(choice, routing.Canceled{}, now)
	default:
		pool.Finish(choice, routing.Failure{}, now)
		x.logBrokenAttempt(choice)
		if !x.survived {
			x.g.crashes.recordBroken(choice, x.evidence(), err)
		}
	}
	return x.brokenStream(ctx)
}

// brokenStream goes on at another target if the route allows it, or breaks off.
func (x *exchange) brokenStream(ctx context.Context) verdict {
	if !x.started {
		return mayHaveRun
	}
	if ctx.Err() == nil && x.route.Resumable() && x.position.Resumable() && x.ran < x.route.MaxAttempts() {
		return mayHaveRun
	}
	reason := "stream_broken"
	if isStopping(ctx) {
		reason = "stopping"
	}
	x.breakOff(reason)
	return answered
}

// breakOff ends an answer that has begun so that it doesn't look complete.
func (x *exchange) breakOff(reason string) {
	x.reason = reason
	if x.in.Context().Err() != nil {
		x.reason = "caller_left"
	}
	panic(http.ErrAbortHandler)
}

// deliverWhole passes on an answer that isn't a stream of events.
func (x *exchange) deliverWhole(pool *routing.Pool, choice routing.Choice, resp *upstream.Response, first time.Duration, success bool) verdict {
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(resp, bufferedAnswer))
	now := x.g.o.Timers.Now()
	if err != nil {
		x.lastErr = err.Error()
		pool.Finish(choice, routing.Failure{}, now)
		x.logBrokenAttempt(choice)
		x.g.crashes.recordBroken(choice, x.evidence(), err)
		return mayHaveRun
	}
	x.sendHeader(resp)
	_, werr := x.w.Write(b.Bytes())
	if werr == nil && !resp.BodyComplete() {
		_, err = io.Copy(x.w, io.LimitReader(resp, maxAnswerBytes))
		if err == nil && !resp.BodyComplete() {
			x.lastErr = fmt.Sprintf("the answer exceeds %d bytes", maxAnswerBytes)
			pool.Finish(choice, routing.Failure{}, now)
			x.breakOff("answer_too_large")
		}
	}
	if err != nil || werr != nil {
		pool.Finish(choice, routing.Canceled{}, now)
		x.breakOff("answer_broken")
	}
	if success {
		x.recordBegun()
		x.g.times.observe(x.route.Name(), first)
		pool.Finish(choice, routing.Success{Latency: first, Expected: x.g.times.expected(x.route.Name(), x.route.Objective())}, now)
	} else {
		pool.Finish(choice, routing.Failure{}, now)
	}
	x.reason = "answered"
	return answered
}

// sendHeader passes on the status and header of the first target's answer.
func (x *exchange) sendHeader(resp *upstream.Response) {
	if x.started {
		return
	}
	x.started = true
	if x.route.Kind() == catalog.Stream {
		x.oneVersion, x.version = true, x.software
		x.recordBegunStream()
	}
	x.firstT = x.g.o.Timers.Since(x.began)
	x.status = resp.StatusCode
	h := x.w.Header()
	for name, values := range x.g.o.Codec.EncodeResponseHeader(resp.Header) {
		h[name] = values
	}
	if resp.ContentLength >= 0 && x.route.Kind() != catalog.Stream {
		h["Content-Length"] = resp.Header["Content-Length"]
	}
	x.w.WriteHeader(resp.StatusCode)
}

// copyEvents passes on whole events as they arrive, and records the last one. A target may
// stop in the middle of an event: the rest is passed on only if the framing of the answer
// shows that it is complete. begun is called when the first event has arrived.
func (x *exchange) copyEvents(ctx context.Context, resp *upstream.Response, choice routing.Choice, w *eventWatch, begun func()) error {
	first, checked := true, false
	rc := http.NewResponseController(x.w)
	var pending []byte
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		if events := eventstream.Scan(pending); events.End() > 0 {
			if !checked && x.route.Resumable() && x.g.hasRestarted(choice) {
				return errRestarted
			}
			checked = true
			if first && events.HasData() {
				first = false
				begun()
			}
			if serr := x.awaitStored(ctx); serr != nil {
				return serr
			}
			x.sendHeader(resp)
			if _, werr := x.w.Write(pending[:events.End()]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
			if events.HasData() {
				w.progress()
				now := x.g.o.Timers.Now()
				if x.eventAt.IsZero() {
					x.firstEventAt = now
				}
				x.eventAt = now
				if now.Sub(x.firstEventAt) >= survivalTime {
					x.recordBegun()
				}
			}
			x.position.Advance(events)
			pending = append(pending[:0], pending[events.End():]...)
		}
		switch {
		case errors.Is(err, io.EOF) && resp.EndsWithConnection() && (len(pending) > 0 || x.expectsEvent()):
			return errTruncatedEvent
		case errors.Is(err, io.EOF):
			x.sendHeader(resp)
			_, werr := x.w.Write(pending)
			return werr
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return &EventTooLargeError{}
		}
	}
}

// expectsEvent reports whether a stream can't be complete yet: no event has been passed on, and
// the caller doesn't resume a stream whose last event it may have.
func (x *exchange) expectsEvent() bool { return x.eventAt.IsZero() && x.resumeAfter() == "" }

// resumeAfter returns the id of the last event that the caller has, or "".
func (x *exchange) resumeAfter() string {
	if id := x.position.LastID(); id != "" {
		return id
	}
	return x.r.ResumeAfter
}

// eventTimeout returns the time without a whole event after which a stream is ended, or 0.
func (x *exchange) eventTimeout() time.Duration {
	if t := x.route.ClientEventTimeout(); t > 0 {
		return t + eventTimeoutMargin
	}
	return 0
}

// eventWatch cancels an attempt whose stream makes no progress.
type eventWatch struct {
	last    atomic.Int64 // time of the last progress in nanoseconds since began
	began   time.Time
	timers  *timer.Service
	expired atomic.Bool
	done    chan struct{}
}

// watchEvents starts to watch the stream of an attempt.
func (x *exchange) watchEvents(ctx context.Context, cancel context.CancelFunc) *eventWatch {
	w := &eventWatch{timers: x.g.o.Timers, began: x.g.o.Timers.Now(), done: make(chan struct{})}
	if limit := x.eventTimeout(); limit > 0 {
		go w.run(ctx, cancel, limit)
	}
	return w
}

func (w *eventWatch) progress() { w.last.Store(int64(w.timers.Since(w.began))) }

func (w *eventWatch) stop() { close(w.done) }

func (w *eventWatch) run(ctx context.Context, cancel context.CancelFunc, limit time.Duration) {
	for {
		left := limit - (w.timers.Since(w.began) - time.Duration(w.last.Load()))
		if left <= 0 {
			w.expired.Store(true)
			cancel()
			return
		}
		select {
		case <-w.timers.After(left):
		case <-w.done:
			return
		case <-ctx.Done():
			return
		}
	}
}
