package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// entryLog stores the log entries after an offset in memory.
type entryLog struct {
	offset     uint64 // index of the last compacted entry
	offsetTerm uint64
	entries    []*wire.LogEntry
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

// from returns the entries starting at an index, limited to maxBytes but at least one.
func (l *entryLog) from(index uint64, maxBytes int) []*wire.LogEntry {
	if index <= l.offset || index > l.last() {
		return nil
	}
	entries := l.entries[index-l.offset-1:]
	size := 0
	for i, e := range entries {
		size += proto.Size(e)
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// between returns the entries in the range (after, upTo].
func (l *entryLog) between(after, upTo uint64) []*wire.LogEntry {
	return l.entries[after-l.offset : upTo-l.offset : upTo-l.offset]
}

// truncate removes the entries starting at an index. It copies the remaining
// entries, because in-flight messages share the slice.
func (l *entryLog) truncate(from uint64) {
	l.entries = append([]*wire.LogEntry(nil), l.entries[:from-l.offset-1]...)
}

func (l *entryLog) append(e *wire.LogEntry) { l.entries = append(l.entries, e) }

// compact removes the entries up to and including an index.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(index)
	l.entries = append([]*wire.LogEntry(nil), l.entries[index-l.offset:]...)
	l.offset = index
}
