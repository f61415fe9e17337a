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

// pipelineTargets are two encoders and two engines.
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

// target returns the target of a service that works on something now.
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

// stream runs a streamed pipeline and returns its tokens and the answer.
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

// Guards P1 and P2: a stream whose engine dies or whose connection goes silent
// loses, repeats or mixes up tokens when it moves to another engine.
func TestStreamMovesWithoutLostOrDoubledTokens(t *testing.T) {
	breaks := map[string]func(s *system, e *runningEntry){
		"engine dies":      func(s *system, _ *runningEntry) { s.busyTarget("generators").Die() },
		"connection quiet": func(_ *system, e *runningEntry) { e.data.generation.Add(1) },
		"engine freezes": func(s *system, _ *runningEntry) {
			require.NoError(s.t, s.busyTarget("generators").SetFaults(standin.Faults{Freeze: true}))
		},
		"engine's connection quiet": func(s *system, _ *runningEntry) { s.busyTarget("generators").Silence() },
		"agent crashes": func(s *system, _ *runningEntry) {
			name := s.busyTarget("generators").Name()
			for _, a := range s.agents {
				if a.o.TargetName == name {
					a.crash()
				}
			}
		},
	}
	for name, breakIt := range breaks {
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
					breakIt(s, e)
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

// Guards against a waiting request that is lost or run again from the start when
// its entry dies, and against an answer that another customer can fetch.
func TestWaitingRequestOutlivesItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		defer s.stop()
		s.pipelineTargets()
		first, second := s.addEntry("entry-1"), s.addEntry("entry-2")
		time.Sleep(3 * time.Second)
		second.control.cut.Store(true)
		body := map[string]any{"deadline_ms": 60_000, "input": "all stems of May", "max_tokens": 200, "submission_id": "may"}
		_, submitted := first.post("/v1/pipelines/stem-summary", body)
		require.Equal(t, "accepted", submitted.Outcome, submitted.Detail)
		_, again := first.post("/v1/pipelines/stem-summary", body)
		require.Equal(t, submitted.RequestID, again.RequestID)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 1, s.attempts("generators"))
		first.control.cut.Store(true)
		first.data.cut.Store(true)
		first.data.loseAnswer.Store(true)
		second.control.cut.Store(false)
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

// Guards P5: entries go on sending to a drained target whose agent does not hear of the drain.
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
		// The target that the entry prefers is the one to drain.
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
		// Asked at once, so that the load alone would spread them over both engines.
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(ask)
		}
		wg.Wait()
		require.Len(t, drained.Account(0).Attempts, before)
	})
}

// Guards P6: a planned stop of an entry cuts off a request in flight.
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
		// Stop returns when the handler has ended; Wait lets the caller read the answer
		// without letting time pass, so a request that outlives the stop is still noticed.
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

// Guards against an engine that is slow but not dead: its streams must go on at
// another engine in time, without a lost or doubled token.
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
