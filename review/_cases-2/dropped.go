package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	oldService = `{"name":"huvo11a","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false}`
	newService = `{"name":"lohu93e","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false}`
)

// droppedConfig returns a config with one route of streams that may be resumed.
func droppedConfig(version int, service string, services ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-chat","host":"pule25.example","pathPrefix":"/puxa400/","type":"stream","timeoutMs":20000,"sloMs":1800,"priority":2,"backend":%q,"attempts":3,"phases":[],"public":false,"sticky":false,"resumable":true,"tpotTargetMs":300}],
"backends":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`, version, service, strings.Join(services, ","))
}

const (
	droppedStreams = 70
	// droppedWorkers is the number of workers of the old service; droppedLeaving of them are taken
	// away one after the other, each droppedGap after the one before.
	droppedWorkers = 7
	droppedLeaving = 4
	droppedGap     = 300 * time.Millisecond
	// droppedEvents and droppedPause make a stream of 15 s.
	droppedEvents = 75
	droppedPause  = 200 * time.Millisecond
	// droppedConfigAfter is when the config changes after the first stream has begun, droppedDrain
	// when the first old worker drains after its acknowledgement, droppedExit when that worker
	// exits after the last one has begun to drain, and droppedServe when the others do.
	droppedConfigAfter = 2 * time.Second
	droppedDrain       = time.Second
	droppedExit        = 3 * time.Second
	droppedServe       = 8 * time.Second
)

// dropped is the state of the case.
type dropped struct {
	*stage
	mu       sync.Mutex
	sentBy   map[string]*process
	late     int
	complete int
	broken   int
}

// playDropped shows that workers that drain get requests when the config no longer names their
// service.
func playDropped(s *stage) (result, error) {
	c := &dropped{stage: s, sentBy: map[string]*process{}}
	if err := s.start(3, 2, droppedConfig(7, "huvo11a", oldService, newService)); err != nil {
		return result{}, err
	}
	var old []*worker
	for i := range droppedWorkers + 2 {
		service := "huvo11a"
		if i >= droppedWorkers {
			service = "lohu93e"
		}
		wk, err := s.newWorker(service, 64, c.act)
		if err != nil {
			return result{}, err
		}
		if i < droppedLeaving {
			old = append(old, wk)
		}
	}
	time.Sleep(contact + time.Second)
	for i := range droppedStreams {
		s.wg.Go(func() { c.stream(s.gates[i%len(s.gates)]) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(droppedConfigAfter)
	services := []string{oldService, newService}
	if s.trouble {
		services = services[1:]
	}
	if err := s.putConfig(droppedConfig(8, "lohu93e", services...)); err != nil {
		return result{}, err
	}
	time.Sleep(droppedDrain)
	for _, wk := range old {
		if err := wk.drain(); err != nil {
			return result{}, err
		}
		time.Sleep(droppedGap)
	}
	time.Sleep(droppedExit)
	s.logf("worker %s exits", old[0].name())
	old[0].crash()
	time.Sleep(droppedServe - droppedExit)
	for _, wk := range old[1:] {
		s.logf("worker %s exits", wk.name())
		wk.crash()
	}
	time.Sleep(time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("%d requests, sent on by machines in touch, reached a worker later than drainMs after a machine in touch had acknowledged that it is draining, 0 allowed; %d streams complete, %d broken off so far", c.late, c.complete, c.broken)
	return result{broken: c.late > 0, text: text}, nil
}

// stream sends a request for a stream and reads the answer.
func (c *dropped) stream(p *process) {
	q := request{id: newRequestID(), method: http.MethodPost, path: "/puxa400/2f", body: "chat", deadline: 20 * time.Second}
	c.mu.Lock()
	c.sentBy[q.id] = p
	c.mu.Unlock()
	a := c.send(p, q)
	whole := a.err == nil && strings.Contains(a.body, fmt.Sprintf("id: %d\n", droppedEvents))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logf("stream %s at %s: status %d, %d bytes, whole: %t, %v", q.id, p.name, a.status, len(a.body), whole, a.err)
	if whole {
		c.complete++
	} else {
		c.broken++
	}
}

// act answers with the events of a stream that follow the last one that the consumer has.
func (c *dropped) act(wk *worker, w http.ResponseWriter, r *http.Request) {
	id, now := r.Header.Get("Request-Id"), time.Now()
	since := wk.drainingFor()
	c.mu.Lock()
	p := c.sentBy[id]
	late := since > drainTime && c.inTouch(p, now)
	if late {
		c.late++
	}
	c.mu.Unlock()
	c.logf("request %s of %s reaches worker %s of %s after event %q, %.3f s after the acknowledgement that it drains, counted: %t",
		id, p.name, wk.name(), wk.service, r.Header.Get("Last-Event-Id"), since.Seconds(), late)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := from + 1; n <= droppedEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-time.After(droppedPause):
		case <-r.Context().Done():
			return
		}
	}
}
