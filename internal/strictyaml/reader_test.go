package strictyaml_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
)

// Guards against input that costs much more than its size: unbounded nesting
// overflows the stack of a recursive parser, and a file of another kind could
// report a fault for every line.
func TestReaderBoundsItsWork(t *testing.T) {
	tests := map[string][]byte{
		"collections nested": bytes.Repeat([]byte("["), 1<<16),
		"a line longer":      bytes.Repeat([]byte("- "), 1<<14),
		"and 4900 more":      []byte(strings.Repeat("unknown: 1\n", 5000)),
	}
	for want, data := range tests {
		r := strictyaml.NewReader("file.yaml")
		r.Read(data).Mapping("key")
		require.ErrorContains(t, r.Err(), want)
	}
}

// Guards against files whose structure a reader could take for another one.
func TestReaderRefusesUnclearStructure(t *testing.T) {
	tests := map[string]string{
		"list: [1]\n---\nlist: [2]\n": "a second document",
		"list:\n    - 1\n  - 2\n":     "a syntax error",
		"list:\n  - 1\n- 2\n":         "a syntax error",
		"list: [1]\n  - 2\n":          "a syntax error",
	}
	for data, want := range tests {
		r := strictyaml.NewReader("file.yaml")
		for item := range r.Read([]byte(data)).Mapping("list").Required("list").Items(1, 9) {
			item.Value().Int(0, 9)
		}
		require.ErrorContains(t, r.Err(), want, data)
	}
}

// Guards against a wrong path, such as a log, that fills the memory.
func TestReadFileStopsAboveTheLimit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file.yaml")
	require.NoError(t, os.WriteFile(path, make([]byte, 100), 0o600))
	data, err := strictyaml.ReadFile(path, 10)
	require.NoError(t, err)
	require.Len(t, data, 11)
	r := strictyaml.NewReader(path)
	require.True(t, r.CheckSize(data[:10], 10))
	require.False(t, r.CheckSize(data, 10))
	require.ErrorContains(t, r.Err(), "a file larger than the limit")
}

// Guards against characters that look like others in an editor.
func TestReaderRefusesUnprintableText(t *testing.T) {
	for _, s := range []string{"a:\u00a0b\n", "a: \x00\n", "a: \xff\n", "a: \u2028\n", "a: b\rc: d\n", "\ufeffa: b\n"} {
		r := strictyaml.NewReader("file.yaml")
		r.Read([]byte(s)).Mapping("a")
		require.ErrorContains(t, r.Err(), "expected printable text", "%q", s)
	}
}

// Guards against positions that are lost where a file is parsed in pieces: a
// wrong value in any item must be reported at its own line and index.
func TestItemsKeepTheirPositions(t *testing.T) {
	const items = 200
	for _, style := range []string{"  - %d # note\n\n", "- %d\r\n"} {
		for _, wrong := range []int{0, 63, 64, 65, items - 1} {
			var b bytes.Buffer
			b.WriteString("# comment\nlist:\n")
			for i := range items {
				n := i
				if i == wrong {
					n = 5000
				}
				fmt.Fprintf(&b, style, n)
			}
			r := strictyaml.NewReader("file.yaml")
			for item := range r.Read(b.Bytes()).Mapping("list").Required("list").Items(1, items) {
				item.Value().Int(0, 1000)
			}
			line := 3 + wrong*strings.Count(style, "\n")
			column := strings.Index(style, "%") + 1
			require.EqualError(t, r.Err(), fmt.Sprintf("file.yaml:%d:%d: list[%d]: found 5000, expected a whole number from 0 to 1000", line, column, wrong))
		}
	}
}
