package control

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// sendQueue bounds the envelopes that wait for one peer. The log resends what
	// is dropped.
	sendQueue   = 256
	sendTimeout = 2 * time.Second
)

// Transport carries the replicated log's messages by twirp. Each peer has its
// own queue and connection, so that a slow peer delays no other.
type Transport struct {
	http   *http.Client
	mu     sync.Mutex
	peers  map[string]chan *wire.Envelope
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	done   chan struct{}
}

// Dialer opens a connection to another control VM.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns an HTTP client on the dialer, or on the network when it is nil.
func NewHTTPClient(dial Dialer) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,
	}}
}

// NewTransport returns a Transport on the dialer, or on the network when it is nil.
func NewTransport(dial Dialer) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		http:   NewHTTPClient(dial),
		peers:  make(map[string]chan *wire.Envelope),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
	}
}

// Send implements replica.Transport. It never blocks; a full queue drops the
// envelope. The envelope must not be changed afterwards.
func (t *Transport) Send(address string, e *wire.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	q, ok := t.peers[address]
	if !ok {
		q = make(chan *wire.Envelope, sendQueue)
		t.peers[address] = q
		t.wg.Go(func() { t.run(address, q) })
	}
	select {
	case q <- e:
	default:
	}
}

// Hello asks a peer who it is.
func (t *Transport) Hello(ctx context.Context, address string, r *wire.HelloRequest) (*wire.HelloResponse, error) {
	return wire.NewReplicaProtobufClient("http://"+address, t.http).Hello(ctx, r)
}

func (t *Transport) run(address string, q <-chan *wire.Envelope) {
	client := wire.NewReplicaProtobufClient("http://"+address, t.http)
	var next *wire.Envelope
	for {
		e := next
		if e == nil {
			select {
			case e = <-q:
			case <-t.ctx.Done():
				return
			}
		}
		e, next = joinQueued(e, q)
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
		_, err := client.Deliver(ctx, e)
		cancel()
		if err != nil {
			t.http.CloseIdleConnections()
		}
	}
}

// joinQueued returns e with the messages of the envelopes that wait in the queue,
// and the first envelope that has another sender or recipient, or nil. Envelopes
// to several peers may share their messages, so that e itself isn't changed.
func joinQueued(e *wire.Envelope, q <-chan *wire.Envelope) (joined, next *wire.Envelope) {
	joined = &wire.Envelope{ClusterId: e.GetClusterId(), From: e.GetFrom(), To: e.GetTo(), FromAddress: e.GetFromAddress(), Messages: slices.Clone(e.GetMessages())}
	for {
		select {
		case next := <-q:
			if next.GetTo() != e.GetTo() || next.GetFrom() != e.GetFrom() || next.GetClusterId() != e.GetClusterId() {
				return joined, next
			}
			joined.Messages = append(joined.Messages, next.GetMessages()...)
		default:
			return joined, nil
		}
	}
}

// Stop implements kernel.Stopper.
func (t *Transport) Stop(context.Context) error {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.wg.Wait()
	close(t.done)
	return nil
}

// Done implements kernel.Stopper.
func (t *Transport) Done() <-chan struct{} { return t.done }

// ReplicaHandler returns the twirp server through which other members reach a node.
func ReplicaHandler(n *replica.Node) http.Handler {
	return wire.NewReplicaServer(&replicaService{node: n})
}
