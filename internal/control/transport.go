package control

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/upstream"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// sendQueueSize limits the queued envelopes per peer. The replicated log resends
	// dropped messages.
	sendQueueSize = 256
	sendTimeout   = 2 * time.Second
	// maxEnvelopeBytes limits the messages that are sent in one call, so that a call ends within
	// sendTimeout on a slow link and stays far below MaxMessageBytes. A single message may exceed it.
	maxEnvelopeBytes = 2 << 20
	// MaxMessageBytes limits a request or response between processes. The largest ones carry
	// a manifest or the changes of all targets; snapshots are sent in parts.
	MaxMessageBytes = 64 << 20
)

// Transport sends the replicated log's messages over twirp. Each peer has its own queue and
// connection, so that a slow peer doesn't delay the others.
type Transport struct {
	httpClient *http.Client
	mu         sync.Mutex
	queues     map[string]chan *wire.Envelope
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	done       chan struct{}
}

// Dialer opens a connection to another control VM.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns an HTTP client that uses the dialer, or the network if it is nil.
func NewHTTPClient(dial Dialer) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: upstream.NewLimitedTransport(&http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		DisableCompression:     true,
		MaxResponseHeaderBytes: upstream.MaxHeadBytes,
	}, MaxMessageBytes)}
}

// NewTransport returns a Transport that uses the dialer, or the network if it is nil.
func NewTransport(dial Dialer) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		httpClient: NewHTTPClient(dial),
		queues:     make(map[string]chan *wire.Envelope),
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
	}
}

// Send implements replica.Transport. It never blocks: if the queue is full, the envelope is
// dropped. The envelope must not be modified afterwards.
func (t *Transport) Send(address string, e *wire.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	q, ok := t.queues[address]
	if !ok {
		q = make(chan *wire.Envelope, sendQueueSize)
		t.queues[address] = q
		t.wg.Go(func() { t.run(address, q) })
	}
	select {
	case q <- e:
	default:
	}
}

// Hello requests the identity of a peer.
func (t *Transport) Hello(ctx context.Context, address string, r *wire.HelloRequest) (*wire.HelloResponse, error) {
	return wire.NewReplicaProtobufClient("http://"+address, t.httpClient).Hello(ctx, r)
}

func (t *Transport) run(address string, q <-chan *wire.Envelope) {
	client := wire.NewReplicaProtobufClient("http://"+address, t.httpClient)
	var next *wire.Envelope
	failing := false
	for {
		e := next
		if e == nil {
			select {
			case e = <-q:
			case <-t.ctx.Done():
				return
			}
		}
		e, next = mergeQueued(e, q)
		for _, part := range splitEnvelope(e, maxEnvelopeBytes) {
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			_, err := client.Deliver(ctx, part)
			cancel()
			if err != nil {
				if !failing {
					klog.InfoS("Messages of the replicated log not delivered", "to", address, "messages", len(part.GetMessages()), "bytes", proto.Size(part), "error", err.Error())
				}
				failing = true
				t.httpClient.CloseIdleConnections()
				break // the rest follows what is missing; the log resends it
			}
			if failing {
				klog.InfoS("Messages of the replicated log delivered again", "to", address)
			}
			failing = false
		}
	}
}

// splitEnvelope returns envelopes with the same messages of at most maxBytes each, or of one
// message.
func splitEnvelope(e *wire.Envelope, maxBytes int) []*wire.Envelope {
	var parts []*wire.Envelope
	size := 0
	for _, m := range e.GetMessages() {
		n := proto.Size(m)
		if len(parts) == 0 || size+n > maxBytes {
			parts = append(parts, &wire.Envelope{ClusterId: e.GetClusterId(), From: e.GetFrom(), To: e.GetTo(), FromAddress: e.GetFromAddress()})
			size = 0
		}
		last := parts[len(parts)-1]
		last.Messages = append(last.Messages, m)
		size += n
	}
	return parts
}

// mergeQueued returns e with the messages of the queued envelopes appended, and the first
// envelope with a different sender or recipient, or nil. Envelopes to several peers may
// share their messages, so e itself is not modified.
func mergeQueued(e *wire.Envelope, q <-chan *wire.Envelope) (merged, next *wire.Envelope) {
	merged = &wire.Envelope{ClusterId: e.GetClusterId(), From: e.GetFrom(), To: e.GetTo(), FromAddress: e.GetFromAddress(), Messages: slices.Clone(e.GetMessages())}
	for {
		select {
		case next := <-q:
			if next.GetTo() != e.GetTo() || next.GetFrom() != e.GetFrom() || next.GetClusterId() != e.GetClusterId() {
				return merged, next
			}
			merged.Messages = append(merged.Messages, next.GetMessages()...)
		default:
			return merged, nil
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

// ReplicaHandler returns the twirp server that other members use to reach a node.
func ReplicaHandler(n *replica.Node) http.Handler {
	return wire.NewReplicaServer(&replicaService{node: n})
}
