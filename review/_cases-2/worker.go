package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker, which speaks what the platform's pages say.
type worker struct {
	s       *stage
	service string
	slots   int
	// act answers a request that is meant for this worker.
	act func(wk *worker, w http.ResponseWriter, r *http.Request)
	// accept prepares a new connection; may be nil.
	accept func(net.Conn)

	mu       sync.Mutex
	id       string
	address  string
	born     int64
	sequence int
	cut      bool      // it can't reach the control VMs
	leaving  bool      // it says that it leaves in its answers
	silent   bool      // it reports no more
	draining time.Time // when it was acknowledged that it drains
	listener net.Listener
	conns    map[net.Conn]struct{}
	boot     int
}

// newWorker starts a worker and its reports.
func (s *stage) newWorker(service string, slots int, act func(*worker, http.ResponseWriter, *http.Request)) (*worker, error) {
	wk := &worker{s: s, service: service, slots: slots, act: act, id: newWorkerID(), conns: map[net.Conn]struct{}{}}
	if err := wk.start(); err != nil {
		return nil, err
	}
	s.wg.Go(wk.report)
	return wk, nil
}

func newWorkerID() string { return fmt.Sprintf("i-%010x", rand.Uint64()>>24) }

// start starts a new boot, at the address that the worker had before.
func (wk *worker) start() error {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	address := wk.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	wk.listener, wk.address = l, l.Addr().String()
	wk.born, wk.sequence = time.Now().UnixMilli(), 0
	wk.boot++
	wk.s.logf("worker %s boot %d of %s at %s, born %d", wk.id, wk.boot, wk.service, wk.address, wk.born)
	srv := &http.Server{Handler: http.HandlerFunc(wk.serve), IdleTimeout: 10 * time.Second, ConnState: wk.track}
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (wk *worker) track(c net.Conn, state http.ConnState) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	switch state {
	case http.StateNew:
		wk.conns[c] = struct{}{}
		if wk.accept != nil {
			wk.accept(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(wk.conns, c)
	}
}

// crash ends the boot: nothing listens any more, and all connections are reset.
func (wk *worker) crash() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.listener == nil {
		return false
	}
	_ = wk.listener.Close()
	wk.listener = nil
	for c := range wk.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	return true
}

// restart starts a new boot with a new id after a time.
func (wk *worker) restart(after time.Duration) {
	time.Sleep(after)
	wk.mu.Lock()
	wk.id = newWorkerID()
	wk.mu.Unlock()
	if err := wk.start(); err != nil {
		wk.s.logf("worker %s doesn't start: %v", wk.id, err)
	}
}

func (wk *worker) name() string {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.id
}

// report sends the worker's liveness reports while it runs.
func (wk *worker) report() {
	for wk.s.ctx.Err() == nil {
		wk.reportOnce()
		select {
		case <-time.After(heartbeat):
		case <-wk.s.ctx.Done():
		}
	}
}

// liveness returns the next liveness report. The worker's mutex is held.
func (wk *worker) liveness() []byte {
	wk.sequence++
	state := "ready"
	if wk.leaving {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"backend": wk.service, "address": wk.address, "zone": zone, "version": "v1", "concurrency": wk.slots, "state": state,
		"coldLeftMs": 0, "sequence": wk.sequence, "born": wk.born,
	})
	return body
}

// reportLate sends a report now that arrives at a control VM after a time.
func (wk *worker) reportLate(p *process, delay time.Duration) {
	wk.mu.Lock()
	body, id, sequence := wk.liveness(), wk.id, wk.sequence
	wk.mu.Unlock()
	wk.s.logf("worker %s sends report %d to %s, which arrives %v later", id, sequence, p.name, delay)
	wk.s.wg.Go(func() {
		time.Sleep(delay)
		status, err := wk.s.call(http.MethodPut, p, "/v1/workers/"+id, body, time.Second)
		wk.s.logf("report %d of worker %s arrives at %s: status %d, %v", sequence, id, p.name, status, err)
	})
}

// leave says that the worker leaves, without having reported that it drains, and serves on.
func (wk *worker) leave(list []*process) (time.Time, error) {
	wk.mu.Lock()
	wk.leaving, wk.silent = true, true
	id := wk.id
	wk.mu.Unlock()
	for _, p := range list {
		status, err := wk.s.call(http.MethodDelete, p, "/v1/workers/"+id, nil, time.Second)
		if err == nil && status == http.StatusOK {
			wk.s.logf("%s acknowledges that worker %s is gone", p.name, id)
			return time.Now(), nil
		}
	}
	return time.Time{}, errors.New("nobody acknowledges that the worker leaves")
}

// drain reports that the worker drains until that is acknowledged.
func (wk *worker) drain() error {
	wk.mu.Lock()
	wk.leaving = true
	wk.mu.Unlock()
	for _, p := range wk.s.cores {
		wk.mu.Lock()
		body, id := wk.liveness(), wk.id
		wk.mu.Unlock()
		status, err := wk.s.call(http.MethodPut, p, "/v1/workers/"+id, body, time.Second)
		if err == nil && status == http.StatusOK {
			wk.mu.Lock()
			wk.draining = time.Now()
			wk.mu.Unlock()
			wk.s.logf("%s acknowledges that worker %s drains", p.name, id)
			return nil
		}
	}
	return errors.New("nobody acknowledges that the worker drains")
}

// drainingFor returns for how long it has been acknowledged that the worker drains.
func (wk *worker) drainingFor() time.Duration {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.draining.IsZero() {
		return 0
	}
	return time.Since(wk.draining)
}

// reportOnce sends a report to one control VM after the other until it is acknowledged.
func (wk *worker) reportOnce() {
	for _, i := range rand.Perm(len(wk.s.cores)) {
		wk.mu.Lock()
		silent := wk.listener == nil || wk.silent
		if silent {
			wk.mu.Unlock()
			return
		}
		body := wk.liveness()
		id, sequence := wk.id, wk.sequence
		wk.mu.Unlock()
		status, err := wk.s.call(http.MethodPut, wk.s.cores[i], "/v1/workers/"+id, body, time.Second)
		if err == nil && status == http.StatusOK {
			if sequence == 1 || sequence%5 == 0 {
				wk.s.logf("report %d of worker %s acknowledged by %s", sequence, id, wk.s.cores[i].name)
			}
			return
		}
	}
}

// serve answers a request, unless it is meant for another worker.
func (wk *worker) serve(w http.ResponseWriter, r *http.Request) {
	id := wk.name()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Worker"); expected != "" && expected != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Worker-Signature", "signed-by-"+id)
	wk.mu.Lock()
	if wk.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	wk.mu.Unlock()
	wk.act(wk, w, r)
}
