package replica

import "sync"

// callResult is the outcome of a proposal or a read.
type callResult struct {
	value any
	err   error
}

// call is one caller that waits in Propose or Barrier.
type call struct {
	done  chan callResult // holds one result
	index uint64          // of an accepted proposal
	term  uint64
}

// callTable holds the callers that wait. It is safe for concurrent use.
type callTable struct {
	mu       sync.Mutex
	next     uint64
	calls    map[uint64]*call
	accepted map[uint64]uint64 // index in the log to call id
}

func newCallTable() *callTable {
	return &callTable{calls: map[uint64]*call{}, accepted: map[uint64]uint64{}}
}

func (t *callTable) open() (uint64, *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	c := &call{done: make(chan callResult, 1)}
	t.calls[t.next] = c
	return t.next, c
}

func (t *callTable) accept(a Accepted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.calls[a.ID]; c != nil {
		c.index, c.term = a.Index, a.Term
		t.accepted[a.Index] = a.ID
	}
}

// finish answers a call and forgets it.
func (t *callTable) finish(id uint64, r callResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finishLocked(id, r)
}

func (t *callTable) finishLocked(id uint64, r callResult) {
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

// applied answers the proposal at an index. Another term means that another
// leader's entry took its place.
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
	t.finishLocked(id, r)
}

// lostLeadership answers all accepted proposals.
func (t *callTable) lostLeadership() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.accepted {
		t.finishLocked(id, callResult{err: &LostLeadershipError{term: t.calls[id].term}})
	}
}

// close answers all calls with an error.
func (t *callTable) close(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.calls {
		t.finishLocked(id, callResult{err: err})
	}
}
