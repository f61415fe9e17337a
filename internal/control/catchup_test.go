package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// newest keeps the last command. Its snapshot is as small as a command, however long the log is.
type newest struct{ data atomic.Pointer[[]byte] }

func (s *newest) Apply(_ uint64, data []byte) any {
	s.data.Store(&data)
	return nil
}

func (s *newest) BeginSnapshot() func() ([]byte, error) {
	data := s.data.Load()
	return func() ([]byte, error) { return *data, nil }
}

func (s *newest) Restore(_ uint64, data []byte) error {
	s.data.Store(&data)
	return nil
}

// networkNode is a replica that is reached over loopback, with the limit on bodies that control
// VMs have.
type networkNode struct {
	*replica.Node
	address string
	largest atomic.Int64 // bytes of the largest call
	stop    func()
}

func startNetworkNode(t *testing.T, l net.Listener, peers []string, joinOnly bool) *networkNode {
	n := &networkNode{address: l.Addr().String()}
	transport := control.NewTransport(nil)
	var err error
	n.Node, err = replica.NewNode(replica.NodeOptions{
		Timer: timer.NewService(), Journal: &memoryJournal{contents: journal.Contents{}}, Transport: transport, HelloClient: transport,
		StateMachine: &newest{}, Address: n.address, Peers: peers, JoinOnly: joinOnly,
	})
	require.NoError(t, err)
	handler := wire.NewReplicaServer(replicaServer{n.Node})
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.MaxBytesHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.largest.Store(max(n.largest.Load(), r.ContentLength))
		handler.ServeHTTP(w, r)
	}), control.MaxMessageBytes)}
	go func() { _ = server.Serve(l) }()
	n.stop = sync.OnceFunc(func() {
		_ = n.Stop(context.Background())
		_ = transport.Stop(context.Background())
		_ = server.Close()
	})
	require.NoError(t, n.Start(t.Context()))
	return n
}

// Guards against an empty member that never catches up, so that the next loss ends the quorum: the
// leader has more entries than fit into one message between processes.
func TestEmptyMemberCatchesUpAfterLargeEntries(t *testing.T) {
	const entryBytes, entries = 1 << 20, control.MaxMessageBytes>>20 + 8
	var listeners []net.Listener
	var peers []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners, peers = append(listeners, l), append(peers, l.Addr().String())
	}
	var nodes []*networkNode
	for _, l := range listeners[:3] {
		n := startNetworkNode(t, l, peers[:3], false)
		t.Cleanup(n.stop)
		nodes = append(nodes, n)
	}
	isLeader := func(n *networkNode) bool { return n.Status().Role == replica.Leader }
	require.Eventually(t, func() bool { return slices.ContainsFunc(nodes, isLeader) }, 20*time.Second, 10*time.Millisecond)
	leader := nodes[slices.IndexFunc(nodes, isLeader)]
	for range entries {
		_, err := leader.Propose(t.Context(), make([]byte, entryBytes))
		require.NoError(t, err)
	}
	lost := nodes[slices.IndexFunc(nodes, func(n *networkNode) bool { return n != leader })]
	lost.stop()
	added := startNetworkNode(t, listeners[3], peers, true)
	t.Cleanup(added.stop)
	caughtUp := func() bool {
		members := leader.Status().Members
		i := slices.IndexFunc(members, func(m replica.MemberStatus) bool { return m.Member.Address == added.address })
		return i >= 0 && members[i].CaughtUp && !members[i].Member.Learner
	}
	require.Eventually(t, caughtUp, 20*time.Second, 10*time.Millisecond, fmt.Sprint("largest call: ", added.largest.Load()))
	require.Less(t, added.largest.Load(), int64(control.MaxMessageBytes/4), "calls stay far below the limit")
}
