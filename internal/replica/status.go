package replica

import "github.com/cardamomline/cardamomline/internal/wire"

// Status is a replica's own view of the cluster.
type Status struct {
	Cluster       string
	Member        string
	Empty         bool // the log holds nothing yet
	Role          Role
	Term          uint64
	LeaderID      string
	LeaderAddress string
	Commit        uint64
	Applied       uint64
	// Members carries match indexes and activity only at the leader.
	Members []MemberStatus
	// Losable is how many more VMs may be lost while the cluster keeps a quorum
	// of voters that are caught up and were heard within one election timeout.
	// It is -1 at a replica that doesn't lead, because only the leader knows.
	FaultTolerance int
}

// MemberStatus is what a replica knows of one member.
type MemberStatus struct {
	Member   *wire.Member
	Match    uint64 // highest index known to be durable there
	Active   bool   // heard within one election timeout
	CaughtUp bool   // holds everything committed up to about 200 ms ago
}

// Status returns the current view. Applied is set by the runner.
func (c *Core) Status() Status {
	m := c.config()
	s := Status{
		Cluster:        c.cluster,
		Member:         c.id,
		Empty:          c.empty(),
		Role:           c.role,
		Term:           c.term,
		LeaderID:       c.leader,
		LeaderAddress:  m.find(c.leader).GetAddress(),
		Commit:         c.commit,
		FaultTolerance: c.losable(),
	}
	for _, member := range m.members {
		status := MemberStatus{Member: member}
		if c.role == Leader {
			status.Match = c.matchOf(member.Id)
			status.Active = c.heard(member.Id)
			status.CaughtUp = c.caughtUp(member.Id)
		}
		s.Members = append(s.Members, status)
	}
	return s
}
