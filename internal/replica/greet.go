package replica

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// greetPeriod is the time between rounds of Hello while this replica is not
	// a member, which bounds how long forming and joining a cluster takes.
	greetPeriod = 250 * time.Millisecond
	// greetTimeout is how long a VM may take to answer Hello.
	greetTimeout = time.Second
)

// Hello answers who this replica is. A caller that is not a member is checked
// and added, when this replica leads.
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
		n.background(func(ctx context.Context) { n.admit(ctx, r) })
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

// background runs f with a bounded context, which ends when the replica stops.
// It returns false when the replica has stopped already.
func (n *Node) background(f func(ctx context.Context)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || !n.started {
		return false
	}
	n.greets.Add(1)
	go func() {
		defer n.greets.Done()
		ctx, cancel := context.WithTimeout(n.life, greetTimeout)
		defer cancel()
		f(ctx)
	}()
	return true
}

// admit asks the address itself who it is before the caller joins, so that a
// delayed or wrong request can't replace a member that still works.
func (n *Node) admit(ctx context.Context, r *wire.HelloRequest) {
	s := n.Status()
	answer, err := n.o.HelloClient.Hello(ctx, r.Address, &wire.HelloRequest{ClusterId: s.Cluster, MemberId: s.Member, Address: n.o.Address})
	if err != nil || answer.MemberId != r.MemberId || !answer.Empty && answer.ClusterId != s.Cluster {
		return
	}
	member := &wire.Member{Id: r.MemberId, Address: r.Address}
	for _, m := range answer.Members {
		if m.Id == r.MemberId {
			member.FailureDomain = m.FailureDomain
		}
	}
	n.inbox.put(Join{Member: member})
}

// greetLoop says Hello to the peers while this replica is not a member, or may
// have been removed while it was away.
func (n *Node) greetLoop() {
	defer n.running.Done()
	ticker := n.o.Timer.Subscribe(greetPeriod)
	defer ticker.Stop()
	for {
		if s := n.Status(); !isMember(s, s.Member) || s.LeaderID == "" {
			n.greet(s)
		}
		select {
		case <-n.quit:
			return
		case <-ticker.C():
		}
	}
}

// greet makes this replica known to the peers. The first of the peers forms the
// cluster once all have answered that they are empty.
func (n *Node) greet(s Status) {
	peers := *n.peers.Load()
	answers := n.ask(s, peers)
	if n.o.JoinOnly || !s.Empty || len(peers) == 0 || peers[0] != n.o.Address {
		n.askLeaders(s, answers)
		return
	}
	members := []*wire.Member{n.self()}
	for _, p := range peers {
		if p == n.o.Address {
			continue
		}
		a := answers[p]
		if a == nil {
			return
		}
		if !a.Empty {
			n.askLeaders(s, answers)
			return
		}
		members = append(members, memberOf(p, a))
	}
	n.inbox.put(Bootstrap{Cluster: n.o.NewID(), Members: members})
}

func memberOf(address string, a *wire.HelloResponse) *wire.Member {
	member := &wire.Member{Id: a.MemberId, Address: address}
	for _, m := range a.Members {
		if m.Id == a.MemberId {
			member.FailureDomain = m.FailureDomain
		}
	}
	return member
}

// askLeaders says Hello to leaders that the peers named and that are no peers.
func (n *Node) askLeaders(s Status, answers map[string]*wire.HelloResponse) {
	var leaders []string
	for _, a := range answers {
		if a.LeaderAddress != "" && a.LeaderAddress != n.o.Address && answers[a.LeaderAddress] == nil {
			leaders = append(leaders, a.LeaderAddress)
		}
	}
	if len(leaders) > 0 {
		n.ask(s, leaders[:1])
	}
}

// ask says Hello to all addresses at once and returns the answers by address.
func (n *Node) ask(s Status, addresses []string) map[string]*wire.HelloResponse {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]*wire.HelloResponse{}
	for _, address := range addresses {
		if address == n.o.Address {
			continue
		}
		wg.Add(1)
		started := n.background(func(ctx context.Context) {
			defer wg.Done()
			r := &wire.HelloRequest{ClusterId: s.Cluster, MemberId: s.Member, Address: n.o.Address}
			if a, err := n.o.HelloClient.Hello(ctx, address, r); err == nil {
				mu.Lock()
				answers[address] = a
				mu.Unlock()
			}
		})
		if !started {
			wg.Done()
		}
	}
	wg.Wait()
	return answers
}
