package admission

import "time"

const (
	// idleTime is the retention time of an idle customer's state. It covers the
	// refill of a rate bucket.
	idleTime = 2 * burstTime
	// evictionsPerCall limits the evictions per call; two removals for each addition
	// keep the list from growing.
	evictionsPerCall = 2
	// evictionsPerTick limits the evictions per periodic call, which evict state
	// when there are no other calls.
	evictionsPerTick = 256
)

// idleList is a FIFO queue of idle customers, by the time at which they became
// idle. A customer that has become active again has a different sequence number, so
// its old element is skipped.
type idleList struct {
	elements []idleElement
	head     int
	sequence uint64
}

type idleElement struct {
	name     string
	sequence uint64
	at       time.Time
}

// add appends a customer and stores the element's sequence number in sequence.
func (l *idleList) add(name string, sequence *uint64, now time.Time) {
	l.sequence++
	*sequence = l.sequence
	l.elements = append(l.elements, idleElement{name, l.sequence, now})
}

// next removes and returns the first element if it has been idle for idleTime.
func (l *idleList) next(now time.Time) (string, uint64, bool) {
	if l.head == len(l.elements) || now.Sub(l.elements[l.head].at) < idleTime {
		return "", 0, false
	}
	e := l.elements[l.head]
	l.elements[l.head] = idleElement{}
	l.head++
	if 2*l.head >= len(l.elements) {
		l.elements = append(l.elements[:0], l.elements[l.head:]...)
		l.head = 0
	}
	return e.name, e.sequence, true
}
