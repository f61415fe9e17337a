package replica_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/afero"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// lines is a state machine that keeps the commands in order.
type lines struct {
	mu   sync.Mutex
	list []string
}

func (l *lines) Apply(_ uint64, data []byte) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, string(data))
	return len(l.list)
}

func (l *lines) Snapshot() ([]byte, error) { return []byte(strings.Join(l.all(), "\n")), nil }

func (l *lines) Restore(_ uint64, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = strings.Split(string(data), "\n")
	return nil
}

func (l *lines) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list)
}

// vm is one control VM of a testCluster.
type vm struct {
	address string
	files   afero.Fs
	node    *replica.Node
	journal *journal.Journal
	lines   *lines
}

// testCluster runs Nodes on virtual time over an in-memory network.
type testCluster struct {
	t     *testing.T
	mu    sync.Mutex
	vms   map[string]*vm
	peers []string
	cut   map[string]bool
}

func newTestCluster(t *testing.T, size int) *testCluster {
	c := &testCluster{t: t, vms: map[string]*vm{}, cut: map[string]bool{}}
	for i := range size {
		c.peers = append(c.peers, fmt.Sprintf("vm-%d", i+1))
	}
	for _, p := range c.peers {
		c.vms[p] = &vm{address: p, files: afero.NewMemMapFs()}
	}
	for _, p := range c.peers {
		c.start(p)
	}
	return c
}

func (c *testCluster) start(address string) {
	v := c.vms[address]
	j, err := journal.Open(journal.Options{Folder: "/data", Files: v.files})
	require.NoError(c.t, err)
	l := &lines{}
	n, err := replica.NewNode(replica.NodeOptions{
		Timer: timer.NewService(), Journal: j, Transport: sender{c, address}, Greeter: sender{c, address},
		StateMachine: l, Address: address, Peers: c.peers, FailureDomain: "domain-" + address, Seed: 1, SnapshotEntries: 50,
	})
	require.NoError(c.t, err)
	require.NoError(c.t, n.Start(c.t.Context()))
	c.mu.Lock()
	defer c.mu.Unlock()
	v.node, v.journal, v.lines = n, j, l
}

func (c *testCluster) stop(address string) {
	require.NoError(c.t, c.vms[address].node.Stop(context.Background()))
}

func (c *testCluster) stopAll() {
	for _, p := range c.peers {
		c.stop(p)
	}
}

// reach returns the node at an address unless a cut is between.
func (c *testCluster) reach(from, to string) *replica.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.vms[to]
	if v == nil || v.node == nil || c.cut[from] || c.cut[to] {
		return nil
	}
	return v.node
}

type sender struct {
	c    *testCluster
	from string
}

func (s sender) Send(address string, e *wire.Envelope) {
	if n := s.c.reach(s.from, address); n != nil {
		n.Deliver(e)
	}
}

func (s sender) Hello(_ context.Context, address string, r *wire.HelloRequest) (*wire.HelloResponse, error) {
	n := s.c.reach(s.from, address)
	if n == nil {
		return nil, errors.New("no connection")
	}
	return n.Hello(r), nil
}

func (c *testCluster) leader() *vm {
	for range 200 {
		time.Sleep(replica.TickPeriod)
		for _, p := range c.peers {
			if v := c.vms[p]; !c.cut[p] && v.node.Status().Role == replica.Leader {
				return v
			}
		}
	}
	c.t.Fatal("no leader within 10 s")
	return nil
}

// Guards against a cluster that doesn't form from empty folders, and against
// committed commands that are missing or doubled after all VMs restart.
func TestNodesFormClusterAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 3)
		var want []string
		for i := range 120 {
			line := fmt.Sprintf("line-%d", i)
			want = append(want, line)
			_, err := c.leader().node.Propose(t.Context(), []byte(line))
			require.NoError(t, err)
		}
		c.stopAll()
		for _, p := range c.peers {
			c.start(p)
		}
		l := c.leader()
		require.NoError(t, l.node.Barrier(t.Context()))
		require.Equal(t, want, l.lines.all())
		time.Sleep(time.Second)
		for _, p := range c.peers {
			require.Equal(t, want, c.vms[p].lines.all(), p)
		}
		require.Equal(t, 1, l.node.Status().Losable)
		c.stopAll()
	})
}
