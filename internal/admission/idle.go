package admission

import "time"

const (
	// idleTime is how long state of an idle customer is kept. It covers the
	// refill of a rate bucket.
	idleTime = 2 * burstTime
	// sweepsPerCall bounds the work of one call; two removals for each addition
	// keep the list from growing.
	sweepsPerCall = 2
	// sweepsPerTick is the same for periodic calls, so that state goes away when
	// there are no other calls.
	sweepsPerTick = 256
)

// idleList remembers which customers became idle when, in order. A customer
// that is active again has another mark, so that its old element is passed over.
type idleList struct {
	elements []idleElement
	head     int
	mark     uint64
}

type idleElement struct {
	name string
	mark uint64
	at   time.Time
}

// add appends a customer and stores the mark of the element.
func (l *idleList) add(name string, mark *uint64, now time.Time) {
	l.mark++
	*mark = l.mark
	l.elements = append(l.elements, idleElement{name, l.mark, now})
}

// next removes the first element that has been idle for idleTime.
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
	return e.name, e.mark, true
}
