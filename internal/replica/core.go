package replica

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/cardamomline/cardamomline/internal/journal"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Role is the part a replica plays in its term.
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
	defaultElectionTicks   = 12
	defaultHeartbeatTicks  = 2
	defaultMaxMessageBytes = 1 << 20
	defaultMaxInFlight     = 8192
	defaultRetain          = 5000
	// defaultMaxRetain is 200 s of 1,000 entries per second, longer than the
	// transfer of the largest snapshot takes; it bounds the memory for them.
	defaultMaxRetain  = 200_000
	defaultMaxMembers = 7
)

// CoreOptions configures a Core. Zero values are replaced by defaults.
type CoreOptions struct {
	// Seed and the member id determine the random election timeouts.
	Seed uint64
	// ElectionTicks is the shortest election timeout; the longest is twice as long.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// MaxMessageBytes bounds the entries in one message and a part of a snapshot.
	MaxMessageBytes int
	// MaxInFlight bounds the entries sent to a member and not acknowledged yet.
	MaxInFlightEntries uint64
	// Retain is the number of entries before a snapshot that stay in memory, so
	// that a member that lags a little doesn't need the snapshot.
	RetainedEntries uint64
	// MaxRetain bounds the entries before a snapshot that a leader keeps for
	// members that receive an older snapshot or catch up.
	MaxRetainedEntries uint64
	// MaxMembers bounds the member list.
	MaxMembers int
}

func (o CoreOptions) withDefaults() CoreOptions {
	setDefault(&o.ElectionTicks, defaultElectionTicks)
	setDefault(&o.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&o.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&o.MaxInFlightEntries, defaultMaxInFlight)
	setDefault(&o.RetainedEntries, defaultRetain)
	setDefault(&o.MaxRetainedEntries, defaultMaxRetain)
	setDefault(&o.MaxMembers, defaultMaxMembers)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// peer is what a leader knows of another member.
type peer struct {
	match  uint64 // highest index known to be durable there
	next   uint64 // next index to send
	silent int    // ticks since the last answer
	round  uint64 // highest round answered
	// transfer is the snapshot under way to it, or nil, and waited the ticks since
	// its last progress.
	transfer *outgoingTransfer
	waited   int
}

// pendingWrite is a write that isn't durable yet.
type pendingWrite struct {
	sequence uint64
	term     uint64
	last     uint64
	snapshot bool // it holds a snapshot, which may take long to save
}

// readBatch is a group of reads that share one quorum round.
type readBatch struct {
	round uint64
	index uint64
	ids   []uint64
}

// Core is the replicated log as a pure step function: it has no goroutines, no
// clock and no input or output of its own. It isn't safe for concurrent use.
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
	incoming *incomingTransfer // the part of a snapshot received so far, or nil

	role       Role
	leader     string
	termLeader string // the only leader seen in the term; kept when leader is forgotten
	commit     uint64
	emitted    uint64 // last index handed out as committed
	elapsed    int
	timeout    int
	votes      map[string]bool

	// Leader state.
	peers        map[string]*peer
	match        uint64 // own durable index
	termStart    uint64 // index of the first entry of this leadership
	heartbeatIn  int
	heartbeatDue bool
	commitBefore uint64 // commit index one heartbeat period ago, at least
	commitRecent uint64
	round        uint64
	newReads     []uint64
	reads        []readBatch
	handOver     *handOver // the hand-over under way, or nil

	// Output under construction.
	out         Output
	stateDirty  bool
	reset       bool   // the next write replaces the whole journal
	unsavedFrom uint64 // first index changed since the last write, or 0
	durable     []bool // which of out.Messages promise durability
	sequence    uint64
	persisted   uint64
	writes      []pendingWrite
	failed      error
}

// NewCore returns a Core that continues from the contents of a journal, whose
// state must name the member.
func NewCore(contents journal.Contents, o CoreOptions) (*Core, error) {
	s := contents.State
	if s.Member == "" {
		return nil, &InvariantError{rule: "a replica has an identity", detail: "the journal names no member"}
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
		c.startFrom(snap)
	}
	for _, e := range contents.Entries {
		c.log.append(e)
		if e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
			c.addConfig(e)
		}
	}
	c.restartTimeout()
	return c, c.failed
}

// startFrom replaces the log by a snapshot.
func (c *Core) startFrom(snap *wire.SnapshotRequest) {
	c.snapshot = snap
	c.log = entryLog{offset: snap.Index, offsetTerm: snap.SnapshotTerm}
	c.configs = []memberConfig{{index: snap.Index, members: snap.Members.GetMembers()}}
	c.commit = snap.Index
	c.emitted = snap.Index
}

// Step handles events in order and returns what has to be done. After an
// *InvariantError nothing is to be sent, written or applied any more.
func (c *Core) Step(events ...Event) (Output, error) {
	c.out = Output{}
	c.durable = c.durable[:0]
	for _, event := range events {
		if c.failed == nil {
			c.handle(event)
		}
	}
	if c.failed == nil {
		c.finish()
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
		c.onHandOver(e.ID)
	case RemoveMember:
		c.onRemoveMember(e)
	}
}

// finish completes the output once all events are handled, so that proposals and
// acknowledgements that arrived together share writes and messages.
func (c *Core) finish() {
	if c.role == Leader {
		c.advanceCommit()
		c.startReads()
		c.replicateAll()
		c.confirmReads()
	}
	c.advanceHandOver()
	c.dropIncoming()
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
	if !c.stateDirty && !c.reset && c.unsavedFrom == 0 {
		return
	}
	c.sequence++
	w := &Write{Sequence: c.sequence}
	if c.stateDirty || c.reset {
		w.Batch.State = &journal.State{Cluster: c.cluster, Member: c.id, Term: c.term, Vote: c.vote}
	}
	switch {
	case c.reset:
		w.Batch.Snapshot = c.snapshot
		w.Batch.Entries = c.log.between(c.snapshot.Index, c.log.last())
	case c.unsavedFrom != 0:
		w.Batch.Entries = c.log.between(c.unsavedFrom-1, c.log.last())
	}
	c.writes = append(c.writes, pendingWrite{sequence: c.sequence, term: c.term, last: c.log.last(), snapshot: c.reset})
	c.stateDirty, c.reset, c.unsavedFrom = false, false, 0
	c.out.Write = w
}

func (c *Core) collectCommitted() {
	if c.commit > c.log.last() {
		c.violated("committed entries are in the log", "commit %d, last %d", c.commit, c.log.last())
		return
	}
	if c.commit > c.emitted {
		c.out.Committed = c.log.between(c.emitted, c.commit)
		c.emitted = c.commit
	}
}

func (c *Core) violated(rule, format string, args ...any) {
	if c.failed == nil {
		c.failed = &InvariantError{rule: rule, detail: fmt.Sprintf(format, args...)}
	}
}

// send queues a message. One that promises something durable leaves only after
// the writes queued so far are.
func (c *Core) send(to string, durable bool, m *wire.ReplicaMessage) {
	c.out.Messages = append(c.out.Messages, Message{To: to, Address: c.config().find(to).GetAddress(), Body: m})
	c.durable = append(c.durable, durable)
}

func (c *Core) appendEntry(kind wire.EntryKind, data []byte) *wire.LogEntry {
	e := &wire.LogEntry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.store(e)
	return e
}

// store adds an entry at the end of the log.
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
	if c.handOver != nil {
		c.handOver.proposals = append(c.handOver.proposals, p)
		return
	}
	if c.role != Leader || p.Term != 0 && p.Term != c.term {
		c.out.Refused = append(c.out.Refused, p.ID)
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
	c.reset = true
	c.log.compact(c.compactionIndex(s.Index))
	for len(c.configs) > 1 && c.configs[1].index <= s.Index {
		c.configs = c.configs[1:]
	}
}

func (c *Core) onBootstrap(b Bootstrap) {
	if !c.empty() || !distinct(b.Members) {
		return
	}
	c.cluster = b.Cluster
	c.term++
	c.vote = ""
	c.stateDirty = true
	c.proposeMembers(memberConfig{members: b.Members})
	c.elapsed = c.timeout
}

// empty says whether the log holds nothing, so that nothing can have been
// committed with this replica's help.
func (c *Core) empty() bool { return c.log.last() == 0 }

func (c *Core) onEnvelope(e *wire.Envelope) {
	// A VM that lost its disk has a new id. Messages to the old one must have no
	// effect, or it would acknowledge and vote on the strength of a log it lost.
	if e.To != c.id || e.From == c.id || e.ClusterId == "" {
		return
	}
	if e.ClusterId != c.cluster {
		if !c.empty() {
			return
		}
		// An empty replica belongs to whichever cluster knows its id. It may change
		// again while it is empty: the VM that formed the first cluster may have
		// lost its disk before anything was replicated, and have formed another.
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
	if m.Term > c.term && !c.meetHigherTerm(from, m) {
		return
	}
	if m.Term < c.term {
		c.answerLowerTerm(from, m)
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

// meetHigherTerm moves to the term of a message, unless the message doesn't ask
// for that, and says whether the message is to be handled further.
func (c *Core) meetHigherTerm(from string, m *wire.ReplicaMessage) bool {
	switch k := m.Kind.(type) {
	case *wire.ReplicaMessage_VoteRequest:
		// A member that merely lost touch must not unseat a working leader.
		if !k.VoteRequest.HandOver && (c.role == Leader || c.leader != "" && c.elapsed < c.o.ElectionTicks) {
			return false
		}
		if k.VoteRequest.PreVote {
			c.answerPreVote(from, m.Term, k.VoteRequest)
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

// answerLowerTerm tells the sender the current term, so that it steps down.
func (c *Core) answerLowerTerm(from string, m *wire.ReplicaMessage) {
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
