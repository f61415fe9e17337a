package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopConfig has a route of streams and one of postings that must not repeat.
const stopConfig = `{"version":7,"routes":[{"name":"quote-draft","host":"pule25.example","pathPrefix":"/puxa400/","type":"stream","timeoutMs":6000,"sloMs":1900,"priority":0,"backend":"cardamom-pool","attempts":1,"public":false,"sticky":true,"resumable":false,"tpotTargetMs":300},
{"name":"stock-reserve","host":"pule25.example","pathPrefix":"/bobo563/","type":"unsafe","timeoutMs":1500,"sloMs":300,"priority":2,"backend":"ledger-core","attempts":1,"public":false,"sticky":false,"resumable":false}],
"backends":[{"name":"cardamom-pool","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,"runtime":{"concurrency":64,"kvCapacity":332423,"kvBytes":327680,"linkMbps":740000.0}},{"name":"ledger-core","healthPath":"/healthz","maxConns":48,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	stopRounds  = 4
	stopClients = 20
	// hangUpAfter is the time from SIGTERM to SIGHUP, and streamTime how long a stream takes.
	hangUpAfter = 700 * time.Millisecond
	streamTime  = 2 * time.Second
	postingTime = 250 * time.Millisecond
	graceTime   = 8 * time.Second
	lossSlack   = 200 * time.Millisecond
)

func init() { plays["stop"] = playStop }

// stopLog knows which requests reached a worker.
type stopLog struct {
	mu   sync.Mutex
	runs map[string]bool
	cut  []string
	ok   int
	no   int
}

// playStop stops an edge machine as planned, and changes its settings while it stops.
func playStop(rec *record, trouble bool) error {
	f, err := newFleet(rec, 89, 2)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	l := &stopLog{runs: map[string]bool{}}
	serve := func(wk *worker, w http.ResponseWriter, r *http.Request, _ []byte) {
		l.mu.Lock()
		l.runs[r.Header.Get("Request-Id")] = true
		l.mu.Unlock()
		if wk.service == "ledger-core" {
			time.Sleep(postingTime)
			_, _ = io.WriteString(w, "posted")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 8; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
			_ = http.NewResponseController(w).Flush() // the consumer sees what is missing
			time.Sleep(streamTime / 8)
		}
	}
	for i := range 6 {
		service := [...]string{"cardamom-pool", "ledger-core"}[i%2]
		if _, err := newWorker(f, fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("127.0.89.%d", 41+i), 64, serve); err != nil {
			return err
		}
	}
	if err := f.putConfig(stopConfig, 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	edge := f.edges[0]
	for round := range stopRounds {
		time.Sleep(contactTime)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for c := range stopClients {
			wg.Go(func() { l.client(rec, f, edge, fmt.Sprintf("r%d-c%d", round, c), c%2 == 0, stop) })
		}
		time.Sleep(time.Second)
		f.signal(edge, syscall.SIGTERM)
		began := time.Now()
		if trouble {
			time.Sleep(hangUpAfter)
			if err := os.WriteFile(edge.settings, []byte(f.settingsOf(edge, false)), 0o600); err != nil {
				return err
			}
			f.signal(edge, syscall.SIGHUP)
		}
		select {
		case <-edge.ended:
			rec.event("%s ended %v after SIGTERM: %v", edge.name, time.Since(began).Round(time.Millisecond), edge.cmd.ProcessState)
		case <-time.After(graceTime):
			f.kill(edge)
		}
		close(stop)
		wg.Wait()
		if err := f.start(edge, false); err != nil {
			return err
		}
		if err := f.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.event("%d requests answered with success, %d with another status, %d cut after they had been passed on to a worker", l.ok, l.no, len(l.cut))
	if len(l.cut) > 0 {
		return broken("LOST: %d requests were passed on to a worker and their channels ended without a complete answer, under planned work only: %s", len(l.cut), l.cut[0])
	}
	if l.ok == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// client sends one request after the other on a kept channel until the machine is gone.
func (l *stopLog) client(rec *record, f *fleet, edge *process, name string, stream bool, stop chan struct{}) {
	path := "/bobo563/reserve"
	if stream {
		path = "/puxa400/draft"
	}
	var c net.Conn
	var r *bufio.Reader
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", f.callerAddress(edge), time.Second); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			r = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%s-%d", name, n)
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", path, callerHost, id, callerKey)
		sent := time.Now()
		status, closes := 0, true
		if err == nil {
			status, closes, err = readAnswer(c, r)
		}
		l.note(rec, id, path, status, err, time.Since(sent))
		if err != nil || closes {
			_ = c.Close()
			c = nil
		}
	}
}

// readAnswer reads a whole answer. An error says that it isn't complete.
func readAnswer(c net.Conn, r *bufio.Reader) (status int, closes bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

// note judges how a request ended.
func (l *stopLog) note(rec *record, id, path string, status int, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var timeout net.Error
	switch {
	case err == nil && status == http.StatusOK:
		l.ok++
	case err == nil:
		l.no++
		rec.event("client %s: status %d", id, status)
	case l.runs[id] && !(errors.As(err, &timeout) && timeout.Timeout()):
		what := fmt.Sprintf("%s to %s, status %d, channel ended after %v: %s", id, strings.TrimPrefix(path, "/"), status, took.Round(time.Millisecond), err)
		l.cut = append(l.cut, what)
		rec.event("client %s, passed on to a worker", what)
	default:
		rec.event("client %s: not passed on, the channel ended after %v (the slack is %v): %v", id, took.Round(time.Millisecond), lossSlack, err)
	}
}
