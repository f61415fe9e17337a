package upstream

import (
	"fmt"
	"io"
	"net/http"
)

// BodyTooLargeError reports a response body that exceeds its limit.
type BodyTooLargeError struct{ limit int64 }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.limit)
}

// LimitBody returns a reader of a body that fails with a *BodyTooLargeError beyond the limit,
// so that a body without end takes neither memory nor time, and never looks complete.
func LimitBody(body io.Reader, limit int64) io.Reader {
	return &limitedReader{r: body, limit: limit, left: limit}
}

type limitedReader struct {
	r           io.Reader
	limit, left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if int64(len(b)) > l.left+1 {
		b = b[:l.left+1]
	}
	n, err := l.r.Read(b)
	if int64(n) > l.left {
		n, err = int(l.left), &BodyTooLargeError{limit: l.limit}
	}
	l.left -= int64(n)
	return n, err
}

// LimitedTransport limits the bodies of the responses of a transport.
type LimitedTransport struct {
	base  *http.Transport
	limit int64
}

// NewLimitedTransport returns a transport whose response bodies are limited in bytes.
func NewLimitedTransport(base *http.Transport, limit int64) *LimitedTransport {
	return &LimitedTransport{base: base, limit: limit}
}

// RoundTrip implements http.RoundTripper.
func (t *LimitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{Reader: LimitBody(resp.Body, t.limit), Closer: resp.Body}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport; http.Client looks for
// this method.
func (t *LimitedTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

type limitedBody struct {
	io.Reader
	io.Closer
}
