package delta_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/delta"
)

// TestMain sets the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Requirement P7: a delta restores exactly the accepted manifest, and is rejected if it
// doesn't match the base.
func TestApplyRestoresTheManifest(t *testing.T) {
	text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\n")), 0, 30)
	rapid.Check(t, func(rt *rapid.T) {
		base, next, other := text.Draw(rt, "base"), text.Draw(rt, "next"), text.Draw(rt, "other")
		d := delta.Diff(base, next)
		got, err := delta.Apply(base, d)
		require.NoError(rt, err)
		require.Equal(rt, string(next), string(got))
		if wrong, err := delta.Apply(other, d); err == nil {
			require.Equal(rt, string(next), string(wrong))
		}
	})
}
