package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// pipelineTargets adds two encoders and two engines.
func (s *system) pipelineTargets() {
	for i := range 2 {
		s.addTarget(standin.Options{
			Name: fmt.Sprintf("encoder-%d", i+1), Service: "encoders", Kind: standin.KindEncoder, Slots: 4,
			Operations: []standin.Operation{{Name: "encode", Idempotent: true, Duration: 5 * time.Millisecond}},
		})
		s.addTarget(standin.Options{
			Name: fmt.Sprintf("engine-%d", i+1), Service: "generators", Kind: standin.KindEngine, Slots: 4,
			Engine: standin.EngineOptions{Models: []string{"bunker-7b"}},
		})
	}
}

func (s *system) attempts(service string) int {
	n := 0
	for _, target := range s.targets {
		if target.Service() == service {
			n += len(target.Account(0).Attempts)
		}
	}
	return n
}

// busyTarget returns the target of a service that currently runs an attempt.
func (s *system) busyTarget(service string) *standin.Standin {
	for _, target := range s.targets {
		for _, a := range target.Account(0).Attempts {
			if target.Service() == service && a.State == standin.StateRunning {
				return target
			}
		}
	}
	require.Fail(s.t, "no target of "+service+" is busy")
	return nil
}

type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Answer answer `json:"answer"`
}

// stream runs a streamed pipeline and returns its tokens and the final answer.
func (e *runningEntry) stream(body string) (tokens []tokenEvent, last answer) {
	r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/stem-answer/stream", strings.NewReader(body))
	r.Header.Set("Customer-Key", "depot-milford-key")
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	for line := range strings.Lines(w.Body.String()) {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var event tokenEvent
		_ = json.Unmarshal([]byte(data), &event)
		if event.Answer.Outcome != "" {
			last = event.Answer
			continue
		}
		tokens = append(tokens, event)
	}
	return tokens, last
}

// Requirements P1 and P2: guards against lost, repeated or reordered tokens when a stream
// moves to another engine because its engine crashed or its connection became
// unresponsive.
func TestStreamMovesWithoutLostOrDoubledTokens(t *testing.T) {
	faults := map[string]func(s *system, e *runningEntry){
		"engine crashes":          func(s *system, _ *runningEntry) { s.busyTarget("generators").Die() },
		"connection unresponsive": func(_ *system, e *runningEntry) { e.data.generation.Add(1) },
		"engine freezes": func(s *system, _ *runningEntry) {
			require.NoError(s.t, s.busyTarget("generators").SetFaults(standin.Faults{Freeze: true}))
		},
		"engine's connection unresponsive": func(s *system, _ *runningEntry) { s.busyTarget("generators").Silence() },
		"agent crashes": func(s *system, _ *runningEntry) {
			name := s.busyTarget("generators").Name()
			for _, a := range s.agents {
				if a.o.TargetName == name {
					a.crash()
				}
			}
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t)
				defer s.stop()
				s.pipelineTargets()
				e := s.addEntry("entry-1")
				time.Sleep(3 * time.Second)
				_, warm := e.stream(`{"deadline_ms": 15000, "input": "x", "max_tokens": 20}`)
				require.Equal(t, "done", warm.Outcome)
				before := s.attempts("generators")
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(400 * time.Millisecond)
					inject(s, e)
				})
				tokens, last := e.stream(`{"deadline_ms": 15000, "input": "when does the Carys berth?", "max_tokens": 80}`)
				wg.Wait()
				require.Equal(t, "done", last.Outcome, last.Detail)
				require.Len(t, tokens, 80)
				text := ""
				for i, token := range tokens {
					require.Equal(t, i, token.Offset)
					text += token.Text
				}
				require.Equal(t, last.Output, text)
				origin := standin.Origin("when does the Carys berth?")
				require.Equal(t, standin.Text(origin, last.RequestID, 0, 80), text)
				require.Equal(t, before+2, s.attempts("generators"), "the stream did not move")
			})
		})
	}
}

// Guards against losing a waiting request, or running it again from the start, when its
// entry crashes, and against returning its answer to another customer.
func TestWaitingRequestOutlivesItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.pipelineTargets()
		first, second := s.addEntry("entry-1"), s.addEntry("entry-2")
		time.Sleep(3 * time.Second)
		second.control.disconnected.Store(true)
		body := map[string]any{"deadline_ms": 60_000, "input": "all stems of May", "max_tokens": 200, "submission_id": "may"}
		_, submitted := first.post("/v1/pipelines/stem-summary", body)
		require.Equal(t, "accepted", submitted.Outcome, submitted.Detail)
		_, again := first.post("/v1/pipelines/stem-summary", body)
		require.Equal(t, submitted.RequestID, again.RequestID)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 1, s.attempts("generators"))
		first.control.disconnected.Store(true)
		first.data.disconnected.Store(true)
		first.data.dropResponses.Store(true)
		second.control.disconnected.Store(false)
		time.Sleep(30 * time.Second)
		path := "/v1/waiting/" + submitted.RequestID
		_, got := second.do(http.MethodGet, path, nil)
		require.Equal(t, "done", got.Outcome, got.Detail)
		require.Equal(t, standin.Text(standin.Origin("all stems of May"), submitted.RequestID, 0, 200), got.Output)
		require.Equal(t, 1, s.attempts("encoders"), "the recorded stage ran again")

		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Customer-Key", "depot-swansea-key")
		w := httptest.NewRecorder()
		second.handler.ServeHTTP(w, r)
		require.NotEqual(t, http.StatusOK, w.Code)
	})
}

// Requirement P5: guards against sending new calls to a drained target.
func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.pipelineTargets()
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		ask := func() {
			_, a := e.post("/v1/pipelines/stem-answer", map[string]any{"deadline_ms": 3000, "input": "x", "max_tokens": 4})
			require.Equal(t, "done", a.Outcome, a.Detail)
		}
		ask()
		// Drain the target that the entry prefers.
		var drained *standin.Standin
		for _, target := range s.targets {
			if target.Service() == "generators" && len(target.Account(0).Attempts) > 0 {
				drained = target
			}
		}
		ask()
		before := len(drained.Account(0).Attempts)
		require.Equal(t, 2, before, "the entry does not prefer one target")
		s.control.execute(&wire.Command{Kind: &wire.Command_SetDrain{SetDrain: &wire.SetDrain{Target: drained.Name(), Draining: true}}})
		time.Sleep(3 * time.Second)
		// The calls run concurrently, so that the load alone would spread them over both
		// engines.
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(ask)
		}
		wg.Wait()
		require.Len(t, drained.Account(0).Attempts, before)
	})
}

// Requirement P6: guards against cancelling running requests on a planned shutdown of an
// entry.
func TestStoppingEntryEndsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.pipelineTargets()
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		answers := make(chan answer, 1)
		go func() {
			_, a := e.post("/v1/pipelines/stem-answer", map[string]any{"deadline_ms": 15_000, "input": "x", "max_tokens": 300})
			answers <- a
		}()
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, e.kernel.Stop(t.Context()))
		// Stop returns when the handler has returned. Wait lets the caller read the
		// response without advancing the virtual time, so that a request which outlives
		// the shutdown is still detected.
		synctest.Wait()
		select {
		case a := <-answers:
			require.Equal(t, "done", a.Outcome, a.Detail)
		default:
			require.Fail(t, "the entry stopped before its request ended")
		}
		code, _ := e.post("/v1/pipelines/stem-answer", map[string]any{"deadline_ms": 1000, "input": "x"})
		require.Equal(t, http.StatusServiceUnavailable, code)
	})
}

// Guards against streams that miss their deadline at a slow engine: they must move to
// another engine in time, without lost or repeated tokens.
func TestSlowStreamMovesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.pipelineTargets()
		e := s.addEntry("entry-1")
		time.Sleep(3 * time.Second)
		body := map[string]any{"deadline_ms": 3000, "input": "x", "max_tokens": 100}
		for range 10 {
			_, a := e.post("/v1/pipelines/stem-answer", body)
			require.Equal(t, "done", a.Outcome, a.Detail)
		}
		for _, target := range s.targets {
			if target.Name() == "engine-1" {
				require.NoError(t, target.SetFaults(standin.Faults{Slow: 10}))
			}
		}
		before := s.attempts("generators")
		for range 10 {
			_, a := e.post("/v1/pipelines/stem-answer", body)
			require.Equal(t, "done", a.Outcome, a.Detail)
			require.Equal(t, standin.Text(standin.Origin("x"), a.RequestID, 0, 100), a.Output)
		}
		require.Greater(t, s.attempts("generators"), before+10, "no stream moved")
	})
}
