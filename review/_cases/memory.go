package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// grownRoutes is the number of routes after four changes that add 350 each.
	grownRoutes = 1400
	// memoryChanges is the number of changes of the config in one day, after the letter on the aim of the project.
	memoryChanges = 1200
	memoryFor     = 97 * time.Second
	coreMemory    = 280 << 20 // memoryMb of a core machine
	memoryCheck   = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	// endsOfFault is how often processes on half of the core have to end by themselves.
	endsOfFault = 3
)

func init() { plays["memory"] = playMemory }

// residentMemory returns the memory of a process in bytes.
func residentMemory(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kb int64
		if n, _ := fmt.Sscanf(lines.Text(), "VmRSS: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// memoryGuard kills processes that use more than their machine has, and starts them again, as the platform does.
type memoryGuard struct {
	f    *fleet
	mu   sync.Mutex
	ends map[string]int
	most map[string]int64
	stop chan struct{}
	wg   sync.WaitGroup
}

func guardMemory(f *fleet) *memoryGuard {
	g := &memoryGuard{f: f, ends: map[string]int{}, most: map[string]int64{}, stop: make(chan struct{})}
	for _, p := range f.control {
		g.wg.Go(func() { g.watch(p) })
	}
	return g
}

func (g *memoryGuard) watch(p *process) {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(memoryCheck):
		}
		used := residentMemory(p.cmd.Process.Pid)
		g.mu.Lock()
		g.most[p.name] = max(g.most[p.name], used)
		g.mu.Unlock()
		if used <= coreMemory && g.f.isRunning(p) {
			continue
		}
		g.mu.Lock()
		g.ends[p.name]++
		g.mu.Unlock()
		g.f.rec.event("%s uses %d MB of %d and is killed", p.name, used>>20, coreMemory>>20)
		g.f.kill(p)
		time.Sleep(restartDelay)
		if err := g.f.start(p, false); err != nil {
			g.f.rec.event("%s doesn't start: %v", p.name, err)
			return
		}
	}
}

func (g *memoryGuard) end() {
	close(g.stop)
	g.wg.Wait()
}

// grownConfig returns a config with a number of routes like the first one of the pages' example.
func grownConfig(version, routes int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"pule%d.example","pathPrefix":"/puxa%d/","type":"stream","timeoutMs":8000,"sloMs":2000,"priority":1,"split":[{"backend":"huvo11a","weight":90},{"backend":"lohu93e","weight":10}],"attempts":2,"phases":[{"backend":"kafi81c","after":[],"sizeBytes":1500000},{"backend":"kafi81c","after":[],"sizeBytes":8000},{"backend":"lovo22d","after":[1],"sizeBytes":60000},{"backend":"kafi81c","after":[2],"sizeBytes":6000}],"public":false,"sticky":true,"resumable":true,"tpotTargetMs":300},`, i, i, i)
	}
	b.WriteString(`{"name":"stock-lookup","host":"pule25.example","pathPrefix":"/bobo563/","type":"safe","timeoutMs":800,"sloMs":100,"priority":2,"backend":"ledger-core","attempts":2,"public":false,"sticky":false,"resumable":false}],"backends":[`)
	for _, name := range []string{"huvo11a", "lohu93e", "ledger-core"} {
		fmt.Fprintf(&b, `{"name":%q,"healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false},`, name)
	}
	segments := `"segments":{"concurrency":1,"queue":2,"batch":8,"callMs":200.0,"itemMs":21.0,"headroomMb":18.0,"handleTtlS":4.0,"linkMbps":10000}`
	fmt.Fprintf(&b, `{"name":"kafi81c","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,%s},{"name":"lovo22d","healthPath":"/healthz","maxConns":270,"protocol":"h1","tls":false,%s}],`, segments, segments)
	b.WriteString(`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`)
	return b.String()
}

// playMemory changes a config that has grown by many routes some hundred times.
func playMemory(rec *record, trouble bool) error {
	f, err := newFleet(rec, 85, 1)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	routes := 0
	if trouble {
		routes = grownRoutes
	}
	if err := f.putConfig(grownConfig(7, routes), 20*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	guard := guardMemory(f)
	began, changes := time.Now(), 0
	for version := 8; changes < memoryChanges && time.Since(began) < memoryFor; version++ {
		if err := f.putConfig(grownConfig(version, routes), 10*time.Second); err != nil {
			rec.event("%v", err)
			continue
		}
		changes++
		// At an even pace, as far as the acknowledgements allow.
		time.Sleep(time.Until(began.Add(time.Duration(changes) * memoryFor / memoryChanges)))
	}
	guard.end()
	status, body, err := f.call(http.MethodGet, f.control[0], "/v1/config", "")
	rec.event("operator reads the config: status %d %.20q, error %v", status, body, err)
	often, total := 0, 0
	for _, p := range f.control {
		rec.event("%s: at most %d MB of %d, killed for its memory %d times", p.name, guard.most[p.name]>>20, coreMemory>>20, guard.ends[p.name])
		total += guard.ends[p.name]
		if guard.ends[p.name] >= endsOfFault {
			often++
		}
	}
	rec.event("%d changes of %d bytes acknowledged in %v", changes, len(grownConfig(7, routes)), time.Since(began).Round(time.Second))
	if 2*often >= len(f.control) {
		return broken("Fault: on %d of %d core machines the process ended by itself %d times or more, %d times in all, in %d changes", often, len(f.control), endsOfFault, total, changes)
	}
	return nil
}
