package directory

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/spf13/afero"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/speed"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

type discardTransport struct{}

func (discardTransport) Send(string, *wire.Envelope) {}

func newDirectory(t *testing.T) *Directory {
	j, err := journal.Open(journal.Options{Folder: "/data", FileSystem: afero.NewMemMapFs()})
	require.NoError(t, err)
	store := NewStore()
	ts := timer.NewService()
	node, err := replica.NewNode(replica.NodeOptions{
		Timer: ts, Journal: j, Transport: discardTransport{}, StateMachine: store, Address: "vm-1", Peers: []string{"vm-1"}, Seed: 1,
	})
	require.NoError(t, err)
	m := metrics.New("test")
	d := New(Options{Timers: ts, Node: node, Store: store, Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}), Metrics: m, Voters: 1, Quarantine: quarantine.NewRegister("vm-1"), Limits: pacing.NewRegister("vm-1"), Warmups: warmup.NewRegister(), Speeds: speed.NewRegister(), Origins: origin.NewRegister(100)})
	require.NoError(t, node.Start(t.Context()))
	t.Cleanup(func() {
		require.NoError(t, node.Stop(context.Background()))
		require.NoError(t, m.Close())
	})
	return d
}

// Guards against a target that is acknowledged as draining while a gateway still sends
// requests to it: the response waits until each watcher has processed the change.
func TestLeavingTargetIsToldBeforeItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		s := &service{d: d}
		target := &wire.RegisteredTarget{Id: "a", Service: "s", Address: "x:1", BornMs: 1, Sequence: 1, State: wire.TargetState_TARGET_STATE_READY}
		d.Announce(t.Context(), target)
		w, err := s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway", WaitMs: 100})
		require.NoError(t, err)
		next := make(chan *wire.WatchResponse, 1)
		go func() {
			r, err := s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway", Epoch: w.GetEpoch(), Since: w.GetVersion(), WaitMs: 1000})
			require.NoError(t, err)
			next <- r
		}()
		synctest.Wait()
		acknowledged := make(chan struct{})
		go func() {
			defer close(acknowledged)
			d.Announce(t.Context(), &wire.RegisteredTarget{Id: "a", Service: "s", Address: "x:1", BornMs: 1, Sequence: 2, State: wire.TargetState_TARGET_STATE_DRAINING})
		}()
		notified := <-next
		require.Len(t, notified.GetTargets(), 1)
		synctest.Wait()
		select {
		case <-acknowledged:
			require.Fail(t, "acknowledged before the gateway has processed the change")
		default:
		}
		go func() {
			_, _ = s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway", Epoch: notified.GetEpoch(), Since: notified.GetVersion(), WaitMs: 10})
		}()
		<-acknowledged
	})
}

// Guards against gateways that take too large a part of what they share, because a control VM
// counts only those that have already reached it after its start, or that reach a minority.
func TestGatewaysAreCountedOnceAllAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		s := &service{d: d}
		watch := func(process string, peer bool) uint32 {
			w, err := s.Watch(t.Context(), &wire.WatchRequest{Process: process, Peer: peer})
			require.NoError(t, err)
			return w.GetGateways()
		}
		require.Zero(t, watch("a", false))
		time.Sleep(countDelay)
		require.Zero(t, watch("a", false), "not confirmed")
		require.NoError(t, d.StoreCatalog(t.Context(), 1, []byte("{}")))
		confirm := func() { d.confirm(t.Context()) }
		confirm()
		watch("b", false)
		watch("vm-2", true)
		watch("c", false)
		time.Sleep(membersCacheTime)
		require.EqualValues(t, 3, watch("c", false))
		time.Sleep(watcherTimeout + time.Millisecond)
		confirm()
		require.EqualValues(t, 1, watch("c", false), "the others have left")
	})
}

// Guards against a target that left and is used again, because the control VM that it told had
// restarted and receives the target's record from another VM only afterwards.
func TestTargetStaysGoneWhenItsRecordArrivesLater(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "after a round trip": 20 * time.Millisecond, "after a second watch": 250 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDirectory(t)
				left := make(chan struct{})
				go func() {
					defer close(left)
					d.Leave(t.Context(), "a", 0)
				}()
				synctest.Wait()
				time.Sleep(delay)
				d.o.Table.Merge(&wire.WatchResponse{Full: true, Targets: []*wire.RegisteredTarget{
					{Id: "a", Service: "s", Address: "x:1", BornMs: 5, Sequence: 9, State: wire.TargetState_TARGET_STATE_READY},
				}}, time.Now())
				<-left
				require.Empty(t, d.o.Table.Live("s", time.Now()))
			})
		})
	}
}

// Guards against gateways that don't learn within the users' bound which part of a prompt
// crashes engines, of which each of them has seen one, and after a control VM has started again
// and has lost its records.
func TestGatewaysLearnOfCrashesThatOthersSaw(t *testing.T) {
	const bound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var vm atomic.Pointer[http.Handler]
		start := func() {
			h := newDirectory(t).Handler()
			vm.Store(&h)
		}
		start()
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			(*vm.Load()).ServeHTTP(w, r)
			return w.Result(), nil
		})}
		var gateways []*quarantine.Register
		for n := range 5 {
			q := quarantine.NewRegister(fmt.Sprint("gateway-", n))
			gateways = append(gateways, q)
			table := discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute})
			w := discovery.NewWatcher(discovery.WatcherOptions{
				Timers: timer.NewService(), HTTP: client, Process: fmt.Sprint("gateway-", n), Seeds: []string{"vm-1"}, Table: table, Quarantine: q,
				CatalogVersion: func() uint64 { return 0 },
			})
			require.NoError(t, w.Start(t.Context()))
			defer func() { require.NoError(t, w.Stop(context.Background())) }()
		}
		for round, part := range []string{"p", "after a restart"} {
			for n, q := range gateways {
				time.Sleep(300 * time.Millisecond)
				q.RecordCrash(fmt.Sprint("engine-", round, n), []quarantine.Part{quarantine.NewPart(part, 1)}, time.Now(), time.Now())
				if n == 2 && round == 1 {
					start()
				}
			}
			time.Sleep(bound)
			for _, q := range gateways {
				require.True(t, q.Check([]string{part}, time.Now()).Blocked(), part)
			}
		}
	})
}

// Guards against parts that crash engines, and limits of targets, that are forgotten when gateways,
// control VMs and gateways are restarted in turn, one process at a time.
func TestRestartsInTurnForgetNothing(t *testing.T) {
	const pause = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		vms := map[string]*atomic.Pointer[http.Handler]{"vm-1": {}, "vm-2": {}, "vm-3": {}}
		startVM := func(name string) {
			h := newDirectory(t).Handler()
			vms[name].Store(&h)
			time.Sleep(pause)
		}
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			(*vms[r.URL.Host].Load()).ServeHTTP(w, r)
			return w.Result(), nil
		})}
		type gateway struct {
			parts   *quarantine.Register
			limits  *pacing.Register
			watcher *discovery.Watcher
		}
		gateways := make([]*gateway, 3)
		startGateway := func(n int) {
			name := fmt.Sprint("gateway-", n)
			if g := gateways[n]; g != nil {
				require.NoError(t, g.watcher.Stop(context.Background()))
			}
			g := &gateway{parts: quarantine.NewRegister(name), limits: pacing.NewRegister(name)}
			g.watcher = discovery.NewWatcher(discovery.WatcherOptions{
				Timers: timer.NewService(), HTTP: client, Process: name, Seeds: []string{"vm-1", "vm-2", "vm-3"}, Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}),
				Quarantine: g.parts, Limits: g.limits, CatalogVersion: func() uint64 { return 0 },
			})
			gateways[n] = g
			require.NoError(t, g.watcher.Start(t.Context()))
			time.Sleep(pause)
		}
		for name := range vms {
			startVM(name)
		}
		for n := range gateways {
			startGateway(n)
		}
		defer func() {
			for _, g := range gateways {
				require.NoError(t, g.watcher.Stop(context.Background()))
			}
		}()
		for n := range 5 {
			gateways[0].parts.RecordCrash(fmt.Sprint("engine-", n), []quarantine.Part{quarantine.NewPart("p", 1)}, time.Now(), time.Now())
			time.Sleep(500 * time.Millisecond)
		}
		now := time.Now()
		gateways[0].limits.Observe(pacing.NewStatement("t", 1, pacing.RequestRate{PerSecond: 3}, now, now))
		time.Sleep(pause)
		rollGateways := func() {
			for n := range gateways {
				startGateway(n)
			}
		}
		rollGateways()
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			startVM(name)
		}
		rollGateways()
		for _, g := range gateways {
			require.True(t, g.parts.Check([]string{"p"}, time.Now()).Blocked())
			require.Contains(t, g.limits.Limits(time.Now()), "t")
		}
	})
}

// Guards against a target that gets requests again after its end was acknowledged: control VMs and a
// gateway are killed, and an announcement that the target made before is delivered late.
func TestEndsOutlastRestartsOfControlVMs(t *testing.T) {
	const pause = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var vm atomic.Pointer[http.Handler]
		start := func() *Directory {
			d := newDirectory(t)
			h := d.Handler()
			vm.Store(&h)
			return d
		}
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			(*vm.Load()).ServeHTTP(w, r)
			return w.Result(), nil
		})}
		startGateway := func(name string) *discovery.Table {
			table := discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute})
			w := discovery.NewWatcher(discovery.WatcherOptions{
				Timers: timer.NewService(), HTTP: client, Process: name, Seeds: []string{"vm-1"}, Table: table, CatalogVersion: func() uint64 { return 0 },
			})
			require.NoError(t, w.Start(t.Context()))
			t.Cleanup(func() { require.NoError(t, w.Stop(context.Background())) })
			return table
		}
		announced := func(id string, sequence uint64, state wire.TargetState) *wire.RegisteredTarget {
			return &wire.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", BornMs: 1, Sequence: sequence, State: state}
		}
		d := start()
		survivor := startGateway("gateway-1")
		for _, id := range []string{"ended", "drains"} {
			d.Announce(t.Context(), announced(id, 1, wire.TargetState_TARGET_STATE_READY))
		}
		time.Sleep(pause)
		d.Announce(t.Context(), announced("ended", 2, wire.TargetState_TARGET_STATE_GONE))
		d.Announce(t.Context(), announced("drains", 3, wire.TargetState_TARGET_STATE_DRAINING))
		time.Sleep(pause)
		d = start()
		restarted := startGateway("gateway-2")
		time.Sleep(pause)
		for _, id := range []string{"ended", "drains"} {
			d.Announce(t.Context(), announced(id, 2, wire.TargetState_TARGET_STATE_READY))
		}
		time.Sleep(pause)
		for _, table := range []*discovery.Table{survivor, restarted} {
			live := table.Live("s", time.Now())
			require.Len(t, live, 1)
			require.Equal(t, "drains", live[0].Record().GetId())
			require.True(t, live[0].Leaving())
		}
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against an answer for each of the targets that announce themselves at a restart of a
// deployment: 3,000 targets and 300 watchers make 900,000. Guards also against a target that
// leaves meanwhile and is told late.
func TestAnnouncementsOfARestartShareAnswers(t *testing.T) {
	const targets, announceTime = 600, 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		s := &service{d: d}
		announced := func(id int, sequence uint64, state wire.TargetState) *wire.RegisteredTarget {
			return &wire.RegisteredTarget{Id: strconv.Itoa(id), Service: "s", Address: "x:" + strconv.Itoa(id), BornMs: 1, Sequence: sequence, State: state}
		}
		go func() {
			for i := range targets {
				d.Announce(t.Context(), announced(i, 1, wire.TargetState_TARGET_STATE_READY))
				time.Sleep(announceTime / targets)
			}
		}()
		known, answers, r := map[string]bool{}, 0, &wire.WatchRequest{Process: "gateway", WaitMs: 500}
		for len(known) < targets {
			w, err := s.Watch(t.Context(), r)
			require.NoError(t, err)
			answers++
			for _, target := range w.GetTargets() {
				known[target.GetId()] = true
			}
			r.Epoch, r.Since = w.GetEpoch(), w.GetVersion()
		}
		require.LessOrEqual(t, answers, int(announceTime/changeDelay)+3)
		startedAt := time.Now()
		go func() {
			time.Sleep(10 * time.Millisecond)
			d.Announce(t.Context(), announced(targets, 1, wire.TargetState_TARGET_STATE_READY))
			time.Sleep(10 * time.Millisecond)
			d.Announce(t.Context(), announced(0, 2, wire.TargetState_TARGET_STATE_DRAINING))
		}()
		w, err := s.Watch(t.Context(), r)
		require.NoError(t, err)
		require.Len(t, w.GetTargets(), 2)
		require.Equal(t, 20*time.Millisecond, time.Since(startedAt), "a target that leaves is told at once")
		_, err = s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway", Epoch: w.GetEpoch(), Since: w.GetVersion(), WaitMs: 1})
		require.NoError(t, err)
	})
}

// Guards against a target that waits for a watcher that has disappeared.
func TestLostWatcherDelaysNoAnswerForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		_, err := (&service{d: d}).Watch(t.Context(), &wire.WatchRequest{Process: "gateway", WaitMs: 1})
		require.NoError(t, err)
		startedAt := time.Now()
		d.Leave(t.Context(), "a", 1)
		require.Less(t, time.Since(startedAt), time.Second)
	})
}

// Guards against an acknowledgement without a commit, a rejection of a change that is
// resent, and a read that doesn't return the newest catalog.
func TestStoredCatalogIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(t, d.StoreCatalog(ctx, 3, []byte("three")))
		require.NoError(t, d.StoreCatalog(ctx, 3, []byte("other content")), "the same version again")
		require.NoError(t, d.StoreCatalog(ctx, 2, []byte("two")), "an older change")
		version, document, err := d.ReadCatalog(ctx)
		require.NoError(t, err)
		require.Equal(t, uint64(3), version)
		require.Equal(t, "three", string(document))
	})
}

// Guards against a gateway that starts, has the catalog already, and waits for the end of its
// watch to learn that it is confirmed.
func TestWatchEndsWithTheConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		s := &service{d: d}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(t, d.StoreCatalog(ctx, 3, []byte("three")))
		d.confirmed.Store(nil)
		w, err := s.Watch(ctx, &wire.WatchRequest{Process: "gateway", WaitMs: 100})
		require.NoError(t, err)
		require.False(t, w.GetConfirmed())
		startedAt := time.Now()
		go func() {
			time.Sleep(confirmInterval)
			d.confirm(ctx)
		}()
		w, err = s.Watch(ctx, &wire.WatchRequest{Process: "gateway", Epoch: w.GetEpoch(), Since: w.GetVersion(), CatalogVersion: 3, WaitMs: 2000})
		require.NoError(t, err)
		require.True(t, w.GetConfirmed())
		require.LessOrEqual(t, time.Since(startedAt), 2*confirmInterval)
	})
}

// Guards against a response from a VM that can't confirm whether its catalog is the newest
// one.
func TestReadWithoutQuorumIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		require.NoError(t, d.o.Node.Stop(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := d.ReadCatalog(ctx)
		var unconfirmed *UnconfirmedError
		require.ErrorAs(t, err, &unconfirmed)
	})
}

// Guards against gateways that send more to a target than it takes because they don't hear of a
// limit, or of its end, that only another one has heard, also from a control VM that restarts.
func TestGatewaysLearnOfLimitsThatOthersHeard(t *testing.T) {
	const bound = 3 * time.Second // users' bound
	synctest.Test(t, func(t *testing.T) {
		vm := newDirectory(t)
		var handler atomic.Pointer[http.Handler]
		serve := func() {
			h := vm.Handler()
			handler.Store(&h)
		}
		serve()
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			(*handler.Load()).ServeHTTP(w, r)
			return w.Result(), nil
		})}
		var gateways []*pacing.Register
		for n := range 5 {
			p := pacing.NewRegister(fmt.Sprint("gateway-", n))
			gateways = append(gateways, p)
			w := discovery.NewWatcher(discovery.WatcherOptions{
				Timers: timer.NewService(), HTTP: client, Process: fmt.Sprint("gateway-", n), Seeds: []string{"vm-1"},
				Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}), Limits: p, CatalogVersion: func() uint64 { return 1 },
			})
			require.NoError(t, w.Start(t.Context()))
			defer func() { require.NoError(t, w.Stop(context.Background())) }()
		}
		observe := func(n int, l pacing.Limit) {
			gateways[n].Observe(pacing.NewStatement("engine", 1, l, time.Now(), time.Now()))
		}
		check := func(limited bool) {
			senders := 0
			for _, p := range gateways {
				l, ok := p.Limits(time.Now())["engine"]
				require.Equal(t, limited, ok)
				if l.PartPerSecond > 0 {
					senders++
				}
			}
			if limited {
				require.Equal(t, 3, senders, "of a limit of 1 a second")
			}
		}
		time.Sleep(countDelay)
		require.NoError(t, vm.StoreCatalog(t.Context(), 1, []byte("{}")))
		vm.confirm(t.Context())
		observe(1, pacing.RequestRate{PerSecond: 1})
		for range 10 {
			time.Sleep(bound / 10)
			vm.confirm(t.Context())
		}
		check(true)
		vm = newDirectory(t) // one that has just started
		serve()
		time.Sleep(bound)
		check(true)
		observe(3, pacing.Unlimited{})
		time.Sleep(bound)
		check(false)
	})
}

// Guards against gateways that keep a share that others have raised, because their answers aren't
// added up or a control VM that restarts forgets the ramp, and against a speed that only the gateways
// know that have seen the target.
func TestGatewaysShareTheEvidenceOfRamps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newDirectory(t)
		var handler atomic.Pointer[http.Handler]
		serve := func() {
			h := vm.Handler()
			handler.Store(&h)
		}
		serve()
		client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			(*handler.Load()).ServeHTTP(w, r)
			return w.Result(), nil
		})}
		var ramps []*warmup.Ramp
		var gateways []*warmup.Register
		var speeds []*speed.Register
		join := func() {
			n := len(gateways)
			r := warmup.NewRegister()
			gateways, ramps, speeds = append(gateways, r), append(ramps, r.Ramp("engine", 1)), append(speeds, speed.NewRegister())
			w := discovery.NewWatcher(discovery.WatcherOptions{
				Timers: timer.NewService(), HTTP: client, Process: fmt.Sprint("gateway-", n), Seeds: []string{"vm-1"},
				Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}), Warmups: r, Speeds: speeds[n], CatalogVersion: func() uint64 { return 1 },
			})
			require.NoError(t, w.Start(t.Context()))
			t.Cleanup(func() { require.NoError(t, w.Stop(context.Background())) })
		}
		for range 4 {
			join()
		}
		check := func(round uint32) {
			shares := map[float64]bool{}
			for i, r := range gateways {
				r.Tick(time.Now())
				status := r.Ramps(time.Now())["engine"]
				require.Equal(t, round, status.Round)
				require.True(t, status.Applies)
				share, _ := ramps[i].Share(time.Now())
				shares[math.Round(share*50)] = true
			}
			require.Len(t, shares, 1, "all gateways use the same share")
		}
		time.Sleep(time.Second)
		ramps[0].Begin(time.Now())
		time.Sleep(time.Second)
		check(0)
		for range 200 {
			speeds[0].Observe("engine", 1, 2, time.Now())
		}
		for _, p := range ramps {
			for range 2 {
				p.Observe(p.Sent(time.Now()), true, time.Now())
			}
		}
		time.Sleep(time.Second)
		check(1)
		for _, s := range speeds {
			require.InDelta(t, 0.5, s.Speed("engine", 1), 0.1)
		}
		vm = newDirectory(t) // one that has just started
		serve()
		time.Sleep(2 * time.Second)
		join()
		time.Sleep(time.Second)
		check(1)
	})
}
