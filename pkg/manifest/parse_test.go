package manifest_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

var update = flag.Bool("update", false, "rewrite the expected faults in testdata/faults")

// TestMain fixes the seed of property tests, so that every run tries the same
// inputs. The flag -rapid.seed on the command line wins.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	return data
}

func parse(t testing.TB, data []byte) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse("test.yaml", data)
	require.NoError(t, err)
	return m
}

// Guards against examples that the program itself refuses, against accessors
// that return another key's value and against lost defaults.
func TestParseExample(t *testing.T) {
	parse(t, example(t, "imanes.yaml"))
	m := parse(t, example(t, "harbwr.yaml"))
	c, ok := m.Customer("depot-milford-key")
	require.True(t, ok)
	require.Equal(t, "depot-milford", c.Name())
	require.Equal(t, 128, c.MaxConcurrent())
	s, ok := m.Service("orders-core")
	require.True(t, ok)
	require.False(t, s.ReportsLoad())
	release, ok := s.Operation("release_fuel")
	require.True(t, ok)
	require.False(t, release.Idempotent())
	model, ok := m.Model("bunker-7b")
	require.True(t, ok)
	require.EqualValues(t, 8e9, model.Size())
}

// Guards against a check that is missing, stops at the first fault, or reports
// another place than the one to correct. Each file in testdata/faults holds a
// manifest and the exact faults.
func TestParseReportsEveryFault(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			_, err = manifest.Parse("manifest.yaml", archive.Files[0].Data)
			var all *strictyaml.Errors
			require.ErrorAs(t, err, &all)
			var one *strictyaml.Error
			require.ErrorAs(t, err, &one)
			got := strings.TrimSpace(all.Error()) + "\n"
			if *update {
				archive.Files[1].Data = []byte(got)
				require.NoError(t, os.WriteFile(file, txtar.Format(archive), 0o644))
			}
			require.Equal(t, string(archive.Files[1].Data), got)
		})
	}
}
