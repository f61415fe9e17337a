package discovery

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/evacuation"
	"github.com/cardamomline/cardamomline/internal/pacing"
	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/speed"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/warmup"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// watchWait is how long a control VM holds a watch without changes. It limits the age
	// of its confirmation of the catalog.
	watchWait = 500 * time.Millisecond
	// watchTimeout is the time allowed for a response in addition to watchWait.
	watchTimeout = 700 * time.Millisecond
	// watchRetryDelay is the delay before the next attempt after a failure.
	watchRetryDelay = 200 * time.Millisecond
	// collectorStartTolerance is the accuracy with which a process knows when a control VM
	// started collecting.
	collectorStartTolerance = 300 * time.Millisecond
	// removeAfter is how long a control VM that is no longer listed anywhere is watched
	// without a response.
	removeAfter = 10 * time.Second
)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	Timers *timer.Service
	// HTTP is the client for connections to control VMs.
	HTTP *http.Client
	// Process is the name of this process, and Self its own address if it is a control VM.
	Process string
	Self    string
	// Seeds are the addresses known at startup.
	Seeds []string
	// Table receives the targets.
	Table *Table
	// CatalogVersion returns the stored catalog version, so that the document is fetched only
	// if there is a newer one. It is nil on a control VM.
	CatalogVersion func() uint64
	// OnCatalog is called with each new document of the catalog and the time at which its fetch
	// started. It is required with CatalogVersion.
	OnCatalog func(d Document, startedAt time.Time)
	// Quarantine holds the parts of prompts that crash engines. It is nil on a control VM.
	Quarantine *quarantine.Register
	// Limits holds the limits that targets name. It is nil on a control VM.
	Limits *pacing.Register
	// Evacuations holds the evacuated failure domains, which OnResponse adopts. It is nil on a
	// control VM.
	Evacuations *evacuation.Set
	// Warmups holds the ramps of targets. It is nil on a control VM.
	Warmups *warmup.Register
	// Speeds holds the speeds of targets. It is nil on a control VM, and where they aren't used.
	Speeds *speed.Register
	// OnResponse is called with each response and the time at which its watch started.
	OnResponse func(address string, resp *wire.WatchResponse, startedAt time.Time)
}

// Watcher watches all known control VMs.
type Watcher struct {
	o          WatcherOptions
	ctx        context.Context
	cancel     context.CancelFunc
	mu         sync.Mutex
	seeds      []string
	controlVMs map[string]*controlVM
	catalogs   *catalogFetcher
	wg         sync.WaitGroup
	done       chan struct{}
}

// controlVM is the state of a watched control VM.
type controlVM struct {
	lastResponse   time.Time // last response, or the start of the watch
	lastListed     time.Time // last time that a seed list or a member list contained it
	responsive     bool
	catalogVersion uint64 // version that it stores
	fetchFailures  int    // fetches of the catalog that have failed since the last good one
	sendsDocument  bool   // with the answers to watches: it is of an older version
	// collectingSince is when the control VM started collecting pieces of stages; zero if
	// it doesn't collect.
	collectingSince time.Time
	// availability is canceled when the control VM stops responding.
	availability    context.Context
	markUnavailable context.CancelFunc
}

// NewWatcher returns a Watcher.
func NewWatcher(o WatcherOptions) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{o: o, ctx: ctx, cancel: cancel, seeds: o.Seeds, controlVMs: map[string]*controlVM{}, done: make(chan struct{})}
	w.catalogs = newCatalogFetcher(w)
	return w
}

// Start implements kernel.Starter.
func (w *Watcher) Start(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch(w.seeds)
	if w.o.CatalogVersion != nil {
		w.wg.Go(w.catalogs.run)
	}
	return nil
}

// Stop implements kernel.Stopper.
func (w *Watcher) Stop(context.Context) error {
	w.mu.Lock()
	w.cancel() // from here on, SetSeeds starts no watch
	w.mu.Unlock()
	w.wg.Wait()
	close(w.done)
	return nil
}

// Done implements kernel.Stopper.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// SetSeeds replaces the addresses from the settings.
func (w *Watcher) SetSeeds(seeds []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = seeds
	w.watch(seeds)
}

// Collectors returns the addresses of the responsive control VMs that have a catalog. Those
// that collect the pieces of stages come first, the longest-running one at the front, so
// that all processes choose the same collector and keep using it. A control VM that lost
// its disk has no catalog for a while.
func (w *Watcher) Collectors() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for address, vm := range w.controlVMs {
		if vm.responsive && vm.catalogVersion > 0 {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	slices.SortStableFunc(list, func(a, b string) int { return w.controlVMs[a].compareCollectingSince(w.controlVMs[b]) })
	return list
}

// ControlVMs returns the addresses of the responsive control VMs, sorted, or of all if none is.
func (w *Watcher) ControlVMs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all, responsive []string
	for address, vm := range w.controlVMs {
		all = append(all, address)
		if vm.responsive {
			responsive = append(responsive, address)
		}
	}
	if len(responsive) == 0 {
		responsive = all
	}
	slices.Sort(responsive)
	return responsive
}

// compareCollectingSince orders control VMs by how long they have been collecting.
// Processes learn of the start at different times, so small differences are ignored.
func (vm *controlVM) compareCollectingSince(other *controlVM) int {
	switch {
	case vm.collectingSince.IsZero() != other.collectingSince.IsZero():
		if vm.collectingSince.IsZero() {
			return 1
		}
		return -1
	case vm.collectingSince.Sub(other.collectingSince).Abs() < collectorStartTolerance:
		return 0
	}
	return vm.collectingSince.Compare(other.collectingSince)
}

// RespondedSince reports whether a control VM has answered a watch since a time.
func (w *Watcher) RespondedSince(address string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	vm := w.controlVMs[address]
	return vm != nil && vm.responsive && !vm.lastResponse.Before(at)
}

// AvailabilityContext returns a context that is canceled when the control VM stops
// responding to watches. For an unresponsive control VM it is already canceled.
func (w *Watcher) AvailabilityContext(address string) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if vm := w.controlVMs[address]; vm != nil && vm.responsive {
		return vm.availability
	}
	canceled, cancel := context.WithCancel(w.ctx)
	cancel()
	return canceled
}

// watch starts watching the addresses that aren't watched yet.
func (w *Watcher) watch(addresses []string) {
	now := w.o.Timers.Now()
	for _, address := range addresses {
		if address == "" || address == w.o.Self || w.ctx.Err() != nil {
			continue
		}
		if vm := w.controlVMs[address]; vm != nil {
			vm.lastListed = now
			continue
		}
		vm := &controlVM{lastResponse: now, lastListed: now}
		w.controlVMs[address] = vm
		w.wg.Go(func() { w.run(address, vm) })
	}
}

// run watches one control VM until it is removed.
func (w *Watcher) run(address string, vm *controlVM) {
	client := wire.NewDirectoryProtobufClient("http://"+address, w.o.HTTP)
	r := &wire.WatchRequest{Process: w.o.Process, Peer: w.o.CatalogVersion == nil, WaitMs: uint32(watchWait.Milliseconds())}
	var heard heardList
	var parts partsExchange
	var leavers leaversExchange
	var limits limitsExchange
	var ramps rampsExchange
	lost := false // the connection of the last watch broke
	for w.ctx.Err() == nil {
		if w.o.CatalogVersion != nil {
			r.CatalogVersion = w.o.CatalogVersion()
			r.WithoutCatalog, r.NotifiedCatalogVersion = w.fetchesFrom(vm)
		}
		startedAt := w.o.Timers.Now()
		parts.request(r, w.o.Quarantine, startedAt)
		leavers.request(r, w.o.Table)
		limits.request(r, w.o.Limits, startedAt)
		if w.o.Evacuations != nil {
			r.EvacuationRevision = proto.Uint64(w.o.Evacuations.Revision())
		}
		ramps.request(r, w.o.Warmups, startedAt)
		requestSpeeds(address, r, w.o.Speeds, startedAt)
		r.HeardFormat = heard.format(startedAt, w.o.Table.heardInterval())
		ctx, cancel := context.WithTimeout(w.ctx, watchWait+watchTimeout)
		resp, err := client.Watch(ctx, r)
		timedOut := ctx.Err() != nil
		cancel()
		if err != nil {
			var broken *url.Error
			if !lost && !timedOut && errors.As(err, &broken) {
				lost = true // a connection that breaks says nothing about the control VM
				continue
			}
			if w.handleFailure(address, vm, err) {
				return
			}
			_ = w.o.Timers.Sleep(w.ctx, watchRetryDelay)
			continue
		}
		lost = false
		parts.receive(r, resp, w.o.Quarantine, w.o.Timers.Now())
		leavers.receive(r, resp)
		limits.receive(address, r, resp, w.o.Limits, startedAt, w.o.Timers.Now())
		ramps.receive(r, resp, w.o.Warmups, w.o.Timers.Now())
		receiveSpeeds(address, r, resp, w.o.Speeds, w.o.Timers.Now())
		r.Epoch, r.Since = resp.GetEpoch(), resp.GetVersion()
		heard.resolve(r.GetHeardFormat(), resp, w.o.Timers.Now())
		w.o.Table.Merge(resp, w.o.Timers.Now())
		w.handleResponse(address, vm, resp)
		if w.o.OnResponse != nil {
			w.o.OnResponse(address, resp, startedAt)
		}
	}
}

// heardList translates the numbers with which a control VM names targets.
type heardList struct {
	epoch      string
	names      map[uint32]string
	receivedAt time.Time // of the last list
}

// format returns the format to ask for: a list is needed once in an interval.
func (h *heardList) format(now time.Time, interval time.Duration) wire.HeardFormat {
	if now.Sub(h.receivedAt) < interval {
		return wire.HeardFormat_HEARD_FORMAT_NONE
	}
	return wire.HeardFormat_HEARD_FORMAT_NUMBERS
}

// resolve adds the names of the targets that a response lists by number. A control VM of an
// older version lists names.
func (h *heardList) resolve(f wire.HeardFormat, resp *wire.WatchResponse, now time.Time) {
	if h.epoch != resp.GetEpoch() {
		h.epoch, h.names = resp.GetEpoch(), map[uint32]string{}
	}
	for i, number := range resp.GetNumbers() {
		if i < len(resp.GetTargets()) {
			h.names[number] = resp.GetTargets()[i].GetId()
		}
	}
	for _, number := range resp.GetHeardNumbers() {
		if name, ok := h.names[number]; ok {
			resp.Heard = append(resp.Heard, name)
		}
	}
	if f == wire.HeardFormat_HEARD_FORMAT_NUMBERS {
		h.receivedAt = now
	}
}

// handleResponse records a response and watches the control VMs listed in it.
func (w *Watcher) handleResponse(address string, vm *controlVM, resp *wire.WatchResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	vm.lastResponse = w.o.Timers.Now()
	vm.catalogVersion = resp.GetCatalogVersion()
	vm.collectingSince = time.Time{}
	if ms := resp.GetCollectingMs(); ms > 0 {
		vm.collectingSince = vm.lastResponse.Add(-time.Duration(ms) * time.Millisecond)
	}
	if !vm.responsive {
		vm.responsive = true
		vm.availability, vm.markUnavailable = context.WithCancel(w.ctx)
		klog.InfoS("Control VM responsive", "address", address, "targets", len(resp.GetTargets()), "version", resp.GetVersion())
	}
	if w.o.CatalogVersion != nil && vm.catalogVersion > w.o.CatalogVersion() {
		w.catalogs.notify()
	}
	w.watch(resp.GetControl())
}

// fetchesFrom reports whether the document of the catalog is fetched from a control VM, instead of
// being sent with its answers, and the version that it has named.
func (w *Watcher) fetchesFrom(vm *controlVM) (bool, *uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if vm.sendsDocument {
		return false, nil
	}
	return true, proto.Uint64(vm.catalogVersion)
}

// handleFailure records a failed watch and reports whether the control VM was removed.
func (w *Watcher) handleFailure(address string, vm *controlVM, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if vm.responsive {
		vm.responsive, vm.sendsDocument = false, false
		vm.markUnavailable()
		klog.InfoS("Control VM doesn't answer", "address", address, "cause", err.Error())
	}
	now := w.o.Timers.Now()
	if slices.Contains(w.seeds, address) || now.Sub(vm.lastResponse) < removeAfter || now.Sub(vm.lastListed) < removeAfter {
		return w.ctx.Err() != nil
	}
	delete(w.controlVMs, address)
	klog.InfoS("Control VM removed", "address", address)
	return true
}
