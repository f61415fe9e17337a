// Package attempt implements the data path between an entry and the agents.
//
// An attempt runs one call at one target. The response is a stream of
// length-delimited protobuf frames over a plain HTTP POST: Started, tokens, a
// keep-alive at least every KeepAlivePeriod, and finally a result or a refusal.
// The frames distinguish an unresponsive connection from a slow target: a client
// closes the connection if it receives no frame for FrameTimeout, or no first
// frame for a quarter of that time on a reused connection.
//
// # Usage
//
//	c := attempt.NewClient(attempt.ClientOptions{Timers: ts})
//	switch end := c.Do(ctx, address, req, onToken).(type) {
//	case *attempt.Finished:
//	case *attempt.Refused:
//	case *attempt.NotSent:
//	case *attempt.Lost:
//	}
package attempt

import (
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// Path is the HTTP path of the data path at an agent.
	Path = "/v1/attempt"

	// KeepAlivePeriod is the maximum time between two frames from an agent.
	KeepAlivePeriod = 250 * time.Millisecond

	// FrameTimeout is the time without a frame after which a connection is closed.
	// Four missed keep-alives distinguish a lost connection from a delayed frame.
	FrameTimeout = time.Second

	// MaxRequestSize is the maximum size of the body of an attempt, in bytes.
	MaxRequestSize = 1 << 20

	// MaxFrameSize is the maximum size of a frame, in bytes.
	MaxFrameSize = 4 << 20
)

// Reasons for a refusal by an agent. In all cases the call has not been started at
// the target.
const (
	ReasonOtherIncarnation = "other_incarnation"
	ReasonStaleRevision    = "stale_revision"
	ReasonLeaving          = "leaving"
	ReasonDuplicate        = "duplicate_attempt"
	ReasonBarred           = "barred"
	ReasonOutdated         = "outdated"
	ReasonOverloaded       = "overloaded"
	ReasonNotReady         = "not_ready"
	ReasonBadRequest       = "bad_request"
)

// NewID returns a random ID for an attempt, a request or an incarnation.
func NewID() string {
	return uuid.NewString()
}

// FrameWriter writes frames to one response.
type FrameWriter struct {
	w     io.Writer
	flush func()
}

// NewFrameWriter returns a FrameWriter that calls flush after each frame.
func NewFrameWriter(w io.Writer, flush func()) *FrameWriter {
	return &FrameWriter{w: w, flush: flush}
}

// Write writes one frame and flushes it.
func (w *FrameWriter) Write(f *wire.Frame) error {
	if _, err := protodelim.MarshalTo(w.w, f); err != nil {
		return errors.Wrap(err, "write frame")
	}
	w.flush()
	return nil
}

func readFrame(r protodelim.Reader) (*wire.Frame, error) {
	f := &wire.Frame{}
	o := protodelim.UnmarshalOptions{MaxSize: MaxFrameSize}
	if err := o.UnmarshalFrom(r, f); err != nil {
		return nil, err
	}
	return f, nil
}

// DecodeRequest reads the body of an attempt, at most MaxRequestSize bytes.
func DecodeRequest(r io.Reader) (*wire.AttemptRequest, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxRequestSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "read attempt")
	}
	if len(b) > MaxRequestSize {
		return nil, errors.Errorf("attempt is larger than %d bytes", MaxRequestSize)
	}
	req := &wire.AttemptRequest{}
	if err := proto.Unmarshal(b, req); err != nil {
		return nil, errors.Wrap(err, "decode attempt")
	}
	return req, nil
}
