package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const testManifest = "version: 1\nclasses: [{name: counter, priority: 0, deadline: 2s}]\n" +
	"customers: [{name: depot-milford, key: k, default_class: counter}]\n" +
	"services: [{name: orders-core, kind: service, operations: [{name: release_fuel, idempotent: false, timeout: 1s}]}]\n"

// testAgent is an agent with a real stand-in as its target, on virtual time.
type testAgent struct {
	t                 *testing.T
	agent             *Agent
	config            *configwatch.Watcher
	target            *standin.Standin
	heartbeatResponse *wire.HeartbeatResponse
	mu                sync.Mutex
	heartbeats        []*wire.HeartbeatRequest
}

// Heartbeat implements Control.
func (b *testAgent) Heartbeat(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heartbeats = append(b.heartbeats, proto.CloneOf(r))
	return proto.CloneOf(b.heartbeatResponse), nil
}

func (b *testAgent) setHeartbeatResponse(r *wire.HeartbeatResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heartbeatResponse = r
}

func withTestAgent(t *testing.T, duration time.Duration, test func(b *testAgent)) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemoryNetwork()
		target, err := standin.New(standin.Options{
			Name: "core-1", Service: "orders-core", Kind: standin.KindService, Slots: 2, Listen: "core-1:1", Open: network.Listen,
			Operations: []standin.Operation{{Name: "release_fuel", Duration: duration}},
		})
		require.NoError(t, err)
		require.NoError(t, target.Start(t.Context()))
		m := metrics.New("agent")
		ts := timer.NewService()
		b := &testAgent{t: t, target: target, heartbeatResponse: &wire.HeartbeatResponse{}, config: configwatch.New(configwatch.Options{Timers: ts})}
		require.NoError(t, b.config.Apply(&wire.ManifestRecord{Revision: 5, Manifest: []byte(testManifest)}))
		b.agent, err = New(Options{
			Timers: ts, Control: b, Config: b.config, Metrics: m, Name: "agent-core-1", TargetName: "core-1",
			Service: "orders-core", TargetURL: "http://core-1:1", Address: "agent:1", Dial: network.Dial,
		})
		require.NoError(t, err)
		require.NoError(t, b.agent.Start(t.Context()))
		synctest.Wait()
		test(b)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_ = b.agent.Stop(ctx)
		cancel()
		b.agent.target.http.CloseIdleConnections()
		target.Die()
		require.NoError(t, m.Close())
	})
}

func (b *testAgent) request(id string) *wire.AttemptRequest {
	return &wire.AttemptRequest{
		Attempt: id, Request: "request-" + id, Customer: "depot-milford", OrderId: "order-" + id, Operation: "release_fuel",
		Incarnation: b.agent.Incarnation(), Input: []byte("release 40 t"), TimeLeftMs: 2000, Revision: 5,
		AddressedAtMs: b.agent.clockMs(),
	}
}

// send sends an attempt and returns the last frame of the response.
func (b *testAgent) send(ctx context.Context, req *wire.AttemptRequest) *wire.Frame {
	body, err := proto.Marshal(req)
	require.NoError(b.t, err)
	r := httptest.NewRequest(http.MethodPost, attempt.Path, bytes.NewReader(body)).WithContext(ctx)
	w := httptest.NewRecorder()
	b.agent.Handler().ServeHTTP(w, r)
	var last *wire.Frame
	br := bufio.NewReader(w.Body)
	for {
		f := &wire.Frame{}
		if protodelim.UnmarshalFrom(br, f) != nil {
			return last
		}
		last = f
	}
}

func (b *testAgent) executions() int {
	n := 0
	for _, e := range b.target.Account(0).Effects {
		n += e.Count
	}
	return n
}

// Requirements P3 and P4: guards against running an attempt that was blocked, sent twice
// or addressed to an earlier incarnation when its message arrives late.
func TestLateAndRepeatedAttemptsNeverRun(t *testing.T) {
	withTestAgent(t, 10*time.Millisecond, func(b *testAgent) {
		settle := &service{a: b.agent}
		resp, err := settle.Settle(b.t.Context(), &wire.SettleRequest{Attempt: "barred", Incarnation: b.agent.Incarnation()})
		require.NoError(b.t, err)
		require.Equal(b.t, wire.SettleState_SETTLE_STATE_BARRED, resp.GetState())
		require.Equal(b.t, attempt.ReasonBarred, b.send(b.t.Context(), b.request("barred")).GetRefused().GetReason())

		old := b.request("old")
		old.Incarnation = "the incarnation before"
		require.Equal(b.t, attempt.ReasonOtherIncarnation, b.send(b.t.Context(), old).GetRefused().GetReason())
		// The record of the blocked attempt expires before the delayed order arrives.
		held := b.request("barred")
		time.Sleep(resultRetention + time.Minute)
		require.Equal(b.t, attempt.ReasonOutdated, b.send(b.t.Context(), held).GetRefused().GetReason())
		require.Zero(b.t, b.executions())

		require.Empty(b.t, b.send(b.t.Context(), b.request("once")).GetResult().GetError())
		require.Equal(b.t, attempt.ReasonDuplicate, b.send(b.t.Context(), b.request("once")).GetRefused().GetReason())
		require.Equal(b.t, 1, b.executions())

		resp, err = settle.Settle(b.t.Context(), &wire.SettleRequest{Attempt: "once", Incarnation: b.agent.Incarnation()})
		require.NoError(b.t, err)
		require.Equal(b.t, wire.SettleState_SETTLE_STATE_FINISHED, resp.GetState())
		resp, err = settle.Settle(b.t.Context(), &wire.SettleRequest{Attempt: "once", Incarnation: "the incarnation before"})
		require.NoError(b.t, err)
		require.Equal(b.t, wire.SettleState_SETTLE_STATE_OTHER_INCARNATION, resp.GetState())
	})
}

// Requirement P4: guards against cancelling an order because its entry disconnected, which
// would lose its outcome.
func TestOrderOutlivesItsEntry(t *testing.T) {
	withTestAgent(t, 500*time.Millisecond, func(b *testAgent) {
		ctx, cancel := context.WithCancel(b.t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		b.send(ctx, b.request("a"))
		resp, err := (&service{a: b.agent}).Settle(b.t.Context(), &wire.SettleRequest{Attempt: "a", Incarnation: b.agent.Incarnation()})
		require.NoError(b.t, err)
		require.Equal(b.t, wire.SettleState_SETTLE_STATE_FINISHED, resp.GetState())
		require.Empty(b.t, resp.GetResult().GetError())
		require.Equal(b.t, 1, b.executions())
	})
}

// Guards against calls that wait for their timeout on an unresponsive connection to the
// target, and against reporting such a target as not ready. Requirement P4: guards against
// sending an order again that ran but whose response was lost.
func TestSilentConnectionsToTheTarget(t *testing.T) {
	const bound = 500 * time.Millisecond // deadline of a lookup
	withTestAgent(t, 10*time.Millisecond, func(b *testAgent) {
		ready := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				ok, why := b.agent.Ready()
				require.True(b.t, ok, why)
			}
		}
		// Concurrent calls open several connections, all of which become unresponsive.
		const calls = 6
		silence := func(round string) {
			var wg sync.WaitGroup
			for i := range calls {
				wg.Go(func() {
					require.Empty(b.t, b.send(b.t.Context(), b.request(round+strconv.Itoa(i))).GetResult().GetError())
				})
			}
			wg.Wait()
			b.target.Silence()
		}
		silence("a")
		ready(2 * infoPeriod)

		silence("b")
		began := time.Now()
		require.Empty(b.t, b.send(b.t.Context(), b.request("after")).GetResult().GetError())
		require.Less(b.t, time.Since(began), bound)
		require.Equal(b.t, 2*calls+1, b.executions())

		var last *wire.Frame
		var wg sync.WaitGroup
		wg.Go(func() { last = b.send(b.t.Context(), b.request("running")) })
		time.Sleep(5 * time.Millisecond)
		b.target.Silence()
		wg.Wait()
		require.Equal(b.t, ErrorDeadline, last.GetResult().GetError())
		require.True(b.t, last.GetResult().GetRan())
		require.Equal(b.t, 2*calls+2, b.executions())
	})
}

// Requirement P4: guards against sending a call again that the target has read, when the
// connection broke before the response.
func TestCallIsSentOnceWhenItsAnswerBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemoryNetwork()
		l, err := network.Listen("core-1:1")
		require.NoError(t, err)
		read := 0
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			read++
			if r.URL.Path == "/v1/stage/broken" {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte(`{"attempt": "a", "request": "r"}`))
		})}
		go func() { _ = srv.Serve(l) }()
		target := newTarget("http://core-1:1", network.Dial)
		run := func(operation string) *wire.AttemptResult {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return target.run(ctx, &wire.AttemptRequest{Attempt: "a", Request: "r", Operation: operation}, nil)
		}
		require.Empty(t, run("whole").GetError())
		broken := run("broken")
		require.Equal(t, ErrorTargetConnectionBroke, broken.GetError())
		require.True(t, broken.GetRan())
		require.Equal(t, 2, read)
		target.http.CloseIdleConnections()
		_ = srv.Close()
	})
}

// Guards against failed or permanently delayed calls at a target that doesn't support
// Expect: 100-continue.
func TestTargetWithoutContinueIsServed(t *testing.T) {
	const bound = 500 * time.Millisecond // deadline of a lookup
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemoryNetwork()
		l, err := network.Listen("core-1:1")
		require.NoError(t, err)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveWithoutContinue(c)
			}
		}()
		target := newTarget("http://core-1:1", network.Dial)
		require.NoError(t, target.get(t.Context(), "/v1/load", nil))
		for _, atMost := range []time.Duration{bound, 0, 0} {
			began := time.Now()
			require.Empty(t, target.run(t.Context(), &wire.AttemptRequest{Attempt: "a", Request: "r", Operation: "stock_lookup"}, nil).GetError())
			require.LessOrEqual(t, time.Since(began), atMost)
		}
		target.http.CloseIdleConnections()
		_ = l.Close()
	})
}

func serveWithoutContinue(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		const answer = `{"attempt": "a", "request": "r"}`
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	}
}

// Requirements P5 and P6: guards against new work at a draining target, and against
// cancelling a running attempt on shutdown.
func TestLeavingRefusesNewWorkAndEndsRunningWork(t *testing.T) {
	withTestAgent(t, 2*shutdownNotice, func(b *testAgent) {
		var running *wire.Frame
		var wg sync.WaitGroup
		long := b.request("running")
		long.TimeLeftMs = (4 * shutdownNotice).Milliseconds()
		wg.Go(func() { running = b.send(b.t.Context(), long) })
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() {
			require.NoError(b.t, b.agent.Stop(b.t.Context()))
			require.Zero(b.t, b.agent.table.inFlight(), "the agent stopped before its attempt finished")
		})
		synctest.Wait()
		require.Equal(b.t, attempt.ReasonLeaving, b.send(b.t.Context(), b.request("late")).GetRefused().GetReason())
		wg.Wait()
		require.Empty(b.t, running.GetResult().GetError())
		require.Equal(b.t, 1, b.executions())
		last := b.heartbeats[len(b.heartbeats)-1]
		require.True(b.t, last.GetProcess().GetLeaving(), "the last heartbeat does not say leaving")
	})
}

// Requirement P5: guards against a drain that doesn't reach the agent within a heartbeat.
func TestDrainReachesTheAgent(t *testing.T) {
	withTestAgent(t, 10*time.Millisecond, func(b *testAgent) {
		b.setHeartbeatResponse(&wire.HeartbeatResponse{Draining: true})
		time.Sleep(heartbeatPeriod + time.Millisecond)
		require.Equal(b.t, attempt.ReasonLeaving, b.send(b.t.Context(), b.request("a")).GetRefused().GetReason())
		b.setHeartbeatResponse(&wire.HeartbeatResponse{})
		time.Sleep(heartbeatPeriod + time.Millisecond)
		require.Empty(b.t, b.send(b.t.Context(), b.request("b")).GetResult().GetError())
	})
}

// Requirement P7: guards against accepting an attempt from an entry with an older
// configuration.
func TestStaleRevisionIsRefusedAndTheNewerOneGiven(t *testing.T) {
	withTestAgent(t, 10*time.Millisecond, func(b *testAgent) {
		stale := b.request("a")
		stale.Revision = 4
		r := b.send(b.t.Context(), stale).GetRefused()
		require.Equal(b.t, attempt.ReasonStaleRevision, r.GetReason())
		require.Equal(b.t, uint64(5), r.GetRevision())
		resp, err := (&service{a: b.agent}).Config(b.t.Context(), &wire.ConfigRequest{KnownRevision: 4})
		require.NoError(b.t, err)
		require.Equal(b.t, testManifest, string(resp.GetManifest().GetManifest()))
		require.Zero(b.t, b.executions())
	})
}

// Guards against forwarding an engine order before a restarted agent knows the current
// fencing token, or with an old token.
func TestEngineOrdersNeedTheCurrentFence(t *testing.T) {
	withTestAgent(t, 10*time.Millisecond, func(b *testAgent) {
		orders := &service{a: b.agent}
		order := func(fence uint64) string {
			resp, err := orders.EngineOrder(b.t.Context(), &wire.EngineOrderRequest{Fence: fence, Action: "load_model", Model: "bunker-7b"})
			require.NoError(b.t, err)
			return resp.GetRefusal()
		}
		require.Equal(b.t, "fence_not_learned", order(9))
		b.setHeartbeatResponse(&wire.HeartbeatResponse{Confirmed: true, Fence: 7})
		time.Sleep(heartbeatPeriod + time.Millisecond)
		require.Equal(b.t, "stale_fence", order(6))
		require.NotContains(b.t, order(8), "fence")
		require.Equal(b.t, "stale_fence", order(7))
	})
}
