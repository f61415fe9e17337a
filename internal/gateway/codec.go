package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cardamomline/cardamomline/internal/discovery"
)

// Request is what a caller's request says beside its method, path and body.
type Request struct {
	// ID identifies the request; each attempt of a caller has its own.
	ID string
	// Key is the caller's key, without which Customer stays unknown.
	Key string
	// Patience is how long the caller waits; 0 when it doesn't say.
	ClientTimeout time.Duration
	// Model names the model that is asked; empty on requests to plain services.
	Model string
	// PromptTokens and OutputTokens are the prompt's size and the largest answer's.
	PromptTokens int
	OutputTokens int
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// Pieces has the number of pieces of each stage, and PieceKey names their input.
	Pieces   []int
	PieceKey string
	// ResumeAfter is the last event that the caller has, if it resumes a stream, and Resumes the
	// id of the request that brought the stream's first event.
	ResumeAfter string
	Resumes     string
}

// PromptPart is a part of a prompt, which other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// OutboundMetadata is what a request to a target carries beside the caller's own.
type OutboundMetadata struct {
	// Target is the only one that may answer.
	Target string
	// Customer holds the caller's key; empty when no key was needed.
	Customer string
	// TimeLeft is the time until the answer is of no use.
	RemainingTime time.Duration
	// Inputs are the results of the stages.
	Inputs []string
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// ResponseMetadata is what a target's response says beside its status and body.
type ResponseMetadata struct {
	// RequestID is the request that it answers; empty when it doesn't say.
	RequestID string
	// NotRun says that the request did not run and won't.
	NotExecuted bool
	// OtherTarget says that another target has the address now.
	Misdirected bool
	// Leaving says that the target closes the connection.
	ConnectionClosing bool
	// Notice is what the target says of itself.
	Notice discovery.Notice
}

// BadRequestError reports a caller's request that can't be understood.
type BadRequestError struct {
	field  string
	reason string
}

// NewBadRequestError returns an error that names the field of a caller's request.
func NewBadRequestError(field, format string, args ...any) *BadRequestError {
	return &BadRequestError{field: field, reason: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *BadRequestError) Error() string { return e.field + ": " + e.reason }

// Codec translates between the messages of callers and targets and the types of
// this package.
type Codec interface {
	// Decode returns what a caller's request says, or a *BadRequestError.
	DecodeRequest(r *http.Request) (*Request, error)
	// Outbound returns the header of the request to a target.
	EncodeRequestHeader(caller http.Header, o OutboundMetadata) http.Header
	// Answer returns what a target's response says.
	DecodeResponse(resp *http.Response) ResponseMetadata
	// Inbound returns the header of a target's response for the caller.
	EncodeResponseHeader(h http.Header) http.Header
	// Refuse sets the header by which a caller learns when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
}
