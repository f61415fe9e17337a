package standin

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
)

// refusalError is an error that is answered with a Refusal.
type refusalError struct {
	status int
	reason string
	detail string
}

// Error implements error.
func (e *refusalError) Error() string { return e.reason + ": " + e.detail }

var (
	errOverloaded   = &refusalError{http.StatusServiceUnavailable, ReasonOverloaded, "the queue is full"}
	errStaleFence   = &refusalError{http.StatusConflict, ReasonStaleFence, "a higher fencing token was seen"}
	errUnknownModel = &refusalError{http.StatusConflict, ReasonUnknownModel, "the model is not loaded"}
	errUnknown      = &refusalError{http.StatusNotFound, ReasonUnknown, "the stand-in has no such operation"}
	errFault        = &refusalError{http.StatusInternalServerError, ReasonFault, "the call fails by the faults in force"}
	errCanceled     = &refusalError{http.StatusConflict, ReasonCanceled, "the attempt was canceled"}
	errDeadline     = &refusalError{http.StatusGatewayTimeout, ReasonDeadline, "the deadline has passed"}
)

func badRequest(err error) *refusalError {
	return &refusalError{http.StatusBadRequest, ReasonBadRequest, err.Error()}
}

// refusalOf returns the refusal that answers err.
func refusalOf(err error) *refusalError {
	var refusal *refusalError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, context.DeadlineExceeded):
		return errDeadline
	case errors.Is(err, context.Canceled):
		return errCanceled
	default:
		return &refusalError{http.StatusInternalServerError, ReasonFault, err.Error()}
	}
}
