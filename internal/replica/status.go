package replica

import "github.com/cardamomline/cardamomline/internal/wire"

// Status is a replica's view of the cluster.
type Status struct {
	Cluster       string
	Member        string
	Empty         bool // the log has no entries
	Role          Role
	Term          uint64
	LeaderID      string
	LeaderAddress string
	Commit        uint64
	Applied       uint64
	// Members is the member list. Only the leader sets Match, Active and CaughtUp.
	Members []MemberStatus
	// FaultTolerance is the number of VMs that may fail while a quorum remains of
	// voters that are caught up and responded within one election timeout. It is -1
	// if this replica isn't the leader, because only the leader knows it.
	FaultTolerance int
	// LogBytes is the size of the log entries in memory.
	LogBytes uint64
	// StorageFailure describes why journal writes fail, or is "" while they succeed.
	StorageFailure string
}

// MemberStatus is a replica's view of one member.
type MemberStatus struct {
	Member   *wire.Member
	Match    uint64 // highest index known to be durable on the member
	Active   bool   // responded within one election timeout
	CaughtUp bool   // has all entries that were committed about 200 ms ago
}

// Status returns the current view of the cluster. Applied and StorageFailure are set by
// Node.
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
		FaultTolerance: c.faultTolerance(),
		LogBytes:       c.log.bytes(c.log.offset, c.log.last()),
	}
	for _, member := range m.members {
		status := MemberStatus{Member: member}
		if c.role == Leader {
			status.Match = c.matchIndex(member.Id)
			status.Active = c.recentlyActive(member.Id)
			status.CaughtUp = c.caughtUp(member.Id)
		}
		s.Members = append(s.Members, status)
	}
	return s
}
