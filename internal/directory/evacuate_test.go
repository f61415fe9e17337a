package directory

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/afero"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/evacuation"
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

// Guards against an old log or snapshot that isn't readable after an upgrade, and against a
// snapshot that loses an evacuation.
func TestStoreReadsOldEntriesAndKeepsEvacuations(t *testing.T) {
	s := NewStore()
	oldSnapshot, err := proto.Marshal(&wire.CatalogSnapshot{Version: 4, Document: []byte("four")})
	require.NoError(t, err)
	require.NoError(t, s.Restore(1, oldSnapshot))
	require.Equal(t, uint64(5), s.Apply(2, command(t, 5, "five")))
	order, err := proto.Marshal(&wire.StoreCatalogCommand{Evacuation: &wire.EvacuationOrder{Domain: "milford", Evacuated: true}})
	require.NoError(t, err)
	require.Equal(t, evacuation.Result{Revision: 1}, s.Apply(3, order))
	data, err := s.BeginSnapshot()()
	require.NoError(t, err)
	restored, told := NewStore(), []string{}
	restored.OnEvacuations(func(_ uint64, domains []string) { told = domains })
	require.NoError(t, restored.Restore(3, data))
	require.Equal(t, s.contents(), restored.contents())
	require.Equal(t, []string{"milford"}, told)
	late, err := proto.Marshal(&wire.StoreCatalogCommand{Evacuation: &wire.EvacuationOrder{Domain: "milford"}})
	require.NoError(t, err)
	require.Equal(t, evacuation.Result{Revision: 1, Overtaken: true}, restored.Apply(4, late))
}

// controlVMs are several control VMs in virtual time with a network in memory.
type controlVMs struct {
	t        *testing.T
	mu       sync.Mutex
	isolated map[string]bool
	vms      map[string]*Directory
	handlers map[string]http.Handler
	peers    []string
}

// link is the network as seen by one control VM or gateway.
type link struct {
	c    *controlVMs
	from string
}

func (l link) reach(address string) (*Directory, http.Handler) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.isolated[l.from] || l.c.isolated[address] {
		return nil, nil
	}
	return l.c.vms[address], l.c.handlers[address]
}

func (l link) Send(address string, e *wire.Envelope) {
	time.AfterFunc(time.Millisecond, func() {
		if d, _ := l.reach(address); d != nil {
			d.o.Node.Deliver(e)
		}
	})
}

func (l link) Hello(_ context.Context, address string, r *wire.HelloRequest) (*wire.HelloResponse, error) {
	if d, _ := l.reach(address); d != nil {
		return d.o.Node.Hello(r), nil
	}
	return nil, errors.New("no connection")
}

// RoundTrip implements http.RoundTripper. A call to or from a VM that is cut off gets no response.
func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	_, h := l.reach(r.URL.Host)
	w := httptest.NewRecorder()
	if h != nil {
		h.ServeHTTP(w, r)
	}
	if _, still := l.reach(r.URL.Host); h == nil || still == nil {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return w.Result(), nil
}

func newControlVMs(t *testing.T, size int) *controlVMs {
	c := &controlVMs{t: t, isolated: map[string]bool{}, vms: map[string]*Directory{}, handlers: map[string]http.Handler{}}
	for n := range size {
		c.peers = append(c.peers, fmt.Sprint("vm-", n+1))
	}
	for n, address := range c.peers {
		j, err := journal.Open(journal.Options{Folder: "/data", FileSystem: afero.NewMemMapFs()})
		require.NoError(t, err)
		ts, store, m, network := timer.NewService(), NewStore(), metrics.New("test"), link{c, address}
		ids := 0
		node, err := replica.NewNode(replica.NodeOptions{
			Timer: ts, Journal: j, Transport: network, HelloClient: network, StateMachine: store, Address: address, Peers: c.peers, Seed: uint64(n + 1),
			NewID: func() string { ids++; return fmt.Sprint(address, "-", ids) },
		})
		require.NoError(t, err)
		d := New(Options{
			Timers: ts, Node: node, Store: store, Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}), Metrics: m,
			HTTP: &http.Client{Transport: network}, Voters: size, Quarantine: quarantine.NewRegister(address), Limits: pacing.NewRegister(address), Warmups: warmup.NewRegister(), Speeds: speed.NewRegister(), Origins: origin.NewRegister(100),
		})
		d.SetFailureDomains([]string{"milford", "swansea"})
		c.mu.Lock()
		c.vms[address], c.handlers[address] = d, d.Handler()
		c.mu.Unlock()
		require.NoError(t, node.Start(t.Context()))
		require.NoError(t, d.Start(t.Context()))
		t.Cleanup(func() {
			d.cancel()
			d.wg.Wait()
			require.NoError(t, node.Stop(context.Background()))
			require.NoError(t, m.Close())
		})
	}
	return c
}

func (c *controlVMs) isolate(address string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[address] = isolated
}

// leader returns the leader among the VMs that aren't isolated, and the first other one of them.
func (c *controlVMs) leader() (leader, follower string) {
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		leader, follower = "", ""
		for _, address := range c.peers {
			switch d, _ := (link{c, "test"}).reach(address); {
			case d == nil:
			case d.o.Node.Status().Role == replica.Leader:
				leader = address
			default:
				follower = address
			}
		}
		if leader != "" {
			return leader, follower
		}
	}
	c.t.Fatal("no leader within 10 s")
	return "", ""
}

// order sends an order to one VM, as an operator whose call ends after 900 ms.
func (c *controlVMs) order(address, domain string, evacuated bool) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), 900*time.Millisecond)
	defer cancel()
	return c.vms[address].Evacuate(ctx, domain, evacuated)
}

// watch starts a gateway's watcher of all control VMs.
func (c *controlVMs) watch(name string) *evacuation.Set {
	set := evacuation.NewSet()
	w := discovery.NewWatcher(discovery.WatcherOptions{
		Timers: timer.NewService(), HTTP: &http.Client{Transport: link{c, name}}, Process: name, Seeds: c.peers, Evacuations: set,
		Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}), CatalogVersion: func() uint64 { return 0 },
		OnResponse: func(_ string, r *wire.WatchResponse, _ time.Time) {
			set.Adopt(r.GetEvacuationRevision(), r.GetEvacuatedDomains(), time.Now())
		},
	})
	require.NoError(c.t, w.Start(c.t.Context()))
	c.t.Cleanup(func() { require.NoError(c.t, w.Stop(context.Background())) })
	return set
}

// Guards against an order that isn't acknowledged at once while all control VMs work, whichever of
// them gets it: followers learn of the previous order a little later, and orders on other domains are
// under way. Guards also against a gateway that learns of an order late.
func TestOrdersAreAcknowledgedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControlVMs(t, 3)
		c.leader()
		time.Sleep(2 * countDelay)
		gateway := c.watch("gateway")
		time.Sleep(time.Second)
		for n := range 24 {
			var orders sync.WaitGroup
			evacuated := n%2 == 0
			for i, domain := range []string{"milford", "swansea"} {
				orders.Go(func() {
					at := time.Now()
					require.NoError(t, c.order(c.peers[(n+i)%3], domain, evacuated))
					require.Less(t, time.Since(at), 200*time.Millisecond)
				})
			}
			orders.Wait()
			if n%5 == 0 {
				time.Sleep(50 * time.Millisecond)
				require.Equal(t, evacuated, gateway.Contains("milford"), "order %d", n)
				require.Equal(t, evacuated, gateway.Contains("swansea"), "order %d", n)
			}
		}
	})
}

// Guards against an acknowledged order that is lost or undone when the leader is cut off after its
// commit and before its answer, against an operator whose order isn't acknowledged by the others,
// and against a control VM without a quorum that acknowledges anything or says that a domain is
// unknown.
func TestOrdersSurviveALeaderChange(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 22 * time.Millisecond, 23 * time.Millisecond, 25 * time.Millisecond, 30 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newControlVMs(t, 3)
				old, follower := c.leader()
				time.Sleep(2 * countDelay)
				gateway := c.watch("gateway")
				require.NoError(t, c.order(follower, "swansea", true))
				time.AfterFunc(delay, func() { c.isolate(old, true) })
				startedAt := time.Now()
				for c.order(follower, "milford", true) != nil {
					require.Less(t, time.Since(startedAt), 5*time.Second)
				}
				var unconfirmed *UnconfirmedError
				require.ErrorAs(t, c.order(old, "milford", false), &unconfirmed)
				c.vms[old].confirmed.Store(nil) // its age is real time, which doesn't pass here
				require.ErrorAs(t, c.order(old, "nowhere", true), &unconfirmed)
				require.NoError(t, c.order(follower, "milford", false))
				require.NoError(t, c.order(follower, "milford", true), "taken back and given again")
				c.isolate(old, false)
				time.Sleep(3 * time.Second)
				for _, address := range c.peers {
					require.Equal(t, []string{"milford", "swansea"}, c.vms[address].o.Store.contents().domains, address)
				}
				require.True(t, gateway.Contains("milford") && gateway.Contains("swansea"))
				var unknown *UnknownDomainError
				require.ErrorAs(t, c.order(old, "nowhere", true), &unknown)
			})
		})
	}
}

// Guards against an order that a control VM accepts for a client who has given up, and has given
// a newer one elsewhere since.
func TestOrderOfALostClientIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControlVMs(t, 3)
		leader, _ := c.leader()
		time.Sleep(2 * countDelay)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(orderSettleTime/2, cancel)
		require.Error(t, c.vms[leader].Evacuate(ctx, "milford", true))
		time.Sleep(time.Second)
		require.Zero(t, c.vms[leader].o.Store.versions().evacuations)
	})
}

// Guards against a watch that is answered as confirmed although its evacuations aren't the newest
// ones: a gateway that starts would use its first catalog with them.
func TestConfirmationCoversEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		d.SetFailureDomains([]string{"milford"})
		require.NoError(t, d.StoreCatalog(t.Context(), 3, []byte("three")))
		require.False(t, d.KnowsEvacuations())
		d.confirm(t.Context())
		require.True(t, d.KnowsEvacuations())
		s := &service{d: d}
		w, err := s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway"})
		require.NoError(t, err)
		require.True(t, w.GetConfirmed())
		d.confirmed.Store(&confirmation{versions: versions{catalog: 3, evacuations: 1}, requestedAt: timer.SinceBoot()})
		w, err = s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway"})
		require.NoError(t, err)
		require.False(t, w.GetConfirmed(), "revision 1 is known to exist and is missing here")
		require.NoError(t, d.Evacuate(t.Context(), "milford", true))
		startedAt := time.Now()
		w, err = s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway", Epoch: w.GetEpoch(), Since: w.GetVersion(), CatalogVersion: 3, EvacuationRevision: proto.Uint64(0), WaitMs: 1000})
		require.NoError(t, err)
		require.Zero(t, time.Since(startedAt), "told at once")
		require.True(t, w.GetConfirmed())
		require.Equal(t, "milford", strings.Join(w.GetEvacuatedDomains(), " "))
		// A gateway of an earlier version takes no evacuations, and its watch has to wait as before.
		_, err = s.Watch(t.Context(), &wire.WatchRequest{Process: "old", Epoch: w.GetEpoch(), Since: w.GetVersion(), CatalogVersion: 3, WaitMs: 1000})
		require.NoError(t, err)
		require.Equal(t, time.Second, time.Since(startedAt))
	})
}
