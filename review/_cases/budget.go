package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// budgetConfig has one route to model workers whose requests run once.
const budgetConfig = `{"version":7,"routes":[{"name":"quote-draft","host":"pule25.example","pathPrefix":"/puxa400/","type":"stream","timeoutMs":6000,"sloMs":1900,"priority":0,
"backend":"cardamom-pool","attempts":1,"public":false,"sticky":true,"resumable":false,"tpotTargetMs":300}],
"backends":[{"name":"cardamom-pool","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,"runtime":{"concurrency":64,"kvCapacity":332423,"kvBytes":327680,"linkMbps":740000.0}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	deadlyPart    = "dead5eed"
	budgetWorkers = 10
	// clumpSize requests come together, clumpGap after the ones before.
	clumpSize = 6
	clumps    = 5
	clumpGap  = 7 * time.Second
	// workerDown is how long a worker that crashed is away.
	workerDown  = 4 * time.Second
	crashesSeen = 5 // after which requests with the part are counted
	mayReach    = 3
)

func init() { plays["budget"] = playBudget }

// playBudget sends clumps of requests that share a part of their prompt which crashes each worker that begins to write
// an answer on it. Sound requests come all the while.
func playBudget(rec *record, trouble bool) error {
	f, err := newFleet(rec, 82, 2)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	var crashes []time.Time
	var reached []string // requests that reached a worker later than contactTime after the fifth crash
	sent := map[string]time.Time{}
	serve := func(wk *worker, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		deadly := strings.Contains(r.Header.Get("Prefix-Hash"), deadlyPart)
		if deadly {
			mu.Lock()
			late := len(crashes) >= crashesSeen && sent[id].Sub(crashes[crashesSeen-1]) > contactTime
			if late {
				reached = append(reached, id)
			}
			mu.Unlock()
			rec.event("worker %s gets %s with the part, counted %t", wk.id, id, late)
		}
		time.Sleep(40 * time.Millisecond) // the prompt is read
		if deadly && trouble {
			go func() {
				if !wk.crash() {
					return // it has crashed on another one
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				time.Sleep(workerDown)
				if err := wk.restart(); err != nil {
					rec.event("worker %s doesn't start: %v", wk.id, err)
				}
			}()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 8; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil {
				return
			}
		}
	}
	for i := range budgetWorkers {
		if _, err := newWorker(f, fmt.Sprintf("i-pool-%d", i+1), "cardamom-pool", fmt.Sprintf("127.0.82.%d", 41+i), 64, serve); err != nil {
			return err
		}
	}
	if err := f.putConfig(budgetConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	ask := func(id, prompt string, edge int) reply {
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		return send(f.callerAddress(f.edges[edge%len(f.edges)]), request{
			method: http.MethodPost, path: "/puxa400/2f", id: id, body: "draft", deadline: 6 * time.Second,
			header: map[string]string{"Model": "m", "Token-Count": "2368,24", "Prefix-Hash": prompt},
		})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	served, asked := 0, 0
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			wg.Go(func() {
				a := ask(fmt.Sprintf("sound-%d", n), fmt.Sprintf("5c1e07%02x:341,77aa%04x:227,91bd%04x:1800", n%20, n%7, n), n)
				mu.Lock()
				defer mu.Unlock()
				asked++
				if a.status == http.StatusOK && a.err == nil {
					served++
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	for c := range clumps {
		for i := range clumpSize {
			wg.Go(func() {
				id := fmt.Sprintf("clump-%d-%d", c, i)
				a := ask(id, fmt.Sprintf("5c1e07%02x:341,%s:227,91be%02x%02x:1800", 4*i+c, deadlyPart, c, i), i)
				rec.event("client %s: status %d %q, error %v", id, a.status, strings.TrimSpace(a.body[:min(len(a.body), 40)]), a.err)
			})
		}
		time.Sleep(clumpGap)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.event("%d crashes; %d requests with the part reached workers later than %v after the fifth; %d of %d sound requests served", len(crashes), len(reached), contactTime, served, asked)
	if len(reached) > mayReach {
		return broken("BUDGET: %d requests with a part that crashes workers reached workers, sent later than %v after the fifth crash", len(reached), contactTime)
	}
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
