package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// stageService is a stage service whose usual call takes a time.
func stageService(name string, call time.Duration) catalog.ServiceInput {
	return catalog.ServiceInput{Name: name, Batch: &catalog.BatchProfile{MaxConcurrency: 1, MaxBatchSize: 2, CallOverhead: call - 10*time.Millisecond, PieceTime: 10 * time.Millisecond}}
}

// Load pattern: a burst of requests of another kind, whose results fill the memory of the first
// service. Guards against a large result that is made long before the stages beside it are
// done, and takes up memory meanwhile, and against one that is made so late that the request
// waits for it.
func TestStageBesideThePathBeginsLate(t *testing.T) {
	after := func(stages ...int) []int { return stages }
	for name, c := range map[string]struct {
		calls  [3]time.Duration // of the services of stage 0 and 1, of stage 2, and of stage 3
		pieces []int
		before int
		waits  bool
	}{
		"as long as the last stage":   {calls: [3]time.Duration{300, 300, 300}, pieces: []int{2, 1, 6, 10}, before: 2, waits: true},
		"a little longer":             {calls: [3]time.Duration{320, 300, 300}, pieces: []int{2, 1, 6, 10}, before: 2, waits: true},
		"longer than the last stage":  {calls: [3]time.Duration{400, 300, 300}, pieces: []int{2, 1, 6, 10}, before: 1, waits: true},
		"longer than all that follow": {calls: [3]time.Duration{900, 300, 300}, pieces: []int{2, 1, 6, 10}},
		"without the last stage":      {calls: [3]time.Duration{300, 300, 300}, pieces: []int{2, 1, 6, 0}, before: 1, waits: true},
		"no other stage":              {calls: [3]time.Duration{300, 300, 300}, pieces: []int{2, 0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			cat, err := catalog.New(catalog.Input{
				Version: 1,
				Services: []catalog.ServiceInput{
					stageService("invoicing", c.calls[0]*time.Millisecond), stageService("roster", c.calls[1]*time.Millisecond),
					stageService("notices", c.calls[2]*time.Millisecond),
					{Name: "engines"},
				},
				Routes: []catalog.RouteInput{{
					Name: "chat", Host: "h", Prefix: "/", Kind: catalog.Stream, Timeout: time.Second, Split: []catalog.WeightedService{{Service: "engines", Weight: 1}},
					Stages: []catalog.StageInput{
						{Service: "invoicing"}, {Service: "invoicing"}, {Service: "roster", DependsOn: after(1)}, {Service: "notices", DependsOn: after(2)},
					},
				}},
			})
			require.NoError(t, err)
			g := &Gateway{}
			g.catalog.Store(cat)
			x := &exchange{g: g, route: cat.Routes()[0], r: &Request{Pieces: c.pieces}}
			before, waits := x.stageBefore(0)
			require.Equal(t, c.waits, waits)
			require.Equal(t, c.before, before)
			_, waits = x.stageBefore(1)
			require.False(t, waits, "the head of the path begins at once")
		})
	}
}
