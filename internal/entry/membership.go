package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/admission"
	"github.com/cardamomline/cardamomline/internal/budget"
	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/roster"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	rosterPollTimeout = 10 * time.Second
	rosterRetryDelay  = 150 * time.Millisecond
	rosterRetryJitter = 150 * time.Millisecond
	heartbeatPeriod   = time.Second
	tickPeriod        = 50 * time.Millisecond

	// subsetSize is the number of targets of a service that one entry uses. A service with
	// at most this many targets is used in full by every entry.
	subsetSize = 48
)

// serviceState is the state that this entry holds for one service.
type serviceState struct {
	name  string
	pool  *routing.Pool
	queue *admission.Queue

	mu sync.Mutex
	// lastCacheEvent is the number of the last cache event by target.
	lastCacheEvent map[string]uint64
	// subset is the last computed subset, for the targets subsetTargets and the entries
	// subsetEntries.
	subset        map[string]struct{}
	subsetTargets []string
	subsetEntries []string
}

func (s *serviceState) lastSeenCacheEvent(target string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastCacheEvent[target]
}

// applyCacheEvents passes the new cache events of a load report to the pool, each once.
func (s *serviceState) applyCacheEvents(target string, load *wire.LoadReport, now time.Time) {
	events := load.GetCacheEvents()
	if len(events) == 0 {
		return
	}
	first := load.GetCacheFirst()
	last := first + uint64(len(events)) - 1
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.lastCacheEvent[target]
	if last <= seen {
		return
	}
	if first <= seen {
		events = events[seen+1-first:]
		first = seen + 1
	}
	s.lastCacheEvent[target] = last
	list := make([]routing.CacheEvent, 0, len(events))
	for _, e := range events {
		list = append(list, routing.CacheEvent{Prefix: e.GetPrefix(), Evicted: e.GetEvicted(), Age: time.Duration(e.GetAgeMs()) * time.Millisecond})
	}
	s.pool.CacheEvents(target, first, list, now)
}

// service returns the state of a service and creates it on first use.
func (e *Entry) service(s *manifest.Service, policy manifest.Policy) *serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state, ok := e.services[s.Name()]; ok {
		return state
	}
	o := routing.Options{Service: s.Name(), FailureDomain: e.o.FailureDomain, Seed: e.o.Seed, Policy: routing.Adaptive{}}
	ao := admission.Options{Service: s.Name(), Policy: admission.Adaptive{}}
	if policy == manifest.PolicyBaseline {
		o.Policy = routing.Baseline{}
		ao.Policy = admission.Baseline{}
	}
	state := &serviceState{name: s.Name(), pool: routing.NewPool(o), queue: admission.NewQueue(ao), lastCacheEvent: make(map[string]uint64)}
	e.services[s.Name()] = state
	e.syncService(state, e.liveEntries())
	return state
}

// Reconfigure applies a newer configuration. A change of policy discards the state of the
// previous policy's decisions.
func (e *Entry) Reconfigure(cfg *configwatch.Config) {
	e.Wake()
	policy := cfg.Manifest().Policy()
	e.mu.Lock()
	defer e.mu.Unlock()
	if policy == e.policy {
		return
	}
	e.policy = policy
	e.services = make(map[string]*serviceState)
	o := budget.RetryOptions{Policy: budget.Adaptive{}}
	if policy == manifest.PolicyBaseline {
		o.Policy = budget.Baseline{}
	}
	e.retries.Store(budget.NewRetries(o))
}

func (e *Entry) serviceStates() []*serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]*serviceState, 0, len(e.services))
	for _, s := range e.services {
		all = append(all, s)
	}
	return all
}

// watchRoster long-polls the control VMs for changes of the roster.
func (e *Entry) watchRoster(ctx context.Context) {
	var since uint64
	var epoch string
	var confirmed time.Time // zero: an entry that knows nothing takes what it gets
	for ctx.Err() == nil {
		resp, err := e.o.Control.Roster(ctx, &wire.RosterRequest{
			Since: since, Epoch: epoch, WaitMs: rosterPollTimeout.Milliseconds(), Process: e.o.Name, Revision: e.o.Config.Revision(),
		})
		if err != nil {
			_ = e.o.Timers.Sleep(ctx, rosterRetryDelay+rand.N(rosterRetryJitter))
			continue
		}
		if resp.GetConfirmed() {
			confirmed = e.o.Timers.Now()
		} else {
			// An unconfirmed roster may come from a partitioned control VM, which reports
			// most targets as unresponsive. It is used only if no control VM has confirmed
			// a roster within MaxConfirmationAge.
			e.o.Control.PreferNext()
			if e.o.Timers.Since(confirmed) < configwatch.MaxConfirmationAge {
				_ = e.o.Timers.Sleep(ctx, rosterRetryDelay)
				continue
			}
		}
		since, epoch = resp.GetVersion(), resp.GetEpoch()
		e.roster.Merge(resp)
		e.rosterKnown.Store(true)
		e.o.Config.Confirm(resp.GetRevision(), resp.GetConfirmed())
		e.syncPools()
	}
}

func (e *Entry) syncPools() {
	entries := e.liveEntries()
	for _, s := range e.serviceStates() {
		e.syncService(s, entries)
	}
}

// syncService updates the pool with the targets in this entry's subset, and the queue with
// their slots.
func (e *Entry) syncService(s *serviceState, entries []string) {
	infos := e.roster.Targets(s.name)
	keep := e.selectSubset(s, infos, entries)
	targets := make([]routing.Target, 0, len(infos))
	for _, t := range infos {
		if keep != nil {
			if _, ok := keep[t.GetName()]; !ok {
				continue
			}
		}
		targets = append(targets, newTarget(t))
	}
	s.pool.Sync(targets, e.o.Timers.Now())
	s.queue.SetSlots(slotShare(s.pool.Slots(), len(entries)))
}

// slotShare returns this entry's share of the slots of a service, at least 1 if there are
// any.
func slotShare(slots, entries int) int {
	if slots == 0 {
		return 0
	}
	return max(slots/entries, 1)
}

// selectSubset returns the names of the targets that this entry uses, or nil for all.
func (e *Entry) selectSubset(s *serviceState, infos []*wire.TargetInfo, entries []string) map[string]struct{} {
	if len(infos) <= subsetSize {
		return nil
	}
	names := make([]string, 0, len(infos))
	for _, t := range infos {
		names = append(names, t.GetName())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Computing the subset takes some 50 ms at the target size, and most changes of the
	// roster change no name.
	if slices.Equal(names, s.subsetTargets) && slices.Equal(entries, s.subsetEntries) {
		return s.subset
	}
	keep := make(map[string]struct{}, subsetSize)
	for _, name := range routing.Subset(e.o.Name, entries, names, subsetSize) {
		keep[name] = struct{}{}
	}
	s.subset, s.subsetTargets, s.subsetEntries = keep, names, entries
	return keep
}

// liveEntries returns the sorted names of the entries that take requests, including this
// one.
func (e *Entry) liveEntries() []string {
	names := []string{e.o.Name}
	for _, info := range e.otherEntries() {
		names = append(names, info.GetName())
	}
	slices.Sort(names)
	return names
}

// otherEntries returns the other entries that are neither shutting down nor past their
// heartbeat timeout.
func (e *Entry) otherEntries() []*wire.ProcessInfo {
	var others []*wire.ProcessInfo
	for _, p := range e.roster.Processes() {
		info := p.GetProcess()
		live := !info.GetLeaving() && !roster.IsSilent(p)
		if info.GetRole() == role && info.GetName() != e.o.Name && live {
			others = append(others, info)
		}
	}
	return others
}

func newTarget(t *wire.TargetInfo) routing.Target {
	return routing.Target{
		Name:              t.GetName(),
		Address:           t.GetAgentAddress(),
		Incarnation:       t.GetIncarnation(),
		FailureDomain:     t.GetFailureDomain(),
		Models:            t.GetModels(),
		Slots:             int(t.GetSlots()),
		Draining:          t.GetLeaving(),
		HeartbeatTimedOut: t.GetSilent(),
		NotReady:          !t.GetReady(),
	}
}

// sendHeartbeats sends this entry's heartbeats until ctx ends.
func (e *Entry) sendHeartbeats(ctx context.Context) {
	ticker := e.o.Timers.Subscribe(heartbeatPeriod)
	defer ticker.Stop()
	for {
		ready, _ := e.Ready()
		resp, err := e.o.Control.Heartbeat(ctx, &wire.HeartbeatRequest{Process: &wire.ProcessInfo{
			Name: e.o.Name, Role: role, Incarnation: e.incarnation, Address: e.o.Address, Admin: e.o.Admin,
			FailureDomain: e.o.FailureDomain, Region: e.o.Region,
			Revision: e.o.Config.Revision(), Leaving: e.leaving.Load(), Ready: ready,
		}})
		if err == nil {
			e.o.Config.Confirm(resp.GetRevision(), resp.GetConfirmed())
			e.waitingHint.Store(resp.GetWaiting())
		} else {
			e.o.Metrics.Count("entry_heartbeat_failures", 1)
		}
		select {
		case <-ticker.C():
		case <-e.heartbeatNow:
		case <-ctx.Done():
			return
		}
	}
}

// runTicks periodically updates the time-dependent state of pools and queues.
func (e *Entry) runTicks(ctx context.Context) {
	ticker := e.o.Timers.Subscribe(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
		now := e.o.Timers.Now()
		for _, s := range e.serviceStates() {
			s.pool.Tick(now)
			deliverDecisions(s.queue.Expire(now))
		}
	}
}

// deliverDecisions sends admission decisions to the calls that wait for them.
func deliverDecisions(decisions []admission.Decision) {
	for _, d := range decisions {
		d.For().Owner().(chan admission.Decision) <- d
	}
}
