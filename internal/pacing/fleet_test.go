package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	simStep  = 100 * time.Millisecond
	simTime  = 30 * time.Second
	namedAt  = 4 * time.Second
	endedAt  = 22 * time.Second
	inTouch  = 3 * time.Second // users' bound for news, and for what counts as in touch
	window   = 4 * time.Second // of the users' bound
	pollTime = 500 * time.Millisecond
	// watchGone is the time after which a control VM no longer lists a gateway, and countTime
	// the time after its start in which it lists none.
	watchGone = 1500 * time.Millisecond
	countTime = 2 * time.Second
)

// fleet is gateways and control VMs around one target that names a limit for a while.
type fleet struct {
	rng      *rand.Rand
	gateways []*simGateway
	vms      []*simVM
	perS     float64 // limit
	demand   float64 // requests a second at each gateway
	answers  []simAnswer
	sends    []send // that count
}

type simGateway struct {
	name     string
	register *Register
	pace     *Pace
	polls    []time.Time // next one for each control VM
	sent     []uint64    // version of the own observations that each control VM has
	seen     []uint64    // version of each control VM that the gateway has
	cutUntil time.Time   // from the control VMs
	troubled time.Time   // last restart or cut
}

type simVM struct {
	register  *Register
	startedAt time.Time
	watchers  map[string]time.Time
	listedAt  time.Time
	listed    []uint64
}

// list returns the gateways that have watched lately.
func (vm *simVM) list(now time.Time) []uint64 {
	if vm.listedAt.Equal(now) {
		return vm.listed
	}
	vm.listedAt, vm.listed = now, nil
	for name, at := range vm.watchers {
		if now.Sub(at) <= watchGone {
			vm.listed = append(vm.listed, MemberID(name))
		}
	}
	slices.Sort(vm.listed)
	return vm.listed
}

type simAnswer struct {
	at, sentAt time.Time
	gateway    *simGateway
}

type send struct{ at time.Time }

var simStart = time.Unix(1_000_000, 0)

func newFleet(gateways int, perS, demand float64, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), perS: perS, demand: demand}
	for i := range 3 {
		f.vms = append(f.vms, &simVM{register: NewRegister(fmt.Sprint("vm-", i)), startedAt: simStart.Add(-countTime), watchers: map[string]time.Time{}})
	}
	for i := range gateways {
		g := &simGateway{name: fmt.Sprint("gateway-", i)}
		f.gateways = append(f.gateways, g)
		f.restart(g, simStart)
	}
	return f
}

func (f *fleet) restart(g *simGateway, now time.Time) {
	g.register = NewRegister(g.name)
	g.pace = g.register.Pace("engine", 1)
	g.troubled = now
	g.polls, g.sent, g.seen = nil, make([]uint64, len(f.vms)), make([]uint64, len(f.vms))
	for range f.vms {
		g.polls = append(g.polls, now.Add(time.Duration(f.rng.Int64N(int64(pollTime)))))
	}
}

// poll exchanges statements and members between a gateway and a control VM.
func (f *fleet) poll(g *simGateway, i int, now time.Time) {
	vm := f.vms[i]
	own, version := g.register.ObservedSince(g.sent[i])
	vm.register.Merge(own, now)
	g.sent[i] = version
	vm.watchers[g.name] = now
	news, version := vm.register.ChangesSince(g.seen[i])
	g.seen[i] = version
	g.register.Merge(news, now)
	if now.Sub(vm.startedAt) < countTime {
		return
	}
	ids := vm.list(now)
	if source := fmt.Sprint(i); slices.Equal(g.register.lists[source].ids, ids) {
		g.register.ConfirmMembers(source, now)
	} else {
		g.register.SetMembers(source, ids, now)
	}
}

// limit is what the target names at a time.
func (f *fleet) limit(now time.Time) Limit {
	if at := now.Sub(simStart); at >= namedAt && at < endedAt {
		return NewLimit(f.perS)
	}
	return Unlimited{}
}

func (f *fleet) run(restartPerS, cutPerS float64, vmRestartAt time.Duration) {
	for now := simStart; now.Sub(simStart) < simTime; now = now.Add(simStep) {
		if vmRestartAt > 0 && now.Sub(simStart) == vmRestartAt {
			f.restartVMs(now)
		}
		f.answers = slices.DeleteFunc(f.answers, func(a simAnswer) bool {
			if a.at.After(now) {
				return false
			}
			a.gateway.register.Observe(NewStatement("engine", 1, f.limit(now), a.sentAt, now))
			return true
		})
		for _, g := range f.gateways {
			if f.rng.Float64() < restartPerS*simStep.Seconds() {
				f.restart(g, now)
			}
			if f.rng.Float64() < cutPerS*simStep.Seconds() {
				g.cutUntil = now.Add(time.Duration(f.rng.Int64N(int64(5 * time.Second))))
			}
			for i := range f.vms {
				if g.cutUntil.After(now) {
					g.troubled = now
				} else if !now.Before(g.polls[i]) {
					f.poll(g, i, now)
					g.polls[i] = now.Add(pollTime)
				}
			}
			for n := f.demand * simStep.Seconds(); f.rng.Float64() < n; n-- {
				f.send(g, now)
			}
		}
	}
}

// restartVMs restarts all control VMs, which then know nothing.
func (f *fleet) restartVMs(now time.Time) {
	for i, vm := range f.vms {
		*vm = simVM{register: NewRegister(fmt.Sprint("vm-", i)), startedAt: now, watchers: map[string]time.Time{}}
		for _, g := range f.gateways {
			g.sent[i], g.seen[i] = 0, 0
		}
	}
}

func (f *fleet) send(g *simGateway, now time.Time) {
	if !g.pace.Allows(now) {
		return
	}
	g.pace.Take(now)
	f.answers = append(f.answers, simAnswer{at: now.Add(time.Duration(20+f.rng.IntN(800)) * time.Millisecond), sentAt: now, gateway: g})
	if now.Sub(g.troubled) >= inTouch {
		f.sends = append(f.sends, send{at: now})
	}
}

// worst returns the most sends within a window between two times.
func (f *fleet) worst(from, to time.Duration) int {
	most, first := 0, 0
	var list []time.Time
	for _, s := range f.sends {
		if at := s.at.Sub(simStart); at >= from && at < to {
			list = append(list, s.at)
		}
	}
	for i, at := range list {
		for at.Sub(list[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against gateways that together send more to a target than the limit that it names, with
// few and many gateways, limits below their number, restarts, cuts and control VMs that all
// restart.
func TestGatewaysTogetherKeepToTheLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 12, 31, 103}).Draw(rt, "gateways")
		perS := rapid.SampledFrom([]float64{0, 0.1, 0.3, 1, 1.1, 3.7, 20, 150}).Draw(rt, "limit")
		f := newFleet(n, perS, rapid.SampledFrom([]float64{0.5, 5}).Draw(rt, "demand"), rapid.Uint64().Draw(rt, "seed"))
		f.run(
			rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "restarts"),
			rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "cuts"),
			rapid.SampledFrom([]time.Duration{0, namedAt + simStep, namedAt + 6*time.Second}).Draw(rt, "vm_restart"),
		)
		require.LessOrEqual(rt, float64(f.worst(namedAt+inTouch, endedAt)), 1.5*perS*window.Seconds()+5)
	})
}

// Guards against a limit that isn't used although requests wait, and against one that goes on
// after the target no longer names it.
func TestLimitIsUsedAndEnds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 12, 31, 103} {
		for _, perS := range []float64{0, 1, 3.7, 20, 150} {
			t.Run(fmt.Sprint(n, " gateways, ", perS), func(t *testing.T) {
				f := newFleet(n, perS, max(5, 12*perS/min(float64(n), perS+spareSenders)), 1)
				f.run(0, 0, 0)
				used := 0
				for _, s := range f.sends {
					if at := s.at.Sub(simStart); at >= namedAt+inTouch && at < endedAt {
						used++
					}
				}
				require.GreaterOrEqual(t, float64(used), 0.9*perS*(endedAt-namedAt-inTouch).Seconds())
				for _, g := range f.gateways {
					require.Empty(t, g.register.Limits(simStart.Add(simTime)))
				}
				require.Greater(t, f.worst(simTime-window, simTime), int(perS*window.Seconds()))
			})
		}
	}
}
