package capacity

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/quorum"
)

// One-way latencies that the placements are compared with. Both are assumed:
// section 1 of docs/design.md gives none between regions.
const (
	latencyWithin  = 200 * time.Microsecond
	latencyBetween = 20 * time.Millisecond
)

// placements are the numbers of control VMs in each failure domain of each region.
var placements = []struct {
	name    string
	regions [][]int
}{
	{"3: 1+1 | 1", [][]int{{1, 1}, {1}}},
	{"4: 1+1 | 1+1", [][]int{{1, 1}, {1, 1}}},
	{"5: 2+1 | 1+1", [][]int{{2, 1}, {1, 1}}},
	{"5: 1+1 | 2+1", [][]int{{1, 1}, {2, 1}}},
	{"6: 2+2 | 1+1", [][]int{{2, 2}, {1, 1}}},
	{"7: 2+2 | 2+1", [][]int{{2, 2}, {2, 1}}},
	{"7: 3+2 | 1+1", [][]int{{3, 2}, {1, 1}}},
}

// Placement returns for each placement the share of the failure sets of each
// kind that a majority serves after, and the commit latency.
func Placement() ([]quorum.Row, error) {
	var all []quorum.Row
	for _, p := range placements {
		l, err := quorum.NewSpreadLayout(p.name, p.regions...)
		if err != nil {
			return nil, err
		}
		rows, err := quorum.Analyze(l, quorum.Systems(l.Size()), quorum.Latency{IntraRegion: latencyWithin, InterRegion: latencyBetween})
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}
