package stagelink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// collector is a Collector whose stages take as long as their deadline says.
type collector struct {
	mu       sync.Mutex
	running  int
	canceled int
	freed    int
	stopped  chan struct{}
}

func newCollector() *collector { return &collector{stopped: make(chan struct{})} }

func (c *collector) RunStage(ctx context.Context, r *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	c.add(1, 0)
	defer c.add(-1, 0)
	select {
	case <-time.After(time.Duration(r.GetDeadlineLeftMs()) * time.Millisecond):
		return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_DONE, Reason: r.GetRequestId()}, nil
	case <-c.stopped:
		return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_FAILED, Reason: ReasonStopping}, nil
	case <-ctx.Done():
		c.add(0, 1)
		return nil, ctx.Err()
	}
}

func (c *collector) FreeResults(_ context.Context, r *wire.FreeResultsRequest) (*wire.FreeResultsResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freed += len(r.GetResults())
	return &wire.FreeResultsResponse{}, nil
}

func (c *collector) add(running, canceled int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += running
	c.canceled += canceled
}

func (c *collector) counts() (running, canceled, freed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.canceled, c.freed
}

// memoryListener accepts connections without a network.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn drops what is written once silent is closed.
type silentConn struct {
	net.Conn
	silent chan struct{}
}

func (c *silentConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// system is a server and its listener; dial opens a connection to it.
type system struct {
	collector *collector
	server    *Server
	listener  *memoryListener
	silent    chan struct{}
	dials     atomic.Int32
}

func newSystem(t *testing.T) *system {
	s := &system{collector: newCollector(), silent: make(chan struct{}), listener: &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	s.server = NewServer(s.collector, timer.NewService())
	mux := http.NewServeMux()
	mux.Handle(Path, s.server)
	h := &http.Server{Handler: mux}
	go func() { _ = h.Serve(s.listener) }()
	t.Cleanup(func() { require.NoError(t, h.Close()) })
	return s
}

func (s *system) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case s.listener.conns <- &silentConn{Conn: server, silent: s.silent}:
		s.dials.Add(1)
		return client, nil
	case <-s.listener.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func newTestClient(dial func(context.Context, string, string) (net.Conn, error)) *Client {
	return NewClient(Options{Timers: timer.NewService(), Dial: dial})
}

func stage(id string, takes time.Duration) *wire.RunStageRequest {
	return &wire.RunStageRequest{RequestId: id, DeadlineLeftMs: takes.Milliseconds()}
}

// Guards against a connection for each waiting stage: 370 gateways with ten waiting stages each
// held 3,700 of the 4,096 descriptors of a control VM. Guards also against a response that
// reaches another stage, for stages that end in another order than they began.
func TestWaitingStagesShareConnections(t *testing.T) {
	const gateways, stages = 37, 40
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		random := rand.New(rand.NewPCG(1, 1))
		var wg sync.WaitGroup
		clients := make([]*Client, gateways)
		for g := range clients {
			clients[g] = newTestClient(s.dial)
			for i := range stages {
				takes := time.Duration(1000+random.IntN(500)) * time.Millisecond
				wg.Go(func() {
					id := fmt.Sprintf("%d-%d", g, i)
					resp, err := clients[g].RunStage(t.Context(), "vm", stage(id, takes))
					require.NoError(t, err)
					require.Equal(t, id, resp.GetReason())
				})
			}
		}
		time.Sleep(500 * time.Millisecond)
		running, _, _ := s.collector.counts()
		require.Equal(t, gateways*stages, running)
		require.LessOrEqual(t, s.server.Connections(), gateways*connsPerCollector)
		wg.Wait()
		for _, c := range clients {
			require.NoError(t, c.Stop(t.Context()))
		}
		require.NoError(t, s.server.Stop(t.Context()))
	})
}

// Guards against stages that wait until their deadline on a connection that has gone silent
// while the collector works.
func TestSilentConnectionEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		c := newTestClient(s.dial)
		var wg sync.WaitGroup
		for range connsPerCollector {
			wg.Go(func() {
				_, err := c.RunStage(t.Context(), "vm", stage("a", time.Second))
				require.NoError(t, err)
			})
		}
		wg.Wait()
		before := s.silent
		s.silent = make(chan struct{})
		close(before)
		startedAt := time.Now()
		_, err := c.RunStage(t.Context(), "vm", stage("b", 10*time.Second))
		var link *LinkError
		require.ErrorAs(t, err, &link)
		var silent *SilentError
		require.ErrorAs(t, err, &silent)
		require.LessOrEqual(t, time.Since(startedAt), 2*pingInterval+pongTimeout)
		resp, err := c.RunStage(t.Context(), "vm", stage("c", time.Second))
		require.NoError(t, err, "a new connection works")
		require.Equal(t, "c", resp.GetReason())
		require.NoError(t, c.Stop(t.Context()))
		require.NoError(t, s.server.Stop(t.Context()))
	})
}

// Guards against a stage that takes long on a sound connection and is taken for lost.
func TestLongStageKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		c := newTestClient(s.dial)
		_, err := c.RunStage(t.Context(), "vm", stage("a", time.Minute))
		require.NoError(t, err)
		require.EqualValues(t, 1, s.dials.Load())
		time.Sleep(2 * idleTimeout)
		require.Zero(t, s.server.Connections(), "an unused connection is closed")
		require.NoError(t, c.Stop(t.Context()))
		require.NoError(t, s.server.Stop(t.Context()))
	})
}

// Guards against work for a caller that has left, against a response to it that reaches
// another stage, and against results that are not released.
func TestCanceledStageEndsAtTheCollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		c := newTestClient(s.dial)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := c.RunStage(ctx, "vm", stage("a", time.Second))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		synctest.Wait()
		running, canceled, _ := s.collector.counts()
		require.Equal(t, 0, running)
		require.Equal(t, 1, canceled)
		resp, err := c.RunStage(t.Context(), "vm", stage("b", 2*time.Second))
		require.NoError(t, err)
		require.Equal(t, "b", resp.GetReason())
		require.NoError(t, c.FreeResults(t.Context(), "vm", &wire.FreeResultsRequest{Results: []*wire.PieceResult{{Handle: "x"}}}))
		synctest.Wait()
		_, _, freed := s.collector.counts()
		require.Equal(t, 1, freed)
		c.peer("vm").slots[0].session.take(&wire.StageFrame{Call: 1, Content: &wire.StageFrame_Response{Response: &wire.RunStageResponse{Results: []*wire.PieceResult{{Handle: "y"}, {Handle: "z"}}}}})
		synctest.Wait()
		_, _, freed = s.collector.counts()
		require.Equal(t, 3, freed, "results of a stage that ended while it was canceled")
		require.NoError(t, c.Stop(t.Context()))
		require.NoError(t, s.server.Stop(t.Context()))
	})
}

// Guards against a planned stop that cuts waiting stages off without a response, and against
// one that waits for connections.
func TestStopAnswersWaitingStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		c := newTestClient(s.dial)
		answers := make(chan string, 10)
		for range cap(answers) {
			go func() {
				resp, err := c.RunStage(t.Context(), "vm", stage("a", time.Minute))
				require.NoError(t, err)
				answers <- resp.GetReason()
			}()
		}
		time.Sleep(time.Second)
		close(s.collector.stopped)
		require.NoError(t, s.server.Stop(t.Context()))
		for range cap(answers) {
			require.Equal(t, ReasonStopping, <-answers)
		}
		require.NoError(t, c.Stop(t.Context()))
	})
}

// Guards against stages that hang, and memory that grows, when a peer sends bytes that are no
// frames, frames without end, or another response than the upgrade.
func TestForeignBytesEndTheConnection(t *testing.T) {
	upgrade := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	for name, c := range map[string]struct{ head, rest string }{
		"no upgrade":        {head: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"},
		"head without end":  {head: "HTTP/1.1 101 Switching Protocols\r\n", rest: strings.Repeat("X-A: b\r\n", 100)},
		"frame too large":   {head: upgrade + "\xff\xff\xff\xff\x0f", rest: "aaaaaaaa"},
		"no frames":         {head: upgrade, rest: strings.Repeat("\xff", 100)},
		"closed in a frame": {head: upgrade + "\x20\x08"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newTestClient(func(context.Context, string, string) (net.Conn, error) {
					c1, c2 := net.Pipe()
					go func() {
						defer func() { _ = c2.Close() }()
						if _, err := http.ReadRequest(bufio.NewReader(c2)); err != nil {
							return
						}
						_, err := io.WriteString(c2, c.head)
						for err == nil && c.rest != "" {
							_, err = io.WriteString(c2, c.rest)
						}
					}()
					return c1, nil
				})
				_, err := client.RunStage(t.Context(), "vm", stage("a", time.Second))
				var link *LinkError
				require.ErrorAs(t, err, &link)
				require.NoError(t, client.Stop(t.Context()))
			})
		})
	}
}

// Guards against a stage that waits for a collector that refuses connections, and against a
// client that doesn't stop while one is being opened.
func TestRefusedConnectionFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("connection refused")
		c := newTestClient(func(context.Context, string, string) (net.Conn, error) { return nil, refused })
		startedAt := time.Now()
		_, err := c.RunStage(t.Context(), "vm", stage("a", time.Second))
		require.ErrorIs(t, err, refused)
		require.Zero(t, time.Since(startedAt))
		require.NoError(t, c.Stop(t.Context()))
		_, err = c.RunStage(t.Context(), "vm", stage("a", time.Second))
		require.ErrorIs(t, err, net.ErrClosed)
	})
}

// largeStage is a stage of the size that is usual at the large deployment.
func largeStage() *wire.RunStageRequest {
	r := stage("9c41d07be2a35f68", 0)
	for i := range 15 {
		handle := fmt.Sprintf("10.128.64.%d:8080/5c1e07a2e44%d", i, i)
		r.Inputs = append(r.Inputs, handle)
		r.Release = append(r.Release, &wire.PieceResult{Handle: handle, Target: "i-7f3a91c2", FailureDomain: "milford"})
	}
	return r
}

// instant answers at once.
type instant struct{ wire.Batching }

func (instant) RunStage(context.Context, *wire.RunStageRequest) (*wire.RunStageResponse, error) {
	return &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_DONE}, nil
}

func (instant) FreeResults(context.Context, *wire.FreeResultsRequest) (*wire.FreeResultsResponse, error) {
	return &wire.FreeResultsResponse{}, nil
}

// BenchmarkStage compares the processor time of a stage, both sides together, over shared
// connections and over a connection for each waiting stage.
func BenchmarkStage(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	mux := http.NewServeMux()
	mux.Handle(Path, NewServer(instant{}, timer.NewService()))
	mux.Handle(wire.BatchingPathPrefix, wire.NewBatchingServer(instant{}))
	h := &http.Server{Handler: mux}
	go func() { _ = h.Serve(l) }()
	defer func() { _ = h.Close() }()
	links := NewClient(Options{Timers: timer.NewService()})
	calls := wire.NewBatchingProtobufClient("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}})
	for name, run := range map[string]func(*wire.RunStageRequest) error{
		"shared": func(r *wire.RunStageRequest) error {
			_, err := links.RunStage(b.Context(), l.Addr().String(), r)
			return err
		},
		"own": func(r *wire.RunStageRequest) error {
			_, err := calls.RunStage(b.Context(), r)
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				r := largeStage()
				for pb.Next() {
					require.NoError(b, run(r))
				}
			})
		})
	}
}

// FuzzFrames guards against a control VM that fails, blocks or runs a stage twice because of what
// arrives on a connection for stages.
func FuzzFrames(f *testing.F) {
	frame := func(frames ...*wire.StageFrame) []byte {
		var b bytes.Buffer
		for _, frame := range frames {
			_, err := protodelim.MarshalTo(&b, frame)
			require.NoError(f, err)
		}
		return b.Bytes()
	}
	run := &wire.StageFrame{Call: 1, Content: &wire.StageFrame_Run{Run: stage("a", 0)}}
	f.Add(frame(run))
	f.Add(frame(run, run))
	f.Add(frame(run, &wire.StageFrame{Call: 1, Content: &wire.StageFrame_Cancel{}}))
	f.Add(frame(&wire.StageFrame{Content: &wire.StageFrame_Ping{}}, &wire.StageFrame{Content: &wire.StageFrame_Free{}}, &wire.StageFrame{}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		s := NewServer(instant{}, timer.NewService())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ss := &session{server: s, link: newLink(server, bufio.NewReader(server), timer.NewService()), ctx: ctx, cancel: cancel, running: map[uint64]context.CancelFunc{}}
		s.wg.Add(1)
		go ss.serve()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = client.Write(data)
		require.NoError(t, client.Close())
		s.wg.Wait()
		require.Empty(t, ss.running)
	})
}
