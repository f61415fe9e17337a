package discovery

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// watchWait is how long a control VM holds a watch without news. It bounds
	// the age of its confirmation of the catalog.
	watchWait = 500 * time.Millisecond
	// watchTimeout is the time for an answer beyond watchWait.
	watchTimeout = 700 * time.Millisecond
	// watchPause is the time before the next try after a failure.
	watchPause = 200 * time.Millisecond
	// collectsSlack is how exactly a process knows since when a control VM collects.
	collectsSlack = 300 * time.Millisecond
	// forgetAfter is how long a control VM that no one names any more is followed
	// without an answer.
	forgetAfter = 10 * time.Second
)

// WatcherOptions holds what a Follower needs.
type WatcherOptions struct {
	Timers *timer.Service
	// HTTP opens the connections to control VMs.
	HTTP *http.Client
	// Process names this process, Self its own address if it is a control VM.
	Process string
	Self    string
	// Seeds are the addresses known at the start.
	Seeds []string
	// Table receives the targets.
	Table *Table
	// CatalogVersion returns the version held, so that the document is sent only
	// when there is a newer one; nil for a control VM.
	CatalogVersion func() uint64
	// OnAnswer is told of each answer and of the time at which its watch began.
	OnResponse func(address string, w *wire.WatchResponse, began time.Time)
}

// Watcher watches all control VMs that it learns of.
type Watcher struct {
	o       WatcherOptions
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	seeds   []string
	sources map[string]*source
	wg      sync.WaitGroup
	done    chan struct{}
}

// source is what a Follower knows of one control VM.
type source struct {
	answered time.Time // last answer, or the start of the watch
	named    time.Time // last time that a seed list or a member list named it
	working  bool
	catalog  uint64 // version that it holds
	// collects is since when it collects pieces of stages; zero when it doesn't.
	collects time.Time
	// until ends when the control VM stops answering.
	until context.Context
	lose  context.CancelFunc
}

// NewWatcher returns a Follower.
func NewWatcher(o WatcherOptions) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{o: o, ctx: ctx, cancel: cancel, seeds: o.Seeds, sources: map[string]*source{}, done: make(chan struct{})}
}

// Start implements kernel.Starter.
func (f *Watcher) Start(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follow(f.seeds)
	return nil
}

// Stop implements kernel.Stopper.
func (f *Watcher) Stop(context.Context) error {
	f.cancel()
	f.wg.Wait()
	close(f.done)
	return nil
}

// Done implements kernel.Stopper.
func (f *Watcher) Done() <-chan struct{} { return f.done }

// SetSeeds replaces the addresses of the settings.
func (f *Watcher) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
	f.follow(seeds)
}

// Collectors returns the addresses of the control VMs whose last watch was answered
// and that have a catalog: first those that collect the pieces of stages, the one
// that has done so longest before others, so that all processes choose the same one
// and stay with it. One that lost its disk has no catalog for a while.
func (f *Watcher) Collectors() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for address, s := range f.sources {
		if s.working && s.catalog > 0 {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	slices.SortStableFunc(list, func(a, b string) int { return f.sources[a].compareCollects(f.sources[b]) })
	return list
}

// compareCollects orders control VMs by how long they collect. Processes hear of it
// at different times, so that small differences don't count.
func (s *source) compareCollects(other *source) int {
	switch {
	case s.collects.IsZero() != other.collects.IsZero():
		if s.collects.IsZero() {
			return 1
		}
		return -1
	case s.collects.Sub(other.collects).Abs() < collectsSlack:
		return 0
	}
	return s.collects.Compare(other.collects)
}

// AvailabilityContext returns a context that ends when the control VM stops answering watches.
// It has ended for one that doesn't answer.
func (f *Watcher) AvailabilityContext(address string) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil && s.working {
		return s.until
	}
	ended, cancel := context.WithCancel(f.ctx)
	cancel()
	return ended
}

// follow watches the addresses that aren't watched yet.
func (f *Watcher) follow(addresses []string) {
	now := f.o.Timers.Now()
	for _, address := range addresses {
		if address == "" || address == f.o.Self || f.ctx.Err() != nil {
			continue
		}
		if s := f.sources[address]; s != nil {
			s.named = now
			continue
		}
		s := &source{answered: now, named: now}
		f.sources[address] = s
		f.wg.Go(func() { f.run(address, s) })
	}
}

// run watches one control VM until it is forgotten.
func (f *Watcher) run(address string, s *source) {
	client := wire.NewDirectoryProtobufClient("http://"+address, f.o.HTTP)
	r := &wire.WatchRequest{Process: f.o.Process, Peer: f.o.CatalogVersion == nil, WaitMs: uint32(watchWait.Milliseconds())}
	for f.ctx.Err() == nil {
		if f.o.CatalogVersion != nil {
			r.CatalogVersion = f.o.CatalogVersion()
		}
		began := f.o.Timers.Now()
		ctx, cancel := context.WithTimeout(f.ctx, watchWait+watchTimeout)
		w, err := client.Watch(ctx, r)
		cancel()
		if err != nil {
			if f.lost(address, s, err) {
				return
			}
			_ = f.o.Timers.Sleep(f.ctx, watchPause)
			continue
		}
		r.Epoch, r.Since = w.GetEpoch(), w.GetVersion()
		f.o.Table.Merge(w, f.o.Timers.Now())
		f.answered(address, s, w)
		if f.o.OnResponse != nil {
			f.o.OnResponse(address, w, began)
		}
	}
}

// answered notes an answer and follows the control VMs that it names.
func (f *Watcher) answered(address string, s *source, w *wire.WatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.answered = f.o.Timers.Now()
	s.catalog = w.GetCatalogVersion()
	s.collects = time.Time{}
	if ms := w.GetCollectingMs(); ms > 0 {
		s.collects = s.answered.Add(-time.Duration(ms) * time.Millisecond)
	}
	if !s.working {
		s.working = true
		s.until, s.lose = context.WithCancel(f.ctx)
		klog.InfoS("Control VM answers", "address", address, "targets", len(w.GetTargets()), "version", w.GetVersion())
	}
	f.follow(w.GetControl())
}

// lost notes a failed watch and reports whether the control VM is forgotten.
func (f *Watcher) lost(address string, s *source, cause error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.working {
		s.working = false
		s.lose()
		klog.InfoS("Control VM doesn't answer", "address", address, "cause", cause.Error())
	}
	now := f.o.Timers.Now()
	if slices.Contains(f.seeds, address) || now.Sub(s.answered) < forgetAfter || now.Sub(s.named) < forgetAfter {
		return f.ctx.Err() != nil
	}
	delete(f.sources, address)
	klog.InfoS("Control VM forgotten", "address", address)
	return true
}
