package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// mixedConfig has one route with one stage, whose pieces fill a call.
const mixedConfig = `{"version":7,"routes":[{"name":"quote-draft","host":"pule25.example","pathPrefix":"/puxa400/","type":"stream","timeoutMs":6000,"sloMs":1900,"priority":0,
"backend":"cardamom-pool","attempts":1,"phases":[{"backend":"price-book","after":[],"sizeBytes":8000}],"public":false,"sticky":true,"resumable":false,"tpotTargetMs":300}],
"backends":[{"name":"cardamom-pool","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,"runtime":{"concurrency":64,"kvCapacity":332423,"kvBytes":327680,"linkMbps":740000.0}},
{"name":"price-book","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,"segments":{"concurrency":1,"queue":2,"batch":8,"callMs":200.0,"itemMs":21.0,"headroomMb":18.0,"handleTtlS":4.0,"linkMbps":10000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	mixedStageWorkers = 5
	// mixedGarbling of the stage workers send some answers twice: a share of 0.6.
	mixedGarbling = 3
	mixedPieces   = 8
	mixedRate     = 90 * time.Millisecond // between requests
	mixedFor      = 70 * time.Second
	// failShare of the calls get no result: each piece has the reason "error".
	failShare = 0.03
	// Some workers send up to copyShare of their answers twice, for copyFor in each copyEvery.
	copyShare = 0.03
	copyFor   = 5 * time.Second
	copyEvery = 8 * time.Second
)

func init() { plays["mixed"] = playMixed }

// stagePiece and stageResult are one piece of a stage call and what came of it.
type stagePiece struct {
	ID      string   `json:"id"`
	Phase   int      `json:"phase"`
	Segment int      `json:"segment"`
	Key     string   `json:"key"`
	Inputs  []string `json:"inputs"`
}

type stageResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

type connKey struct{}

// stageWorker is a worker that runs pieces of stages, one call at a time.
type stageWorker struct {
	*worker
	rec      *record
	made     *madeResults
	garbling *garbling // nil for a worker that sends each answer once
	turn     chan struct{}
	waiting  atomic.Int64
	random   *rand.Rand
	mu       sync.Mutex
	late     map[net.Conn][]byte // second answers that arrive where the next one is expected
}

// garbling decides which answers of some workers are sent twice.
type garbling struct {
	mu              sync.Mutex
	began           time.Time
	answers, copies int // while answers may be sent twice
}

// sendsTwice counts an answer and reports whether it is sent twice.
func (g *garbling) sendsTwice(failed bool) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.began.IsZero() || time.Since(g.began)%copyEvery > copyFor {
		return false
	}
	g.answers++
	if !failed || float64(g.copies+1) > copyShare*float64(g.answers) {
		return false
	}
	g.copies++
	return true
}

// madeResults knows which piece each handle is of.
type madeResults struct {
	mu     sync.Mutex
	pieces map[string]string
	n      int
}

func (m *madeResults) add(address, piece string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n++
	handle := fmt.Sprintf("%s/%08x", address, m.n)
	m.pieces[handle] = piece
	return handle
}

func (m *madeResults) piece(handle string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pieces[handle]
}

func newStageWorker(f *fleet, n int, made *madeResults, garbling *garbling) (*stageWorker, error) {
	s := &stageWorker{rec: f.rec, made: made, garbling: garbling, turn: make(chan struct{}, 1), random: rand.New(rand.NewPCG(34, uint64(n))), late: map[net.Conn][]byte{}}
	wk, err := newWorker(f, fmt.Sprintf("i-book-%d", n), "price-book", fmt.Sprintf("127.0.83.%d", 61+n), 1, s.serve)
	s.worker = wk
	return s, err
}

// serve answers a call. An answer that is sent twice arrives a second time when the next call has been read.
func (s *stageWorker) serve(_ *worker, w http.ResponseWriter, r *http.Request, body []byte) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	second := s.late[conn]
	delete(s.late, conn)
	s.mu.Unlock()
	if second != nil {
		s.rec.event("worker %s sends an answer a second time, where the answer to %s is expected", s.id, r.URL.Path)
		_, _ = conn.Write(second)
	}
	if r.URL.Path != "/v1/stage-run" {
		return
	}
	var call struct {
		Entries []stagePiece `json:"entries"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.waiting.Add(1) > 3 {
		s.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.turn <- struct{}{}
	time.Sleep(200*time.Millisecond + time.Duration(len(call.Entries))*21*time.Millisecond)
	s.mu.Lock()
	fails := s.random.Float64() < failShare
	s.mu.Unlock()
	twice := s.garbling.sendsTwice(fails)
	results := make([]stageResult, len(call.Entries))
	for i, p := range call.Entries {
		results[i] = stageResult{Reason: "error"}
		if !fails {
			results[i] = stageResult{Handle: s.made.add(s.address, fmt.Sprintf("%s/%d/%d", p.ID, p.Phase, p.Segment))}
		}
	}
	<-s.turn
	s.waiting.Add(-1)
	answer, err := json.Marshal(map[string]any{"entries": results})
	if err != nil {
		return
	}
	s.rec.event("worker %s: call of %d pieces, first %s/%d: failed %t, first handle %q", s.id, len(call.Entries), call.Entries[0].ID, call.Entries[0].Segment, fails, results[0].Handle)
	if twice {
		s.mu.Lock()
		s.late[conn] = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nWorker-Load: 0,0,1\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Worker-Load", "0,0,1")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

// playMixed serves requests with a stage, while some workers of the stage send a few of their answers twice.
func playMixed(rec *record, trouble bool) error {
	f, err := newFleet(rec, 83, 2)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	made := &madeResults{pieces: map[string]string{}}
	var mu sync.Mutex
	var faults []string
	runs := 0
	model := func(wk *worker, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		inputs := strings.Split(r.Header.Get("Inputs"), ",")
		wrong := checkInputs(made, id, inputs)
		mu.Lock()
		runs++
		if wrong != "" {
			faults = append(faults, wrong)
		}
		mu.Unlock()
		if wrong != "" {
			rec.event("worker %s runs %s with inputs of another request: %s", wk.id, id, wrong)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 8; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil {
				return
			}
		}
	}
	for i := range 2 {
		if _, err := newWorker(f, fmt.Sprintf("i-pool-%d", i+1), "cardamom-pool", fmt.Sprintf("127.0.83.%d", 41+i), 64, model); err != nil {
			return err
		}
	}
	copying := &garbling{}
	for i := range mixedStageWorkers {
		var g *garbling
		if trouble && i < mixedGarbling {
			g = copying
		}
		if _, err := newStageWorker(f, i+1, made, g); err != nil {
			return err
		}
	}
	if err := f.putConfig(mixedConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	copying.mu.Lock()
	copying.began = time.Now()
	copying.mu.Unlock()
	var wg sync.WaitGroup
	served, asked := 0, 0
	for end := time.Now().Add(mixedFor); time.Now().Before(end); time.Sleep(mixedRate) {
		n := asked
		asked++
		wg.Go(func() {
			id := fmt.Sprintf("draft-%d", n)
			a := send(f.callerAddress(f.edges[n%len(f.edges)]), request{
				method: http.MethodPost, path: "/puxa400/2f", id: id, body: "draft", deadline: 6 * time.Second,
				header: map[string]string{
					"Model": "m", "Token-Count": "2368,24", "Prefix-Hash": fmt.Sprintf("5c1e07%02x:341,77aa%04x:227,91bd%04x:1800", n%20, n%7, n),
					"Chunks": fmt.Sprint(mixedPieces), "Chunk-Key": fmt.Sprintf("7c1e07a2%06x", n),
				},
			})
			rec.event("client %s: status %d by %s, error %v", id, a.status, a.header.Get("Worker-Signature"), a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		})
	}
	wg.Wait()
	rec.event("%d requests, %d served, %d runs at model workers, %d of them with inputs of another request; %d of %d answers sent twice, by %d of %d stage workers",
		asked, served, runs, len(faults), copying.copies, copying.answers, mixedGarbling, mixedStageWorkers)
	if len(faults) > 0 {
		return broken("MIXED: %d requests ran with inputs of another request: %s", len(faults), faults[0])
	}
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// checkInputs returns what is wrong with the inputs of a request; an empty text if nothing is.
func checkInputs(made *madeResults, id string, inputs []string) string {
	seen := map[string]bool{}
	for _, handle := range inputs {
		piece := made.piece(strings.TrimSpace(handle))
		if !strings.HasPrefix(piece, id+"/") {
			return fmt.Sprintf("%s got %s, which is piece %s", id, handle, piece)
		}
		if seen[piece] {
			return fmt.Sprintf("%s got piece %s twice", id, piece)
		}
		seen[piece] = true
	}
	if len(inputs) != mixedPieces {
		return fmt.Sprintf("%s got %d of %d inputs", id, len(inputs), mixedPieces)
	}
	return ""
}

// connContext lets handlers find their connection.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
