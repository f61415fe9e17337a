package ledger

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// manifests stores the revisions of the configuration and the results of changes.
type manifests struct {
	options   Options
	revision  uint64
	records   []*wire.ManifestRecord // oldest first; records are immutable
	bytes     int
	results   map[string]*wire.ChangeAnswer // by change id; values are immutable
	resultIDs []string                      // change ids, oldest first
}

func newManifests(o Options) *manifests {
	return &manifests{options: o, results: map[string]*wire.ChangeAnswer{}}
}

// apply performs a compare-and-set on the newest revision. The first result for a
// change id, including a rejection, is stored and returned to every retry.
func (m *manifests) apply(pos logPosition, c *wire.ApplyManifest) *wire.Result {
	if field := firstMissing("change id", c.GetChangeId(), "operator", c.GetOperator()); field != "" {
		return rejectInvalid(field)
	}
	if c.GetDelta() != nil {
		if c = m.expand(c); c == nil {
			return rejectInvalid("manifest that fits its base revision")
		}
	}
	if len(c.GetManifest()) == 0 {
		return rejectInvalid("manifest")
	}
	hash := sha256.Sum256(c.GetManifest())
	if first, ok := m.results[c.GetChangeId()]; ok {
		return repeatedResult(first, hash)
	}
	result := m.compareAndSet(pos, c)
	result.Index = pos.index
	result.Revision = m.revision
	m.storeResult(&wire.ChangeAnswer{
		ChangeId:     c.GetChangeId(),
		Result:       proto.CloneOf(result),
		AtMs:         pos.nowMS,
		ManifestHash: hash[:],
	})
	return result
}

// expand returns the command with the full manifest, or nil if the base revision is
// no longer available. The leader encodes a change as a delta only to the newest
// revision, so the base is available unless many changes were accepted in between.
func (m *manifests) expand(c *wire.ApplyManifest) *wire.ApplyManifest {
	base, ok := m.find(c.GetDelta().GetBaseRevision())
	if !ok {
		return nil
	}
	manifest, err := delta.Apply(base.GetManifest(), c.GetDelta())
	if err != nil {
		return nil
	}
	return &wire.ApplyManifest{BaseRevision: c.GetBaseRevision(), ChangeId: c.GetChangeId(), Operator: c.GetOperator(), Manifest: manifest}
}

func repeatedResult(first *wire.ChangeAnswer, hash [sha256.Size]byte) *wire.Result {
	if string(first.GetManifestHash()) != string(hash[:]) {
		return reject(RefusedChangeReused, "The change id %s was already used for another manifest; a new change needs a new id.", first.GetChangeId())
	}
	result := proto.CloneOf(first.GetResult())
	result.Repeated = true
	return result
}

func (m *manifests) compareAndSet(pos logPosition, c *wire.ApplyManifest) *wire.Result {
	if base := c.GetBaseRevision(); base > m.revision {
		return reject(RefusedUnknownBase, "The change is based on revision %d, but the newest revision is %d.", base, m.revision)
	}
	if base := c.GetBaseRevision(); base < m.revision {
		newest := m.records[len(m.records)-1]
		result := reject(RefusedConflict, "The change is based on revision %d, but %s has since set revision %d.", base, newest.GetOperator(), m.revision)
		result.Winner = newest.GetOperator()
		return result
	}
	m.revision++
	m.add(&wire.ManifestRecord{
		Revision:     m.revision,
		Manifest:     c.GetManifest(),
		ChangeId:     c.GetChangeId(),
		Operator:     c.GetOperator(),
		AtMs:         pos.nowMS,
		BaseRevision: c.GetBaseRevision(),
	})
	return &wire.Result{}
}

// add adds the newest revision and evicts old ones that exceed the limits.
func (m *manifests) add(r *wire.ManifestRecord) {
	m.revision = r.GetRevision()
	m.records = append(m.records, r)
	m.bytes += len(r.GetManifest())
	for len(m.records) > m.options.MaxRevisions {
		m.bytes -= len(m.records[0].GetManifest())
		m.records[0] = nil
		m.records = m.records[1:]
	}
	for i := 0; m.bytes > m.options.MaxManifestBytes && i < len(m.records)-1; i++ {
		m.evictManifest(i)
	}
}

// evictManifest replaces a record with a copy without the manifest, because readers and
// views may still use the original record.
func (m *manifests) evictManifest(i int) {
	r := m.records[i]
	if len(r.GetManifest()) == 0 {
		return
	}
	m.bytes -= len(r.GetManifest())
	m.records[i] = &wire.ManifestRecord{
		Revision:     r.GetRevision(),
		ChangeId:     r.GetChangeId(),
		Operator:     r.GetOperator(),
		AtMs:         r.GetAtMs(),
		BaseRevision: r.GetBaseRevision(),
	}
}

func (m *manifests) storeResult(a *wire.ChangeAnswer) {
	m.results[a.GetChangeId()] = a
	m.resultIDs = append(m.resultIDs, a.GetChangeId())
	for len(m.resultIDs) > m.options.MaxChangeResults {
		delete(m.results, m.resultIDs[0])
		m.resultIDs = m.resultIDs[1:]
	}
}

func (m *manifests) find(revision uint64) (*wire.ManifestRecord, bool) {
	if len(m.records) == 0 {
		return nil, false
	}
	if revision == 0 {
		return m.records[len(m.records)-1], true
	}
	oldest := m.records[0].GetRevision()
	if revision < oldest || revision > m.revision {
		return nil, false
	}
	return m.records[revision-oldest], true
}

func (m *manifests) newest(limit int) []*wire.ManifestRecord {
	n := min(limit, len(m.records))
	out := make([]*wire.ManifestRecord, 0, max(n, 0))
	for i := range n {
		out = append(out, m.records[len(m.records)-1-i])
	}
	return out
}
