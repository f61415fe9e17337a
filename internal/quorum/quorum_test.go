package quorum_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/quorum"
)

var latency = quorum.Latency{IntraRegion: 200 * time.Microsecond, InterRegion: 20 * time.Millisecond}

func layouts(t *testing.T) []*quorum.Layout {
	var all []*quorum.Layout
	for name, regions := range map[string][][]int{
		"3 VMs in 3 domains":    {{1, 1, 1}},
		"4 VMs in 2 regions":    {{1, 1}, {1, 1}},
		"5 VMs in 2 regions":    {{2, 1}, {1, 1}},
		"6 VMs in 2 regions":    {{2, 1}, {2, 1}},
		"7 VMs in 2 regions":    {{2, 2}, {2, 1}},
		"7 VMs, uneven domains": {{3, 2}, {1, 1}},
	} {
		l, err := quorum.NewSpreadLayout(name, regions...)
		require.NoError(t, err)
		all = append(all, l)
	}
	return all
}

// Guards against a quorum system in which a new leader could lack a committed entry,
// and against fractions and latencies that are out of range.
func TestQuorumsIntersect(t *testing.T) {
	for _, l := range layouts(t) {
		for _, s := range quorum.Systems(l.Size()) {
			require.True(t, quorum.QuorumsIntersect(s, l), "%s, %s", l.Name(), s.Name(l.Size()))
		}
		rows, err := quorum.Analyze(l, quorum.Systems(l.Size()), latency)
		require.NoError(t, err)
		for _, r := range rows {
			require.LessOrEqual(t, r.Replicates(), r.Serves(), r.Cells())
			require.LessOrEqual(t, r.Serves(), 1.0, r.Cells())
			require.LessOrEqual(t, r.BestCommit(), r.WorstCommit())
			require.Len(t, r.Cells(), len(quorum.Header()))
		}
	}
}

// Guards against incorrect counts by comparing with manually calculated figures.
func TestAnalyzeMatchesManualCounts(t *testing.T) {
	three, err := quorum.NewSpreadLayout("3", []int{1, 1, 1})
	require.NoError(t, err)
	four, err := quorum.NewSpreadLayout("4", []int{1, 1}, []int{1, 1})
	require.NoError(t, err)
	seven, err := quorum.NewSpreadLayout("7", []int{2, 2}, []int{2, 1})
	require.NoError(t, err)
	for _, c := range []struct {
		layout *quorum.Layout
		system quorum.System
		want   string
	}{
		// 3 failure sets and 9 leader placements, of which 6 survive.
		{three, quorum.Majority{}, "majority 2 of 3|true|1 VM|3|66.7%|100.0%|100.0%|400µs|400µs"},
		// Any failed VM prevents an election by all 3; the leader can replicate alone in 6 of 9.
		{three, quorum.Flexible{ReplicationSize: 1}, "replicate 1, elect 3 of 3|true|1 VM|3|66.7%|0.0%|66.7%|0s|0s"},
		// A single VM is an election quorum, so two VMs can elect themselves independently.
		{three, quorum.Flexible{ReplicationSize: 3}, "replicate 3, elect 1 of 3|false|1 VM|3|0.0%|100.0%|0.0%|400µs|400µs"},
		// Only the region with 4 of 7 VMs has a majority: 4 of 7 leader placements remain.
		{seven, quorum.Majority{}, "majority 4 of 7|true|region cut|1|57.1%|100.0%|100.0%|400µs|40ms"},
		// If one of the 4 VMs fails (4 of 7 sets), there is no majority; otherwise 4 of 7
		// leader placements remain.
		{seven, quorum.Majority{}, "majority 4 of 7|true|region cut and 1 VM|7|24.5%|42.9%|42.9%|400µs|40ms"},
		// Any single failure domain leaves 4 or more VMs; the leader survives in 3 of 4.
		{seven, quorum.Majority{}, "majority 4 of 7|true|1 failure domain|4|75.0%|100.0%|100.0%|400µs|40ms"},
		// Rows correspond to regions: each can replicate alone, but no column is complete.
		{four, quorum.Grid{Rows: 2}, "grid 2 by 2, replicate a row, elect a column|false|region cut|1|100.0%|0.0%|100.0%|400µs|400µs"},
	} {
		rows, err := quorum.Analyze(c.layout, []quorum.System{c.system}, latency)
		require.NoError(t, err)
		var got []string
		for _, r := range rows {
			got = append(got, strings.Join(r.Cells()[1:], "|"))
		}
		require.Contains(t, got, c.want)
	}
	_, err = quorum.Analyze(seven, []quorum.System{quorum.Grid{Rows: 2}}, latency)
	var size *quorum.SizeError
	require.ErrorAs(t, err, &size)
	require.Equal(t, 7, size.VMs())
}

// Example_majority shows the rows for a majority of 3 VMs.
func Example_majority() {
	l, _ := quorum.NewSpreadLayout("3 VMs", []int{1, 1, 1})
	rows, _ := quorum.Analyze(l, []quorum.System{quorum.Majority{}}, latency)
	for _, r := range rows {
		fmt.Println(strings.Join(r.Cells(), " | "))
	}
	// Output:
	// 3 VMs | majority 2 of 3 | true | 1 VM | 3 | 66.7% | 100.0% | 100.0% | 400µs | 400µs
	// 3 VMs | majority 2 of 3 | true | 2 VMs | 3 | 0.0% | 0.0% | 0.0% | 400µs | 400µs
	// 3 VMs | majority 2 of 3 | true | 1 failure domain | 3 | 66.7% | 100.0% | 100.0% | 400µs | 400µs
	// 3 VMs | majority 2 of 3 | true | 2 failure domains | 3 | 0.0% | 0.0% | 0.0% | 400µs | 400µs
}
