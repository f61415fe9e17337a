package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"
)

const (
	// usualPatience is the quantile of the callers' patience that counts as what a
	// caller states who comes for the first time.
	usualPatience = 0.9
	// freshShare is the least part of the usual patience that such callers state:
	// on the users' sites it varies by 15 in 100.
	freshShare = 0.85
	// patienceSample is the number of requests after which the quantile is worked
	// out anew, and patienceWindow the number that it covers at least.
	patienceSample = 16
	patienceWindow = 256
	// maxPatience is the longest patience that is told apart, in milliseconds.
	maxPatience = 10 * 60 * 1000
	// patienceRoutes bounds the routes whose callers are told apart, at 45 KB each.
	patienceRoutes = 64
)

// patience tells callers that come back after a refusal from those that come for
// the first time: they have less time left than others on the same route.
type patience struct {
	mu     sync.Mutex
	routes map[string]*routePatience
}

// routePatience is the patience of the callers of one route.
type routePatience struct {
	window *hdrhistogram.WindowedHistogram
	seen   int // requests in the window's newest part
	usual  time.Duration
}

func newPatience() *patience {
	return &patience{routes: map[string]*routePatience{}}
}

// waited returns how long a caller has at least waited in earlier attempts, by the
// patience that it states now; 0 when it states none or the route isn't followed.
func (p *patience) waited(route string, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[route]
	if r == nil {
		if len(p.routes) >= patienceRoutes {
			return 0
		}
		r = &routePatience{window: hdrhistogram.NewWindowed(2, 1, maxPatience, 2)}
		p.routes[route] = r
	}
	r.observe(stated)
	return max(time.Duration(freshShare*float64(r.usual))-stated, 0)
}

func (r *routePatience) observe(stated time.Duration) {
	if err := r.window.Current.RecordValue(min(stated.Milliseconds(), maxPatience)); err != nil {
		klog.V(1).InfoS("Patience not counted", "patience_ms", stated.Milliseconds(), "cause", err.Error())
		return
	}
	r.seen++
	if r.seen%patienceSample == 0 {
		r.usual = time.Duration(r.window.Merge().ValueAtQuantile(100*usualPatience)) * time.Millisecond
	}
	if r.seen == patienceWindow {
		r.window.Rotate()
		r.seen = 0
	}
}
