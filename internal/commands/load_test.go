package commands_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/commands"
	"github.com/cardamomline/cardamomline/internal/report"
)

const loadMix = `
name: test
entries: [ENTRY]
max_requests: 3
customers: [{name: rewinders, key: rewinders-key}]
requests: [{name: stock, kind: call, service: ledger-core, operation: stock_lookup, deadline: 5s}]
phases: [{name: steady, duration: 50ms, rate: 200}]
`

// Guards against an exit code that says all is well when an invariant is broken,
// or the other way round.
func TestLoadExitCode(t *testing.T) {
	for answer, want := range map[string]int{
		`{"request_id":"r1","outcome":"done","output":"not the answer"}`: commands.ExitFailure,
		`{"request_id":"r1","outcome":"not_run","reason":"overloaded"}`:  commands.ExitOK,
	} {
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(answer))
		}))
		dir := t.TempDir()
		mix, run := filepath.Join(dir, "mix.yaml"), filepath.Join(dir, "run.json")
		text := strings.Replace(loadMix, "ENTRY", strings.TrimPrefix(entry.URL, "http://"), 1)
		require.NoError(t, os.WriteFile(mix, []byte(text), 0o600))
		require.Equal(t, want, commands.Execute([]string{"load", "--mix", mix, "--write", run, "--cost", filepath.Join(dir, "cost.md")}))
		entry.Close()
		written, err := report.Read(run)
		require.NoError(t, err)
		require.Equal(t, 3, written.Sent)
		require.Equal(t, want == commands.ExitFailure, written.Count(report.KindMisdelivered) == 3)
	}
}
