package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/agent"
	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/entry"
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/listener"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const testManifest = `version: 1
classes:
  - {name: counter, priority: 0, deadline: 3s}
  - {name: summary, priority: 5, deadline: 10m, may_wait: true}
customers:
  - {name: depot-milford, key: depot-milford-key, weight: 1, max_concurrent: 64, rate: 1000, default_class: counter}
models:
  - {name: bunker-7b, size: 8GB}
services:
  - name: encoders
    kind: encoder
    operations: [{name: encode, idempotent: true, timeout: 2s}]
  - name: generators
    kind: engine
    operations: [{name: generate, idempotent: true, timeout: 20s}]
  - name: orders-core
    kind: service
    operations: [{name: release_fuel, idempotent: false, timeout: 1s}]
pipelines:
  - name: stem-answer
    deadline: 20s
    default_class: counter
    stages:
      - {name: encode, service: encoders, operation: encode, expected: 10ms}
      - {name: generate, service: generators, operation: generate, needs: [encode], model: bunker-7b, expected: 300ms}
  - name: stem-summary
    deadline: 10m
    default_class: summary
    stages:
      - {name: encode, service: encoders, operation: encode, expected: 10ms}
      - {name: generate, service: generators, operation: generate, needs: [encode], model: bunker-7b, expected: 300ms}
`

// system is a set of entries, agents and stand-ins on an in-memory network, with one
// ledger in place of the control VMs.
type system struct {
	t        *testing.T
	network  *standin.MemoryNetwork
	timers   *timer.Service
	control  *fakeControl
	dialers  *dataDialers
	targets  []*standin.Standin
	agents   []*runningAgent
	cleanups []func()
}

func newSystem(t *testing.T) *system {
	ts := timer.NewService()
	s := &system{t: t, network: standin.NewMemoryNetwork(), timers: ts, dialers: &dataDialers{}}
	s.control = &fakeControl{ledger: ledger.New(ledger.Options{}), roster: roster.New(roster.Options{Timer: ts, Epoch: "one"}), changed: make(chan struct{})}
	s.apply("change-1", 0, testManifest)
	return s
}

func (s *system) apply(change string, base uint64, manifest string) *wire.Result {
	return s.control.execute(&wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
		BaseRevision: base, ChangeId: change, Manifest: []byte(manifest), Operator: "test",
	}}})
}

// stop stops all components; it must run inside the synctest bubble.
func (s *system) stop() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

func (s *system) run(k *kernel.Kernel) {
	require.NoError(s.t, k.Start(context.Background()))
	s.cleanups = append(s.cleanups, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = k.Stop(ctx)
	})
}

func (s *system) client(name string, link *transport) *controlclient.Client {
	c, err := controlclient.New(controlclient.Options{
		Timers: s.timers, Addresses: []string{"control:1"}, Process: name, HTTP: &http.Client{Transport: &controlTransport{control: s.control, transport: link}},
	})
	require.NoError(s.t, err)
	return c
}

// runningAgent is an agent that can be restarted on the same address.
type runningAgent struct {
	s        *system
	o        agent.Options
	kernel   *kernel.Kernel
	server   *listener.Server
	listener net.Listener
	agent    *agent.Agent
}

func (s *system) addTarget(o standin.Options) *runningAgent {
	o.Listen, o.Open = "target:0", s.network.Listen
	target, err := standin.New(o)
	require.NoError(s.t, err)
	require.NoError(s.t, target.Start(context.Background()))
	s.cleanups = append(s.cleanups, func() {
		_ = target.SetFaults(standin.Faults{})
		target.Die()
	})
	s.targets = append(s.targets, target)
	a := &runningAgent{s: s, o: agent.Options{
		Timers: s.timers, Name: "agent-" + o.Name, TargetName: o.Name, Service: o.Service,
		TargetURL: "http://" + target.Address(), Address: o.Name + ":1", Dial: s.dialers.dialer(s.network, nil),
	}}
	a.start()
	s.cleanups = append(s.cleanups, func() { a.crash() })
	s.agents = append(s.agents, a)
	return a
}

func (a *runningAgent) start() {
	m := metrics.New("agent")
	client := a.s.client(a.o.Name, nil)
	watcher := configwatch.New(configwatch.Options{Timers: a.s.timers, Source: client, Process: a.o.Name, SkipParsing: true})
	o := a.o
	o.Control, o.Config, o.Metrics = client, watcher, m
	var err error
	a.agent, err = agent.New(o)
	require.NoError(a.s.t, err)
	a.listener, err = a.s.network.Listen(o.Address)
	require.NoError(a.s.t, err)
	a.listener = &trackingListener{Listener: a.listener}
	a.kernel = kernel.New()
	a.kernel.Register("server", listener.New(listener.Options{Listener: a.listener, Handler: a.agent.Handler()}))
	a.kernel.Register("config", watcher)
	a.kernel.Register("agent", a.agent)
	a.kernel.Register("metrics", metricsComponent{m})
	require.NoError(a.s.t, a.kernel.Start(context.Background()))
}

// crash stops the agent like a kill signal: all connections break at once. Calls that the
// agent has forwarded to its target continue there.
func (a *runningAgent) crash() {
	if a.kernel == nil {
		return
	}
	_ = a.listener.Close()
	a.listener.(*trackingListener).closeAll()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.kernel.Stop(ctx)
	a.kernel = nil
}

type metricsComponent struct{ m *metrics.Metrics }

func (c metricsComponent) Stop(context.Context) error { return c.m.Close() }
func (c metricsComponent) Done() <-chan struct{}      { return nil }

type runningEntry struct {
	s       *system
	entry   *entry.Entry
	handler http.Handler
	kernel  *kernel.Kernel
	// control and data are this entry's transports; disconnecting them isolates it.
	control *transport
	data    *transport
	// peers is the transport to the other entries.
	peers         *transport
	adminListener net.Listener
}

func (s *system) addEntry(name string) *runningEntry {
	e := &runningEntry{s: s, control: &transport{}, data: &transport{}, peers: &transport{}}
	client := s.client(name, e.control)
	m := metrics.New("entry")
	watcher := configwatch.New(configwatch.Options{Timers: s.timers, Source: client, Process: name, OnChange: func(c *configwatch.Config) { e.entry.Reconfigure(c) }})
	var err error
	e.entry, err = entry.New(entry.Options{Timers: s.timers, Control: client, Config: watcher, Metrics: m, Name: name, Seed: 7, Dial: s.dialers.dialer(s.network, e.data), Admin: name + ":9", DialAdmin: s.dialers.dialer(s.network, e.peers)})
	require.NoError(s.t, err)
	e.handler = e.entry.Handler()
	admin, err := s.network.Listen(name + ":9")
	require.NoError(s.t, err)
	e.adminListener = &trackingListener{Listener: admin}
	mux := http.NewServeMux()
	e.entry.RegisterAdminHandlers(mux)
	k := kernel.New()
	k.Register("admin", listener.New(listener.Options{Listener: e.adminListener, Handler: mux}))
	k.Register("metrics", metricsComponent{m})
	k.Register("config", watcher)
	k.Register("entry", e.entry)
	e.kernel = k
	s.run(k)
	return e
}

// answer is an answer as the caller decodes it.
type answer struct {
	RequestID string `json:"request_id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Detail    string `json:"detail"`
	Output    string `json:"output"`
	Repeated  bool   `json:"repeated"`
}

func (e *runningEntry) post(path string, body map[string]any) (int, answer) {
	return e.do(http.MethodPost, path, body)
}

func (e *runningEntry) do(method, path string, body map[string]any) (int, answer) {
	data, _ := json.Marshal(body)
	r := httptest.NewRequest(method, path, bytes.NewReader(data))
	r.Header.Set("Customer-Key", "depot-milford-key")
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	var a answer
	_ = json.Unmarshal(w.Body.Bytes(), &a)
	return w.Code, a
}

// effects returns how often an order ran, over all targets.
func (s *system) effects(orderID string) int {
	n := 0
	for _, target := range s.targets {
		for _, e := range target.Account(0).Effects {
			if e.Order == orderID {
				n += e.Count
			}
		}
	}
	return n
}

// fakeControl serves the control API from a single ledger.
type fakeControl struct {
	mu      sync.Mutex
	ledger  *ledger.Ledger
	roster  *roster.Roster
	index   uint64
	changed chan struct{}
	// noQuorum makes commands and reads fail.
	noQuorum atomic.Bool
}

func (c *fakeControl) execute(cmd *wire.Command) *wire.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	cmd.AtMs = time.Now().UnixMilli()
	data, _ := proto.Marshal(cmd)
	result := c.ledger.Apply(c.index, data).(*wire.Result)
	c.roster.SetDrains(c.ledger.Drains())
	close(c.changed)
	c.changed = make(chan struct{})
	return result
}

var errNoQuorum = errors.New("no quorum")

func (c *fakeControl) Execute(_ context.Context, r *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	if c.noQuorum.Load() {
		return nil, errNoQuorum
	}
	return &wire.ExecuteResponse{Result: c.execute(r.GetCommand())}, nil
}

func (c *fakeControl) Query(_ context.Context, r *wire.QueryRequest) (*wire.QueryResponse, error) {
	if c.noQuorum.Load() {
		return nil, errNoQuorum
	}
	resp := &wire.QueryResponse{Revision: c.ledger.Revision()}
	switch k := r.GetKind().(type) {
	case *wire.QueryRequest_Order:
		resp.Order, resp.Found = c.ledger.Order(k.Order.GetCustomer(), k.Order.GetOrderId())
	case *wire.QueryRequest_Waiting:
		resp.Waiting, resp.Found = c.ledger.Waiting(k.Waiting.GetId())
	}
	return resp, nil
}

func (c *fakeControl) Heartbeat(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return &wire.HeartbeatResponse{WantTarget: c.roster.Announce(r), Revision: c.ledger.Revision(), Confirmed: !c.noQuorum.Load(), Fence: 1, Waiting: c.ledger.HasLeasable(time.Now().UnixMilli())}, nil
}

func (c *fakeControl) Roster(ctx context.Context, r *wire.RosterRequest) (*wire.RosterResponse, error) {
	wait := time.After(time.Duration(r.GetWaitMs()) * time.Millisecond)
	for {
		changed := c.roster.Changed()
		resp := c.roster.ChangesSince(r.GetSince(), r.GetEpoch())
		resp.Revision, resp.Confirmed = c.ledger.Revision(), !c.noQuorum.Load()
		if len(resp.GetChanges()) > 0 || resp.GetFull() {
			return resp, nil
		}
		select {
		case <-changed:
		case <-wait:
			return resp, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *fakeControl) Config(ctx context.Context, r *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	wait := time.After(time.Duration(r.GetWaitMs()) * time.Millisecond)
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		resp := &wire.ConfigResponse{Revision: c.ledger.Revision(), Confirmed: !c.noQuorum.Load()}
		if m, ok := c.ledger.Manifest(0); ok && m.GetRevision() > r.GetKnownRevision() {
			resp.Manifest = m
			return resp, nil
		}
		select {
		case <-changed:
		case <-wait:
			return resp, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *fakeControl) RemoveMember(context.Context, *wire.RemoveMemberRequest) (*wire.RemoveMemberResponse, error) {
	return nil, errors.New("a fake control VM has no members")
}

func (c *fakeControl) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return &wire.StatusResponse{}, nil
}

// transport is one process's network path with injectable faults.
type transport struct {
	disconnected  atomic.Bool // requests are lost
	dropResponses atomic.Bool // requests arrive, answers are lost
	// generation is incremented to make the currently open connections unresponsive.
	generation atomic.Int64
	// holdAttempts buffers attempts until sendHeld, as if the sender were frozen, and drops
	// everything else.
	holdAttempts atomic.Bool
	mu           sync.Mutex
	heldData     map[*faultyConn][]byte
	// holdAfterClaim is set on a transport to the control VMs: once an order is claimed,
	// the other transport holds its attempts.
	holdAfterClaim atomic.Pointer[transport]
}

// sendHeld sends the held data over new connections, because the agent has closed the old
// ones, and returns the number of connections.
func (l *transport) sendHeld(t *testing.T) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, data := range l.heldData {
		n, err := c.redial()
		require.NoError(t, err)
		_, err = n.Write(data)
		require.NoError(t, err)
		go func() { _, _ = io.Copy(io.Discard, n) }()
	}
	return len(l.heldData)
}

// controlTransport calls the fake control VM without a network.
type controlTransport struct {
	control   *fakeControl
	transport *transport
}

var errConnectionLost = errors.New("connection lost")

func (t *controlTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.transport != nil && t.transport.disconnected.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	in := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body)).WithContext(r.Context())
	in.Header = r.Header
	w := httptest.NewRecorder()
	wire.NewControlServer(t.control).ServeHTTP(w, in)
	if t.transport != nil && strings.HasSuffix(r.URL.Path, "/Execute") {
		if data := t.transport.holdAfterClaim.Load(); data != nil {
			data.holdAttempts.Store(true)
		}
	}
	if t.transport != nil && t.transport.dropResponses.Load() {
		return nil, errConnectionLost
	}
	return w.Result(), nil
}

// dataDialers creates dialers whose connections can be disrupted.
type dataDialers struct{}

func (l *dataDialers) dialer(n *standin.MemoryNetwork, own *transport) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if own != nil && own.disconnected.Load() {
			return nil, &net.OpError{Op: "dial", Err: errConnectionLost}
		}
		c, err := n.Dial(ctx, network, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Err: err}
		}
		if own == nil {
			return c, nil
		}
		redial := func() (net.Conn, error) { return n.Dial(context.Background(), network, address) }
		return &faultyConn{Conn: c, transport: own, generation: own.generation.Load(), redial: redial}, nil
	}
}

// faultyConn drops what it reads while its transport drops responses, and permanently if
// it was open when the transport's generation was incremented, like a connection whose
// state was lost by a device on its path.
type faultyConn struct {
	net.Conn
	transport  *transport
	generation int64
	redial     func() (net.Conn, error)
}

// Write implements net.Conn.
func (c *faultyConn) Write(b []byte) (int, error) {
	if !c.transport.holdAttempts.Load() {
		return c.Conn.Write(b)
	}
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	if c.transport.heldData == nil {
		c.transport.heldData = make(map[*faultyConn][]byte)
	}
	if _, more := c.transport.heldData[c]; more || bytes.HasPrefix(b, []byte("POST "+attempt.Path)) {
		c.transport.heldData[c] = append(c.transport.heldData[c], b...)
	}
	return len(b), nil
}

func (c *faultyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.transport.dropResponses.Load() && c.generation == c.transport.generation.Load() {
			return n, err
		}
	}
}

// trackingListener records its connections, so that a crash can break them.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *trackingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}
