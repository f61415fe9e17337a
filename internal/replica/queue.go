package replica

import "sync"

// queue is an unbounded queue between goroutines. take returns all queued items,
// so that they can be processed as one batch.
type queue[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{signal: make(chan struct{}, 1)}
}

func (m *queue[T]) put(items ...T) {
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

// ready returns a channel that is signalled when there may be items.
func (m *queue[T]) ready() <-chan struct{} { return m.signal }

func (m *queue[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

func (m *queue[T]) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.items)
}
