package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/load"
	"github.com/cardamomline/cardamomline/internal/report"
	"github.com/cardamomline/cardamomline/internal/standin"
)

const mixText = `
name: test
seed: 7
entries: ["127.0.0.1:9", "entry:80"]
max_requests: 90
customers:
  - {name: depot-milford, key: depot-milford-key, weight: 2}
  - {name: ship-agents, key: ship-agents-key, weight: 2}
requests:
  - {name: quote, kind: pipeline, pipeline: quote-answer, deadline: 6s, tokens: 12}
  - {name: quote-live, kind: stream, pipeline: quote-answer, deadline: 6s, tokens: 12}
  - {name: summary, kind: waiting, pipeline: stem-summary, deadline: 10m, tokens: 20}
  - {name: stock, kind: call, service: orders-core, operation: stock_lookup, deadline: 1s}
  - {name: release, kind: order, service: orders-core, operation: release_fuel, deadline: 2s, resend: 0.3}
phases:
  - {name: steady, duration: 2s, rate: 10}
  - {name: burst, duration: 1s, rate: 40, burst: 8}
`

// testEntry is the least that the caller API needs: no queues, retries or limits.
type testEntry struct {
	client *http.Client
	stage  map[string]string // operation to the address of its stand-in
	mu     sync.Mutex
	number int
	orders map[string]load.Answer
	parked map[string]load.Answer
	owner  map[string]string
	alone  map[string]bool // orders of which the caller said that no other request uses them
	broken []string        // those that came again all the same
}

func (e *testEntry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}", e.pipeline)
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/stream", e.stream)
	mux.HandleFunc("POST /v1/services/{service}/{operation}", e.call)
	mux.HandleFunc("GET /v1/waiting/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		a := e.parked[r.PathValue("id")]
		if r.Header.Get("Customer-Key") != e.owner[a.RequestID] {
			a = load.Answer{Outcome: load.OutcomeNotRun}
		}
		reply(w, a)
	})
	return mux
}

type testBody struct {
	Input   string `json:"input"`
	Tokens  int    `json:"max_tokens"`
	OrderID string `json:"order_id"`
	First   bool   `json:"first_attempt"`
}

func (e *testEntry) run(r *http.Request, operation string) (load.Answer, []byte) {
	var b testBody
	_ = json.NewDecoder(r.Body).Decode(&b)
	e.mu.Lock()
	e.number++
	id := fmt.Sprintf("r%d", e.number)
	e.mu.Unlock()
	data, _ := json.Marshal(standin.StageRequest{
		Attempt: "a-" + id, Request: id, Customer: r.Header.Get("Customer-Key"), Order: b.OrderID, Input: b.Input, MaxTokens: b.Tokens,
	})
	resp, err := e.client.Post("http://"+e.stage[operation]+"/v1/stage/"+operation, "application/json", bytes.NewReader(data))
	if err != nil {
		return load.Answer{RequestID: id, Outcome: load.OutcomeFailed, Reason: err.Error()}, nil
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	last := strings.TrimSpace(string(body[max(0, bytes.LastIndex(body, []byte("data: "))):]))
	var out standin.StageResult
	_ = json.Unmarshal([]byte(strings.TrimPrefix(last, "data: ")), &out)
	return load.Answer{RequestID: id, Outcome: load.OutcomeDone, Output: out.Output}, body
}

func (e *testEntry) pipeline(w http.ResponseWriter, r *http.Request) {
	a, _ := e.run(r, "generate")
	if r.PathValue("pipeline") == "stem-summary" {
		e.mu.Lock()
		e.parked[a.RequestID] = a
		e.owner[a.RequestID] = r.Header.Get("Customer-Key")
		e.mu.Unlock()
		a = load.Answer{RequestID: a.RequestID, Outcome: load.OutcomeAccepted}
	}
	reply(w, a)
}

func (e *testEntry) stream(w http.ResponseWriter, r *http.Request) {
	a, events := e.run(r, "generate")
	for line := range strings.Lines(string(events)) {
		var t standin.TokenEvent
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &t) == nil && t.Text != "" {
			fmt.Fprintf(w, "event: token\ndata: {\"event\":\"token\",\"offset\":%d,\"text\":%q}\n\n", t.Offset, t.Text)
		}
	}
	answer, _ := json.Marshal(a)
	fmt.Fprintf(w, "event: answer\ndata: {\"event\":\"answer\",\"answer\":%s}\n\n", answer)
}

// call remembers orders and so runs each of them once.
func (e *testEntry) call(w http.ResponseWriter, r *http.Request) {
	var b testBody
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &b)
	r.Body = io.NopCloser(bytes.NewReader(data))
	e.mu.Lock()
	old, known := e.orders[b.OrderID]
	if e.alone[b.OrderID] {
		e.broken = append(e.broken, b.OrderID)
	}
	e.alone[b.OrderID] = b.First
	e.mu.Unlock()
	if known {
		old.Repeated = true
		reply(w, old)
		return
	}
	a, _ := e.run(r, r.PathValue("operation"))
	if b.OrderID != "" {
		e.mu.Lock()
		e.orders[b.OrderID] = a
		e.mu.Unlock()
	}
	reply(w, a)
}

func reply(w http.ResponseWriter, a load.Answer) { _ = json.NewEncoder(w).Encode(a) }

// Guards against a tool that loses requests of any kind, miscounts their cost, or
// gives up when one of its entries can't be reached.
func TestRunOnVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemoryNetwork()
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		entry := &testEntry{client: client, stage: map[string]string{}, orders: map[string]load.Answer{}, parked: map[string]load.Answer{}, owner: map[string]string{}, alone: map[string]bool{}}
		var all []*standin.Standin
		for _, o := range []standin.Options{
			{Name: "engine-1", Kind: standin.KindEngine, Listen: "engine:80"},
			{Name: "orders-1", Kind: standin.KindService, Listen: "orders:80", Service: "orders-core", Operations: []standin.Operation{
				{Name: "release_fuel", Duration: 10 * time.Millisecond},
				{Name: "stock_lookup", Duration: 2 * time.Millisecond, Idempotent: true},
			}},
		} {
			o.Open = network.Listen
			s, err := standin.New(o)
			require.NoError(t, err)
			require.NoError(t, s.Start(t.Context()))
			defer func() { require.NoError(t, s.Stop(context.Background())) }()
			all = append(all, s)
		}
		entry.stage["generate"], entry.stage["release_fuel"], entry.stage["stock_lookup"] = "engine:80", "orders:80", "orders:80"
		l, err := network.Listen("entry:80")
		require.NoError(t, err)
		server := &http.Server{Handler: entry.routes()}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()

		mix, err := load.ParseMix("mix.yaml", []byte(mixText))
		require.NoError(t, err)
		mix.Accounts = []string{all[0].Address(), all[1].Address()}
		run, err := load.NewRunner(load.Options{Mix: mix, Name: "x", Client: client}).Run(t.Context())
		require.NoError(t, err)
		require.Empty(t, run.Violations)
		require.Equal(t, len(load.Schedule(mix, "x")), run.Sent)
		require.Equal(t, "all", run.Attainment[0].Name)
		require.Equal(t, run.Sent, run.Attainment[0].Attained)
		require.Positive(t, run.Retries)
		require.Zero(t, run.UnusedShare())
		require.True(t, run.Checked.Complete)
		require.Equal(t, run.Checked.Orders, run.Checked.Effects)
		require.NotEmpty(t, run.FirstToken)
		require.Empty(t, entry.broken)
		require.Contains(t, slices.Collect(maps.Values(entry.alone)), true)

		mix.MaxInFlight = 1
		again, err := load.NewRunner(load.Options{Mix: mix, Name: "y", Client: client}).Run(t.Context())
		require.NoError(t, err)
		require.Positive(t, again.NotSent)
		require.Equal(t, len(load.Schedule(mix, "y")), again.Sent+again.NotSent)
		// Each call makes at most one attempt; those of the first run don't count.
		require.LessOrEqual(t, again.Checked.Attempts, again.Sent)
		transport.CloseIdleConnections()
	})
}

// Guards against a schedule that depends on more than the mix and the name.
func TestScheduleRepeats(t *testing.T) {
	mix, err := load.ParseMix("mix.yaml", []byte(mixText))
	require.NoError(t, err)
	first, second := load.Schedule(mix, "x"), load.Schedule(mix, "x")
	require.Equal(t, first, second)
	resent := 0
	for i, a := range first {
		if a.ResendOf >= 0 {
			resent++
			require.Equal(t, first[a.ResendOf].Input, a.Input)
			require.Equal(t, first[a.ResendOf].Order, a.Order)
		}
		if i > 0 {
			require.GreaterOrEqual(t, a.At, first[i-1].At)
		}
	}
	require.Positive(t, resent)
}

// Guards against example mixes that the tool refuses.
func TestExampleMixes(t *testing.T) {
	for _, name := range []string{"harbwr", "imanes"} {
		mix, err := load.ReadMix("../../examples/load/" + name + ".yaml")
		require.NoError(t, err)
		require.Greater(t, len(load.Schedule(mix, "x")), 100)
	}
	_, err := load.ParseMix("mix.yaml", []byte("name: test\nseeed: 7\n"))
	require.ErrorContains(t, err, "[2:1]")
}

// Guards against a tool that takes a refusal for a loss or a loss for a refusal, or
// that waits for one entry for ever.
func TestRunAgainstBadEntries(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"unavailable:80": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"name":"unavailable","message":"leaving"}`)
		},
		"silent:80": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection only after the body
			<-r.Context().Done()
		},
		"not_run:80": func(w http.ResponseWriter, _ *http.Request) { reply(w, load.Answer{Outcome: load.OutcomeNotRun}) },
		"hanging:80": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"changing:80": func(w http.ResponseWriter, _ *http.Request) {
			reply(w, load.Answer{Outcome: load.OutcomeDone, Output: "x"})
		},
	}
	cases := []struct {
		entries []string
		outcome string
		kind    string // of all violations, none when empty
	}{
		{[]string{"unavailable:80"}, load.OutcomeRefused, ""},
		{[]string{"silent:80", "not_run:80"}, load.OutcomeNotRun, ""},
		{[]string{"hanging:80", "unavailable:80"}, "no_answer", report.KindLost},
		{[]string{"changing:80"}, "", report.KindMisdelivered},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			network := standin.NewMemoryNetwork()
			transport := &http.Transport{DialContext: network.Dial}
			defer transport.CloseIdleConnections()
			for address, handler := range answers {
				l, err := network.Listen(address)
				require.NoError(t, err)
				server := &http.Server{Handler: handler}
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
			}
			mix, err := load.ParseMix("mix.yaml", []byte(mixText))
			require.NoError(t, err)
			mix.Entries, mix.Requests, mix.MaxRequests = c.entries, mix.Requests[3:4], 10
			run, err := load.NewRunner(load.Options{Mix: mix, Name: "x", Client: &http.Client{Transport: transport}}).Run(t.Context())
			require.NoError(t, err)
			if c.outcome != "" {
				require.Len(t, run.Refusals, 1)
				require.Equal(t, c.outcome, run.Refusals[0].Outcome)
			}
			require.Equal(t, c.kind != "", len(run.Violations) > 0)
			require.Equal(t, len(run.Violations), run.Count(c.kind))
		})
	}
}

// Guards against a thinned schedule that isn't an even part of the whole one, and
// against skipped orders, whose later copies would have no first.
func TestSkippedArrivalsAreAnEvenPart(t *testing.T) {
	mix, err := load.ParseMix("mix.yaml", []byte(mixText))
	require.NoError(t, err)
	whole := load.Schedule(mix, "x")
	thin := *mix
	thin.Requests = slices.Clone(mix.Requests)
	skips := map[load.Kind]float64{load.KindStream: 0.25, load.KindWaiting: 1}
	for i := range thin.Requests {
		thin.Requests[i].Skip = skips[thin.Requests[i].Kind]
	}
	kept := make(map[int]load.Arrival)
	for _, a := range load.Schedule(&thin, "x") {
		kept[a.Index] = a
	}
	count, left := make(map[string]float64), make(map[string]float64)
	for _, a := range whole {
		skip := skips[a.Request.Kind]
		count[a.Request.Name]++
		if k, ok := kept[a.Index]; ok {
			left[a.Request.Name]++
			k.Request.Skip = 0
			require.Equal(t, a, k)
		}
		require.InDelta(t, (1-skip)*count[a.Request.Name], left[a.Request.Name], 1, a.Request.Name)
	}
	require.Less(t, len(kept), len(whole))

	_, err = load.ParseMix("mix.yaml", []byte(strings.Replace(mixText, "resend: 0.3", "resend: 0.3, skip: 0.1", 1)))
	var wrong *load.MixError
	require.ErrorAs(t, err, &wrong)
}
