package replica

// maxStagger is the inverse of the part by which a period is shortened at most.
const maxStagger = 2

// snapshotClock tells when a replica takes its next snapshot. The period of each
// replica is shorter by another part, because saving a large snapshot holds up
// a replica's log: when all save at the same entry, no quorum is left to commit.
type snapshotClock struct {
	entries, bytes uint64 // between snapshots
	at             uint64 // index of the last one
	size           uint64 // bytes of the entries applied since
}

func (n *Node) newSnapshotClock() *snapshotClock {
	return &snapshotClock{
		entries: stagger(n.o.SnapshotEntries, n.o.Seed),
		bytes:   stagger(n.o.SnapshotBytes, n.o.Seed),
		at:      n.applied.Load(),
	}
}

// stagger shortens a period by a part that the seed determines.
func stagger(period, seed uint64) uint64 {
	const steps = 1024
	return period - period/maxStagger*(seed%steps)/steps
}

func (c *snapshotClock) applied(job applyJob) {
	if job.snapshot != nil {
		c.restart(job.snapshot.Index)
	}
	c.size += job.size()
}

func (c *snapshotClock) isDue(at uint64) bool {
	return at >= c.at+c.entries || c.size >= c.bytes
}

func (c *snapshotClock) restart(at uint64) { c.at, c.size = at, 0 }
