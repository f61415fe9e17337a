package replica

// maxStaggerDivisor is the divisor of a period that yields the maximum by which it is shortened.
const maxStaggerDivisor = 2

// snapshotSchedule determines when a replica takes its next snapshot. Each replica
// shortens the period by a different amount, because saving a large snapshot delays
// the replica's log: if all replicas saved at the same entry, no quorum could commit.
type snapshotSchedule struct {
	entries, bytes uint64 // limits between snapshots
	lastIndex      uint64 // index of the last snapshot
	bytesSinceLast uint64 // bytes of the entries applied since the last snapshot
}

func (n *Node) newSnapshotSchedule() *snapshotSchedule {
	return &snapshotSchedule{
		entries:   stagger(n.o.SnapshotEntries, n.o.Seed),
		bytes:     stagger(n.o.SnapshotBytes, n.o.Seed),
		lastIndex: n.applied.Load(),
	}
}

// stagger shortens a period by a fraction that is derived from the seed.
func stagger(period, seed uint64) uint64 {
	const steps = 1024
	return period - period/maxStaggerDivisor*(seed%steps)/steps
}

func (s *snapshotSchedule) applied(job applyJob) {
	if job.snapshot != nil {
		s.reset(job.snapshot.Index)
	}
	s.bytesSinceLast += job.size()
}

func (s *snapshotSchedule) isDue(index uint64) bool {
	return index >= s.lastIndex+s.entries || s.bytesSinceLast >= s.bytes
}

func (s *snapshotSchedule) reset(index uint64) { s.lastIndex, s.bytesSinceLast = index, 0 }
