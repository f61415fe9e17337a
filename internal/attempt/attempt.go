// Package attempt is the data path between an entry and the agents.
//
// One attempt is one try to run one call at one target. Its answer is a stream
// of length-delimited protobuf frames over a plain HTTP POST: Started, tokens,
// a keep-alive at least every KeepAlivePeriod, and at the end a result or a
// refusal. The frames tell a silent connection from a slow target: a client
// that reads no frame for SilenceBound closes the connection, and one that reads no
// first frame for a quarter of it when the connection isn't new.
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

	// KeepAlivePeriod is the longest time between two frames of an agent.
	KeepAlivePeriod = 250 * time.Millisecond

	// FrameTimeout is the time without a frame after which a connection is retired.
	// Four missed keep-alives separate a lost connection from a late frame.
	FrameTimeout = time.Second

	// MaxRequestSize bounds the body of an attempt, in bytes.
	MaxRequestSize = 1 << 20

	// MaxFrameSize bounds one frame, in bytes.
	MaxFrameSize = 4 << 20
)

// Reasons of an agent's refusal. None of them has started the call at the target.
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

// NewID returns a new random identity for an attempt, a request or an incarnation.
func NewID() string {
	return uuid.NewString()
}

// FrameWriter writes frames to one answer.
type FrameWriter struct {
	w     io.Writer
	flush func()
}

// NewFrameWriter returns a FrameWriter that calls flush after each frame.
func NewFrameWriter(w io.Writer, flush func()) *FrameWriter {
	return &FrameWriter{w: w, flush: flush}
}

// Write writes one frame.
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
