// Package delta shortens a manifest to what changed since a revision that the
// reader holds.
//
// A change of one customer or pipeline lies between a long common beginning and a
// long common end, so the delta is the part between them. A manifest of 24,000
// customers has about 3 MB, and 1,200 changes a day sent whole would cost a node
// 40 KB/s of the 5 KB/s that it may spend.
//
// # Usage
//
//	r := delta.Record(base, newest, known)
//	whole, err := delta.Apply(baseBytes, r.GetDelta())
package delta

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// MismatchError reports a delta that doesn't fit the base it was applied to.
type MismatchError struct {
	base uint64
}

// Base returns the revision that the delta is based on.
func (e *MismatchError) Base() uint64 { return e.base }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the delta on revision %d doesn't fit the manifest it was applied to", e.base)
}

// DiffRecord returns the newest revision for a reader that has the known one: with a
// delta when base is that revision and the delta is shorter, else whole.
func DiffRecord(base, newest *wire.ManifestRecord, known uint64) *wire.ManifestRecord {
	if known == 0 || base.GetRevision() != known || len(base.GetManifest()) == 0 {
		return newest
	}
	d := Diff(base.GetManifest(), newest.GetManifest())
	if len(d.GetMiddle()) >= len(newest.GetManifest())/2 {
		return newest
	}
	d.BaseRevision = known
	return &wire.ManifestRecord{
		Revision: newest.GetRevision(), ChangeId: newest.GetChangeId(), Operator: newest.GetOperator(),
		AtMs: newest.GetAtMs(), BaseRevision: newest.GetBaseRevision(), Delta: d,
	}
}

// Diff returns the delta from base to next; its base revision is left to the caller.
func Diff(base, next []byte) *wire.ManifestDelta {
	limit := min(len(base), len(next))
	prefix := 0
	for prefix < limit && base[prefix] == next[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && base[len(base)-1-suffix] == next[len(next)-1-suffix] {
		suffix++
	}
	return &wire.ManifestDelta{
		Prefix: uint64(prefix), Suffix: uint64(suffix),
		Middle: bytes.Clone(next[prefix : len(next)-suffix]), Checksum: xxhash.Sum64(next),
	}
}

// Apply returns the manifest that the delta makes of base, or a *MismatchError.
func Apply(base []byte, d *wire.ManifestDelta) ([]byte, error) {
	n := uint64(len(base))
	if d.GetPrefix() > n || d.GetSuffix() > n-d.GetPrefix() {
		return nil, &MismatchError{base: d.GetBaseRevision()}
	}
	whole := make([]byte, 0, d.GetPrefix()+d.GetSuffix()+uint64(len(d.GetMiddle())))
	whole = append(whole, base[:d.GetPrefix()]...)
	whole = append(whole, d.GetMiddle()...)
	whole = append(whole, base[n-d.GetSuffix():]...)
	if xxhash.Sum64(whole) != d.GetChecksum() {
		return nil, &MismatchError{base: d.GetBaseRevision()}
	}
	return whole, nil
}
