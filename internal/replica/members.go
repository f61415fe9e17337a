package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// memberConfig is the member list that is active from an index on.
type memberConfig struct {
	index   uint64
	members []*wire.Member
}

func (m memberConfig) find(id string) *wire.Member {
	for _, member := range m.members {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func (m memberConfig) isVoter(id string) bool {
	member := m.find(id)
	return member != nil && !member.Learner
}

func (m memberConfig) voters() []*wire.Member {
	return slices.DeleteFunc(slices.Clone(m.members), func(member *wire.Member) bool { return member.Learner })
}

// quorum returns the number of voters that form a majority.
func (m memberConfig) quorum() int { return len(m.voters())/2 + 1 }

func (m memberConfig) without(id string) memberConfig {
	return memberConfig{members: slices.DeleteFunc(slices.Clone(m.members), func(member *wire.Member) bool { return member.Id == id })}
}

func (m memberConfig) withLearner(member *wire.Member) memberConfig {
	added := proto.Clone(member).(*wire.Member)
	added.Learner = true
	return memberConfig{members: append(slices.Clone(m.members), added)}
}

func (m memberConfig) promoted(id string) memberConfig {
	members := slices.Clone(m.members)
	for i, member := range members {
		if member.Id == id {
			members[i] = proto.Clone(member).(*wire.Member)
			members[i].Learner = false
		}
	}
	return memberConfig{members: members}
}

// haveDistinctIDs reports whether all members have different ids. A VM that is listed
// under two addresses would otherwise count twice in a majority.
func haveDistinctIDs(members []*wire.Member) bool {
	ids := map[string]bool{}
	for _, m := range members {
		ids[m.Id] = true
	}
	return len(ids) == len(members)
}

// config returns the newest member list, which is active as soon as it is in the log.
func (c *Core) config() memberConfig { return c.configs[len(c.configs)-1] }

// configAt returns the member list that is active at an index.
func (c *Core) configAt(index uint64) memberConfig {
	for _, m := range slices.Backward(c.configs) {
		if m.index <= index {
			return m
		}
	}
	return c.configs[0]
}

func (c *Core) addConfig(e *wire.LogEntry) {
	list := &wire.MemberList{}
	if err := proto.Unmarshal(e.Data, list); err != nil {
		c.failInvariant("member lists can be decoded", "entry %d: %v", e.Index, err)
		return
	}
	c.configs = append(c.configs, memberConfig{index: e.Index, members: list.Members})
	if c.role == Leader {
		c.syncPeers()
	}
}

// truncateConfigs removes the member lists of truncated entries.
func (c *Core) truncateConfigs(from uint64) {
	for len(c.configs) > 1 && c.config().index >= from {
		c.configs = c.configs[:len(c.configs)-1]
	}
}

// proposeMembers appends a member list that differs by one member from the active
// one. No other member change may be in progress, and an entry of this term must be
// committed: otherwise two leaders could each commit under member lists whose
// majorities don't overlap.
func (c *Core) proposeMembers(m memberConfig) *wire.LogEntry {
	data, err := proto.Marshal(&wire.MemberList{Members: m.members})
	if err != nil {
		c.failInvariant("member lists can be encoded", "%v", err)
		return nil
	}
	return c.appendEntry(wire.EntryKind_ENTRY_KIND_MEMBERS, data)
}

func (c *Core) mayChangeMembers() bool {
	return c.role == Leader && c.leadershipTransfer == nil && c.commit >= c.termStart && c.commit >= c.config().index
}

func (c *Core) onJoin(member *wire.Member) {
	if !c.mayChangeMembers() {
		return // the VM retries
	}
	m := c.config()
	if member.Id == "" || member.Address == "" || m.find(member.Id) != nil || member.Address == m.find(c.id).GetAddress() {
		return
	}
	others := 0
	for _, other := range m.members {
		if other.Address != member.Address {
			others++
		} else if other.Learner {
			c.proposeMembers(m.without(other.Id))
			return
		}
	}
	if others >= c.o.MaxMembers {
		return
	}
	c.proposeMembers(m.withLearner(member))
}

// promoteLearners promotes caught-up learners to voters. A voter with the same
// address is the VM's identity before it lost its disk and is removed first.
func (c *Core) promoteLearners() {
	if !c.mayChangeMembers() {
		return
	}
	m := c.config()
	for _, learner := range m.members {
		if !learner.Learner || !c.caughtUp(learner.Id) {
			continue
		}
		next := m.promoted(learner.Id)
		for _, other := range m.voters() {
			if other.Address == learner.Address {
				next = m.without(other.Id)
				if c.recentlyActive(other.Id) {
					return
				}
			}
		}
		// Without an active majority of the new voters, the change couldn't commit
		// and would block the log.
		if c.activeVoters(next) >= next.quorum() {
			c.proposeMembers(next)
		}
		return
	}
}

// recentlyActive reports whether a member has responded within one election timeout.
func (c *Core) recentlyActive(id string) bool {
	if id == c.id {
		return true
	}
	p := c.peers[id]
	return p != nil && p.ticksSinceResponse < c.o.ElectionTicks
}

// caughtUp reports whether a member has all entries that were committed a heartbeat
// period ago. Compared with the latest commit index, every follower would appear to
// lag while proposals are arriving.
func (c *Core) caughtUp(id string) bool {
	if !c.recentlyActive(id) {
		return false
	}
	return c.matchIndex(id) >= c.previousCommit && c.previousCommit >= c.termStart
}

func (c *Core) matchIndex(id string) uint64 {
	if id == c.id {
		return c.match
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

func (c *Core) activeVoters(m memberConfig) int {
	n := 0
	for _, v := range m.voters() {
		if c.recentlyActive(v.Id) {
			n++
		}
	}
	return n
}

// faultTolerance returns the number of VMs that may fail while a quorum of healthy voters
// remains, or -1 if this replica isn't the leader.
func (c *Core) faultTolerance() int {
	if c.role != Leader {
		return -1
	}
	m := c.config()
	healthy := 0
	for _, v := range m.voters() {
		if c.caughtUp(v.Id) {
			healthy++
		}
	}
	return max(0, healthy-m.quorum())
}
