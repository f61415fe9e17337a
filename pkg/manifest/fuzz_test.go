package manifest_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// FuzzParse guards against input that makes Parse panic. Few inputs that it
// tries are manifests; FuzzGenerated covers what happens after acceptance.
func FuzzParse(f *testing.F) {
	f.Add(example(f, "harbwr.yaml"))
	f.Add([]byte("version: 1\nclasses:\n- {name: \"true\", deadline: 1h30m}\ncustomers:\n  - name: a\n    key: '{\"\\'\n    rate: 1/m\n" +
		"services:\n- name: s\n  kind: engine\n  operations: [{name: o, idempotent: true}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := manifest.Parse("fuzz.yaml", data); err == nil {
			requireStable(t, m, data)
		}
	})
}

// FuzzGenerated runs the property on manifests from the fuzzer's bytes.
func FuzzGenerated(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(generatedIsStable))
}

// TestGenerated guards against a manifest in any style that is refused, or that
// says something else when it is rendered or read in pieces.
func TestGenerated(t *testing.T) {
	rapid.Check(t, generatedIsStable)
}

func generatedIsStable(t *rapid.T) {
	data := genManifest(t)
	m, err := manifest.Parse("generated.yaml", data)
	require.NoError(t, err, "%s", data)
	requireStable(t, m, data)
	// One wrong character may leave a manifest that is accepted.
	at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
	data[at] = rapid.SampledFrom([]byte(" \n\t-:,{}[]'\"#&0a")).Draw(t, "character")
	if m, err := manifest.Parse("edited.yaml", data); err == nil {
		requireStable(t, m, data)
	}
}

// requireStable checks that m, which was read from data, stays the same when it
// is rendered and read again, taken over, or read as a whole.
func requireStable(t require.TestingT, m *manifest.Manifest, data []byte) {
	rendered := m.Bytes()
	again, err := manifest.Parse("rendered.yaml", rendered)
	require.NoError(t, err, "%s", rendered)
	requireSame(t, m, again)
	require.Equal(t, rendered, again.Bytes())
	require.Empty(t, manifest.Diff(m, again))
	require.Equal(t, m.Digests(), again.Digests())
	next, err := manifest.ParseNext(m, "next.yaml", bytes.Clone(data))
	require.NoError(t, err)
	requireSame(t, m, next)
	// A document marker makes the reader parse the file as a whole.
	whole, err := manifest.Parse("whole.yaml", append([]byte("---\n"), data...))
	require.NoError(t, err)
	requireSame(t, m, whole)
}

// requireSame compares every item of two manifests.
func requireSame(t require.TestingT, want, got *manifest.Manifest) {
	require.Equal(t, want.Policy(), got.Policy())
	require.Equal(t, want.Unconfirmed(), got.Unconfirmed())
	require.Equal(t, want.Classes(), got.Classes())
	require.Equal(t, want.Customers(), got.Customers())
	require.Equal(t, want.Models(), got.Models())
	require.Equal(t, want.Services(), got.Services())
	require.Equal(t, want.Pipelines(), got.Pipelines())
}
