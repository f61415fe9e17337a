package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pauseConfig has one route of requests that may be repeated.
const pauseConfig = `{"version":7,"routes":[{"name":"r-lookup","host":"pule25.example","pathPrefix":"/bobo563/","type":"safe","timeoutMs":1500,"sloMs":300,"priority":2,"backend":"wuno96b","attempts":2,"phases":[],"public":false,"sticky":false,"resumable":false}],
"backends":[{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	// pauseCut is how long the worker is cut off from control, pauseCrash when it crashes behind
	// the cut, and pauseDown how long it is down.
	pauseCut   = 5 * time.Second
	pauseCrash = 500 * time.Millisecond
	pauseDown  = time.Second
	// pauseRetry is the Retry-After of the worker, and pauseQueue how long a request waits in its
	// queue until it is turned away.
	pauseRetry = 8 * time.Second
	pauseQueue = 300 * time.Millisecond
	// pauseWork is how long a request works.
	pauseWork = 60 * time.Millisecond
	// pauseRate is the requests a second at each gateway.
	pauseRate = 100
	// allowedInPause is the number of requests that may reach a worker within its pause.
	allowedInPause = 2
	pauseMargin    = 500 * time.Millisecond
)

// pauses is the state of the case.
type pauses struct {
	*stage
	mu     sync.Mutex
	sentBy map[string]*process // by request
	// ends holds until when the worker wants nothing of a gateway, and from when on that counts.
	from, ends map[*process]time.Time
	inPause    map[*process]int
	turnedAway int
	refusing   bool // the worker is overloaded
	served     int
	asked      int
}

// playPause shows that a gateway forgets the pause that a worker has asked for when the worker's
// first report after a restart arrives later than its answers.
func playPause(s *stage) (result, error) {
	c := &pauses{stage: s, sentBy: map[string]*process{}, from: map[*process]time.Time{}, ends: map[*process]time.Time{}, inPause: map[*process]int{}}
	if err := s.start(3, 1, pauseConfig); err != nil {
		return result{}, err
	}
	busy, err := s.newWorker("wuno96b", 6, c.overloaded)
	if err != nil {
		return result{}, err
	}
	for range 2 {
		if _, err := s.newWorker("wuno96b", 6, c.sound); err != nil {
			return result{}, err
		}
	}
	time.Sleep(2 * time.Second)
	for _, p := range s.gates {
		s.wg.Go(func() { c.traffic(p) })
	}
	time.Sleep(4 * time.Second)
	if c.share() < 0.9 {
		return result{}, fmt.Errorf("only %.2f of the requests are served before the disruption", c.share())
	}
	if s.trouble {
		s.logf("worker %s is cut off from control", busy.name())
		busy.setCut(true)
		time.Sleep(pauseCrash)
		busy.crash()
		s.logf("worker %s crashes", busy.name())
		c.refuse()
		busy.restart(pauseDown, true)
		time.Sleep(pauseCut - pauseCrash - pauseDown)
		busy.setCut(false)
		s.logf("worker %s reaches control again", busy.name())
	} else {
		time.Sleep(pauseCrash + pauseDown)
		c.refuse()
		time.Sleep(pauseCut - pauseCrash - pauseDown)
	}
	time.Sleep(8 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ends) == 0 {
		return result{}, fmt.Errorf("the worker turned no request away")
	}
	most := 0
	for p, n := range c.inPause {
		s.logf("%d requests from %s within the pause", n, p.name)
		most = max(most, n)
	}
	text := fmt.Sprintf("%d requests of one machine reached the worker between half a second after it had answered that machine 503 with Retry-After and the end of that time, %d allowed; %d turned away, %d of %d served",
		most, allowedInPause, c.turnedAway, c.served, c.asked)
	return result{broken: most > allowedInPause, text: text}, nil
}

// refuse makes the worker turn all requests away.
func (c *pauses) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = true
	c.logf("the worker is overloaded from now on")
}

func (c *pauses) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.served) / float64(max(c.asked, 1))
}

// traffic sends requests to one gateway.
func (c *pauses) traffic(p *process) {
	for c.ctx.Err() == nil {
		time.Sleep(time.Second / pauseRate)
		c.wg.Go(func() {
			q := request{id: newRequestID(), method: http.MethodGet, path: "/bobo563/lo7/2f", deadline: 1500 * time.Millisecond}
			c.mu.Lock()
			c.sentBy[q.id] = p
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

// sound serves a request.
func (c *pauses) sound(_ *worker, w http.ResponseWriter, _ *http.Request) {
	time.Sleep(pauseWork)
	_, _ = w.Write([]byte("in stock\n"))
}

// overloaded serves a request, or turns it away with 503 and Retry-After after it has waited in
// the queue.
func (c *pauses) overloaded(wk *worker, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	now := time.Now()
	c.mu.Lock()
	refusing := c.refusing
	p := c.sentBy[id]
	if end, ok := c.ends[p]; ok && refusing {
		within := now.After(c.from[p]) && now.Before(end)
		if within {
			c.inPause[p]++
		}
		c.logf("request %s from %s reaches worker %s, within the pause: %t", id, p.name, wk.name(), within)
	}
	c.mu.Unlock()
	if !refusing {
		c.sound(wk, w, r)
		return
	}
	select {
	case <-time.After(pauseQueue):
	case <-r.Context().Done():
		c.logf("request %s was cancelled in the queue of worker %s", id, wk.name())
		return
	}
	c.mu.Lock()
	c.turnedAway++
	if answered := time.Now(); c.ends[p].IsZero() || answered.After(c.ends[p]) {
		c.from[p], c.ends[p] = answered.Add(pauseMargin), answered.Add(pauseRetry)
	}
	c.mu.Unlock()
	c.logf("worker %s answers %s to request %s from %s with Retry-After %d", wk.name(), strconv.Itoa(http.StatusServiceUnavailable), id, p.name, int(pauseRetry.Seconds()))
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprint(int(pauseRetry.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}
