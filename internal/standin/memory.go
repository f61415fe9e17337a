package standin

import (
	"context"
	"net"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// MemoryNetwork connects listeners and callers within a process. Unlike a socket,
// its connections let the virtual time of testing/synctest advance while they wait.
// It is safe for concurrent use.
type MemoryNetwork struct {
	mu        sync.Mutex
	next      int
	listeners map[string]*memoryListener
}

// NewMemoryNetwork returns a network without listeners.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: make(map[string]*memoryListener)}
}

// Listen opens a listener. Port 0 takes a free one. It fits Options.Open.
func (n *MemoryNetwork) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "split address")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.next++
		address = net.JoinHostPort(host, strconv.Itoa(n.next))
	}
	if n.listeners[address] != nil {
		return nil, errors.Errorf("address %s is in use", address)
	}
	l := &memoryListener{network: n, address: memoryAddress(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to a listener. It fits http.Transport.DialContext.
func (n *MemoryNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("connect to %s: connection refused", address)
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Errorf("connect to %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *MemoryNetwork) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

type memoryListener struct {
	network *MemoryNetwork
	address memoryAddress
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.remove(string(l.address))
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }
