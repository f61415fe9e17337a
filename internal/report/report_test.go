package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/report"
)

func run() *report.Run {
	return &report.Run{
		Name: "harbwr", Sent: 10, Seconds: 4,
		Attainment: []report.Attainment{
			{Group: "all", Name: "all", Sent: 10, Attained: 9, Share: 0.9},
			{Group: "customer", Name: "depot-milford", Sent: 10, Attained: 9, Share: 0.9},
		},
		Latency: []report.Latency{{Group: "request", Name: "quote", Count: 9, P50: 10, P95: 20, P99: 30}},
		Stages: []report.StageCost{
			{Service: "encoders", Operation: "encode", Customer: "depot-milford", Attempts: 4, BusyMS: 1000},
			{Service: "generators", Operation: "generate", Customer: "depot-milford", Attempts: 2, BusyMS: 2500, UnusedMS: 350, Tokens: 80},
			{Service: "generators", Operation: "generate", Customer: "ship-agents", Attempts: 1, BusyMS: 0, Tokens: 0},
		},
		Checked:    report.Checked{Complete: true, Answers: 10, Accounts: 2},
		Violations: []report.Violation{{Kind: report.KindDoubled, Request: "release #3", Order: "o3", Detail: "ran 2 times"}},
	}
}

// Guards against a cost page whose sums or shares differ from the run's.
func TestCostPageSums(t *testing.T) {
	var b bytes.Buffer
	report.CostPage(&b, run())
	for _, line := range []string{
		"All work took 3.50 machine seconds. 10.00% of it went into results that no caller used.",
		"| generators, generate | 2.50 | 71.43% | 0.35 | 3 | 80 |",
		"| encoders, encode | 1.00 | 28.57% | 0.00 | 4 | 0 |",
		"| depot-milford | 3.50 | 100.00% | 0.35 | 6 | 80 |",
		"| depot-milford | 10 | 9 | 90.00% |",
	} {
		require.Contains(t, b.String(), line)
	}
	require.NotContains(t, b.String(), "incomplete")
}

// Guards against tables that hide a violation, an incomplete check or a missing side.
func TestTableAndComparison(t *testing.T) {
	r := run()
	r.Checked.Complete = false
	var b bytes.Buffer
	report.Table(&b, r)
	require.Contains(t, b.String(), "doubled: 1\n")
	require.Contains(t, b.String(), "release #3 (request , order o3): ran 2 times")
	require.Contains(t, b.String(), "incomplete")
	other := run()
	other.Name, other.Violations, other.Latency = "harbwr-slow", nil, nil
	b.Reset()
	report.Compare(&b, r, other)
	require.Regexp(t, `doubled +1 +0\n`, b.String())
	require.Regexp(t, `latency p95 ms request quote +20\.0 +-\n`, b.String())
}

// Guards against files that can't be read back or are empty.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "run.json")
	require.NoError(t, run().Write(path))
	back, err := report.Read(path)
	require.NoError(t, err)
	require.Equal(t, run(), back)
	picture := filepath.Join(dir, "latency.svg")
	require.NoError(t, report.Plot(picture, back))
	data, err := os.ReadFile(picture)
	require.NoError(t, err)
	require.Contains(t, string(data), "quote")
	require.Error(t, report.Plot(picture, &report.Run{}))
}
