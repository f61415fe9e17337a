package delta_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/delta"
)

// Guards against a catalog that differs from the one that was confirmed: a patch restores exactly its
// document, and one for another base or beyond the limit is rejected.
func TestPatchRestoresTheDocument(t *testing.T) {
	words := rapid.SliceOfN(rapid.SampledFrom([]string{"route", "host", "0123456789abcdef", "{", "}", "\n"}), 0, 400)
	rapid.Check(t, func(rt *rapid.T) {
		text := func(name string) []byte {
			var b bytes.Buffer
			for _, w := range words.Draw(rt, name) {
				b.WriteString(w)
			}
			return b.Bytes()
		}
		base, next, other := text("base"), text("next"), text("other")
		patch, err := delta.EncodePatch(base, next)
		require.NoError(rt, err)
		got, err := delta.ApplyPatch(base, patch, 1<<20)
		require.NoError(rt, err)
		require.Equal(rt, string(next), string(got))
		if wrong, err := delta.ApplyPatch(other, patch, 1<<20); err == nil {
			require.Equal(rt, string(next), string(wrong))
		}
	})
	large := make([]byte, 1<<20)
	patch, err := delta.EncodePatch(nil, large)
	require.NoError(t, err)
	_, err = delta.ApplyPatch(nil, patch, len(large)/2)
	require.Error(t, err, "beyond the limit")
}

// Guards against patches of large documents that are as large as the documents, because the encoder
// doesn't find what is the same far back.
func TestPatchOfALargeDocumentIsSmall(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{256 << 10, 2 << 20, 8 << 20} {
		var routes [][]byte
		for n := 0; n < size; n += len(routes[0]) {
			routes = append(routes, fmt.Appendf(nil, `{"name":"r-%016x","host":"%016x.example","backend":"orders"},`, random.Uint64(), random.Uint64()))
		}
		base := bytes.Join(routes, nil)
		routes[0], routes[len(routes)/2] = []byte("version 2"), []byte("another route")
		patch, err := delta.EncodePatch(base, bytes.Join(routes, nil))
		require.NoError(t, err)
		require.Less(t, len(patch), len(base)/500)
	}
}
