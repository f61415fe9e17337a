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

// bench is one agent with a real stand-in behind it, on virtual time.
type bench struct {
	t      *testing.T
	agent  *Agent
	config *configwatch.Watcher
	target *standin.Standin
	reply  *wire.HeartbeatResponse
	mu     sync.Mutex
	beats  []*wire.HeartbeatRequest
}

// Heartbeat implements Control.
func (b *bench) Heartbeat(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beats = append(b.beats, proto.CloneOf(r))
	return proto.CloneOf(b.reply), nil
}

func (b *bench) setReply(r *wire.HeartbeatResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reply = r
}

func onBench(t *testing.T, duration time.Duration, test func(b *bench)) {
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
		b := &bench{t: t, target: target, reply: &wire.HeartbeatResponse{}, config: configwatch.New(configwatch.Options{Timers: ts})}
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

func (b *bench) request(id string) *wire.AttemptRequest {
	return &wire.AttemptRequest{
		Attempt: id, Request: "request-" + id, Customer: "depot-milford", OrderId: "order-" + id, Operation: "release_fuel",
		Incarnation: b.agent.Incarnation(), Input: []byte("release 40 t"), TimeLeftMs: 2000, Revision: 5,
		AddressedAtMs: b.agent.clockMs(),
	}
}

// send returns the last frame of the answer.
func (b *bench) send(ctx context.Context, req *wire.AttemptRequest) *wire.Frame {
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

func (b *bench) ran() int {
	n := 0
	for _, e := range b.target.Account(0).Effects {
		n += e.Count
	}
	return n
}

// Guards P3 and P4: an attempt that was settled as barred, sent twice, or meant
// for an earlier start of the agent runs when its message arrives late.
func TestLateAndRepeatedAttemptsNeverRun(t *testing.T) {
	onBench(t, 10*time.Millisecond, func(b *bench) {
		settle := &service{a: b.agent}
		resp, err := settle.Settle(b.t.Context(), &wire.SettleRequest{Attempt: "barred", Incarnation: b.agent.Incarnation()})
		require.NoError(b.t, err)
		require.Equal(b.t, wire.SettleState_SETTLE_STATE_BARRED, resp.GetState())
		require.Equal(b.t, attempt.ReasonBarred, b.send(b.t.Context(), b.request("barred")).GetRefused().GetReason())

		old := b.request("old")
		old.Incarnation = "the incarnation before"
		require.Equal(b.t, attempt.ReasonOtherIncarnation, b.send(b.t.Context(), old).GetRefused().GetReason())
		// The table forgets the bar before the held order arrives.
		held := b.request("barred")
		time.Sleep(resultRetention + time.Minute)
		require.Equal(b.t, attempt.ReasonOutdated, b.send(b.t.Context(), held).GetRefused().GetReason())
		require.Zero(b.t, b.ran())

		require.Empty(b.t, b.send(b.t.Context(), b.request("once")).GetResult().GetError())
		require.Equal(b.t, attempt.ReasonDuplicate, b.send(b.t.Context(), b.request("once")).GetRefused().GetReason())
		require.Equal(b.t, 1, b.ran())

		resp, err = settle.Settle(b.t.Context(), &wire.SettleRequest{Attempt: "once", Incarnation: b.agent.Incarnation()})
		require.NoError(b.t, err)
		require.Equal(b.t, wire.SettleState_SETTLE_STATE_FINISHED, resp.GetState())
		resp, err = settle.Settle(b.t.Context(), &wire.SettleRequest{Attempt: "once", Incarnation: "the incarnation before"})
		require.NoError(b.t, err)
		require.Equal(b.t, wire.SettleState_SETTLE_STATE_OTHER_INCARNATION, resp.GetState())
	})
}

// Guards P4: an order is cut off because its entry went away, so that its outcome is lost.
func TestOrderOutlivesItsEntry(t *testing.T) {
	onBench(t, 500*time.Millisecond, func(b *bench) {
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
		require.Equal(b.t, 1, b.ran())
	})
}

// Guards against calls that wait for their timeout on a connection to the target that
// went silent before, against an agent that takes the silence for a dead target, and
// P4: an order that ran, and whose answer the silence swallowed, is sent again.
func TestSilentConnectionsToTheTarget(t *testing.T) {
	const bound = 500 * time.Millisecond // deadline of a lookup
	onBench(t, 10*time.Millisecond, func(b *bench) {
		ready := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				ok, why := b.agent.Ready()
				require.True(b.t, ok, why)
			}
		}
		// Calls at the same time leave several connections behind, all of which go silent.
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
		require.Equal(b.t, 2*calls+1, b.ran())

		var last *wire.Frame
		var wg sync.WaitGroup
		wg.Go(func() { last = b.send(b.t.Context(), b.request("running")) })
		time.Sleep(5 * time.Millisecond)
		b.target.Silence()
		wg.Wait()
		require.Equal(b.t, ErrorDeadline, last.GetResult().GetError())
		require.True(b.t, last.GetResult().GetRan())
		require.Equal(b.t, 2*calls+2, b.ran())
	})
}

// Guards P4: a call that a target has read is sent again because the connection broke
// before the answer.
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
		require.Equal(t, ErrorTargetBroke, broken.GetError())
		require.True(t, broken.GetRan())
		require.Equal(t, 2, read)
		target.http.CloseIdleConnections()
		_ = srv.Close()
	})
}

// Guards against a target that doesn't know Expect: 100-continue and is therefore
// never given a call, or has every call wait for it.
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
				go answerWithoutContinue(c)
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

func answerWithoutContinue(c net.Conn) {
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

// Guards P5 and P6: a leaving target takes new work, or a stop cuts off an
// attempt in flight.
func TestLeavingRefusesNewWorkAndEndsRunningWork(t *testing.T) {
	onBench(t, 2*leaveNotice, func(b *bench) {
		var running *wire.Frame
		var wg sync.WaitGroup
		long := b.request("running")
		long.TimeLeftMs = (4 * leaveNotice).Milliseconds()
		wg.Go(func() { running = b.send(b.t.Context(), long) })
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() {
			require.NoError(b.t, b.agent.Stop(b.t.Context()))
			require.Zero(b.t, b.agent.table.inFlight(), "the agent stopped before its attempt ended")
		})
		synctest.Wait()
		require.Equal(b.t, attempt.ReasonLeaving, b.send(b.t.Context(), b.request("late")).GetRefused().GetReason())
		wg.Wait()
		require.Empty(b.t, running.GetResult().GetError())
		require.Equal(b.t, 1, b.ran())
		last := b.beats[len(b.beats)-1]
		require.True(b.t, last.GetProcess().GetLeaving(), "the last heartbeat does not say leaving")
	})
}

// Guards P5: an operator's drain does not reach the agent within a heartbeat.
func TestDrainReachesTheAgent(t *testing.T) {
	onBench(t, 10*time.Millisecond, func(b *bench) {
		b.setReply(&wire.HeartbeatResponse{Draining: true})
		time.Sleep(heartbeatPeriod + time.Millisecond)
		require.Equal(b.t, attempt.ReasonLeaving, b.send(b.t.Context(), b.request("a")).GetRefused().GetReason())
		b.setReply(&wire.HeartbeatResponse{})
		time.Sleep(heartbeatPeriod + time.Millisecond)
		require.Empty(b.t, b.send(b.t.Context(), b.request("b")).GetResult().GetError())
	})
}

// Guards P7: an entry with an older configuration is obeyed.
func TestStaleRevisionIsRefusedAndTheNewerOneGiven(t *testing.T) {
	onBench(t, 10*time.Millisecond, func(b *bench) {
		stale := b.request("a")
		stale.Revision = 4
		r := b.send(b.t.Context(), stale).GetRefused()
		require.Equal(b.t, attempt.ReasonStaleRevision, r.GetReason())
		require.Equal(b.t, uint64(5), r.GetRevision())
		resp, err := (&service{a: b.agent}).Config(b.t.Context(), &wire.ConfigRequest{KnownRevision: 4})
		require.NoError(b.t, err)
		require.Equal(b.t, testManifest, string(resp.GetManifest().GetManifest()))
		require.Zero(b.t, b.ran())
	})
}

// Guards against an engine order that a restarted agent passes on before it knows
// the current fencing token, and against one with an old token.
func TestEngineOrdersNeedTheCurrentFence(t *testing.T) {
	onBench(t, 10*time.Millisecond, func(b *bench) {
		orders := &service{a: b.agent}
		order := func(fence uint64) string {
			resp, err := orders.EngineOrder(b.t.Context(), &wire.EngineOrderRequest{Fence: fence, Action: "load_model", Model: "bunker-7b"})
			require.NoError(b.t, err)
			return resp.GetRefusal()
		}
		require.Equal(b.t, "fence_not_learned", order(9))
		b.setReply(&wire.HeartbeatResponse{Confirmed: true, Fence: 7})
		time.Sleep(heartbeatPeriod + time.Millisecond)
		require.Equal(b.t, "stale_fence", order(6))
		require.NotContains(b.t, order(8), "fence")
		require.Equal(b.t, "stale_fence", order(7))
	})
}
