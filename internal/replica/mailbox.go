package replica

import "sync"

// mailbox is an unbounded queue between two goroutines. Its takers receive
// everything that has gathered, so that work that arrived together is done together.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

func (m *mailbox[T]) put(items ...T) {
	if len(items) == 0 {
		return
	}
	m.mu.Lock()
	m.items = append(m.items, items...)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// ready returns a channel that delivers when there may be items.
func (m *mailbox[T]) ready() <-chan struct{} { return m.signal }

func (m *mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

func (m *mailbox[T]) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.items)
}
