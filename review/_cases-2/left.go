package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lookupConfig has one route of requests that may be repeated.
const lookupConfig = `{"version":7,"routes":[{"name":"r-lookup","host":"pule25.example","pathPrefix":"/bobo563/","type":"safe","timeoutMs":1500,"sloMs":300,"priority":2,"backend":"wuno96b","attempts":2,"phases":[],"public":false,"sticky":false,"resumable":false}],
"backends":[{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	// lookupWork is how long a request works.
	lookupWork = 60 * time.Millisecond
	// leftGates is the number of gateways; one of them and the three control VMs are killed, four
	// machines of seven.
	leftGates = 4
	// leftLate is how late the worker's last report arrives.
	leftLate = 6 * time.Second
	// leftLeave is when the worker leaves, and leftKill when processes are killed, after that
	// report was sent; leftBack is the time until they are started again.
	leftLeave = 600 * time.Millisecond
	leftKill  = 200 * time.Millisecond
	leftBack  = 300 * time.Millisecond
	// leftServes is how long the worker serves after the acknowledgement.
	leftServes = 10 * time.Second
	leftRate   = 10              // requests a second at each gateway
	drainTime  = 2 * time.Second // drainMs
)

// left is the state of the case.
type left struct {
	*stage
	mu     sync.Mutex
	sent   map[string]sending
	gone   time.Time // when it was acknowledged that the worker is gone
	late   int       // requests that reached the worker later than drainMs after that
	served int
	asked  int
}

// sending is when and to which gateway a request was sent.
type sending struct {
	to *process
	at time.Time
}

// playLeft shows that a worker whose end was acknowledged gets requests again after the processes
// that knew of it were killed.
func playLeft(s *stage) (result, error) {
	c := &left{stage: s, sent: map[string]sending{}}
	if err := s.start(3, leftGates, lookupConfig); err != nil {
		return result{}, err
	}
	var workers []*worker
	for range 3 {
		wk, err := s.newWorker("wuno96b", 6, c.act)
		if err != nil {
			return result{}, err
		}
		workers = append(workers, wk)
	}
	time.Sleep(2 * time.Second)
	for _, p := range s.gates {
		s.wg.Go(func() { c.traffic(p) })
	}
	time.Sleep(contact + time.Second)
	leaver := workers[0]
	leaver.reportLate(s.cores[0], leftLate)
	time.Sleep(leftLeave)
	gone, err := leaver.leave(s.cores[1:])
	if err != nil {
		return result{}, err
	}
	c.mu.Lock()
	c.gone = gone
	c.mu.Unlock()
	time.Sleep(leftKill)
	if s.trouble {
		killed := append([]*process{s.gates[0]}, s.cores...)
		for _, p := range killed {
			s.kill(p)
		}
		time.Sleep(leftBack)
		for _, p := range killed {
			if err := s.launch(p); err != nil {
				return result{}, err
			}
		}
	}
	time.Sleep(time.Until(gone.Add(leftServes)))
	s.logf("worker %s exits", leaver.name())
	leaver.crash()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served < c.asked/2 {
		return result{}, fmt.Errorf("only %d of %d requests were served", c.served, c.asked)
	}
	text := fmt.Sprintf("%d requests, sent on by machines in touch, reached the worker later than drainMs after a machine in touch had acknowledged that it is gone, 0 allowed; %d of %d requests served", c.late, c.served, c.asked)
	return result{broken: c.late > 0, text: text}, nil
}

// traffic sends requests to one gateway while the load balancer uses it.
func (c *left) traffic(p *process) {
	for c.ctx.Err() == nil {
		time.Sleep(time.Second / leftRate)
		if !p.takesChannels() {
			continue
		}
		c.wg.Go(func() {
			q := request{id: newRequestID(), method: http.MethodGet, path: "/bobo563/lo7/2f", deadline: 1500 * time.Millisecond}
			c.mu.Lock()
			c.sent[q.id] = sending{to: p, at: time.Now()}
			c.mu.Unlock()
			a := c.send(p, q)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.ctx.Err() != nil {
				return
			}
			c.asked++
			if a.status == http.StatusOK {
				c.served++
			} else {
				c.logf("request %s at %s: status %d, %v %.60q", q.id, p.name, a.status, a.err, a.body)
			}
		})
	}
}

// act serves a request and notes those that reach the worker after its end was acknowledged.
func (c *left) act(wk *worker, w http.ResponseWriter, r *http.Request) {
	id, now := r.Header.Get("Request-Id"), time.Now()
	wk.mu.Lock()
	leaving := wk.leaving
	wk.mu.Unlock()
	if leaving {
		c.mu.Lock()
		q, gone := c.sent[id], c.gone
		late := !gone.IsZero() && q.at.Sub(gone) > drainTime && c.inTouch(q.to, now)
		if late {
			c.late++
		}
		c.mu.Unlock()
		c.logf("request %s of %s reaches worker %s, which has left, %.3f s after the acknowledgement, counted: %t", id, q.to.name, wk.name(), now.Sub(gone).Seconds(), late)
	}
	time.Sleep(lookupWork)
	_, _ = w.Write([]byte("in stock\n"))
}
