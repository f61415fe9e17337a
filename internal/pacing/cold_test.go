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
	coldStep    = 20 * time.Millisecond
	coldFrom    = 6 * time.Second // gateways send to cold targets by then
	coldEnd     = 18 * time.Second
	maxLag      = 700 * time.Millisecond // until a gateway hears that a target is cold
	maxOnTheWay = 40                     // ms
)

// coldFleet is gateways and control VMs around targets some of which are cold for a while.
type coldFleet struct {
	rng      *rand.Rand
	limit    ColdLimit
	gateways []*coldGateway
	vms      []*simVM
	targets  []*coldTarget
	end      time.Duration  // of the cold time
	turns    map[int64]bool // when targets turn cold, ns
}

type coldGateway struct {
	name     string
	register *Register
	paces    []*Pace
	knows    time.Time     // when it knows the targets after a start
	lag      time.Duration // until it hears that a target is cold
	syncAt   time.Time
	// started and next are the start of the watch, zero during a cut, and the time of its answer
	// or of the end of the cut, for each control VM; due is the first of next and syncAt.
	started, next []time.Time
	due           time.Time
}

type coldTarget struct {
	name           string
	from, until    time.Time // of the cold time; zero if the target is warm
	sent, received []coldSend
}

// coldSend is a request to a cold target. Nothing can be held back by a gateway that isn't aware
// that the target is cold.
type coldSend struct {
	at    time.Time
	aware bool
}

func (t *coldTarget) isCold(now time.Time) bool { return !now.Before(t.from) && now.Before(t.until) }

func newColdFleet(gateways, targets, cold int, inUse bool, l ColdLimit, end time.Duration, seed uint64) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 3)), limit: l, end: end, turns: map[int64]bool{}}
	for i := range 3 {
		f.vms = append(f.vms, &simVM{register: NewRegister(fmt.Sprint("vm-", i)), startedAt: simStart.Add(-countTime), watchers: map[string]time.Time{}})
	}
	for i := range targets {
		t := &coldTarget{name: fmt.Sprint("engine-", i)}
		if i < cold {
			t.from, t.until = simStart, simStart.Add(end)
			if inUse {
				t.from = simStart.Add(coldFrom).Add(f.steps(time.Second))
			}
		}
		f.turns[t.from.UnixNano()] = true
		f.targets = append(f.targets, t)
	}
	for i := range gateways {
		g := &coldGateway{name: fmt.Sprint("gateway-", i)}
		f.gateways = append(f.gateways, g)
		f.restart(g, simStart)
	}
	return f
}

// steps returns a random time below a limit.
func (f *coldFleet) steps(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(limit/coldStep))) * coldStep
}

func (f *coldFleet) restart(g *coldGateway, now time.Time) {
	g.register, g.paces = NewRegister(g.name), nil
	for _, t := range f.targets {
		g.paces = append(g.paces, g.register.Pace(t.name, 1))
	}
	g.lag = f.steps(maxLag)
	g.knows = now.Add(g.lag)
	g.syncAt = g.knows
	g.started, g.next, g.due = make([]time.Time, len(f.vms)), nil, now
	for range f.vms {
		g.next = append(g.next, now.Add(time.Duration(f.rng.Int64N(int64(pollTime)))))
	}
}

// watch ends a watch of a gateway at a control VM and begins the next one.
func (f *coldFleet) watch(g *coldGateway, i int, now time.Time) {
	vm, source := f.vms[i], fmt.Sprint(i)
	if !g.started[i].IsZero() {
		listed := now.Sub(vm.startedAt) >= countTime
		if listed {
			if now.Sub(vm.listedAt) >= 100*time.Millisecond { // control VMs use a list for this time
				vm.list(now)
			}
			if slices.Equal(g.register.lists[source].ids, vm.listed) {
				g.register.ConfirmMembers(source, now)
			} else {
				g.register.SetMembers(source, vm.listed, now)
			}
		}
		g.register.RecordContact(source, len(f.vms), listed, g.started[i], now)
	}
	vm.watchers[g.name] = now
	g.started[i], g.next[i] = now, now.Add(pollTime)
}

// sync tells the register of a gateway which targets are cold.
func (f *coldFleet) sync(g *coldGateway, now time.Time) {
	var list []ColdTarget
	for _, t := range f.targets {
		if heard := t.from.Add(g.lag); t.isCold(now) && !now.Before(heard) {
			list = append(list, NewColdTarget(t.name, 1, f.limit, t.until, t.from.After(simStart) && g.knows.Before(t.from)))
		}
	}
	g.register.SyncCold(list, now)
	g.syncAt = now.Add(pollTime)
}

// trouble is what goes wrong in a fleet.
type trouble struct {
	restarts, cuts float64 // of all gateways, a second
	vmRestart      time.Duration
	allVMs         bool
}

// run sends requests at a rate, which comes in bursts of all gateways if bursty is set.
func (f *coldFleet) run(perS float64, bursty bool, tr trouble) {
	for now := simStart; now.Sub(simStart) < f.end+2*coldStep; now = now.Add(coldStep) {
		if tr.vmRestart > 0 && now.Sub(simStart) == tr.vmRestart {
			for i, vm := range f.vms {
				if i == 0 || tr.allVMs {
					*vm = simVM{register: NewRegister("vm"), startedAt: now, watchers: map[string]time.Time{}}
				}
			}
		}
		if f.rng.Float64() < tr.restarts*coldStep.Seconds() {
			f.restart(f.gateways[f.rng.IntN(len(f.gateways))], now)
		}
		if f.rng.Float64() < tr.cuts*coldStep.Seconds() {
			f.cut(now)
		}
		turning := now.Sub(simStart) >= coldFrom && now.Sub(simStart) < coldFrom+2*time.Second
		for _, g := range f.gateways {
			if turning && f.turns[now.Add(-g.lag).UnixNano()] {
				f.sync(g, now)
			}
			if !now.Before(g.due) {
				f.act(g, now)
			}
		}
		n := perS * coldStep.Seconds()
		if bursty {
			n *= 20
			if now.Sub(simStart)%(4*time.Second) >= 200*time.Millisecond {
				n = 0
			}
		}
		for ; f.rng.Float64() < n; n-- {
			f.send(f.gateways[f.rng.IntN(len(f.gateways))], now)
		}
	}
}

// act does what is due at a gateway.
func (f *coldFleet) act(g *coldGateway, now time.Time) {
	for i := range f.vms {
		if !now.Before(g.next[i]) {
			f.watch(g, i, now)
		}
	}
	if !now.Before(g.syncAt) {
		f.sync(g, now)
	}
	g.due = slices.MinFunc(append([]time.Time{g.syncAt}, g.next...), time.Time.Compare)
}

// cut cuts some gateways from one or all control VMs.
func (f *coldFleet) cut(now time.Time) {
	until, vm := now.Add(2*time.Second+f.steps(5*time.Second)), f.rng.IntN(2*len(f.vms))
	share := f.rng.Float64()
	for _, g := range f.gateways {
		for i := range f.vms {
			if (i == vm || vm >= len(f.vms)) && f.rng.Float64() < share {
				g.started[i], g.next[i] = time.Time{}, until
			}
		}
	}
}

// send sends a request to the first target that takes it, in a random order.
func (f *coldFleet) send(g *coldGateway, now time.Time) {
	if now.Before(g.knows) {
		return
	}
	first := f.rng.IntN(len(f.targets))
	for i := range f.targets {
		n := (first + i) % len(f.targets)
		if p := g.paces[n]; p.Allows(now) {
			p.Take(now)
			if t := f.targets[n]; t.isCold(now) {
				_, aware := p.Rate(now)
				t.sent = append(t.sent, coldSend{now, aware})
				t.received = append(t.received, coldSend{now.Add(time.Duration(f.rng.IntN(maxOnTheWay)) * time.Millisecond), aware})
			}
			return
		}
	}
}

// worst returns the most requests that a cold target got within any second, counted where they are
// sent or where they arrive, except for seconds in which gateways that weren't aware of the cold
// target alone sent more than the limit.
func (f *coldFleet) worst() int {
	most := 0
	for _, t := range f.targets {
		for _, list := range [][]coldSend{t.sent, t.received} {
			slices.SortFunc(list, func(a, b coldSend) int { return a.at.Compare(b.at) })
			first, unaware := 0, 0
			for i, s := range list {
				if !s.aware {
					unaware++
				}
				for ; s.at.Sub(list[first].at) >= time.Second; first++ {
					if !list[first].aware {
						unaware--
					}
				}
				if n := i - first + 1; n > unaware || float64(n) <= f.limit.Bound() {
					most = max(most, n)
				}
			}
		}
	}
	return most
}

func (f *coldFleet) used(from, to time.Duration) int {
	n := 0
	for _, t := range f.targets {
		for _, s := range t.sent {
			if since := s.at.Sub(simStart); since >= from && since < to {
				n++
			}
		}
	}
	return n
}

// Guards against gateways that together send more to a cold target in any second than it
// survives: with few and many gateways, a flood or bursts at one target and 28 of 52 cold ones at
// 2.5 times the usual demand, targets that start or turn cold in use, restarts, gateways that are
// cut from some or all control VMs while others go on, and control VMs that restart.
func TestColdTargetGetsNoMoreThanItsBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 3, 12, 12, 12, 31, 31, 103, 370}).Draw(rt, "gateways")
		perS := rapid.SampledFrom([]float64{0.1, 1, 9.8, 11, 11, 60}).Draw(rt, "cold_rate")
		l := NewColdLimit(perS, rapid.SampledFrom([]ColdBounds{{1.5, 5}, {1, 1}, {1, 2}}).Draw(rt, "bounds"))
		inUse, many := rapid.Bool().Draw(rt, "in_use"), rapid.Bool().Draw(rt, "many_targets")
		targets, cold, demand := 1, 1, 30*perS+20
		if many {
			targets, cold, demand = 52, 28, 52*2.5*min(perS/3, 4)
		}
		if inUse && !many {
			// Nothing can be held back until it is known that the target is cold.
			targets, demand = 40, 40*l.Bound()/4
		}
		f := newColdFleet(n, targets, cold, inUse, l, coldEnd, rapid.Uint64().Draw(rt, "seed"))
		f.run(demand, !inUse && rapid.Bool().Draw(rt, "bursty"), trouble{
			restarts:  rapid.SampledFrom([]float64{0, 0.5}).Draw(rt, "restarts"),
			cuts:      rapid.SampledFrom([]float64{0, 0.5, 0.5}).Draw(rt, "cuts"),
			vmRestart: rapid.SampledFrom([]time.Duration{0, coldFrom + time.Second, 12 * time.Second}).Draw(rt, "vm_restart"),
			allVMs:    rapid.Bool().Draw(rt, "all_vms"),
		})
		require.LessOrEqual(rt, float64(f.worst()), l.Bound())
	})
}

// Guards against a cold target that stays idle although requests wait, and against a limit that
// goes on after the cold time.
func TestColdRateIsUsedAndEnds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 12, 31, 103, 370} {
		for _, perS := range []float64{1, 9.8, 11, 60} {
			t.Run(fmt.Sprint(n, " gateways, ", perS), func(t *testing.T) {
				l := NewColdLimit(perS, ColdBounds{1.5, 5})
				end := coldFrom + max(10*time.Second, time.Duration(100/perS*float64(time.Second)))
				f := newColdFleet(n, 1, 1, false, l, end, 1)
				senders := min(n, l.split().senders)
				f.run(12*perS*float64(n)/float64(senders), false, trouble{})
				require.GreaterOrEqual(t, float64(f.used(coldFrom, end)), 0.9*perS*(end-coldFrom).Seconds())
				require.LessOrEqual(t, float64(f.worst()), l.Bound())
				for _, g := range f.gateways {
					require.Empty(t, g.register.Limits(simStart.Add(end)))
					require.True(t, g.paces[0].Allows(simStart.Add(end)))
				}
			})
		}
	}
}

// Guards against a gateway that sends to a cold target while others don't know of it, or after
// they have taken its place, and against one that takes a place whose owner may still send.
func TestSendersOfColdTargetsAreInContact(t *testing.T) {
	names := []string{"gateway-1", "gateway-2"}
	ids := []uint64{MemberID(names[0]), MemberID(names[1])}
	slices.Sort(ids)
	first := names[0]
	if memberScore("a", MemberID(names[1])) > memberScore("a", MemberID(names[0])) {
		first = names[1]
	}
	second := names[1-slices.Index(names, first)]
	now := simStart
	newGateway := func(name string) (*Register, *Pace) {
		r := NewRegister(name)
		r.SyncCold([]ColdTarget{NewColdTarget("a", 1, NewColdLimit(11, ColdBounds{1, 1}), now.Add(time.Hour), false)}, now)
		return r, r.Pace("a", 1)
	}
	watch := func(r *Register, ids []uint64, listed int) {
		for i := range 3 {
			if i < listed {
				r.SetMembers(fmt.Sprint(i), ids, now)
			}
			r.RecordContact(fmt.Sprint(i), 3, i < listed, now.Add(-pollTime), now)
		}
	}
	// follow watches for a time and returns when a request was allowed first.
	follow := func(r *Register, p *Pace, ids []uint64, listed int, d time.Duration) time.Duration {
		for begin := now; now.Sub(begin) < d; now = now.Add(100 * time.Millisecond) {
			if now.Sub(begin)%pollTime == 0 {
				watch(r, ids, listed)
			}
			if rate, limited := p.Rate(now); limited && rate > 0 {
				return now.Sub(begin)
			}
		}
		return d
	}
	r, p := newGateway(first)
	require.Equal(t, 10*time.Second, follow(r, p, ids, 1, 10*time.Second), "a minority of the control VMs lists it")
	require.Equal(t, 10*time.Second, follow(r, p, []uint64{MemberID(second)}, 3, 10*time.Second), "it isn't listed")
	r, p = newGateway(first)
	joined := follow(r, p, ids, 2, 10*time.Second)
	require.GreaterOrEqual(t, joined, contactLease-pollTime, "older lists don't contain it")
	require.LessOrEqual(t, joined, joinTime+pollTime)
	now = now.Add(contactLease - 2*pollTime)
	require.True(t, p.Allows(now))
	now = now.Add(2 * pollTime)
	require.False(t, p.Allows(now), "out of contact")
	require.Positive(t, p.Wait(now))

	r, p = newGateway(second)
	require.Equal(t, 10*time.Second, follow(r, p, ids, 3, 10*time.Second))
	// The other one was dropped from the lists 1.5 s after its last watch, and sends for contactLease.
	taken := follow(r, p, []uint64{MemberID(second)}, 3, 10*time.Second)
	require.GreaterOrEqual(t, watchGone+taken, contactLease)
	require.LessOrEqual(t, taken, 2*time.Second)
}

// Guards against a limit of a cold target that loosens the one that it names, or the reverse, and
// against either of them outliving its end.
func TestStricterLimitHolds(t *testing.T) {
	for _, named := range []float64{0, 2, 200} {
		now := simStart
		r := NewRegister("gateway")
		r.SetMembers("0", []uint64{MemberID("gateway")}, now)
		r.RecordContact("0", 1, true, now, now)
		now = now.Add(joinTime)
		r.RecordContact("0", 1, true, now.Add(-pollTime), now)
		p := r.Pace("a", 1)
		r.SyncCold([]ColdTarget{NewColdTarget("a", 1, NewColdLimit(11, ColdBounds{1.5, 5}), now.Add(2*time.Second), false)}, now)
		cold, _ := p.Rate(now)
		r.Observe(NewStatement("a", 1, NewLimit(named), now, now))
		both, limited := p.Rate(now)
		require.True(t, limited)
		want := NewRegister("gateway")
		want.SetMembers("0", []uint64{MemberID("gateway")}, now)
		want.Observe(NewStatement("a", 1, NewLimit(named), now, now))
		alone, _ := want.Pace("a", 1).Rate(now)
		require.InDelta(t, min(cold, alone), both, 1e-9)
		after, limited := p.Rate(now.Add(2 * time.Second))
		require.True(t, limited)
		require.InDelta(t, alone, after, 1e-9, "the cold time is over")
		r.SyncCold(nil, now.Add(2*time.Second))
		r.Observe(NewStatement("a", 1, Unlimited{}, now.Add(3*time.Second), now.Add(3*time.Second)))
		require.Zero(t, r.limited.Load())
		require.True(t, p.Allows(now.Add(4*time.Second)))
	}
}
