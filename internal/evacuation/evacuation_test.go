package evacuation

import (
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// copyOfOrder is a command that an operator's order has become at one of the control VMs. There are
// several for each order, because it is sent again until it is acknowledged.
type copyOfOrder struct {
	Order
	number int // of the order on its domain
}

// operator gives one order after the other on a domain.
type operator struct {
	number       int
	evacuated    bool
	acknowledged bool
}

// Guards against an acknowledged order that is undone by a late copy of an earlier one, and against
// a refusal of an order that knows the newest revision, for any sequence of deliveries, copies that
// are lost, control VMs that lag behind, and snapshots.
func TestAcknowledgedOrderHoldsUntilTheNextOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewState()
		operators := map[string]*operator{"a": {acknowledged: true}, "b": {acknowledged: true}}
		var copies []copyOfOrder
		apply := func(c copyOfOrder) Result {
			r := s.Apply(c.Order)
			op := operators[c.domain]
			if !r.Overtaken && c.number == op.number {
				op.acknowledged = true
			}
			return r
		}
		domain := rapid.SampledFrom([]string{"a", "b"})
		send := func(rt *rapid.T, d string) {
			if op := operators[d]; !op.acknowledged {
				known := s.Revision() - min(s.Revision(), rapid.SampledFrom([]uint64{0, 0, 1, 2, 100}).Draw(rt, "lag"))
				copies = append(copies, copyOfOrder{NewOrder(d, op.evacuated, known), op.number})
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"give the next order": func(rt *rapid.T) {
				d := domain.Draw(rt, "domain")
				if op := operators[d]; op.acknowledged || rapid.Bool().Draw(rt, "give up") {
					op.number, op.evacuated, op.acknowledged = op.number+1, rapid.Bool().Draw(rt, "evacuated"), false
					send(rt, d)
				}
			},
			"send it again": func(rt *rapid.T) { send(rt, domain.Draw(rt, "domain")) },
			"deliver a copy": func(rt *rapid.T) {
				if len(copies) == 0 {
					return
				}
				i := rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")
				apply(copies[i])
				if rapid.Bool().Draw(rt, "the only time") {
					copies = slices.Delete(copies, i, i+1)
				}
			},
			"acknowledge": func(rt *rapid.T) {
				d := domain.Draw(rt, "domain")
				op := operators[d]
				r := apply(copyOfOrder{NewOrder(d, op.evacuated, s.Revision()), op.number})
				require.False(rt, r.Overtaken, "an order that knows the newest revision was refused")
				require.Equal(rt, s.Revision(), r.Revision)
			},
			"restore a snapshot": func(*rapid.T) { s = RestoreState(s.Revision(), s.Floor(), s.Records()) },
			"": func(rt *rapid.T) {
				for d, op := range operators {
					if op.acknowledged {
						require.Equal(rt, op.evacuated, slices.Contains(s.Domains(), d), "domain %s", d)
					}
				}
			},
		})
	})
}

// Guards against memory that grows with each domain ever named, against an evacuation that is
// dropped for it, and against a late order that undoes one whose record was dropped.
func TestRecordsAreBounded(t *testing.T) {
	s := NewState()
	name := func(i int) string { return "domain-" + time.Duration(i).String() }
	s.Apply(NewOrder("kept", true, 0))
	for i := range 2 * maxRecords {
		s.Apply(NewOrder(name(i), false, s.Revision()))
	}
	require.Len(t, s.Records(), maxRecords)
	require.Equal(t, []string{"kept"}, s.Domains())
	require.True(t, s.Apply(NewOrder(name(0), true, 1)).Overtaken)
	require.False(t, s.Apply(NewOrder(name(0), true, s.Revision())).Overtaken)
}

// Guards against a process that goes back to older evacuations when responses of control VMs
// overtake one another, and against one that misses a revocation.
func TestSetAdoptsOnlyHigherRevisions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type response struct {
			revision uint64
			domains  []string
		}
		responses := []response{{}}
		for i := range rapid.IntRange(1, 8).Draw(rt, "revisions") {
			domains := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID[string]).Draw(rt, "domains")
			responses = append(responses, response{uint64(i + 1), domains})
		}
		s, highest, now := NewSet(), response{}, testStart
		revoked, reported := map[string]time.Time{}, map[string]bool{}
		s.OnChange(func(c Change) {
			require.NotEqual(rt, c.Evacuated, reported[c.Domain], "reported twice")
			reported[c.Domain] = c.Evacuated
		})
		for _, r := range rapid.SliceOfN(rapid.SampledFrom(responses), 1, 20).Draw(rt, "order") {
			now = now.Add(time.Second)
			changed := s.Changed()
			adopted := s.Adopt(r.revision, r.domains, now)
			require.Equal(rt, r.revision > highest.revision, adopted)
			if adopted {
				for _, d := range highest.domains {
					if !slices.Contains(r.domains, d) {
						revoked[d] = now
					}
				}
				highest = r
				<-changed
			}
			require.Equal(rt, highest.revision, s.Revision())
			require.Equal(rt, len(highest.domains), s.Len())
			for _, d := range []string{"a", "b", "c"} {
				evacuated := slices.Contains(highest.domains, d)
				require.Equal(rt, evacuated, s.Contains(d))
				require.Equal(rt, evacuated, reported[d])
				if evacuated {
					delete(revoked, d)
				}
				require.Equal(rt, revoked[d], s.TakenBackAt(d))
			}
		}
	})
}

// Guards against an operators' page that can't be read by programs.
func TestAdminPage(t *testing.T) {
	s, mux := NewSet(), http.NewServeMux()
	s.RegisterAdminHandlers(mux, func() time.Time { return testStart.Add(1500 * time.Millisecond) })
	s.Adopt(7, []string{"b", "a"}, testStart)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/evacuations", nil))
	require.True(t, json.Valid(w.Body.Bytes()))
	require.JSONEq(t, `{"revision":7,"evacuated_domains":[{"domain":"a","known_for_ms":1500},{"domain":"b","known_for_ms":1500}]}`, w.Body.String())
}

// A fixed seed makes the property tests repeatable; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
