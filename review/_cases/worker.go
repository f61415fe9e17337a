package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker of the platform. It registers itself, serves requests that are meant for it and,
// when it crashes, resets its connections and leaves its port closed.
type worker struct {
	f        *fleet
	id       string
	service  string
	address  string
	slots    int
	serve    func(wk *worker, w http.ResponseWriter, r *http.Request, body []byte)
	mu       sync.Mutex
	srv      *http.Server
	stop     context.CancelFunc
	born     int64
	sequence int
	down     bool
	conns    map[net.Conn]struct{}
}

// newWorker starts a worker on a free port of an address.
func newWorker(f *fleet, id, service, ip string, slots int, serve func(wk *worker, w http.ResponseWriter, r *http.Request, body []byte)) (*worker, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	wk := &worker{f: f, id: id, service: service, address: l.Addr().String(), slots: slots, serve: serve}
	wk.run(l)
	return wk, nil
}

// run begins a life of the worker.
func (wk *worker) run(l net.Listener) {
	ctx, stop := context.WithCancel(context.Background())
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.down = false
	wk.stop, wk.born, wk.sequence, wk.conns = stop, time.Now().UnixMilli(), 0, map[net.Conn]struct{}{}
	conns := wk.conns
	srv := &http.Server{Handler: http.HandlerFunc(wk.handle), ConnContext: connContext, ConnState: func(c net.Conn, s http.ConnState) {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		switch s {
		case http.StateNew:
			conns[c] = struct{}{}
		case http.StateClosed:
			delete(conns, c)
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}}
	wk.srv = srv
	go func() { _ = srv.Serve(l) }()
	go wk.announceAlways(ctx)
}

// handle answers as a sound worker does, before the service's own part.
func (wk *worker) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Worker"); expected != "" && expected != wk.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Worker-Id", wk.id)
		return
	}
	w.Header().Set("Worker-Signature", "by-"+wk.id)
	wk.serve(wk, w, r, body)
}

// crash ends this life of the worker: connections are reset and nothing listens. It reports false if the worker is down.
func (wk *worker) crash() bool {
	wk.mu.Lock()
	if wk.down {
		wk.mu.Unlock()
		return false
	}
	wk.down = true
	stop, srv, conns := wk.stop, wk.srv, wk.conns
	var open []net.Conn
	for c := range conns {
		open = append(open, c)
	}
	wk.mu.Unlock()
	wk.f.rec.event("worker %s crashes", wk.id)
	stop()
	for _, c := range open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = srv.Close()
	for _, c := range open {
		_ = c.Close()
	}
	return true
}

// restart begins a new life at the same address.
func (wk *worker) restart() error {
	l, err := net.Listen("tcp", wk.address)
	if err != nil {
		return err
	}
	wk.f.rec.event("worker %s starts again", wk.id)
	wk.run(l)
	return nil
}

func (wk *worker) announceAlways(ctx context.Context) {
	for ctx.Err() == nil {
		wk.announce(ctx, "ready")
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// announce tells control machines of the worker until one acknowledges it.
func (wk *worker) announce(ctx context.Context, state string) bool {
	wk.mu.Lock()
	wk.sequence++
	sequence, born := wk.sequence, wk.born
	wk.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"backend": wk.service, "address": wk.address, "zone": "uy-sur-a", "version": "v1", "concurrency": wk.slots, "state": state, "coldLeftMs": 0,
		"sequence": sequence, "born": born,
	})
	if err != nil {
		return false
	}
	for i := range wk.f.control {
		if ctx.Err() != nil {
			return false
		}
		p := wk.f.control[(i+sequence)%len(wk.f.control)]
		status, _, err := wk.f.call(http.MethodPut, p, "/v1/workers/"+wk.id, string(body))
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// reply is what a client has received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // an answer that isn't complete
}

// request is what a client sends.
type request struct {
	method, path, id, body string
	header                 map[string]string
	deadline               time.Duration
}

// send sends a request on a new connection and reads the whole answer.
func send(address string, q request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	r.GetBody = nil // net/http would send it again by itself
	r.Host = callerHost
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

const (
	callerHost = "pule25.example"
	callerKey  = "9dnn2ctnfzs989anu6ws"
)

// sendRaw sends a request as it stands on a new connection and returns the status line of the answer.
func sendRaw(address, method, path, id, body string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", method, path, callerHost, id, callerKey, len(body), body)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return line
}
