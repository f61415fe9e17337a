package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unaskedConfig has a route for one prefix, and with a catch-all route one for all other paths of the host.
const (
	unaskedRoute    = `{"name":"stock-reserve","host":"pule25.example","pathPrefix":"/bobo563/","type":"unsafe","timeoutMs":800,"sloMs":100,"priority":2,"backend":"ledger-core","attempts":1,"public":false,"sticky":false,"resumable":false}`
	unaskedCatchAll = `,{"name":"other-postings","host":"pule25.example","pathPrefix":"/","type":"unsafe","timeoutMs":800,"sloMs":100,"priority":2,"backend":"ledger-core","attempts":1,"public":false,"sticky":false,"resumable":false}`
	unaskedConfig   = `{"version":%d,"routes":[%s],"backends":[{"name":"ledger-core","healthPath":"/healthz","maxConns":48,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`
	unaskedRequests = 12
)

func init() { plays["unasked"] = playUnasked }

// playUnasked changes the config so that paths are routed which begin with two slashes.
func playUnasked(rec *record, trouble bool) error {
	f, err := newFleet(rec, 87, 1)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	sent := map[string]string{} // paths, by request
	var faults []string
	runs := 0
	serve := func(wk *worker, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		runs++
		want := sent[id]
		wrong := r.URL.Path != want || r.Host != callerHost
		if wrong {
			faults = append(faults, fmt.Sprintf("%s was sent with path %s and host %s, and ran with request line %s, path %s and host %s", id, want, callerHost, r.RequestURI, r.URL.Path, r.Host))
		}
		mu.Unlock()
		rec.event("worker %s runs %s: %s %s, path %s, host %s, as sent %t", wk.id, id, r.Method, r.RequestURI, r.URL.Path, r.Host, !wrong)
		_, _ = fmt.Fprint(w, "posted")
	}
	for i := range 3 {
		if _, err := newWorker(f, fmt.Sprintf("i-ledger-%d", i+1), "ledger-core", fmt.Sprintf("127.0.87.%d", 41+i), 6, serve); err != nil {
			return err
		}
	}
	if err := f.putConfig(fmt.Sprintf(unaskedConfig, 7, unaskedRoute), 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	if trouble {
		if err := f.putConfig(fmt.Sprintf(unaskedConfig, 8, unaskedRoute+unaskedCatchAll), 20*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(configDeadline + 500*time.Millisecond)
	for i := range unaskedRequests {
		id, path := fmt.Sprintf("posting-%d", i), fmt.Sprintf("/bobo563/reserve/%d", i)
		if i%2 == 1 {
			path = "/" + path
		}
		mu.Lock()
		sent[id] = path
		mu.Unlock()
		a := sendRaw(f.callerAddress(f.edges[0]), http.MethodPost, path, id, "{\"units\":4}")
		rec.event("client %s: POST %s: %s", id, path, strings.TrimSpace(a))
	}
	rec.event("%d runs, %d with another path or host than sent", runs, len(faults))
	if len(faults) > 0 {
		return broken("UNASKED: %d requests ran with another path than sent: %s", len(faults), faults[0])
	}
	if runs == 0 {
		return fmt.Errorf("no request ran")
	}
	return nil
}
