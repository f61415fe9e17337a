package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// bodyChunk is the first buffer for a body of unknown length. It doubles as the body grows.
	bodyChunk = 16 << 10
	// discardTime is how long the rest of a body is read that is not kept, so that its caller can
	// read the refusal on the connection.
	discardTime = time.Second
	// bodiesRetry is the time after which a caller may return whose body found no memory.
	bodiesRetry = time.Second
)

// bodyMemory bounds the memory for the bodies of all requests in hand. A body is held until its
// request ends, since it may have to be sent again, and targets may read it slowly.
type bodyMemory struct {
	limit int64 // bytes; 0 for no limit
	held  atomic.Int64
}

// reserve reserves memory and reports whether there is enough.
func (m *bodyMemory) reserve(n int64) bool {
	if held := m.held.Add(n); m.limit > 0 && held > m.limit {
		m.held.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.held.Add(-n) }

// errNoBodyMemory reports a body for which there is no memory.
var errNoBodyMemory = errors.New("no memory for the body")

// readBody reads the whole body, which may have to be sent twice.
func (x *exchange) readBody() bool {
	limit := x.catalog.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.in.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, "body_too_large", nil)
		return false
	}
	body := http.MaxBytesReader(x.w, x.in.Body, limit)
	err := x.keepBody(body, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		x.discard(body)
		x.refuse("no_body_memory", bodiesRetry)
		return false
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, "body_too_large", err)
		return false
	case err != nil:
		x.reject(http.StatusBadRequest, "body_broken", err)
		return false
	}
	return true
}

// keepBody reads the body, of limit bytes at most, into memory that it reserves.
func (x *exchange) keepBody(body io.Reader, limit int64) error {
	size := x.in.ContentLength
	if size < 0 {
		size = min(bodyChunk, limit+1)
	}
	b, err := x.grow(nil, size)
	if err != nil {
		return err
	}
	for {
		switch {
		case len(b) < cap(b):
		case x.in.ContentLength >= 0:
			x.body = b
			return nil
		default:
			// The byte beyond the limit is never filled: the reader fails before.
			if b, err = x.grow(b, min(2*int64(cap(b)), limit+1)); err != nil {
				return err
			}
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		// A body that is cut off ends with io.ErrUnexpectedEOF.
		if errors.Is(err, io.EOF) {
			x.body = b
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow returns a buffer of a size with the content of another one, which it takes the place of.
func (x *exchange) grow(b []byte, size int64) ([]byte, error) {
	if !x.g.bodies.reserve(size) {
		return nil, errNoBodyMemory
	}
	x.bodyHeld += size
	larger := make([]byte, len(b), size)
	copy(larger, b)
	x.releaseBody(int64(cap(b)))
	return larger, nil
}

// releaseBody gives memory for the body back.
func (x *exchange) releaseBody(n int64) {
	x.bodyHeld -= n
	x.g.bodies.release(n)
}

// discard reads the rest of a body that is not kept.
func (x *exchange) discard(body io.Reader) {
	c := http.NewResponseController(x.w)
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
	if _, err := io.Copy(io.Discard, body); err != nil {
		x.w.Header().Set("Connection", "close")
		return
	}
	_ = c.SetReadDeadline(time.Time{})
}
