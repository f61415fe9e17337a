package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// taintedConfig has one route of streams that name the parts of their prompts.
const taintedConfig = `{"version":7,"routes":[{"name":"r-draft","host":"pule25.example","pathPrefix":"/puxa400/","type":"stream","timeoutMs":8000,"sloMs":2000,"priority":1,"backend":"huvo11a","attempts":2,"phases":[],"public":false,"sticky":true,"resumable":true,"tpotTargetMs":300}],
"backends":[{"name":"huvo11a","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,"runtime":{"concurrency":64,"kvCapacity":332423,"kvBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	taintedWorkers = 12
	taintedBack    = 3 * time.Second // until a crashed worker is back
	sharedPart     = "5c1e07a2"      // that all requests begin with
	deadlyPart     = "dead0bad"
	// soundRate and deadlyRate are the requests a second, over all gateways.
	soundRate  = 24
	deadlyRate = 8
	// allowedDeadly is the number of requests with the part that may still reach workers.
	allowedDeadly = 3
	// knownCrashes is the crash from whose contact time on they are counted.
	knownCrashes = 5
)

// arrival is a request with the deadly part that reached a worker.
type arrival struct {
	id, worker string
	at         time.Time
}

// tainted is the state of the case.
type tainted struct {
	*stage
	mu       sync.Mutex
	sentBy   map[string]*process // by request
	arrivals []arrival
	crashes  []time.Time
	began    int // sound answers
	asked    int // sound requests
}

// playTainted shows that the deployment forgets which part of a prompt crashes workers when its
// processes are restarted in turn.
func playTainted(s *stage) (result, error) {
	c := &tainted{stage: s, sentBy: map[string]*process{}}
	if err := s.start(3, 3, taintedConfig); err != nil {
		return result{}, err
	}
	for range taintedWorkers {
		if _, err := s.newWorker("huvo11a", 64, c.act); err != nil {
			return result{}, err
		}
	}
	if err := s.await("a sound request is served at each gateway", 10*time.Second, func() bool {
		for _, p := range s.gates {
			if s.send(p, c.sound()).status != http.StatusOK {
				return false
			}
		}
		return true
	}); err != nil {
		return result{}, err
	}
	s.wg.Go(func() { c.traffic(soundRate, s.ctx.Done(), c.sendSound) })
	time.Sleep(3 * time.Second)

	s.logf("first requests with the deadly part")
	stop := make(chan struct{})
	s.wg.Go(func() { c.traffic(deadlyRate, stop, c.sendDeadly) })
	err := s.await("five crashes", 20*time.Second, func() bool { return c.crashCount() >= knownCrashes })
	time.Sleep(contact + 3*time.Second)
	close(stop)
	if err != nil {
		return result{}, err
	}
	before := c.count()
	s.logf("%d crashes; %d requests with the part reached workers after the contact time", c.crashCount(), before)

	if s.trouble {
		s.roll(s.gates, 2*time.Second)
		s.roll(s.cores, catchUp)
		s.roll(s.gates, 2*time.Second)
	} else {
		time.Sleep(35 * time.Second)
	}
	time.Sleep(contact + time.Second)
	s.logf("requests with the deadly part again")
	again := make(chan struct{})
	s.wg.Go(func() { c.traffic(deadlyRate, again, c.sendDeadly) })
	time.Sleep(6 * time.Second)
	close(again)
	time.Sleep(500 * time.Millisecond)
	n := c.count()
	if s.trouble {
		n += before // those before the restarts aren't in touch any more by the present state
	}
	text := fmt.Sprintf("%d requests with the part reached workers, sent by machines in touch later than contactMs after the fifth crash (%d of them before the restarts), %d allowed; %d crashes; %d of %d sound requests served",
		n, before, allowedDeadly, c.crashCount(), c.began, c.asked)
	return result{broken: n > allowedDeadly, text: text}, nil
}

// roll restarts processes in turn by a planned stop.
func (s *stage) roll(list []*process, pause time.Duration) {
	for _, p := range list {
		s.stop(p)
		if err := s.launch(p); err != nil {
			s.logf("%s doesn't start: %v", p.name, err)
			return
		}
		time.Sleep(pause)
	}
}

// traffic sends requests at a rate until stop.
func (c *tainted) traffic(perSecond float64, stop <-chan struct{}, send func()) {
	for {
		select {
		case <-time.After(time.Duration(float64(time.Second) / perSecond)):
			c.wg.Go(send)
		case <-stop:
			return
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *tainted) sound() request {
	session := fmt.Sprintf("5e55%04x", rand.IntN(40))
	return c.draft(fmt.Sprintf("%s:800,%s:410,%016x:250", sharedPart, session, rand.Uint64()))
}

func (c *tainted) deadly() request {
	return c.draft(fmt.Sprintf("%s:800,%s:410,%016x:250", sharedPart, deadlyPart, rand.Uint64()))
}

func (c *tainted) draft(prompt string) request {
	return request{
		id: newRequestID(), method: http.MethodPost, path: "/puxa400/2f", body: "draft", deadline: 8 * time.Second,
		header: map[string]string{"Model": "m", "Token-Count": "1460,80", "Prefix-Hash": prompt},
	}
}

func (c *tainted) sendSound() {
	list := c.rotation()
	if len(list) == 0 {
		return
	}
	p := list[rand.IntN(len(list))]
	q := c.sound()
	a := c.send(p, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if a.status == http.StatusOK && strings.Contains(a.body, "id: 4\n") {
		c.began++
	} else if c.ctx.Err() == nil {
		c.logf("sound request %s at %s: status %d, %d bytes, %v %.60q", q.id, p.name, a.status, len(a.body), a.err, a.body)
	}
}

func (c *tainted) sendDeadly() {
	list := c.rotation()
	if len(list) == 0 {
		return
	}
	p := list[rand.IntN(len(list))]
	q := c.deadly()
	c.mu.Lock()
	c.sentBy[q.id] = p
	c.mu.Unlock()
	a := c.send(p, q)
	c.logf("request %s with the part at %s: status %d, %v %.60q", q.id, p.name, a.status, a.err, a.body)
}

// act answers as a model worker does: a request with the deadly part crashes it as soon as it
// begins to write the answer.
func (c *tainted) act(wk *worker, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	deadly := strings.Contains(r.Header.Get("Prefix-Hash"), deadlyPart+":")
	if deadly {
		c.mu.Lock()
		c.arrivals = append(c.arrivals, arrival{id: id, worker: wk.name(), at: time.Now()})
		c.mu.Unlock()
		c.logf("request %s with the part reaches worker %s", id, wk.name())
	}
	select {
	case <-time.After(60 * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if deadly {
		name := wk.name()
		if wk.crash() {
			c.mu.Lock()
			c.crashes = append(c.crashes, time.Now())
			n := len(c.crashes)
			c.mu.Unlock()
			c.logf("worker %s crashes on request %s, crash %d", name, id, n)
			c.wg.Go(func() { wk.restart(taintedBack) })
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := range 5 {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil || rc.Flush() != nil {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func (c *tainted) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// count returns the arrivals that the rule counts, without those before the last restart of the
// gateway that sent them.
func (c *tainted) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < knownCrashes {
		return 0
	}
	from := c.crashes[knownCrashes-1].Add(contact)
	n := 0
	for _, a := range c.arrivals {
		if p := c.sentBy[a.id]; a.at.After(from) && p != nil && c.inTouch(p, a.at) {
			n++
		}
	}
	return n
}
