package replica

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Role is the Raft role of a replica in its current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Defaults of CoreOptions.
const (
	defaultElectionTicks      = 12
	defaultFirstElectionTicks = 3
	defaultHeartbeatTicks     = 2
	defaultMaxMessageBytes    = 1 << 20
	defaultMaxInFlightEntries = 8192
	defaultMaxInFlightBytes   = 4 << 20
	defaultRetainedBytes      = 4 << 20
	defaultMaxRetainedBytes   = 64 << 20
	defaultRetainedEntries    = 5000
	// defaultMaxRetainedEntries covers 200 s at 1,000 entries per second, which is longer than
	// the transfer of the largest snapshot, and bounds the memory for these entries.
	defaultMaxRetainedEntries = 200_000
	defaultMaxMembers         = 7
)

// CoreOptions configures a Core. Zero values are replaced by defaults.
type CoreOptions struct {
	// Seed determines the random election timeouts, together with the member id.
	Seed uint64
	// ElectionTicks is the minimum election timeout; the maximum is twice as long.
	ElectionTicks int
	// FirstElectionTicks is the minimum election timeout of a member that has heard from no
	// leader since its start. It doubles with each election that fails, up to ElectionTicks.
	// A running leader rejects pre-votes, so that a restarted member doesn't depose it.
	FirstElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// MaxMessageBytes limits the size of the entries in one message and of a
	// snapshot part.
	MaxMessageBytes int
	// MaxInFlightEntries limits the unacknowledged entries sent to a member.
	MaxInFlightEntries uint64
	// MaxInFlightBytes limits the size of these entries. A single entry may exceed it.
	MaxInFlightBytes uint64
	// RetainedEntries and RetainedBytes limit the entries before a snapshot that stay in
	// memory, so that a slightly lagging member doesn't need the snapshot.
	RetainedEntries uint64
	RetainedBytes   uint64
	// MaxRetainedEntries and MaxRetainedBytes limit the entries before a snapshot that a
	// leader retains for members that receive an older snapshot or catch up.
	MaxRetainedEntries uint64
	MaxRetainedBytes   uint64
	// MaxMembers limits the length of the member list.
	MaxMembers int
}

func (o CoreOptions) withDefaults() CoreOptions {
	setDefault(&o.ElectionTicks, defaultElectionTicks)
	setDefault(&o.FirstElectionTicks, min(defaultFirstElectionTicks, o.ElectionTicks))
	setDefault(&o.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&o.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&o.MaxInFlightEntries, defaultMaxInFlightEntries)
	setDefault(&o.MaxInFlightBytes, defaultMaxInFlightBytes)
	setDefault(&o.RetainedEntries, defaultRetainedEntries)
	setDefault(&o.RetainedBytes, defaultRetainedBytes)
	setDefault(&o.MaxRetainedEntries, defaultMaxRetainedEntries)
	setDefault(&o.MaxRetainedBytes, defaultMaxRetainedBytes)
	setDefault(&o.MaxMembers, defaultMaxMembers)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// peer is the replication state that a leader tracks for another member.
type peer struct {
	match              uint64 // highest index known to be durable on the member
	next               uint64 // next index to send
	sentAfter          uint64 // index after which entries were sent since the last rejection
	ticksSinceResponse int
	ackedRound         uint64 // highest round acknowledged
	// transfer is the snapshot transfer to the member, or nil if none is in progress.
	transfer           *outgoingTransfer
	ticksSinceProgress int // ticks since the last progress of transfer
}

// pendingWrite is a journal write that isn't durable yet.
type pendingWrite struct {
	sequence uint64
	term     uint64
	last     uint64
	snapshot bool // contains a snapshot, which may take long to save
}

// readBatch is a group of reads that are confirmed by the same quorum round.
type readBatch struct {
	round uint64
	index uint64
	ids   []uint64
}

// Core implements the replicated log as a deterministic state machine: it starts no
// goroutines, reads no clock and does no I/O. It isn't safe for concurrent use.
type Core struct {
	o       CoreOptions
	random  *rand.Rand
	id      string
	cluster string

	// Durable state.
	term     uint64
	vote     string
	log      entryLog
	snapshot *wire.SnapshotRequest
	configs  []memberConfig
	incoming *incomingTransfer // partially received snapshot, or nil

	role            Role
	leader          string
	termLeader      string // the leader seen in the term; retained when leader is cleared
	commit          uint64
	emitted         uint64 // last index returned in Output.Committed
	electionElapsed int
	electionTimeout int
	// minElectionTicks is the minimum of the next election timeout.
	minElectionTicks int
	votes            map[string]bool
	storageFailed    bool // journal writes fail or stall

	// Leader state.
	peers              map[string]*peer
	match              uint64 // highest index durable in the own journal
	termStart          uint64 // index of the first entry appended in this term
	ticksToHeartbeat   int
	heartbeatDue       bool
	previousCommit     uint64 // commit index at least one heartbeat period ago
	latestCommit       uint64
	round              uint64
	newReads           []uint64
	reads              []readBatch
	leadershipTransfer *leadershipTransfer // leadership transfer in progress, or nil

	// Output of the current step.
	out            Output
	stateDirty     bool
	replaceJournal bool   // the next write replaces the whole journal
	unsavedFrom    uint64 // first index changed since the last write, or 0
	durable        []bool // for each of out.Messages, whether it requires prior writes to be durable
	sequence       uint64
	persisted      uint64
	writes         []pendingWrite
	failed         error
}

// NewCore returns a Core that continues from the contents of a journal. The state
// in the journal must include the member id.
func NewCore(contents journal.Contents, o CoreOptions) (*Core, error) {
	s := contents.State
	if s.Member == "" {
		return nil, &InvariantError{invariant: "a replica has a member id", detail: "the journal has no member id"}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Member))
	c := &Core{
		o:        o.withDefaults(),
		random:   rand.New(rand.NewPCG(o.Seed, h.Sum64())),
		id:       s.Member,
		cluster:  s.Cluster,
		term:     s.Term,
		vote:     s.Vote,
		snapshot: contents.Snapshot,
		configs:  []memberConfig{{}},
	}
	if snap := contents.Snapshot; snap != nil {
		c.resetToSnapshot(snap)
	}
	for _, e := range contents.Entries {
		c.log.append(e)
		if e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
			c.addConfig(e)
		}
	}
	c.minElectionTicks = c.o.FirstElectionTicks
	c.resetElectionTimeout()
	return c, c.failed
}

// resetToSnapshot resets the log to a snapshot.
func (c *Core) resetToSnapshot(snap *wire.SnapshotRequest) {
	c.snapshot = snap
	c.log = entryLog{offset: snap.Index, offsetTerm: snap.SnapshotTerm}
	c.configs = []memberConfig{{index: snap.Index, members: snap.Members.GetMembers()}}
	c.commit = snap.Index
	c.emitted = snap.Index
}

// Step processes events in order and returns the resulting actions. After an
// *InvariantError the caller must not send, write or apply anything more.
func (c *Core) Step(events ...Event) (Output, error) {
	c.out = Output{}
	c.durable = c.durable[:0]
	for _, event := range events {
		if c.failed == nil {
			c.handle(event)
		}
	}
	if c.failed == nil {
		c.completeOutput()
	}
	if c.failed != nil {
		return Output{}, c.failed
	}
	return c.out, nil
}

func (c *Core) handle(event Event) {
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.onEnvelope(e.Envelope)
	case Propose:
		c.onPropose(e)
	case Read:
		c.onRead(e.ID)
	case Persisted:
		c.onPersisted(e.Sequence)
	case SnapshotTaken:
		c.onSnapshotTaken(e)
	case Bootstrap:
		c.onBootstrap(e)
	case Join:
		c.onJoin(e.Member)
	case TransferLeadership:
		c.onTransferLeadership(e.ID)
	case RemoveMember:
		c.onRemoveMember(e)
	case StorageFailed:
		c.onStorageFailed()
	case StorageRecovered:
		c.storageFailed = false
	}
}

// completeOutput completes the output after all events have been processed, so that
// proposals and acknowledgements that arrived together share writes and messages.
func (c *Core) completeOutput() {
	if c.role == Leader {
		c.advanceCommit()
		c.startReads()
		c.replicateAll()
		c.confirmReads()
	}
	c.advanceLeadershipTransfer()
	c.discardStaleTransfer()
	c.collectWrite()
	c.collectCommitted()
	if c.sequence > c.persisted {
		for i, durable := range c.durable {
			if durable {
				c.out.Messages[i].After = c.sequence
			}
		}
	}
}

func (c *Core) collectWrite() {
	if !c.stateDirty && !c.replaceJournal && c.unsavedFrom == 0 {
		return
	}
	c.sequence++
	w := &Write{Sequence: c.sequence}
	if c.stateDirty || c.replaceJournal {
		w.Batch.State = &journal.State{Cluster: c.cluster, Member: c.id, Term: c.term, Vote: c.vote}
	}
	switch {
	case c.replaceJournal:
		w.Batch.Snapshot = c.snapshot
		w.Batch.Entries = c.log.between(c.snapshot.Index, c.log.last())
	case c.unsavedFrom != 0:
		w.Batch.Entries = c.log.between(c.unsavedFrom-1, c.log.last())
	}
	c.writes = append(c.writes, pendingWrite{sequence: c.sequence, term: c.term, last: c.log.last(), snapshot: c.replaceJournal})
	c.stateDirty, c.replaceJournal, c.unsavedFrom = false, false, 0
	c.out.Write = w
}

func (c *Core) collectCommitted() {
	if c.commit > c.log.last() {
		c.failInvariant("committed entries are in the log", "commit %d, last %d", c.commit, c.log.last())
		return
	}
	if c.commit > c.emitted {
		c.out.Committed = c.log.between(c.emitted, c.commit)
		c.emitted = c.commit
	}
}

func (c *Core) failInvariant(rule, format string, args ...any) {
	if c.failed == nil {
		c.failed = &InvariantError{invariant: rule, detail: fmt.Sprintf(format, args...)}
	}
}

// send queues a message. A durable message is sent only after all writes queued so
// far are durable.
func (c *Core) send(to string, durable bool, m *wire.ReplicaMessage) {
	c.out.Messages = append(c.out.Messages, Message{To: to, Address: c.config().find(to).GetAddress(), Body: m})
	c.durable = append(c.durable, durable)
}

func (c *Core) appendEntry(kind wire.EntryKind, data []byte) *wire.LogEntry {
	e := &wire.LogEntry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.store(e)
	return e
}

// store appends an entry to the log and marks it for writing.
func (c *Core) store(e *wire.LogEntry) {
	c.log.append(e)
	if c.unsavedFrom == 0 {
		c.unsavedFrom = e.Index
	}
	if e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
		c.addConfig(e)
	}
}

func (c *Core) onPropose(p Propose) {
	if c.leadershipTransfer != nil {
		c.leadershipTransfer.proposals = append(c.leadershipTransfer.proposals, p)
		return
	}
	if c.role != Leader || p.Term != 0 && p.Term != c.term {
		c.out.RejectedProposals = append(c.out.RejectedProposals, p.ID)
		return
	}
	e := c.appendEntry(wire.EntryKind_ENTRY_KIND_COMMAND, p.Data)
	c.out.Accepted = append(c.out.Accepted, Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
}

func (c *Core) onPersisted(sequence uint64) {
	c.persisted = max(c.persisted, sequence)
	for len(c.writes) > 0 && c.writes[0].sequence <= sequence {
		w := c.writes[0]
		c.writes = c.writes[1:]
		if w.term != c.term {
			continue
		}
		switch c.role {
		case Candidate:
			c.countVote(c.id)
		case Leader:
			c.match = max(c.match, w.last)
		}
	}
}

func (c *Core) onSnapshotTaken(s SnapshotTaken) {
	if s.Index <= c.snapshot.GetIndex() || s.Index > c.emitted {
		return
	}
	term, ok := c.log.term(s.Index)
	if !ok {
		return
	}
	m := c.configAt(s.Index)
	c.snapshot = &wire.SnapshotRequest{Index: s.Index, SnapshotTerm: term, Members: &wire.MemberList{Members: m.members}, Data: s.Data}
	c.replaceJournal = true
	c.log.compact(c.compactionIndex(s.Index))
	for len(c.configs) > 1 && c.configs[1].index <= s.Index {
		c.configs = c.configs[1:]
	}
}

func (c *Core) onBootstrap(b Bootstrap) {
	if !c.empty() || !haveDistinctIDs(b.Members) {
		return
	}
	c.cluster = b.Cluster
	c.term++
	c.vote = ""
	c.stateDirty = true
	c.proposeMembers(memberConfig{members: b.Members})
	c.electionElapsed = c.electionTimeout
}

// empty reports whether the log has no entries, in which case this replica has not
// contributed to any commit.
func (c *Core) empty() bool { return c.log.last() == 0 }

func (c *Core) onEnvelope(e *wire.Envelope) {
	// A VM that lost its disk has a new id. Messages to the old id must be ignored:
	// the VM would otherwise acknowledge entries and vote based on a log it lost.
	if e.To != c.id || e.From == c.id || e.ClusterId == "" {
		return
	}
	if e.ClusterId != c.cluster {
		if !c.empty() {
			return
		}
		// An empty replica joins any cluster that knows its id. It may switch clusters
		// while it is empty, because the VM that formed the first cluster may have
		// lost its disk before anything was replicated and formed another cluster.
		c.cluster = e.ClusterId
		c.stateDirty = true
	}
	for _, m := range e.Messages {
		if c.failed == nil {
			c.onMessage(e.From, m)
		}
	}
}

func (c *Core) onMessage(from string, m *wire.ReplicaMessage) {
	if m.Term > c.term && !c.handleHigherTerm(from, m) {
		return
	}
	if m.Term < c.term {
		c.respondLowerTerm(from, m)
		return
	}
	switch k := m.Kind.(type) {
	case *wire.ReplicaMessage_VoteRequest:
		c.onVoteRequest(from, k.VoteRequest)
	case *wire.ReplicaMessage_VoteResponse:
		c.onVoteResponse(from, k.VoteResponse)
	case *wire.ReplicaMessage_AppendRequest:
		c.onAppendRequest(from, k.AppendRequest)
	case *wire.ReplicaMessage_AppendResponse:
		c.onAppendResponse(from, k.AppendResponse)
	case *wire.ReplicaMessage_SnapshotPart:
		c.onSnapshotPart(from, k.SnapshotPart)
	case *wire.ReplicaMessage_SnapshotProgress:
		c.onSnapshotProgress(from, k.SnapshotProgress)
	case *wire.ReplicaMessage_HandOverRequest:
		c.onHandOverRequest(k.HandOverRequest)
	}
}

// handleHigherTerm advances to the term of a message where the message requires it,
// and reports whether the message should be processed further.
func (c *Core) handleHigherTerm(from string, m *wire.ReplicaMessage) bool {
	switch k := m.Kind.(type) {
	case *wire.ReplicaMessage_VoteRequest:
		// A member that was temporarily disconnected must not disrupt a working leader.
		if !k.VoteRequest.HandOver && (c.role == Leader || c.leader != "" && c.electionElapsed < c.o.ElectionTicks) {
			return false
		}
		if k.VoteRequest.PreVote {
			c.respondPreVote(from, m.Term, k.VoteRequest)
			return false
		}
	case *wire.ReplicaMessage_VoteResponse:
		if k.VoteResponse.PreVote && k.VoteResponse.Granted {
			if c.role == PreCandidate && m.Term == c.term+1 {
				c.countVote(from)
			}
			return false
		}
	}
	c.becomeFollower(m.Term)
	return true
}

// respondLowerTerm sends the current term to the sender, so that it steps down.
func (c *Core) respondLowerTerm(from string, m *wire.ReplicaMessage) {
	switch k := m.Kind.(type) {
	case *wire.ReplicaMessage_VoteRequest:
		c.send(from, false, voteResponse(c.term, &wire.VoteResponse{PreVote: k.VoteRequest.PreVote}))
	case *wire.ReplicaMessage_AppendRequest, *wire.ReplicaMessage_SnapshotPart:
		c.send(from, false, appendResponse(c.term, &wire.AppendResponse{}))
	}
}

func voteResponse(term uint64, r *wire.VoteResponse) *wire.ReplicaMessage {
	return &wire.ReplicaMessage{Term: term, Kind: &wire.ReplicaMessage_VoteResponse{VoteResponse: r}}
}

func appendResponse(term uint64, r *wire.AppendResponse) *wire.ReplicaMessage {
	return &wire.ReplicaMessage{Term: term, Kind: &wire.ReplicaMessage_AppendResponse{AppendResponse: r}}
}

// quorumIndex returns the highest value that a majority of the voters has reached.
func (c *Core) quorumIndex(value func(id string) uint64) uint64 {
	var values []uint64
	for _, v := range c.config().voters() {
		values = append(values, value(v.Id))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.config().quorum()]
}
