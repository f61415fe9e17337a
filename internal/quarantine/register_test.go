package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// prompt is a request of the simulation; its parts end with one of its own.
type prompt struct {
	ids     []string
	deadly  bool
	gateway int
	engine  int
	sentAt  time.Time
	beginAt time.Time
	begun   bool
}

func (p *prompt) shared() []string { return p.ids[:len(p.ids)-1] }

func (p *prompt) parts() []Part {
	var list []Part
	for i, id := range p.shared() {
		list = append(list, NewPart(id, i))
	}
	return list
}

// deployment simulates gateways that exchange records by way of control VMs, and engines that
// crash when they begin to answer a request with the deadly part, or for another reason.
type deployment struct {
	rng         *rand.Rand
	now         time.Time
	gateways    []*Register
	controlVMs  []*Register
	sent, got   [][]uint64 // versions, by gateway and control VM
	incarnation []int      // of the engines
	downUntil   []time.Time
	running     []*prompt
	crashes     int
	boundAfter  int       // crashes after which the users' bound begins; 0 for 5
	boundAt     time.Time // the last one of these
	lateSends   int
	sound       [2]int // sound requests with the first part of the deadly ones: sent, blocked
	restartVM   bool
}

func newDeployment(seed uint64, gateways, controlVMs, engines int) *deployment {
	d := &deployment{rng: rand.New(rand.NewPCG(seed, 0)), now: epochStart, incarnation: make([]int, engines), downUntil: make([]time.Time, engines)}
	for i := range gateways {
		d.gateways = append(d.gateways, NewRegister(fmt.Sprint("gateway-", i)))
		d.sent, d.got = append(d.sent, make([]uint64, controlVMs)), append(d.got, make([]uint64, controlVMs))
	}
	for i := range controlVMs {
		d.controlVMs = append(d.controlVMs, NewRegister(fmt.Sprint("vm-", i)))
	}
	return d
}

// arrive sends a request by a random gateway to a random engine that is up, and reports whether
// it is blocked instead.
func (d *deployment) arrive(ids []string, deadly bool) bool {
	p := &prompt{ids: append(ids, fmt.Sprint("own-", d.rng.Uint64())), deadly: deadly, gateway: d.rng.IntN(len(d.gateways)), sentAt: d.now}
	blocked := d.gateways[p.gateway].Check(p.shared(), d.now).Blocked()
	if !deadly && ids[0] == "first" {
		d.sound[0]++
		if blocked {
			d.sound[1]++
		}
	}
	if blocked {
		return true
	}
	p.engine = d.rng.IntN(len(d.incarnation))
	for range len(d.incarnation) {
		if d.now.After(d.downUntil[p.engine]) {
			break
		}
		p.engine = (p.engine + 1) % len(d.incarnation)
	}
	if !d.now.After(d.downUntil[p.engine]) {
		return false // no engine is up
	}
	if deadly && !d.boundAt.IsZero() && d.now.Sub(d.boundAt) > contactTime {
		d.lateSends++
	}
	p.beginAt = d.now.Add(time.Duration(80+d.rng.IntN(400)) * time.Millisecond)
	d.running = append(d.running, p)
	return false
}

// contactTime is the users' bound after the fifth crash, or the third one of a request.
const contactTime = 3 * time.Second

// crash ends an engine: each gateway records the requests without an answer.
func (d *deployment) crash(engine int) {
	name := fmt.Sprintf("engine-%d/%d", engine, d.incarnation[engine])
	d.incarnation[engine]++
	d.downUntil[engine] = d.now.Add(3 * time.Second)
	byGateway := map[int][]Part{}
	var left []*prompt
	for _, p := range d.running {
		switch {
		case p.engine != engine:
			left = append(left, p)
		case !p.begun || d.now.Sub(p.beginAt) < 300*time.Millisecond:
			byGateway[p.gateway] = append(byGateway[p.gateway], p.parts()...)
		}
	}
	d.running = left
	for g, parts := range byGateway {
		d.gateways[g].RecordCrash(name, parts, d.now, d.now)
	}
}

// step lets the time pass.
func (d *deployment) step(dt time.Duration) {
	d.now = d.now.Add(dt)
	var dead []int
	left := d.running[:0]
	for _, p := range d.running {
		switch {
		case !p.begun && d.now.After(p.beginAt):
			p.begun = true
			if p.deadly {
				dead = append(dead, p.engine)
			}
			left = append(left, p)
		case p.begun && d.now.Sub(p.beginAt) >= 300*time.Millisecond:
			d.gateways[p.gateway].RecordBegun(p.shared(), d.now)
		default:
			left = append(left, p)
		}
	}
	d.running = left
	for _, engine := range dead {
		if !d.now.After(d.downUntil[engine]) {
			continue
		}
		d.crash(engine)
		if d.crashes++; d.crashes == cmp.Or(d.boundAfter, 5) {
			d.boundAt = d.now
		}
	}
	for g, q := range d.gateways {
		for v, vm := range d.controlVMs {
			if d.rng.Float64() > dt.Seconds()/0.35 {
				continue // a watch takes up to 0.6 s
			}
			records, version := q.ObservedSince(d.sent[g][v])
			d.sent[g][v] = version
			vm.Merge(records, d.now)
			records, version = vm.ChangesSince(d.got[g][v])
			d.got[g][v] = version
			q.Merge(records, d.now)
		}
	}
}

// Guards against more than three requests with the deadly part after the time in which gateways
// learn of the fifth crash, and against sound requests with the same first part that are
// refused: 3, 12 and 103 gateways, engines that crash for other reasons, alone and several at
// once, and a control VM that starts again and has lost its records.
func TestDeadlyPartIsBlockedAndSoundOnesAreNot(t *testing.T) {
	for _, size := range []struct {
		gateways, controlVMs, engines int
		rate, deadlyShare             float64 // requests a second
		seeds                         uint64
	}{{3, 3, 12, 38, 0.05, 8}, {12, 3, 40, 150, 0.05, 6}, {103, 5, 180, 500, 0.02, 2}} {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d gateways, seed %d", size.gateways, seed), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(seed, size.gateways, size.controlVMs, size.engines)
				const dt = 10 * time.Millisecond
				for n := 0; n < 2500; n++ {
					for arrivals := size.rate * dt.Seconds(); arrivals > 0; arrivals-- {
						if d.rng.Float64() > arrivals {
							break
						}
						first := "first"
						if d.rng.Float64() < 0.5 {
							first = fmt.Sprint("other-", d.rng.IntN(20))
						}
						document := fmt.Sprint("document-", int(200*d.rng.Float64()*d.rng.Float64()))
						switch {
						case n > 300 && d.rng.Float64() < size.deadlyShare:
							d.arrive([]string{"first", document, "deadly"}, true)
						case d.rng.Float64() < 0.5:
							d.arrive([]string{first, document}, false)
						default:
							d.arrive([]string{first, document, fmt.Sprint("third-", d.rng.IntN(1000))}, false)
						}
					}
					if d.rng.Float64() < dt.Seconds()/2 {
						for range 1 + 2*d.rng.IntN(2) {
							d.crash(d.rng.IntN(size.engines))
						}
					}
					if n == 700 {
						d.controlVMs[0] = NewRegister("vm-0")
						for g := range d.gateways {
							d.sent[g][0], d.got[g][0] = 0, 0
						}
					}
					d.step(dt)
				}
				require.GreaterOrEqual(t, d.crashes, 3)
				require.LessOrEqual(t, d.lateSends, 3, "requests with the deadly part after the bound")
				require.Less(t, d.sound[1], d.sound[0]/2, "sound requests refused")
				for _, q := range d.gateways {
					require.False(t, q.Check([]string{"first"}, d.now).Blocked(), "the first part is sound")
				}
			})
		}
	}
}

// Guards against a sound part that is blamed because it is new and came with the deadly one in each
// crash, whichever of the two is first in the prompt, and against engines that crash once the deadly
// part comes with others.
func TestPartsWithTheSameCrashesAreDistinguished(t *testing.T) {
	const rate = 24 // sound requests a second at each three gateways
	for _, size := range []struct{ gateways, controlVMs, engines int }{{1, 3, 12}, {3, 3, 12}, {12, 3, 40}, {103, 5, 180}} {
		for _, c := range []struct {
			name               string
			jobs, later, sound func(n int) []string
		}{
			{"deadly first part", together("deadly", "new"), together("deadly", "new"), together("usual", "new")},
			{"deadly second part", together("new", "deadly"), together("new", "deadly"), together("new", "usual")},
			{"three parts", together("new-1", "deadly", "new-2"), together("new-1", "deadly", "new-2"), together("new-1", "usual", "new-2")},
			{"deadly first part beside others", together("deadly", "new"), beside("deadly"), nil},
			{"deadly first part beside others, sound requests", together("deadly", "new"), beside("deadly"), together("usual", "new")},
		} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%d gateways, %s, seed %d", size.gateways, c.name, seed), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(seed, size.gateways, size.controlVMs, size.engines)
					for _, q := range d.gateways {
						q.SetGateways(size.gateways)
					}
					const dt = 10 * time.Millisecond
					var sent, blocked int
					for n := range 2500 {
						if d.rng.Float64() < 5*dt.Seconds() {
							d.arrive(pick(n < 1000, c.jobs, c.later)(n), true)
						}
						// No sound request distinguishes the parts before the first crashes.
						if n > 500 && c.sound != nil && d.rng.Float64() < rate*dt.Seconds()*float64(max(size.gateways/3, 1)) {
							refused := d.arrive(c.sound(n), false)
							if !d.boundAt.IsZero() && d.now.Sub(d.boundAt) > 2*contactTime || d.boundAt.IsZero() && n > 1000 {
								sent++
								if refused {
									blocked++
								}
							}
						}
						d.step(dt)
					}
					require.GreaterOrEqual(t, d.crashes, 3)
					require.LessOrEqual(t, d.lateSends, 3, "requests with the deadly part after the bound")
					require.LessOrEqual(t, blocked, sent/2, "sound requests refused")
					for _, q := range d.gateways {
						blocked := slices.DeleteFunc(q.Status(d.now), func(s Status) bool { return !s.Blocked() })
						require.True(t, slices.ContainsFunc(blocked, func(s Status) bool { return s.Record().Part().ID() == "deadly" }))
						require.True(t, c.sound == nil || len(blocked) == 1, "sound parts are blocked")
					}
				})
			}
		}
	}
}

// together returns prompts of the same parts, and beside prompts in which a part is followed by others.
func together(ids ...string) func(int) []string {
	return func(int) []string { return append([]string(nil), ids...) }
}

func beside(id string) func(int) []string {
	return func(n int) []string { return []string{id, fmt.Sprint("other-", n)} }
}

func pick[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// Guards against registers that judge differently because they received the same records in
// another order or more than once, and against one that exceeds its bounds.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Record {
			var begunAt time.Time
			if rapid.Bool().Draw(rt, "begun") {
				begunAt = epochStart.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "begun at")) * time.Millisecond)
			}
			engine := rapid.IntRange(0, 9).Draw(rt, "engine")
			crash := NewCrash(fmt.Sprint(engine), fmt.Sprint(engine), epochStart.Add(time.Duration(engine)*time.Second))
			return NewRecord(NewPart(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "part"), 0), []Crash{crash}, begunAt)
		}), 0, 30).Draw(rt, "records")
		again := rapid.Permutation(append(append([]Record(nil), records...), records...)).Draw(rt, "order")
		now := epochStart.Add(20 * time.Second)
		a, b := NewRegister("a"), NewRegister("a")
		a.Merge(records, now)
		b.Merge(again, now)
		if x, y := fmt.Sprint(statuses(a, now)), fmt.Sprint(statuses(b, now)); x != y {
			rt.Fatalf("%s and %s", x, y)
		}
	})
	q := NewRegister("a")
	for n := range 3 * maxRecords {
		now := epochStart.Add(time.Duration(n) * time.Second)
		q.RecordCrash(fmt.Sprint("engine-", n), []Part{NewPart(fmt.Sprint("part-", n), 0), NewPart("deadly", 1)}, now, now)
		q.RecordBegun([]string{fmt.Sprint("sound-", n)}, now)
	}
	require.LessOrEqual(t, len(q.entries), maxRecords)
	require.LessOrEqual(t, len(q.parts.newest)+len(q.parts.older), 2*maxKnown)
	require.True(t, q.Check([]string{"deadly"}, epochStart.Add(3*maxRecords*time.Second)).Blocked())
	records, version := q.ChangesSince(0)
	require.Len(t, records, maxExchanged)
	records, _ = q.ChangesSince(version)
	require.NotEmpty(t, records, "the rest follows")
}

// statuses leaves out what depends on when a record arrived.
func statuses(q *Register, now time.Time) []string {
	var list []string
	for _, s := range q.Status(now) {
		list = append(list, fmt.Sprint(s.Record().Part().ID(), s.Counted(), s.Blocked(), s.Record().BegunAt()))
	}
	return list
}

// Guards against a request that crashes each target that runs it and comes again at any gateway: it
// reaches more targets after the time in which gateways learn of the third crash. Guards also against
// other requests that are refused: unique ones, one that comes as often, and prompts whose parts the
// deadly request has. Few and many gateways and targets; other targets crash, alone and all at once.
func TestDeadlyRequestIsBlockedAndSoundOnesAreNot(t *testing.T) {
	const allowed = 3 // users' bound
	for _, c := range []struct{ gateways, targets, seeds int }{{1, 3, 10}, {3, 3, 10}, {12, 10, 5}, {103, 60, 1}} {
		for _, prompt := range [][]string{nil, {"first", "document"}} {
			t.Run(fmt.Sprint(c.gateways, " gateways, parts ", prompt), func(t *testing.T) {
				for seed := range c.seeds {
					d := newDeployment(uint64(seed), c.gateways, 3, c.targets)
					d.boundAfter = 3
					request := func(id string) []string { return append(slices.Clone(prompt), requestPrefix+id) }
					var sent, blocked [3]int
					count := func(kind int, refused bool) {
						sent[kind]++
						if refused {
							blocked[kind]++
						}
					}
					for n := range 5000 {
						if d.now.Sub(epochStart) > 5*time.Second && d.rng.Float64() < 0.04 {
							d.arrive(request("deadly"), true)
						}
						if d.rng.Float64() < 0.3 {
							count(0, d.arrive(request(fmt.Sprint("unique-", d.rng.Uint64())), false))
						}
						if d.rng.Float64() < 0.04 {
							count(1, d.arrive(request("often"), false))
						}
						if prompt != nil && d.rng.Float64() < 0.04 {
							count(2, d.arrive([]string{"first", "document", requestPrefix + fmt.Sprint(d.rng.Uint64())}, false))
						}
						if n%1500 == 700 {
							d.crash(d.rng.IntN(c.targets))
						}
						if n == 2500 {
							for target := range c.targets {
								d.crash(target)
							}
						}
						d.step(10 * time.Millisecond)
					}
					require.GreaterOrEqual(t, d.crashes, 3)
					require.LessOrEqual(t, d.lateSends, allowed, "seed %d", seed)
					for kind := range sent {
						require.LessOrEqual(t, blocked[kind], sent[kind]/20, "kind %d, seed %d", kind, seed)
					}
				}
			})
		}
	}
}

// Guards against a register that one crash of many requests fills, so that it drops the parts that
// crash engines.
func TestRequestsLeaveRoomForParts(t *testing.T) {
	q, now := NewRegister("a"), epochStart
	for n := range 3 {
		now = now.Add(time.Second)
		q.RecordCrash(fmt.Sprint("engine-", n), []Part{NewPart("deadly", 1)}, now, now)
	}
	for n := range 2 * maxRecords {
		at := now.Add(time.Duration(n) * time.Millisecond)
		q.RecordCrash(fmt.Sprint("target-", n), []Part{NewRequest(fmt.Sprint(n))}, at, at)
		q.RecordBegun([]string{requestPrefix + fmt.Sprint("sound-", n)}, at)
	}
	require.LessOrEqual(t, len(q.entries), maxRecords+1)
	require.LessOrEqual(t, len(q.requests.newest)+len(q.requests.older), 2*maxKnown)
	require.True(t, q.Check([]string{"deadly"}, now.Add(10*time.Second)).Blocked())
}

// Guards against a block that never ends, one that ends for all gateways and requests at once,
// and trials that come too often: the gateway that saw the newest crash lets one request through,
// later each time, and an answer or an operator ends the block everywhere.
func TestBlockedPartIsTriedWithCare(t *testing.T) {
	now := epochStart
	a, b := NewRegister("a"), NewRegister("b")
	exchange := func() {
		for from, to := range map[*Register]*Register{a: b, b: a} {
			records, _ := from.ChangesSince(0)
			to.Merge(records, now)
		}
	}
	for n := range 3 {
		now = now.Add(time.Second)
		a.RecordCrash(fmt.Sprint("engine-", n), []Part{NewPart("p", 1)}, now, now)
	}
	exchange()
	ids := []string{"first", "p"}
	trials := func(d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			for _, q := range []*Register{b, a} {
				v := q.Check(ids, now)
				require.True(t, q == a || v.Blocked(), "only the gateway that saw the crash tries")
				require.True(t, !v.Blocked() || v.RetryAfter() > 0 && v.Part() == "p")
				if !v.Blocked() {
					n++
				}
			}
			if n > 0 {
				return n
			}
		}
		return n
	}
	require.Zero(t, trials(firstTrial-2*time.Second))
	require.Equal(t, 1, trials(5*time.Second))
	require.True(t, a.Check(ids, now.Add(time.Second)).Blocked(), "one request at a time")
	a.RecordCrash("engine-4", []Part{NewPart("p", 1)}, now, now)
	exchange()
	require.Zero(t, trials(2*firstTrial-2*time.Second))
	require.Equal(t, 1, trials(5*time.Second))
	a.RecordBegun(ids, now)
	exchange()
	for _, q := range []*Register{a, b} {
		require.False(t, q.Check(ids, now).Blocked(), "an answer has begun")
		require.Empty(t, q.Status(now))
	}
	for n := range 3 {
		now = now.Add(time.Second)
		b.RecordCrash(fmt.Sprint("engine-1", n), []Part{NewPart("q", 1)}, now, now)
	}
	exchange()
	now = now.Add(judgeDelay)
	require.True(t, a.Check([]string{"q"}, now).Blocked())
	require.True(t, a.Lift("q", now))
	require.False(t, a.Lift("unknown", now))
	exchange()
	require.False(t, b.Check([]string{"q"}, now).Blocked())
}

// Guards against an operator who can't see what is held against a part, or can't end it.
func TestOperatorSeesAndLiftsBlocks(t *testing.T) {
	q, now := NewRegister("gateway-1"), epochStart
	mux := http.NewServeMux()
	q.RegisterAdminHandlers(mux, func() time.Time { return now })
	call := func(method, path string) (int, string) {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code, w.Body.String()
	}
	_, list := call(http.MethodGet, "/quarantine")
	require.JSONEq(t, "[]", list)
	for n := range 3 {
		now = now.Add(time.Second)
		q.RecordCrash(fmt.Sprint("engine-", n), []Part{NewPart("p", 1)}, now, now)
	}
	_, list = call(http.MethodGet, "/quarantine")
	require.JSONEq(t, `[{"part":"p","position":1,"blocked":true,"counted_crashes":3,"engines":["engine-0","engine-1","engine-2"],"newest_crash_at":"2026-01-01T00:00:03Z","trial_at":"2026-01-01T00:01:03Z"}]`, list)
	status, _ := call(http.MethodDelete, "/quarantine/other")
	require.Equal(t, http.StatusNotFound, status)
	status, _ = call(http.MethodDelete, "/quarantine/p")
	require.Equal(t, http.StatusOK, status)
	require.False(t, q.Check([]string{"p"}, now).Blocked())
}

// Guards against requests that come together and crash many engines at once, again and again, since
// each time counts as one crash, and against a part that is blocked for a rack that fails.
func TestCrashesAtOnce(t *testing.T) {
	start := epochStart
	const engines = 6
	for _, c := range []struct {
		name    string
		prepare func(q *Register)
		blocked bool
	}{
		{"on requests with the part", func(*Register) {}, true},
		{"answers with the part had begun", func(q *Register) { q.RecordBegun([]string{"p"}, start.Add(-time.Second)) }, false},
		{"engines without the part crashed as well", func(q *Register) {
			q.RecordCrash("other", []Part{NewPart("other", 1)}, start.Add(50*time.Millisecond), start)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := NewRegister("gateway-1")
			c.prepare(q)
			for i := range engines {
				at := start.Add(time.Duration(i) * 10 * time.Millisecond)
				q.RecordCrash(fmt.Sprint("engine-", i), []Part{NewPart("p", 1)}, at, at)
			}
			require.False(t, q.Check([]string{"p"}, start.Add(time.Second)).Blocked(), "answers that begin elsewhere may be on their way")
			require.Equal(t, c.blocked, q.Check([]string{"p"}, start.Add(3*time.Second)).Blocked())
		})
	}
}
