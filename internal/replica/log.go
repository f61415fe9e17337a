package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// entryLog stores the log entries after an offset in memory.
type entryLog struct {
	offset     uint64 // index of the last compacted entry
	offsetTerm uint64
	entries    []*wire.LogEntry
	// sizes holds the bytes of all entries up to each entry, counted from the first one that
	// was ever appended; offsetSize is that of the last compacted entry.
	sizes      []uint64
	offsetSize uint64
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at an index, or false if it isn't available.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// size returns the bytes of all entries up to an index.
func (l *entryLog) size(index uint64) uint64 {
	index = min(index, l.last())
	if index <= l.offset {
		return l.offsetSize
	}
	return l.sizes[index-l.offset-1]
}

// bytes returns the size of the entries in the range (after, upTo] that are in memory.
func (l *entryLog) bytes(after, upTo uint64) uint64 {
	if upTo <= after {
		return 0
	}
	return l.size(upTo) - l.size(after)
}

// indexBefore returns the lowest index after which the entries up to another one have at most
// maxBytes.
func (l *entryLog) indexBefore(upTo, maxBytes uint64) uint64 {
	if upTo <= l.offset || l.bytes(l.offset, upTo) <= maxBytes {
		return l.offset
	}
	n, _ := slices.BinarySearch(l.sizes, l.size(upTo)-maxBytes)
	return l.offset + uint64(n) + 1
}

// from returns the entries starting at an index, limited to maxBytes but at least one.
func (l *entryLog) from(index uint64, maxBytes int) []*wire.LogEntry {
	if index <= l.offset || index > l.last() {
		return nil
	}
	first := index - l.offset - 1
	end := first + 1
	for end < uint64(len(l.entries)) && l.sizes[end]-l.size(index-1) <= uint64(maxBytes) {
		end++
	}
	return l.entries[first:end:end]
}

// between returns the entries in the range (after, upTo].
func (l *entryLog) between(after, upTo uint64) []*wire.LogEntry {
	return l.entries[after-l.offset : upTo-l.offset : upTo-l.offset]
}

// truncate removes the entries starting at an index. It copies the remaining
// entries, because in-flight messages share the slice.
func (l *entryLog) truncate(from uint64) {
	l.entries = append([]*wire.LogEntry(nil), l.entries[:from-l.offset-1]...)
	l.sizes = l.sizes[:len(l.entries)]
}

func (l *entryLog) append(e *wire.LogEntry) {
	l.sizes = append(l.sizes, l.size(l.last())+uint64(proto.Size(e)))
	l.entries = append(l.entries, e)
}

// compact removes the entries up to and including an index.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(index)
	l.offsetSize = l.size(index)
	l.entries = append([]*wire.LogEntry(nil), l.entries[index-l.offset:]...)
	l.sizes = append([]uint64(nil), l.sizes[index-l.offset:]...)
	l.offset = index
}
