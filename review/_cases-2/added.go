package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	plainService = `{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}`
	// stageService is a service that stages use, as in the platform's example of a config.
	stageService = `{"name":"lohu93e","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,"segments":{"concurrency":1,"queue":2,"batch":28,"callMs":200.0,"itemMs":6.1,"headroomMb":0.37,"handleTtlS":4.0,"linkMbps":10000}}`
)

// addedRoute returns a route of requests that may be repeated.
func addedRoute(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":"pule25.example","pathPrefix":%q,"type":"safe","timeoutMs":1500,"sloMs":300,"priority":2,"backend":%q,"attempts":2,"phases":[],"public":false,"sticky":false,"resumable":false}`, name, prefix, service)
}

// addedConfig returns a config with routes and both services.
func addedConfig(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"backends":[%s,%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`, version, routes, plainService, stageService)
}

const (
	// addedInForce is how long after its acknowledgement a config is in force: configDeadlineMs.
	addedInForce = 2 * time.Second
	addedFor     = 10 * time.Second
	addedRate    = 10 // requests a second on each route at each gateway
	addedLeast   = 20
)

// added is the state of the case.
type added struct {
	*stage
	mu          sync.Mutex
	first, last tally // on the first route and on the added one
}

// playAdded shows that a route whose service also runs stages is never served.
func playAdded(s *stage) (result, error) {
	c := &added{stage: s}
	first := addedRoute("r-first", "/bobo563/", "wuno96b")
	if err := s.start(3, 2, addedConfig(7, first)); err != nil {
		return result{}, err
	}
	for _, service := range []string{"wuno96b", "wuno96b", "wuno96b", "lohu93e", "lohu93e", "lohu93e"} {
		if _, err := s.newWorker(service, 6, c.act); err != nil {
			return result{}, err
		}
	}
	time.Sleep(contact + 2*time.Second)
	service := "lohu93e"
	if !s.trouble {
		service = "wuno96b"
	}
	if err := s.putConfig(addedConfig(8, first+","+addedRoute("r-added", "/cufi501/", service))); err != nil {
		return result{}, err
	}
	time.Sleep(addedInForce + contact)
	end := time.Now().Add(addedFor)
	var wg sync.WaitGroup
	for _, p := range s.gates {
		wg.Go(func() { c.traffic(p, "/bobo563/lo7/2f", &c.first, end) })
		wg.Go(func() { c.traffic(p, "/cufi501/lo7/2f", &c.last, end) })
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.asked < addedLeast || c.first.share() < 0.9 {
		return result{}, fmt.Errorf("nothing to compare: first route %v, added route %v", c.first, c.last)
	}
	text := fmt.Sprintf("%.2f of %d requests on the added route served, %.2f of %d on the first one, a quarter of that is the bound", c.last.share(), c.last.asked, c.first.share(), c.first.asked)
	return result{broken: c.last.share() < c.first.share()/4, text: text}, nil
}

// traffic sends requests on a route to one gateway.
func (c *added) traffic(p *process, path string, t *tally, end time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Second / addedRate)
		wg.Go(func() {
			q := request{id: newRequestID(), method: http.MethodGet, path: path, deadline: 1500 * time.Millisecond}
			a := c.send(p, q)
			c.mu.Lock()
			defer c.mu.Unlock()
			t.asked++
			if a.status == http.StatusOK {
				t.begun++
			}
			c.logf("request %s on %s at %s: status %d, %v %.40q", q.id, path, p.name, a.status, a.err, a.body)
		})
	}
	wg.Wait()
}

// act serves a request.
func (c *added) act(wk *worker, w http.ResponseWriter, r *http.Request) {
	c.logf("worker %s of %s runs request %s on %s", wk.name(), wk.service, r.Header.Get("Request-Id"), r.URL.Path)
	time.Sleep(20 * time.Millisecond)
	_, _ = w.Write([]byte("in stock\n"))
}
