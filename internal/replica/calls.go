package replica

import "sync"

// callResult is the outcome of a call to the replica, such as a proposal or a read.
type callResult struct {
	value any
	err   error
}

// call is a pending call of Propose, Barrier or another blocking method of Node.
type call struct {
	done  chan callResult // buffered for the single result
	index uint64          // log index of an accepted proposal, or 0
	term  uint64
}

// callTable tracks pending calls by id. It is safe for concurrent use.
type callTable struct {
	mu       sync.Mutex
	next     uint64
	calls    map[uint64]*call
	accepted map[uint64]uint64 // log index to call id
}

func newCallTable() *callTable {
	return &callTable{calls: map[uint64]*call{}, accepted: map[uint64]uint64{}}
}

func (t *callTable) register() (uint64, *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	c := &call{done: make(chan callResult, 1)}
	t.calls[t.next] = c
	return t.next, c
}

func (t *callTable) markAccepted(a Accepted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.calls[a.ID]; c != nil {
		c.index, c.term = a.Index, a.Term
		t.accepted[a.Index] = a.ID
	}
}

// complete delivers the result of a call and removes the call from the table.
func (t *callTable) complete(id uint64, r callResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completeLocked(id, r)
}

func (t *callTable) completeLocked(id uint64, r callResult) {
	c := t.calls[id]
	if c == nil {
		return
	}
	delete(t.calls, id)
	if c.index != 0 && t.accepted[c.index] == id {
		delete(t.accepted, c.index)
	}
	c.done <- r
}

// applied completes the proposal at a log index. If the term differs, an entry of
// another leader has replaced the proposal.
func (t *callTable) applied(index, term uint64, value any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok := t.accepted[index]
	if !ok {
		return
	}
	r := callResult{value: value}
	if c := t.calls[id]; c.term != term {
		r = callResult{err: &LostLeadershipError{term: c.term}}
	}
	t.completeLocked(id, r)
}

// failAccepted fails all accepted proposals that have not been applied.
func (t *callTable) failAccepted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.accepted {
		t.completeLocked(id, callResult{err: &LostLeadershipError{term: t.calls[id].term}})
	}
}

// failAll fails all pending calls with err.
func (t *callTable) failAll(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.calls {
		t.completeLocked(id, callResult{err: err})
	}
}
