package replica

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// discoveryInterval is the interval between rounds of Hello requests while this replica
	// isn't a member. It limits the time to form or join a cluster.
	discoveryInterval = 250 * time.Millisecond
	// discoveryTimeout limits each peer discovery task, such as a Hello request.
	discoveryTimeout = time.Second
)

// Hello returns the identity of this replica and its view of the cluster. The
// leader verifies and adds a caller that isn't a member.
func (n *Node) Hello(r *wire.HelloRequest) *wire.HelloResponse {
	s := n.Status()
	response := &wire.HelloResponse{
		ClusterId:     s.Cluster,
		MemberId:      s.Member,
		Empty:         s.Empty,
		LeaderAddress: s.LeaderAddress,
	}
	for _, m := range s.Members {
		response.Members = append(response.Members, m.Member)
	}
	if response.Empty {
		response.Members = []*wire.Member{n.self()}
	}
	if n.mayJoin(s, r) {
		n.startTask(func(ctx context.Context) { n.verifyAndAdd(ctx, r) })
	}
	return response
}

func (n *Node) self() *wire.Member {
	return &wire.Member{Id: n.Status().Member, Address: n.o.Address, FailureDomain: n.o.FailureDomain}
}

func (n *Node) mayJoin(s Status, r *wire.HelloRequest) bool {
	if s.Role != Leader || r.MemberId == "" || r.Address == "" || r.Address == n.o.Address {
		return false
	}
	return !isMember(s, r.MemberId)
}

func isMember(s Status, id string) bool {
	for _, m := range s.Members {
		if m.Member.Id == id {
			return true
		}
	}
	return false
}

// startTask runs f in a goroutine with a context that has a timeout and is
// cancelled when the replica stops. It returns false if the replica isn't running.
func (n *Node) startTask(f func(ctx context.Context)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || !n.started {
		return false
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		ctx, cancel := context.WithTimeout(n.ctx, discoveryTimeout)
		defer cancel()
		f(ctx)
	}()
	return true
}

// verifyAndAdd sends a Hello request to the caller's address before the caller joins, so
// that a delayed or incorrect request can't replace a working member.
func (n *Node) verifyAndAdd(ctx context.Context, r *wire.HelloRequest) {
	s := n.Status()
	response, err := n.o.HelloClient.Hello(ctx, r.Address, &wire.HelloRequest{ClusterId: s.Cluster, MemberId: s.Member, Address: n.o.Address})
	if err != nil || response.MemberId != r.MemberId || !response.Empty && response.ClusterId != s.Cluster {
		return
	}
	member := &wire.Member{Id: r.MemberId, Address: r.Address}
	for _, m := range response.Members {
		if m.Id == r.MemberId {
			member.FailureDomain = m.FailureDomain
		}
	}
	n.events.put(Join{Member: member})
}

// discoveryLoop runs peer discovery while this replica isn't a member or knows no
// leader, since it may have been removed while it was disconnected.
func (n *Node) discoveryLoop() {
	defer n.loops.Done()
	ticker := n.o.Timer.Subscribe(discoveryInterval)
	defer ticker.Stop()
	for {
		if s := n.Status(); !isMember(s, s.Member) || s.LeaderID == "" {
			n.discoverPeers(s)
		}
		select {
		case <-n.quit:
			return
		case <-ticker.C():
		}
	}
}

// discoverPeers sends Hello requests to the peers. The first configured peer forms the
// cluster once all peers have responded that they are empty, or a majority after FormWithout.
func (n *Node) discoverPeers(s Status) {
	peers := *n.peers.Load()
	if n.discoveryAt.IsZero() {
		n.discoveryAt = n.o.Timer.Now()
	}
	responses := n.sendHellos(s, peers)
	if n.o.JoinOnly || !s.Empty || len(peers) == 0 || peers[0] != n.o.Address {
		n.contactLeader(s, responses)
		return
	}
	members := []*wire.Member{n.self()}
	var silent []string
	for _, p := range peers {
		if p == n.o.Address {
			continue
		}
		a := responses[p]
		if a == nil {
			silent = append(silent, p)
			continue
		}
		if !a.Empty {
			n.contactLeader(s, responses)
			return
		}
		members = append(members, memberFromHello(p, a))
	}
	if len(silent) > 0 {
		if n.o.FormWithout == 0 || n.o.Timer.Since(n.discoveryAt) < n.o.FormWithout || 2*len(members) <= len(peers) {
			return
		}
		klog.InfoS("Cluster formed without silent peers", "members", len(members), "silent", silent)
	}
	n.events.put(Bootstrap{Cluster: n.o.NewID(), Members: members})
}

func memberFromHello(address string, a *wire.HelloResponse) *wire.Member {
	member := &wire.Member{Id: a.MemberId, Address: address}
	for _, m := range a.Members {
		if m.Id == a.MemberId {
			member.FailureDomain = m.FailureDomain
		}
	}
	return member
}

// contactLeader sends a Hello request to a leader that the responses name and that
// isn't a configured peer.
func (n *Node) contactLeader(s Status, responses map[string]*wire.HelloResponse) {
	var leaders []string
	for _, a := range responses {
		if a.LeaderAddress != "" && a.LeaderAddress != n.o.Address && responses[a.LeaderAddress] == nil {
			leaders = append(leaders, a.LeaderAddress)
		}
	}
	if len(leaders) > 0 {
		n.sendHellos(s, leaders[:1])
	}
}

// sendHellos sends Hello requests to all addresses concurrently and returns the responses
// by address.
func (n *Node) sendHellos(s Status, addresses []string) map[string]*wire.HelloResponse {
	var mu sync.Mutex
	var wg sync.WaitGroup
	responses := map[string]*wire.HelloResponse{}
	for _, address := range addresses {
		if address == n.o.Address {
			continue
		}
		wg.Add(1)
		started := n.startTask(func(ctx context.Context) {
			defer wg.Done()
			r := &wire.HelloRequest{ClusterId: s.Cluster, MemberId: s.Member, Address: n.o.Address}
			if a, err := n.o.HelloClient.Hello(ctx, address, r); err == nil {
				mu.Lock()
				responses[address] = a
				mu.Unlock()
			}
		})
		if !started {
			wg.Done()
		}
	}
	wg.Wait()
	return responses
}
