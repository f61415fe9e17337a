package ledger

// pageSize is the number of records per page. A page is copied on the first change
// after a view was created, so a small page limits the copy to 4 KB.
const pageSize = 256

// page contains consecutive slots of a table. An empty string is a free slot.
type page struct {
	generation uint64
	used       int
	records    [pageSize]string
}

// table maps keys to encoded records and preserves the order of insertion.
//
// Records are immutable strings and pages are copied on write, so a view only needs
// the list of pages. Slots are never reused, which makes the order of records the
// same on every replica and after a restore.
type table struct {
	index      map[string]uint64
	pages      []*page
	firstPage  uint64 // number of pages removed from the front
	nextSlot   uint64 // next free slot
	generation uint64
	bytes      int // sum of the record lengths
}

func newTable() *table {
	return &table{index: map[string]uint64{}}
}

// preallocate preallocates the index of an empty table.
func (t *table) preallocate(records int) {
	t.index = make(map[string]uint64, records)
}

func (t *table) len() int { return len(t.index) }

// find returns the slot of a key. The key conversion doesn't allocate.
func (t *table) find(key []byte) (uint64, bool) {
	slot, ok := t.index[string(key)]
	return slot, ok
}

// at returns the record in a slot, or "" if it was removed.
func (t *table) at(slot uint64) string {
	p := t.page(slot)
	if p == nil {
		return ""
	}
	return p.records[slot%pageSize]
}

// insert adds a record under a new key and returns its slot. The key should be a
// substring of the record, so that it needs no additional memory.
func (t *table) insert(key, record string) uint64 {
	slot := t.nextSlot
	t.nextSlot++
	if t.pageIndex(slot) == len(t.pages) {
		t.pages = append(t.pages, &page{generation: t.generation})
	}
	p := t.writable(slot)
	p.records[slot%pageSize] = record
	p.used++
	t.index[key] = slot
	t.bytes += len(record)
	return slot
}

// replace stores a new record for an existing key. It updates the map entry, so that
// the key refers to the new record and the old one can be garbage collected.
func (t *table) replace(slot uint64, key, record string) {
	p := t.writable(slot)
	t.bytes += len(record) - len(p.records[slot%pageSize])
	p.records[slot%pageSize] = record
	t.index[key] = slot
}

// remove removes a record and releases pages without records.
func (t *table) remove(slot uint64, key string) {
	delete(t.index, key)
	p := t.writable(slot)
	t.bytes -= len(p.records[slot%pageSize])
	p.records[slot%pageSize] = ""
	p.used--
	full := t.nextSlot/pageSize > slot/pageSize
	if p.used > 0 || !full {
		return
	}
	t.pages[t.pageIndex(slot)] = nil
	for len(t.pages) > 0 && t.pages[0] == nil {
		t.pages = t.pages[1:]
		t.firstPage++
	}
}

func (t *table) pageIndex(slot uint64) int {
	return int(slot/pageSize - t.firstPage)
}

func (t *table) page(slot uint64) *page {
	if slot/pageSize < t.firstPage || slot >= t.nextSlot {
		return nil
	}
	return t.pages[t.pageIndex(slot)]
}

func (t *table) writable(slot uint64) *page {
	i := t.pageIndex(slot)
	p := t.pages[i]
	if p.generation != t.generation {
		c := *p
		c.generation = t.generation
		t.pages[i] = &c
		p = &c
	}
	return p
}

// view returns an immutable view of the current records. It copies one pointer for
// each page.
func (t *table) view() tableView {
	t.generation++
	return tableView{pages: append([]*page(nil), t.pages...), records: t.len(), bytes: t.bytes}
}

// tableView is an immutable view of a table.
type tableView struct {
	pages   []*page
	records int
	bytes   int
}

// each calls f for every record in order of insertion.
func (v tableView) each(f func(record string)) {
	for _, p := range v.pages {
		if p == nil {
			continue
		}
		for _, r := range p.records {
			if r != "" {
				f(r)
			}
		}
	}
}
