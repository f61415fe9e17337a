package stagelink

import (
	"context"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Collector runs the stages that arrive.
type Collector interface {
	RunStage(ctx context.Context, r *wire.RunStageRequest) (*wire.RunStageResponse, error)
	FreeResults(ctx context.Context, r *wire.FreeResultsRequest) (*wire.FreeResultsResponse, error)
}

// Server serves the connections of gateways. It is an http.Handler and stops after the
// collector, so that every waiting stage is answered.
type Server struct {
	collector Collector
	timers    *timer.Service
	mu        sync.Mutex
	stopped   bool
	sessions  map[*session]struct{}
	wg        sync.WaitGroup
	done      chan struct{}
}

// NewServer returns a Server.
func NewServer(c Collector, ts *timer.Service) *Server {
	return &Server{collector: c, timers: ts, sessions: map[*session]struct{}{}, done: make(chan struct{})}
}

// ServeHTTP upgrades the connection of a gateway.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "this path carries stages: send Upgrade: "+protocol, http.StatusUpgradeRequired)
		return
	}
	h := w.Header()
	h.Set("Connection", "Upgrade")
	h.Set("Upgrade", protocol)
	w.WriteHeader(http.StatusSwitchingProtocols)
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		klog.ErrorS(err, "Connection for stages not taken over", "peer", r.RemoteAddr)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	ss := &session{server: s, link: newLink(conn, buf.Reader, s.timers), ctx: ctx, cancel: cancel, running: map[uint64]context.CancelFunc{}}
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		ss.link.finish()
		return
	}
	s.sessions[ss] = struct{}{}
	s.wg.Add(1)
	s.mu.Unlock()
	go ss.serve()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Stop implements kernel.Stopper. Responses that are ready are sent.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	for ss := range s.sessions {
		go ss.finish()
	}
	s.mu.Unlock()
	go func() {
		s.wg.Wait()
		close(s.done)
	}()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.link.close(ctx.Err())
	}
	return ctx.Err()
}

// Done implements kernel.Stopper.
func (s *Server) Done() <-chan struct{} { return s.done }

// session is the server's side of one connection.
type session struct {
	server  *Server
	link    *link
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	running map[uint64]context.CancelFunc
	calls   sync.WaitGroup
	// stopping is set when no stage is begun any more.
	stopping bool
}

// serve reads frames until the connection ends, which cancels its stages.
func (ss *session) serve() {
	defer ss.server.wg.Done()
	for {
		f, err := ss.link.receive()
		if err != nil {
			break
		}
		ss.take(f)
	}
	ss.cancel()
	ss.calls.Wait()
	ss.server.mu.Lock()
	defer ss.server.mu.Unlock()
	delete(ss.server.sessions, ss)
}

func (ss *session) take(f *wire.StageFrame) {
	switch content := f.GetContent().(type) {
	case *wire.StageFrame_Run:
		ss.begin(f.GetCall(), content.Run)
	case *wire.StageFrame_Cancel:
		ss.end(f.GetCall())
	case *wire.StageFrame_Free:
		if _, err := ss.server.collector.FreeResults(ss.ctx, content.Free); err != nil {
			klog.V(1).InfoS("Results not released", "results", len(content.Free.GetResults()), "cause", err.Error())
		}
	case *wire.StageFrame_Ping:
		_ = ss.link.send(&wire.StageFrame{Content: &wire.StageFrame_Pong{Pong: &wire.Ping{}}}) // a link that has ended needs no pong
	}
}

// begin starts a stage.
func (ss *session) begin(call uint64, r *wire.RunStageRequest) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	switch _, used := ss.running[call]; {
	case used:
		ss.link.close(&FrameError{reason: "a number was used again"})
	case ss.stopping:
		ss.respond(call, r, &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_FAILED, Reason: ReasonStopping})
	default:
		ctx, cancel := context.WithCancel(ss.ctx)
		ss.running[call] = cancel
		ss.calls.Go(func() { ss.run(ctx, call, r) })
	}
}

// end cancels a stage that is running.
func (ss *session) end(call uint64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if cancel := ss.running[call]; cancel != nil {
		cancel()
		delete(ss.running, call)
	}
}

// run runs a stage and sends its response unless the gateway has canceled it.
func (ss *session) run(ctx context.Context, call uint64, r *wire.RunStageRequest) {
	defer ss.end(call)
	resp, err := ss.server.collector.RunStage(ctx, r)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		resp = &wire.RunStageResponse{Outcome: wire.StageOutcome_STAGE_OUTCOME_FAILED, Reason: err.Error()}
	}
	ss.respond(call, r, resp)
}

func (ss *session) respond(call uint64, r *wire.RunStageRequest, resp *wire.RunStageResponse) {
	if err := ss.link.send(&wire.StageFrame{Call: call, Content: &wire.StageFrame_Response{Response: resp}}); err != nil {
		klog.InfoS("Response of a stage not sent", "request", r.GetRequestId(), "service", r.GetService(), "cause", err.Error())
	}
}

// finish ends the connection after the responses of the stages that are running.
func (ss *session) finish() {
	ss.mu.Lock()
	ss.stopping = true
	ss.mu.Unlock()
	ss.calls.Wait()
	ss.link.finish()
}
