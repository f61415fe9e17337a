// Package delta encodes a manifest as its difference from a revision that the reader
// already has.
//
// A change of one customer or pipeline leaves a long common prefix and a long common
// suffix, so the delta consists of the bytes between them. A manifest of 24,000 customers
// has about 3 MB. Sending it in full for 1,200 changes a day would cost a node 40 KB/s of
// network traffic, which exceeds the limit of 5 KB/s.
//
// Catalogs change in several places at once, and have thousands of routes. They are sent as
// compressed patches.
//
// # Usage
//
//	r := delta.DiffRecord(base, newest, known)
//	full, err := delta.Apply(baseBytes, r.GetDelta())
//
//	patch, err := delta.EncodePatch(base, next)
//	next, err := delta.ApplyPatch(base, patch, maxBytes)
package delta

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// MismatchError reports a delta that doesn't match the base it was applied to.
type MismatchError struct {
	base uint64
}

// Base returns the base revision of the delta.
func (e *MismatchError) Base() uint64 { return e.base }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the delta on revision %d doesn't match the manifest it was applied to", e.base)
}

// DiffRecord returns the newest revision for a reader that has the known one: as a delta if
// base is that revision and the changed part is less than half of the manifest, otherwise
// in full.
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

// Diff returns the delta from base to next. The caller sets its base revision.
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

// Apply applies the delta to base and returns the resulting manifest, or a *MismatchError.
func Apply(base []byte, d *wire.ManifestDelta) ([]byte, error) {
	n := uint64(len(base))
	if d.GetPrefix() > n || d.GetSuffix() > n-d.GetPrefix() {
		return nil, &MismatchError{base: d.GetBaseRevision()}
	}
	full := make([]byte, 0, d.GetPrefix()+d.GetSuffix()+uint64(len(d.GetMiddle())))
	full = append(full, base[:d.GetPrefix()]...)
	full = append(full, d.GetMiddle()...)
	full = append(full, base[n-d.GetSuffix():]...)
	if xxhash.Sum64(full) != d.GetChecksum() {
		return nil, &MismatchError{base: d.GetBaseRevision()}
	}
	return full, nil
}
