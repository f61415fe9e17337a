package manifest_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	return data
}

// Guards against examples that the program itself refuses, and against
// accessors that return another key's value.
func TestParseExample(t *testing.T) {
	_, err := manifest.Parse("imanes.yaml", example(t, "imanes.yaml"))
	require.NoError(t, err)
	m, err := manifest.Parse("harbwr.yaml", example(t, "harbwr.yaml"))
	require.NoError(t, err)
	c, ok := m.Customer("depot-milford-key")
	require.True(t, ok)
	require.Equal(t, "depot-milford", c.Name())
	require.Equal(t, 64, c.MaxConcurrent())
	s, ok := m.Service("orders-core")
	require.True(t, ok)
	release, ok := s.Operation("release_fuel")
	require.True(t, ok)
	require.False(t, release.Idempotent())
	model, ok := m.Model("bunker-7b")
	require.True(t, ok)
	require.EqualValues(t, 8e9, model.Size())
}

// Guards against a check that stops at the first fault or loses its position.
func TestParseReportsEveryFault(t *testing.T) {
	_, err := manifest.Parse("bad.yaml", []byte("version: 2\ncolour: red\nclasses: [{name: counter, deadline: 2}]\nclasses: []\n"))
	var all *strictyaml.Errors
	require.ErrorAs(t, err, &all)
	require.Equal(t, `bad.yaml:1:1: found no key customers, expected the required key customers
bad.yaml:1:1: found no key services, expected the required key services
bad.yaml:1:10: version: found "2", expected a whole number from 1 to 1
bad.yaml:2:1: found the unknown key "colour", expected one of the keys version, policy, unconfirmed, classes, customers, models, services, pipelines
bad.yaml:3:37: classes[0].deadline: found "2", expected a duration from 10ms to 24h: write a number and a unit: ms, s, m or h
bad.yaml:4:1: found the key classes a second time, expected each key once`, err.Error())
}
