package delta_test

import (
	"bytes"
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
