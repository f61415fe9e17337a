package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// orderConfig has one route with streams that may be resumed.
const orderConfig = `{"version":7,"routes":[{"name":"counter-chat","host":"pule25.example","pathPrefix":"/puxa400/","type":"stream","timeoutMs":20000,"sloMs":1800,"priority":2,
"backend":"cardamom-pool","attempts":2,"public":false,"sticky":true,"resumable":true,"tpotTargetMs":300}],
"backends":[{"name":"cardamom-pool","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,"runtime":{"concurrency":64,"kvCapacity":332423,"kvBytes":327680,"linkMbps":740000.0}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	orderWorkers  = 6
	orderStreams  = 30
	orderEvents   = 20
	orderEventGap = 60 * time.Millisecond
	orderCrashAt  = 600 * time.Millisecond
)

func init() { plays["order"] = playOrder }

// statementLine is the text of one event: a line of a statement of account.
func statementLine(n int) string {
	return fmt.Sprintf("INV-%d paid: GBP %d,%03d.50;", 1000+n, n, 37*n%1000)
}

// playOrder crashes one of six model workers while it streams answers whose text has the letters "id:" in it, as the
// word "paid:" does.
func playOrder(rec *record, trouble bool) error {
	f, err := newFleet(rec, 81, 1)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	serve := func(wk *worker, w http.ResponseWriter, r *http.Request, _ []byte) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 where nothing is resumed
		rec.event("worker %s runs %s after event %d", wk.id, r.Header.Get("Request-Id"), from)
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for n := from + 1; n <= orderEvents; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, statementLine(n)); err != nil {
				return
			}
			if rc.Flush() != nil {
				return
			}
			time.Sleep(orderEventGap)
		}
	}
	var workers []*worker
	for i := range orderWorkers {
		wk, err := newWorker(f, fmt.Sprintf("i-pool-%d", i+1), "cardamom-pool", fmt.Sprintf("127.0.81.%d", 41+i), 64, serve)
		if err != nil {
			return err
		}
		workers = append(workers, wk)
	}
	if err := f.putConfig(orderConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var faults []string
	complete := 0
	for i := range orderStreams {
		wg.Go(func() {
			id := fmt.Sprintf("chat-%d", i)
			a := send(f.callerAddress(f.edges[0]), request{
				method: http.MethodPost, path: "/puxa400/2f", id: id, body: "question", deadline: 20 * time.Second,
				header: map[string]string{"Model": "m", "Token-Count": "715,91", "Prefix-Hash": fmt.Sprintf("5c1e07%02x:172,91bd%04x:543", i, i)},
			})
			ids, wrong := readEvents(a.body)
			rec.event("client %s: status %d by %s, events %v, error %v", id, a.status, a.header.Get("Worker-Signature"), ids, a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.err == nil {
				complete++
			}
			if wrong != "" {
				faults = append(faults, id+": "+wrong)
			}
			if a.status == http.StatusOK && a.err == nil && len(ids) < orderEvents {
				faults = append(faults, fmt.Sprintf("%s: complete with %d events", id, len(ids)))
			}
		})
	}
	if trouble {
		time.Sleep(orderCrashAt)
		workers[0].crash()
	}
	wg.Wait()
	rec.event("%d of %d streams complete, %d with pieces missing or twice", complete, orderStreams, len(faults))
	if len(faults) > 0 {
		return broken("ORDER: %d streams: %s", len(faults), faults[0])
	}
	if complete == 0 {
		return fmt.Errorf("no stream was complete")
	}
	return nil
}

// readEvents returns the ids of a stream's events, and what is wrong with their order or text.
func readEvents(body string) (ids []int, wrong string) {
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			continue // cut off, which the end of the answer shows
		}
		var n int
		if _, err := fmt.Sscanf(event, "id: %d\n", &n); err != nil && err != io.EOF {
			return ids, fmt.Sprintf("an event that no worker made: %q", event)
		}
		if want := fmt.Sprintf("id: %d\ndata: %s\n\n", n, statementLine(n)); event != want && wrong == "" {
			wrong = fmt.Sprintf("event %d is %q", n, event)
		}
		if n != len(ids)+1 && wrong == "" {
			wrong = fmt.Sprintf("event %d follows event %d", n, len(ids))
		}
		ids = append(ids, n)
	}
	return ids, wrong
}
