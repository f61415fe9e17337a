package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/control"
	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	bandwidth     = 125e6 // bytes per second: 1 Gbit/s
	minWriteDelay = 2 * time.Millisecond
	repairTimeout = time.Minute
)

// slowConn limits writes to the bandwidth of the link.
type slowConn struct {
	net.Conn
	availableAt time.Time // when all earlier bytes are sent
}

func dialSlow(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &slowConn{Conn: conn}, err
}

// Write implements net.Conn.
func (c *slowConn) Write(b []byte) (int, error) {
	now := time.Now()
	if c.availableAt.Before(now) {
		c.availableAt = now
	}
	c.availableAt = c.availableAt.Add(time.Duration(float64(len(b)) / bandwidth * float64(time.Second)))
	if wait := c.availableAt.Sub(now); wait > minWriteDelay {
		time.Sleep(wait)
	}
	return c.Conn.Write(b)
}

// memoryJournal discards all writes, so that only the network limits a repair.
type memoryJournal struct{ contents journal.Contents }

func (j *memoryJournal) Contents() journal.Contents { return j.contents }

func (*memoryJournal) Save([]journal.Batch) error { return nil }

// blob is a state machine with a state of a given size.
type blob struct{ data []byte }

func (*blob) Apply(uint64, []byte) any { return nil }

func (s *blob) BeginSnapshot() func() ([]byte, error) {
	return func() ([]byte, error) { return s.data, nil }
}

func (s *blob) Restore(_ uint64, data []byte) error {
	s.data = data
	return nil
}

type replicaServer struct{ node *replica.Node }

func (s replicaServer) Hello(_ context.Context, r *wire.HelloRequest) (*wire.HelloResponse, error) {
	return s.node.Hello(r), nil
}

func (s replicaServer) Deliver(_ context.Context, e *wire.Envelope) (*wire.DeliverResponse, error) {
	s.node.Deliver(e)
	return &wire.DeliverResponse{}, nil
}

// BenchmarkRepairAtOneGigabit reports how long a replica without a log takes to become a
// voter, by snapshot size, when each connection is limited to 1 Gbit/s.
func BenchmarkRepairAtOneGigabit(b *testing.B) {
	for _, megabytes := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprintf("%dMB", megabytes), func(b *testing.B) {
			for b.Loop() {
				repairOverSlowLinks(b, make([]byte, megabytes*1e6))
			}
		})
	}
}

func repairOverSlowLinks(b *testing.B, state []byte) {
	var addresses []string
	var listeners []net.Listener
	var nodes []*replica.Node
	members := &wire.MemberList{}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		members.Members = append(members.Members, &wire.Member{Id: fmt.Sprintf("old-%d", i), Address: addresses[i]})
	}
	for i, l := range listeners {
		contents := journal.Contents{State: journal.State{Member: "new"}}
		if i < 2 {
			contents.State = journal.State{Cluster: "c", Member: members.Members[i].Id, Term: 1}
			contents.Snapshot = &wire.SnapshotRequest{Index: 10, SnapshotTerm: 1, Members: members, Data: state}
		}
		transport := control.NewTransport(dialSlow)
		node, err := replica.NewNode(replica.NodeOptions{
			Timer: timer.NewService(), Journal: &memoryJournal{contents}, Transport: transport, HelloClient: transport,
			StateMachine: &blob{}, Address: addresses[i], Peers: addresses, Seed: uint64(i),
		})
		require.NoError(b, err)
		server := &http.Server{Handler: wire.NewReplicaServer(replicaServer{node}), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(l) }()
		defer func() {
			_ = node.Stop(context.Background())
			_ = transport.Stop(context.Background())
			_ = server.Close()
		}()
		nodes = append(nodes, node)
	}
	startedAt := time.Now()
	for _, n := range nodes {
		require.NoError(b, n.Start(b.Context()))
	}
	for !slices.ContainsFunc(nodes[2].Status().Members, func(m replica.MemberStatus) bool { return m.Member.Id == "new" && !m.Member.Learner }) {
		require.Less(b, time.Since(startedAt), repairTimeout, "the replica becomes a voter")
		time.Sleep(replica.TickPeriod)
	}
	b.ReportMetric(time.Since(startedAt).Seconds(), "s/repair")
}
