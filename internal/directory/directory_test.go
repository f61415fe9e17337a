package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/spf13/afero"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

type noTransport struct{}

func (noTransport) Send(string, *wire.Envelope) {}

func newDirectory(t *testing.T) *Directory {
	j, err := journal.Open(journal.Options{Folder: "/data", FileSystem: afero.NewMemMapFs()})
	require.NoError(t, err)
	store := NewStore()
	ts := timer.NewService()
	node, err := replica.NewNode(replica.NodeOptions{
		Timer: ts, Journal: j, Transport: noTransport{}, StateMachine: store, Address: "vm-1", Peers: []string{"vm-1"}, Seed: 1,
	})
	require.NoError(t, err)
	m := metrics.New("test")
	d := New(Options{Timers: ts, Node: node, Store: store, Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}), Metrics: m, Voters: 1})
	require.NoError(t, node.Start(t.Context()))
	t.Cleanup(func() {
		require.NoError(t, node.Stop(context.Background()))
		require.NoError(t, m.Close())
	})
	return d
}

// Guards against a target that is told it may go while a gateway still sends to it:
// the answer waits until each process that watches has taken the news.
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
		told := <-next
		require.Len(t, told.GetTargets(), 1)
		synctest.Wait()
		select {
		case <-acknowledged:
			require.Fail(t, "acknowledged before the gateway has taken the news")
		default:
		}
		go func() {
			_, _ = s.Watch(t.Context(), &wire.WatchRequest{Process: "gateway", Epoch: told.GetEpoch(), Since: told.GetVersion(), WaitMs: 10})
		}()
		<-acknowledged
	})
}

// Guards against a target that waits for a watcher which is gone.
func TestLostWatcherDelaysNoAnswerForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		_, err := (&service{d: d}).Watch(t.Context(), &wire.WatchRequest{Process: "gateway", WaitMs: 1})
		require.NoError(t, err)
		began := time.Now()
		d.Leave(t.Context(), "a", 1)
		require.Less(t, time.Since(began), time.Second)
	})
}

// Guards against an acknowledgement without a commit, a refusal of the same change
// sent again, and a read that isn't the newest.
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

// Guards against an answer from a VM that can't know whether its catalog is the
// newest.
func TestReadWithoutQuorumIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t)
		require.NoError(t, d.o.Node.Stop(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := d.ReadCatalog(ctx)
		var unsure *UnconfirmedError
		require.ErrorAs(t, err, &unsure)
	})
}
