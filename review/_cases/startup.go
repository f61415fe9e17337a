package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// startupReplacedAt is when an empty control machine comes in the place of the one that was lost.
	startupReplacedAt = 2 * time.Second
	ackTime           = 4 * time.Second
	startupWatched    = 60 * time.Second
)

func init() { plays["startup"] = playStartup }

// playStartup loses one of three control machines for good as the whole system starts for the first time.
func playStartup(rec *record, trouble bool) error {
	f, err := newFleet(rec, 84, 1)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	stableFrom := time.Now()
	if trouble {
		f.kill(f.control[2])
		time.Sleep(startupReplacedAt)
		if err := f.replace(2); err != nil {
			return err
		}
		stableFrom = time.Now()
	}
	wk, err := newWorker(f, "i-ledger-1", "ledger-core", "127.0.84.41", 6, func(_ *worker, w http.ResponseWriter, _ *http.Request, _ []byte) {
		_, _ = fmt.Fprint(w, "in stock")
	})
	if err != nil {
		return err
	}
	acked := f.putConfig(startupConfig, startupWatched) == nil
	took := time.Since(stableFrom)
	rec.event("config acknowledged %t, %v after the last disruption; edge ready %t", acked, took.Round(time.Millisecond), f.isReady(f.edges[0]))
	if acked {
		if err := f.awaitReady(20 * time.Second); err != nil {
			return err
		}
		a := send(f.callerAddress(f.edges[0]), request{method: http.MethodGet, path: "/bobo563/2f", id: "lookup-1", deadline: 5 * time.Second})
		rec.event("client lookup-1: status %d by %s (worker %s), error %v", a.status, a.header.Get("Worker-Signature"), wk.id, a.err)
	}
	for _, p := range f.control {
		if f.isRunning(p) {
			status, body, err := f.call(http.MethodGet, p, "/v1/config", "")
			rec.event("operator reads the config at %s: status %d %.60q, error %v", p.name, status, body, err)
		}
	}
	if took > contactTime+ackTime {
		return broken("Acks: a valid config had no acknowledgement %v after the last disruption, with two of three control machines running all the while", took.Round(time.Second))
	}
	return nil
}

// startupConfig has one route.
const startupConfig = `{"version":7,"routes":[{"name":"stock-lookup","host":"pule25.example","pathPrefix":"/bobo563/","type":"safe","timeoutMs":800,"sloMs":100,"priority":2,"backend":"ledger-core","attempts":2,"public":false,"sticky":false,"resumable":false}],
"backends":[{"name":"ledger-core","healthPath":"/healthz","maxConns":48,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`
