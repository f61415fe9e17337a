package ledger

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// manifests holds the revisions of the configuration and the answers to changes.
type manifests struct {
	options   Options
	revision  uint64
	records   []*wire.ManifestRecord // oldest first; a record is never changed
	bytes     int
	answers   map[string]*wire.ChangeAnswer // an answer is never changed
	answerIDs []string                      // oldest first
}

func newManifests(o Options) *manifests {
	return &manifests{options: o, answers: map[string]*wire.ChangeAnswer{}}
}

// apply is a compare-and-set on the newest revision. The first answer to a
// change id, also a refusal, is kept and given to every resend.
func (m *manifests) apply(at step, c *wire.ApplyManifest) *wire.Result {
	if field := missing("change id", c.GetChangeId(), "operator", c.GetOperator()); field != "" {
		return invalid(field)
	}
	if c.GetDelta() != nil {
		if c = m.expand(c); c == nil {
			return invalid("manifest that fits its base revision")
		}
	}
	if len(c.GetManifest()) == 0 {
		return invalid("manifest")
	}
	hash := sha256.Sum256(c.GetManifest())
	if first, ok := m.answers[c.GetChangeId()]; ok {
		return repeatAnswer(first, hash)
	}
	result := m.compareAndSet(at, c)
	result.Index = at.index
	result.Revision = m.revision
	m.keepAnswer(&wire.ChangeAnswer{
		ChangeId:     c.GetChangeId(),
		Result:       proto.CloneOf(result),
		AtMs:         at.nowMS,
		ManifestHash: hash[:],
	})
	return result
}

// expand returns the command with its manifest whole, or nil when the base is no
// longer held. The leader shortens a change only on the newest revision, so that
// the base is held unless many changes were accepted between.
func (m *manifests) expand(c *wire.ApplyManifest) *wire.ApplyManifest {
	base, ok := m.find(c.GetDelta().GetBaseRevision())
	if !ok {
		return nil
	}
	whole, err := delta.Apply(base.GetManifest(), c.GetDelta())
	if err != nil {
		return nil
	}
	return &wire.ApplyManifest{BaseRevision: c.GetBaseRevision(), ChangeId: c.GetChangeId(), Operator: c.GetOperator(), Manifest: whole}
}

func repeatAnswer(first *wire.ChangeAnswer, hash [sha256.Size]byte) *wire.Result {
	if string(first.GetManifestHash()) != string(hash[:]) {
		return refuse(RefusedChangeReused, "The change id %s was already used for another manifest; a new change needs a new id.", first.GetChangeId())
	}
	result := proto.CloneOf(first.GetResult())
	result.Repeated = true
	return result
}

func (m *manifests) compareAndSet(at step, c *wire.ApplyManifest) *wire.Result {
	if base := c.GetBaseRevision(); base > m.revision {
		return refuse(RefusedUnknownBase, "The change is based on revision %d, but the newest revision is %d.", base, m.revision)
	}
	if base := c.GetBaseRevision(); base < m.revision {
		newest := m.records[len(m.records)-1]
		result := refuse(RefusedConflict, "The change is based on revision %d, but %s has since set revision %d.", base, newest.GetOperator(), m.revision)
		result.Winner = newest.GetOperator()
		return result
	}
	m.revision++
	m.keep(&wire.ManifestRecord{
		Revision:     m.revision,
		Manifest:     c.GetManifest(),
		ChangeId:     c.GetChangeId(),
		Operator:     c.GetOperator(),
		AtMs:         at.nowMS,
		BaseRevision: c.GetBaseRevision(),
	})
	return &wire.Result{}
}

// keep adds the newest revision and drops what exceeds the bounds.
func (m *manifests) keep(r *wire.ManifestRecord) {
	m.revision = r.GetRevision()
	m.records = append(m.records, r)
	m.bytes += len(r.GetManifest())
	for len(m.records) > m.options.MaxRevisions {
		m.bytes -= len(m.records[0].GetManifest())
		m.records[0] = nil
		m.records = m.records[1:]
	}
	for i := 0; m.bytes > m.options.MaxManifestBytes && i < len(m.records)-1; i++ {
		m.dropBytes(i)
	}
}

// dropBytes replaces a record by one without the manifest, because readers and
// views may still hold the old record.
func (m *manifests) dropBytes(i int) {
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

func (m *manifests) keepAnswer(a *wire.ChangeAnswer) {
	m.answers[a.GetChangeId()] = a
	m.answerIDs = append(m.answerIDs, a.GetChangeId())
	for len(m.answerIDs) > m.options.MaxChangeResults {
		delete(m.answers, m.answerIDs[0])
		m.answerIDs = m.answerIDs[1:]
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
