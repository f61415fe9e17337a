package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// memberConfig is the member list that is in force from an index on.
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

// quorum returns how many voters make a majority.
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

// distinct says whether no two members share an id. A VM that is listed under
// two addresses would otherwise count twice in a majority.
func distinct(members []*wire.Member) bool {
	ids := map[string]bool{}
	for _, m := range members {
		ids[m.Id] = true
	}
	return len(ids) == len(members)
}

// config returns the newest member list, which is in force once it is in the log.
func (c *Core) config() memberConfig { return c.configs[len(c.configs)-1] }

// configAt returns the member list in force at an index.
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
		c.violated("member lists are readable", "entry %d: %v", e.Index, err)
		return
	}
	c.configs = append(c.configs, memberConfig{index: e.Index, members: list.Members})
	if c.role == Leader {
		c.syncPeers()
	}
}

// dropConfigs forgets the member lists of truncated entries.
func (c *Core) dropConfigs(from uint64) {
	for len(c.configs) > 1 && c.config().index >= from {
		c.configs = c.configs[:len(c.configs)-1]
	}
}

// proposeMembers appends a member list that differs by one member from the one
// in force. There must be no other change under way, and an entry of this term
// must be committed: without the latter, two leaders could each commit under
// member lists whose majorities don't overlap.
func (c *Core) proposeMembers(m memberConfig) *wire.LogEntry {
	data, err := proto.Marshal(&wire.MemberList{Members: m.members})
	if err != nil {
		c.violated("member lists are writable", "%v", err)
		return nil
	}
	return c.appendEntry(wire.EntryKind_ENTRY_KIND_MEMBERS, data)
}

func (c *Core) mayChangeMembers() bool {
	return c.role == Leader && c.handOver == nil && c.commit >= c.termStart && c.commit >= c.config().index
}

func (c *Core) onJoin(member *wire.Member) {
	if !c.mayChangeMembers() {
		return // the VM asks again
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

// manageMembers makes caught-up learners voters. A voter with the same address
// is the same VM before it lost its disk and is removed first.
func (c *Core) manageMembers() {
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
				if c.heard(other.Id) {
					return
				}
			}
		}
		// Without an active majority of the new voters the change couldn't commit
		// and would block the log.
		if c.activeVoters(next) >= next.quorum() {
			c.proposeMembers(next)
		}
		return
	}
}

// heard says whether a member has answered within one election timeout.
func (c *Core) heard(id string) bool {
	if id == c.id {
		return true
	}
	p := c.peers[id]
	return p != nil && p.silent < c.o.ElectionTicks
}

// caughtUp says whether a member holds all that was committed a heartbeat
// period ago. Comparing with the newest commit index would call every follower
// behind while proposals are arriving.
func (c *Core) caughtUp(id string) bool {
	if !c.heard(id) {
		return false
	}
	return c.matchOf(id) >= c.commitBefore && c.commitBefore >= c.termStart
}

func (c *Core) matchOf(id string) uint64 {
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
		if c.heard(v.Id) {
			n++
		}
	}
	return n
}

// losable returns how many more VMs may be lost while a quorum of healthy voters
// remains, or -1 when this replica doesn't lead and can't know.
func (c *Core) losable() int {
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
