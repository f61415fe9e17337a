package replica

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// applyJob is work for the state machine. Its fields are processed in order:
// the snapshot is restored, the entries are applied, and the reads are completed.
type applyJob struct {
	snapshot *wire.SnapshotRequest
	entries  []*wire.LogEntry
	reads    []ReadState
}

// size returns the total size of the entries' data in bytes.
func (j applyJob) size() uint64 {
	size := 0
	for _, e := range j.entries {
		size += len(e.Data)
	}
	return uint64(size)
}

func (n *Node) applyLoop() {
	defer n.loops.Done()
	schedule := n.newSnapshotSchedule()
	for {
		select {
		case <-n.quit:
			return
		case <-n.applyJobs.ready():
		}
		for _, job := range n.applyJobs.take() {
			if err := n.apply(job); err != nil {
				n.fail(err)
				return
			}
			schedule.applied(job)
		}
		if index := n.applied.Load(); schedule.isDue(index) && n.encodingSnapshot.CompareAndSwap(false, true) {
			schedule.reset(index)
			n.takeSnapshot(index)
		}
	}
}

// takeSnapshot encodes the state in the background. Encoding a million orders
// takes 0.6 s, which would block applying entries and responding to claims.
func (n *Node) takeSnapshot(index uint64) {
	encode := n.o.StateMachine.BeginSnapshot()
	n.snapshotTasks.Go(func() {
		defer n.encodingSnapshot.Store(false)
		data, err := encode()
		if err != nil {
			n.fail(errors.Wrapf(err, "take snapshot at %d", index))
			return
		}
		n.events.put(SnapshotTaken{Index: index, Data: data})
	})
}

func (n *Node) apply(job applyJob) error {
	if s := job.snapshot; s != nil {
		if s.Index <= n.applied.Load() {
			return appliedError(s.Index, n.applied.Load())
		}
		if err := n.o.StateMachine.Restore(s.Index, s.Data); err != nil {
			return errors.Wrapf(err, "restore snapshot at %d", s.Index)
		}
		n.applied.Store(s.Index)
	}
	for _, e := range job.entries {
		if e.Index != n.applied.Load()+1 {
			return appliedError(e.Index, n.applied.Load())
		}
		var value any
		if e.Kind == wire.EntryKind_ENTRY_KIND_COMMAND {
			value = n.o.StateMachine.Apply(e.Index, e.Data)
		}
		n.applied.Store(e.Index)
		n.calls.applied(e.Index, e.Term, value)
	}
	for _, r := range job.reads {
		if r.Index > n.applied.Load() {
			return appliedError(r.Index, n.applied.Load())
		}
		n.calls.complete(r.ID, callResult{})
	}
	return nil
}

func appliedError(index, applied uint64) error {
	return &InvariantError{invariant: "applied index increases by one", detail: fmt.Sprintf("index %d after %d", index, applied)}
}
