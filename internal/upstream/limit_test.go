package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a body without end that is read on, and one beyond its limit that looks
// complete because it was cut there.
func TestLimitBody(t *testing.T) {
	for name, c := range map[string]struct {
		size  int
		whole bool
	}{"below": {size: 9, whole: true}, "at the limit": {size: 10, whole: true}, "above": {size: 11}, "far above": {size: 10000}} {
		for reader, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader, "with its end": iotest.DataErrReader} {
			t.Run(name+" "+reader, func(t *testing.T) {
				b, err := io.ReadAll(LimitBody(wrap(strings.NewReader(strings.Repeat("x", c.size))), 10))
				require.Len(t, b, min(c.size, 10))
				if c.whole {
					require.NoError(t, err)
					return
				}
				var large *BodyTooLargeError
				require.ErrorAs(t, err, &large)
			})
		}
	}
}

// Guards against a process that reads a response of a peer without end into memory.
func TestLimitedTransport(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat("x", 1<<10)); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	client := &http.Client{Transport: NewLimitedTransport(&http.Transport{}, 1<<20)}
	resp, err := client.Get(s.URL)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	require.EqualValues(t, 1<<20, n)
	var large *BodyTooLargeError
	require.True(t, errors.As(err, &large))
	require.NoError(t, resp.Body.Close())
	client.CloseIdleConnections()
}
