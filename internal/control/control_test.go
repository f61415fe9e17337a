package control_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/spf13/afero"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/placement"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// vm is a control VM with its disk, which survives a crash.
type vm struct {
	address string
	files   afero.Fs
	kernel  *kernel.Kernel
	node    *replica.Node
	ledger  *ledger.Ledger
	roster  *roster.Roster
	// partitioned disconnects the VM from the other control VMs, but not from its clients.
	partitioned atomic.Bool
	// clockOffset is the offset of the VM's wall clock in nanoseconds.
	clockOffset atomic.Int64
	// writeDelay is the duration of each journal write in nanoseconds.
	writeDelay atomic.Int64
}

func (v *vm) wall() time.Time { return time.Now().Add(time.Duration(v.clockOffset.Load())) }

// slowJournal delays each write by the VM's writeDelay.
type slowJournal struct {
	*journal.Journal
	vm *vm
}

func (j *slowJournal) Save(batches []journal.Batch) error {
	time.Sleep(time.Duration(j.vm.writeDelay.Load()))
	return j.Journal.Save(batches)
}

// cluster consists of three control VMs on virtual time, connected by an in-memory network.
type cluster struct {
	t       *testing.T
	network *standin.MemoryNetwork
	timers  *timer.Service
	vms     []*vm
	// members is the number of member ids that were generated.
	members atomic.Int64
}

func (c *cluster) newID() string { return fmt.Sprintf("member-%d", c.members.Add(1)) }

func runWithCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: standin.NewMemoryNetwork(), timers: timer.NewService()}
		for i := range 3 {
			c.vms = append(c.vms, &vm{address: fmt.Sprintf("control-%d:1", i+1), files: afero.NewMemMapFs()})
		}
		for _, v := range c.vms {
			c.start(v)
		}
		test(c)
		for _, v := range c.vms {
			c.crash(v)
		}
	})
}

var errPartitioned = errors.New("no route")

func (c *cluster) start(v *vm) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, other := range c.vms {
			if other.address == address && (v.partitioned.Load() || other.partitioned.Load()) {
				return nil, errPartitioned
			}
		}
		conn, err := c.network.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionConn{Conn: conn, c: c, from: v, to: address}, nil
	}
	var peers []string
	for _, p := range c.vms {
		peers = append(peers, p.address)
	}
	j, err := journal.Open(journal.Options{Folder: "journal", FileSystem: v.files})
	require.NoError(c.t, err)
	m := metrics.New("control")
	transport := control.NewTransport(dial)
	v.ledger = ledger.New(ledger.Options{})
	v.node, err = replica.NewNode(replica.NodeOptions{
		Timer: c.timers, Journal: &slowJournal{Journal: j, vm: v}, Transport: transport, HelloClient: transport, StateMachine: v.ledger, Address: v.address, Peers: peers, Seed: uint64(len(v.address)) + uint64(v.address[8]),
		// The election timeouts depend on the member id.
		NewID: c.newID,
	})
	require.NoError(c.t, err)
	v.roster = roster.New(roster.Options{Timer: c.timers, Epoch: v.address + time.Now().String()})
	ctl, err := control.New(control.Options{Timers: c.timers, Node: v.node, Ledger: v.ledger, Roster: v.roster, Metrics: m, Name: v.address, Address: v.address, Peers: peers, Dial: dial, WallClock: v.wall})
	require.NoError(c.t, err)
	runner, err := placement.NewRunner(placement.Options{Timers: c.timers, Leader: ctl.Placement(), Roster: v.roster, Metrics: m, Scope: control.PlacementScope, Dial: c.network.Dial})
	require.NoError(c.t, err)
	l, err := c.network.Listen(v.address)
	require.NoError(c.t, err)
	v.kernel = kernel.New()
	v.kernel.Register("metrics", metricsStopper{m})
	v.kernel.Register("transport", transport)
	v.kernel.Register("node", v.node)
	v.kernel.Register("roster", v.roster)
	v.kernel.Register("server", listener.New(listener.Options{Listener: l, Handler: ctl.Handler()}))
	v.kernel.Register("control", ctl)
	v.kernel.Register("placement", runner)
	require.NoError(c.t, v.kernel.Start(context.Background()))
}

// crash stops the VM without a graceful shutdown; its files remain.
func (c *cluster) crash(v *vm) {
	if v.kernel == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.kernel.Stop(ctx)
	v.kernel = nil
}

type metricsStopper struct{ m *metrics.Metrics }

func (c metricsStopper) Stop(context.Context) error { return c.m.Close() }
func (c metricsStopper) Done() <-chan struct{}      { return nil }

// partitionConn fails when one of its ends is partitioned.
type partitionConn struct {
	net.Conn
	c    *cluster
	from *vm
	to   string
}

func (c *partitionConn) Write(b []byte) (int, error) {
	for _, v := range c.c.vms {
		if (v == c.from || v.address == c.to) && v.partitioned.Load() {
			_ = c.Conn.Close()
			return 0, errPartitioned
		}
	}
	return c.Conn.Write(b)
}

// client returns a client that uses only the given VMs, over connections that are never
// partitioned.
func (c *cluster) client(name string, vms ...*vm) *controlclient.Client {
	var addresses []string
	for _, v := range vms {
		addresses = append(addresses, v.address)
	}
	client, err := controlclient.New(controlclient.Options{Timers: c.timers, Addresses: addresses, Process: name, HTTP: &http.Client{Transport: &directTransport{c: c}}})
	require.NoError(c.t, err)
	return client
}

// directTransport sends each request over a separate connection.
type directTransport struct{ c *cluster }

func (d *directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t := &http.Transport{DialContext: d.c.network.Dial, DisableKeepAlives: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	_ = resp.Body.Close()
	w := httptest.NewRecorder()
	w.Code = resp.StatusCode
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.Body = bytes.NewBuffer(body)
	return w.Result(), nil
}

func (c *cluster) context(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, cancel)
	return ctx
}

func (c *cluster) leader() *vm {
	for range 200 {
		for _, v := range c.vms {
			if v.kernel != nil && !v.partitioned.Load() && v.node.Status().Role == replica.Leader && v.node.Barrier(c.context(300*time.Millisecond)) == nil {
				return v
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(c.t, "no control VM leads after 10 s")
	return nil
}

func (c *cluster) others(v *vm) []*vm {
	var list []*vm
	for _, o := range c.vms {
		if o != v {
			list = append(list, o)
		}
	}
	return list
}

func manifestChange(change, operator string, base uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
		BaseRevision: base, ChangeId: change, Operator: operator, Manifest: []byte("manifest of " + change),
	}}}
}

// Requirement P7: of two operators with the same base revision only one wins, and a change
// that is resent, even after newer changes and a new leader, is not applied twice.
func TestRacingOperatorsAndResentChanges(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		first := c.leader()
		client := c.client("operator", c.vms...)
		results := make([]*wire.Result, 2)
		var wg sync.WaitGroup
		for i, name := range []string{"ann", "bob"} {
			wg.Go(func() {
				r, err := c.client(name, c.vms[i+1]).Execute(c.context(5*time.Second), manifestChange(name+"-1", name, 0))
				require.NoError(c.t, err)
				results[i] = r
			})
		}
		wg.Wait()
		winner, loser := 0, 1
		if results[0].GetRefusal() != "" {
			winner, loser = 1, 0
		}
		names := []string{"ann", "bob"}
		require.Empty(c.t, results[winner].GetRefusal())
		require.Equal(c.t, ledger.RefusedConflict, results[loser].GetRefusal())
		require.Contains(c.t, results[loser].GetDetail(), names[winner])

		c.crash(first)
		second := c.leader()
		require.NotEqual(c.t, first, second)
		r, err := client.Execute(c.context(5*time.Second), manifestChange("later", "cid", 1))
		require.NoError(c.t, err)
		require.Equal(c.t, uint64(2), r.GetRevision())
		r, err = client.Execute(c.context(5*time.Second), manifestChange(names[winner]+"-1", names[winner], 0))
		require.NoError(c.t, err)
		require.True(c.t, r.GetRepeated())
		require.Equal(c.t, uint64(1), r.GetRevision())
		resp, err := client.Query(c.context(5*time.Second), &wire.QueryRequest{Kind: &wire.QueryRequest_Manifest{Manifest: &wire.ManifestQuery{}}})
		require.NoError(c.t, err)
		require.Equal(c.t, "manifest of later", string(resp.GetManifest().GetManifest()))

		c.start(first)
		time.Sleep(3 * time.Second)
		r, err = c.client("operator", first).Execute(c.context(5*time.Second), manifestChange("later", "cid", 1))
		require.NoError(c.t, err)
		require.True(c.t, r.GetRepeated())
		require.Equal(c.t, uint64(2), first.ledger.Revision())
	})
}

// Requirements P7 and P4: a control VM that is partitioned but still considers itself the
// leader doesn't serve reads, confirm its revision or accept commands.
func TestIsolatedLeaderLosesItsRights(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		old := c.leader()
		_, err := c.client("operator", c.vms...).Execute(c.context(5*time.Second), manifestChange("one", "ann", 0))
		require.NoError(c.t, err)
		time.Sleep(time.Second)

		old.partitioned.Store(true)
		partitioned, majority := c.client("entry", old), c.client("operator", c.others(old)...)
		_, err = partitioned.Query(c.context(500*time.Millisecond), &wire.QueryRequest{Kind: &wire.QueryRequest_Manifest{Manifest: &wire.ManifestQuery{}}})
		require.Error(c.t, err, "the partitioned leader served a read")
		_, err = partitioned.Execute(c.context(500*time.Millisecond), manifestChange("stale", "bob", 1))
		require.Error(c.t, err, "the partitioned leader accepted a change")

		r, err := majority.Execute(c.context(5*time.Second), manifestChange("two", "ann", 1))
		require.NoError(c.t, err)
		require.Equal(c.t, uint64(2), r.GetRevision())
		time.Sleep(2500 * time.Millisecond)
		heartbeat, err := partitioned.Heartbeat(c.context(time.Second), &wire.HeartbeatRequest{Process: &wire.ProcessInfo{Name: "entry-1", Incarnation: "a"}})
		require.NoError(c.t, err)
		require.False(c.t, heartbeat.GetConfirmed(), "the partitioned VM confirms its revision")
		cfg, err := partitioned.Config(c.context(time.Second), &wire.ConfigRequest{})
		require.NoError(c.t, err)
		require.Nil(c.t, cfg.GetManifest(), "the partitioned VM returns an old configuration")

		old.partitioned.Store(false)
		time.Sleep(3 * time.Second)
		require.Equal(c.t, uint64(2), old.ledger.Revision())
		cfg, err = partitioned.Config(c.context(time.Second), &wire.ConfigRequest{KnownRevision: 1})
		require.NoError(c.t, err)
		require.True(c.t, cfg.GetConfirmed())
		require.Equal(c.t, uint64(2), cfg.GetRevision())
		for _, v := range c.vms {
			require.Equal(c.t, "manifest of two", string(newestManifest(v)))
		}
	})
}

// Requirement P7, and routing of requests: a process that prefers a partitioned control VM
// fails over. If it polled and announced itself only there, it would miss changes and the
// other VMs would treat it as unresponsive.
func TestProcessesLeaveAnIsolatedControlVM(t *testing.T) {
	const maxDelay = 4 * time.Second // from accepted to active
	runWithCluster(t, func(c *cluster) {
		old := c.leader()
		_, err := c.client("operator", c.vms...).Execute(c.context(5*time.Second), manifestChange("one", "ann", 0))
		require.NoError(c.t, err)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		var updated atomic.Int32
		others := c.others(old)
		// In one of the orders, the process prefers the VM that is going to be partitioned.
		for i, order := range [][]*vm{{old, others[0], others[1]}, {others[0], old, others[1]}, {others[0], others[1], old}} {
			// Heartbeats and configuration polls must fail over independently of each
			// other.
			announcer, client := c.client("agent-1", order...), c.client("agent-1", order...)
			wg.Go(func() {
				for ctx.Err() == nil {
					_, _ = announcer.Heartbeat(ctx, &wire.HeartbeatRequest{Process: &wire.ProcessInfo{Name: fmt.Sprintf("agent-%d", i), Incarnation: "a"}})
					_ = c.timers.Sleep(ctx, time.Second)
				}
			})
			wg.Go(func() {
				for ctx.Err() == nil {
					resp, err := client.Config(ctx, &wire.ConfigRequest{KnownRevision: 1, WaitMs: 10_000})
					if err == nil && resp.GetRevision() == 2 {
						updated.Add(1)
						return
					}
					_ = c.timers.Sleep(ctx, 300*time.Millisecond)
				}
			})
		}
		time.Sleep(3 * time.Second)
		old.partitioned.Store(true)
		_, err = c.client("operator", others...).Execute(c.context(5*time.Second), manifestChange("two", "ann", 1))
		require.NoError(c.t, err)
		time.Sleep(maxDelay)
		require.Equal(c.t, int32(3), updated.Load(), "a process that can reach the quorum missed the change")
		for _, p := range others[0].roster.Processes() {
			require.False(c.t, roster.IsSilent(p), "%s counts as silent", p.GetProcess().GetName())
		}
		require.Len(c.t, others[0].roster.Processes(), 3)
	})
}

func newestManifest(v *vm) []byte {
	m, _ := v.ledger.Manifest(0)
	return m.GetManifest()
}

// Guards against a reader that missed changes and receives the full manifest, or deltas
// that never lead to the newest revision.
func TestReaderFollowsTheChainOfDeltas(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		c.leader()
		client := c.client("operator", c.vms...)
		text := func(i int) string { return strings.Repeat("customer\n", 100) + fmt.Sprintf("weight %d\n", i) }
		for i := range 6 {
			change := manifestChange(fmt.Sprintf("change-%d", i), "ann", uint64(i))
			change.GetApplyManifest().Manifest = []byte(text(i))
			r, err := client.Execute(c.context(5*time.Second), change)
			require.NoError(c.t, err)
			require.Equal(c.t, uint64(i+1), r.GetRevision())
		}
		time.Sleep(time.Second)
		for _, v := range c.vms {
			have, revision, steps := text(0), uint64(1), 0
			for revision < 6 {
				cfg, err := c.client("entry", v).Config(c.context(time.Second), &wire.ConfigRequest{KnownRevision: revision})
				require.NoError(c.t, err)
				require.NotNil(c.t, cfg.GetManifest().GetDelta(), "the full manifest was sent")
				full, err := delta.Apply([]byte(have), cfg.GetManifest().GetDelta())
				require.NoError(c.t, err)
				have, revision = string(full), cfg.GetManifest().GetRevision()
				steps++
			}
			require.Equal(c.t, text(5), have)
			require.Equal(c.t, 5, steps)
		}
	})
}

// Guards against entries that treat the incomplete roster of a restarted control VM as
// complete, and against a roster change that is reported late to entries connected to other
// control VMs.
func TestRosterOfStartedAndOtherVMs(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		c.leader()
		v, other := c.vms[1], c.vms[2]
		time.Sleep(3 * time.Second)
		roster := func(v *vm) *wire.RosterResponse {
			r, err := c.client("entry", v).Roster(c.context(time.Second), &wire.RosterRequest{})
			require.NoError(c.t, err)
			return r
		}
		require.True(c.t, roster(v).GetConfirmed())
		c.crash(v)
		c.start(v)
		time.Sleep(time.Second)
		require.False(c.t, roster(v).GetConfirmed(), "a VM confirms its roster 1 s after its start")
		time.Sleep(2 * time.Second)
		require.True(c.t, roster(v).GetConfirmed())

		seen := roster(other)
		_, err := c.client("agent", v).Heartbeat(c.context(time.Second), &wire.HeartbeatRequest{
			Process: &wire.ProcessInfo{Name: "agent-core-1", Role: "agent", Incarnation: "a", Address: "core-1:1"}, TargetName: "core-1",
		})
		require.NoError(c.t, err)
		startedAt := time.Now()
		seen, err = c.client("entry", other).Roster(c.context(5*time.Second), &wire.RosterRequest{Since: seen.GetVersion(), Epoch: seen.GetEpoch(), WaitMs: 4000})
		require.NoError(c.t, err)
		require.Len(c.t, seen.GetChanges(), 1)
		require.Less(c.t, time.Since(startedAt), 100*time.Millisecond)
	})
}

// Guards against a planned stop that waits for pending polls, up to its timeout.
func TestStopEndsWaitingPolls(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		c.leader()
		v := c.vms[1]
		_, err := c.client("operator", c.vms...).Execute(c.context(5*time.Second), manifestChange("one", "ann", 0))
		require.NoError(c.t, err)
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := c.client("entry", v).Config(c.context(20*time.Second), &wire.ConfigRequest{KnownRevision: 1, WaitMs: 10_000})
			require.Error(c.t, err)
		})
		time.Sleep(100 * time.Millisecond)
		startedAt := time.Now()
		require.NoError(c.t, v.kernel.Stop(c.context(20*time.Second)))
		v.kernel = nil
		require.Less(c.t, time.Since(startedAt), 2*time.Second)
		wg.Wait()
	})
}

func isLeaving(r *wire.RosterResponse, target string) bool {
	for _, c := range r.GetChanges() {
		if c.GetTarget().GetName() == target && c.GetTarget().GetLeaving() {
			return true
		}
	}
	return false
}

// Requirements P5 and P7: an accepted change or drain is pushed to pending polls.
func TestChangesWakePolls(t *testing.T) {
	runWithCluster(t, func(c *cluster) {
		c.leader()
		client := c.client("operator", c.vms...)
		_, err := client.Execute(c.context(5*time.Second), manifestChange("one", "ann", 0))
		require.NoError(c.t, err)
		// The agent sends a single heartbeat, to one control VM.
		_, err = c.client("agent", c.vms[0]).Heartbeat(c.context(time.Second), &wire.HeartbeatRequest{
			Process:       &wire.ProcessInfo{Name: "agent-core-1", Role: "agent", Incarnation: "a", Address: "core-1:1", Ready: true},
			TargetVersion: 1, TargetName: "core-1", Target: &wire.TargetInfo{Name: "core-1", Service: "orders-core", Version: 1, Incarnation: "a"},
		})
		require.NoError(c.t, err)
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for _, v := range c.vms {
			wg.Go(func() {
				cfg, err := c.client("entry", v).Config(c.context(20*time.Second), &wire.ConfigRequest{KnownRevision: 1, WaitMs: 10_000})
				require.NoError(c.t, err)
				require.Equal(c.t, uint64(2), cfg.GetRevision())
			})
			wg.Go(func() {
				seen, err := c.client("entry", v).Roster(c.context(20*time.Second), &wire.RosterRequest{})
				require.NoError(c.t, err)
				for polls := 0; !isLeaving(seen, "core-1"); polls++ {
					require.Less(c.t, polls, 10, "the drain did not reach the roster")
					seen, err = c.client("entry", v).Roster(c.context(20*time.Second), &wire.RosterRequest{Since: seen.GetVersion(), Epoch: seen.GetEpoch(), WaitMs: 10_000})
					require.NoError(c.t, err)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		startedAt := time.Now()
		_, err = client.Execute(c.context(5*time.Second), manifestChange("two", "ann", 1))
		require.NoError(c.t, err)
		_, err = client.Execute(c.context(5*time.Second), &wire.Command{Kind: &wire.Command_SetDrain{SetDrain: &wire.SetDrain{Target: "core-1", Draining: true}}})
		require.NoError(c.t, err)
		wg.Wait()
		require.Less(c.t, time.Since(startedAt), time.Second)
	})
}
