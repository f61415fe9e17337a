package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/catalog"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/upstream"
)

const (
	copyBuffer = 4 << 10
	// drainBytes bounds the body of a refusal that is read so that the connection
	// can be used again.
	drainBytes = 64 << 10
	// bufferedAnswer bounds an answer that is read whole before it is passed on,
	// so that one that breaks off can be replaced by another target's.
	bufferedAnswer = 64 << 10
)

// drain reads the rest of a short body and closes the answer.
func drain(resp *upstream.Response) {
	_, _ = io.CopyN(io.Discard, resp, drainBytes)
	resp.Close()
}

// deliver passes an answer on to the caller.
func (x *exchange) deliver(ctx context.Context, pool *routing.Pool, choice routing.Choice, resp *upstream.Response, in *inputs, began time.Time) verdict {
	defer resp.Close()
	first := x.g.o.Timers.Since(began)
	in.free()
	success := resp.StatusCode < http.StatusInternalServerError
	if x.route.Kind() != catalog.Stream || !success {
		return x.deliverWhole(pool, choice, resp, first, success)
	}
	err := x.copyEvents(resp)
	now := x.g.o.Timers.Now()
	if err == nil {
		pool.Finish(choice, routing.Success{Latency: first, Expected: x.expectedFirst()}, now)
		x.reason = "answered"
		return answered
	}
	x.lastErr = err.Error()
	if x.in.Context().Err() != nil || ctx.Err() != nil {
		pool.Finish(choice, routing.Canceled{}, now)
	} else {
		pool.Finish(choice, routing.Failure{}, now)
	}
	return x.brokenStream(ctx)
}

// brokenStream goes on at another target if the route allows it, or breaks off.
func (x *exchange) brokenStream(ctx context.Context) verdict {
	if !x.started {
		return mayHaveRun
	}
	if ctx.Err() == nil && x.route.Resumable() && x.ran < x.route.MaxAttempts() {
		return mayHaveRun
	}
	x.breakOff("stream_broken")
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
		return mayHaveRun
	}
	x.sendHeader(resp)
	_, werr := x.w.Write(b.Bytes())
	if werr == nil && !resp.BodyComplete() {
		_, err = io.Copy(x.w, resp)
	}
	if err != nil || werr != nil {
		pool.Finish(choice, routing.Canceled{}, now)
		x.breakOff("answer_broken")
	}
	if success {
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

// copyEvents passes on whole events as they arrive, and remembers the last one. A
// target may stop in the middle of an event.
func (x *exchange) copyEvents(resp *upstream.Response) error {
	rc := http.NewResponseController(x.w)
	var pending []byte
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		whole := bytes.LastIndex(pending, []byte("\n\n"))
		if whole >= 0 {
			events := pending[:whole+2]
			x.sendHeader(resp)
			if _, werr := x.w.Write(events); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
			x.noteEvents(events)
			pending = append(pending[:0], pending[whole+2:]...)
		}
		if errors.Is(err, io.EOF) {
			x.sendHeader(resp)
			_, werr := x.w.Write(pending)
			return werr
		}
		if err != nil {
			return err
		}
	}
}

// noteEvents remembers the id of the last event.
func (x *exchange) noteEvents(events []byte) {
	text := string(events)
	if i := strings.LastIndex(text, "id:"); i >= 0 && (i == 0 || text[i-1] == '\n') {
		line, _, _ := strings.Cut(text[i+len("id:"):], "\n")
		x.r.ResumeAfter = strings.TrimSpace(line)
	}
}
