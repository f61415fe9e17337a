package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a body that is cut off and is taken for a whole one: a request would run with a part
// of it. Guards also against memory that isn't given back.
func TestBodyThatIsCutOffIsNotWhole(t *testing.T) {
	const limit = 100_000
	for _, length := range []int64{-1, 50_000} {
		for _, arrived := range []int{0, 1, bodyChunk - 1, bodyChunk, bodyChunk + 1, 40_000} {
			g := &Gateway{}
			x := &exchange{g: g, in: &http.Request{ContentLength: length}}
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", arrived)), iotest.ErrReader(io.ErrUnexpectedEOF))
			require.ErrorIs(t, x.keepBody(body, limit), io.ErrUnexpectedEOF)
			require.Empty(t, x.body)
			require.Equal(t, g.bodies.held.Load(), x.bodyHeld)
			x.releaseBody(x.bodyHeld)
			require.Zero(t, g.bodies.held.Load())
		}
	}
}
