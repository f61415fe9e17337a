package ledger

// entry is a table slot with its due time.
type entry struct {
	atMS int64
	slot uint64
}

func (e entry) before(o entry) bool {
	if e.atMS != o.atMS {
		return e.atMS < o.atMS
	}
	return e.slot < o.slot
}

// schedule is a binary min-heap of entries by time. Ties are broken by slot, so that
// the order doesn't depend on the order of insertion. Entries aren't removed when a
// record changes; the reader validates each entry against its record.
type schedule struct {
	entries []entry
}

func (s *schedule) push(e entry) {
	s.entries = append(s.entries, e)
	i := len(s.entries) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !s.entries[i].before(s.entries[parent]) {
			return
		}
		s.entries[i], s.entries[parent] = s.entries[parent], s.entries[i]
		i = parent
	}
}

// peek returns the earliest entry.
func (s *schedule) peek() (entry, bool) {
	if len(s.entries) == 0 {
		return entry{}, false
	}
	return s.entries[0], true
}

// pop removes the earliest entry.
func (s *schedule) pop() {
	last := len(s.entries) - 1
	s.entries[0] = s.entries[last]
	s.entries = s.entries[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return
		}
		if child+1 < last && s.entries[child+1].before(s.entries[child]) {
			child++
		}
		if !s.entries[child].before(s.entries[i]) {
			return
		}
		s.entries[i], s.entries[child] = s.entries[child], s.entries[i]
		i = child
	}
}
