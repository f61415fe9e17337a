package manifest_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// requireSame compares every item of two manifests.
func requireSame(t testing.TB, want, got *manifest.Manifest) {
	t.Helper()
	require.Equal(t, want.Policy(), got.Policy())
	require.Equal(t, want.Unconfirmed(), got.Unconfirmed())
	require.Equal(t, want.Classes(), got.Classes())
	require.Equal(t, want.Customers(), got.Customers())
	require.Equal(t, want.Models(), got.Models())
	require.Equal(t, want.Services(), got.Services())
	require.Equal(t, want.Pipelines(), got.Pipelines())
}

// FuzzParse guards against input that makes Parse panic, against a rendered
// manifest that says something else than the original, and against pieces of a
// file that are read differently from the whole file.
func FuzzParse(f *testing.F) {
	f.Add(example(f, "harbwr.yaml"))
	f.Add([]byte("version: 1\nclasses:\n- {name: \"true\", deadline: 1h30m}\ncustomers:\n  - name: a\n    key: '{\"\\'\n    rate: 1/m\n" +
		"services:\n- name: s\n  kind: engine\n  operations: [{name: o, idempotent: true}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Parse("fuzz.yaml", data)
		if err != nil {
			return
		}
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
	})
}
