package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a call that continues what one software version has begun and goes to a target of
// another version, by any way in which targets are chosen, and against one that is refused although
// a target of its version is there, if only an ejected one.
func TestOneVersionIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		p := NewPool(Options{Service: "s", FailureDomain: "d-0", Seed: rapid.Uint64().Draw(t, "seed"), Policy: rapid.SampledFrom([]Policy{Adaptive{}, Baseline{}}).Draw(t, "policy")})
		var targets []Target
		for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
			targets = append(targets, Target{
				Name: fmt.Sprint("t-", i), Incarnation: "1", Slots: 2, FailureDomain: fmt.Sprint("d-", i%2), Software: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "software"),
				Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
			})
		}
		p.Sync(targets, now)
		for range rapid.IntRange(0, 200).Draw(t, "earlier calls") {
			c, err := p.Pick(Request{}, now)
			if err != nil {
				break
			}
			if rapid.Bool().Draw(t, "fails") {
				p.Finish(c, Failure{}, now)
			} else {
				p.Finish(c, Success{Latency: time.Millisecond}, now)
			}
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later s")) * time.Second)
		r := Request{
			OneVersion: true, Software: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"), MayProbe: rapid.Bool().Draw(t, "may probe"),
			Prefix: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prefix"), Rendezvous: rapid.Bool().Draw(t, "rendezvous"),
		}
		left := 0
		for _, d := range targets {
			if d.Software == r.Software && !d.Draining {
				left++
			}
		}
		for ; left > 0; left-- {
			c, err := p.Pick(r, now)
			_, baseline := p.policy.(Baseline)
			if err != nil && baseline {
				return // it doesn't use ejected targets
			}
			require.NoError(t, err)
			require.Equal(t, r.Software, c.Software)
			r.Exclude = append(r.Exclude, c.Target)
			p.Finish(c, Canceled{}, now)
		}
		_, err := p.Pick(r, now)
		require.Error(t, err)
	})
}
