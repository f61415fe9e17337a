package capacity

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	heartbeatPeriod = time.Second
	pollWait        = 10 * time.Second
	crowdPause      = 100 * time.Millisecond
	arrivalTime     = 30 * time.Second
)

// crowd simulates processes that announce themselves to one control VM over
// connections of their own, poll its configuration, and follow the roster when
// they are entries. Nothing that they receive is parsed.
type crowd struct {
	heartbeats, configs, rosters counter
	sent, failed                 atomic.Int64
	// changes is the number of roster changes received by all followers.
	changes  atomic.Int64
	revision atomic.Uint64
	arrived  chan time.Time // one value for each process and new revision
	members  []*member
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// member is one simulated process.
type member struct {
	c       *crowd
	mu      sync.Mutex
	request *wire.HeartbeatRequest
	beat    wire.Control
	config  wire.Control
	roster  wire.Control
	clients []*http.Client
	wake    chan struct{}
}

// newCrowd starts processes. The stagger between their first polls of the
// configuration bounds how many receive the whole manifest at the same time.
func newCrowd(ctx context.Context, address string, entries, agents int, stagger time.Duration) *crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &crowd{cancel: cancel, arrived: make(chan time.Time, 16*(entries+agents))}
	for i := range entries + agents {
		m := &member{c: c, request: heartbeat(i, "agent"), wake: make(chan struct{}, 1)}
		if i >= agents {
			m.request = heartbeat(i, "entry")
		}
		m.beat = m.connect(address, &c.heartbeats)
		m.config = m.connect(address, &c.configs)
		c.members = append(c.members, m)
		phase := heartbeatPeriod * time.Duration(i) / time.Duration(entries+agents)
		c.wg.Go(func() { m.announce(ctx, phase) })
		c.wg.Go(func() {
			pause(ctx, stagger*time.Duration(i))
			m.followConfig(ctx, pollWait*time.Duration(i+1)/time.Duration(entries+agents))
		})
		if i >= agents {
			m.roster = m.connect(address, &c.rosters)
			c.wg.Go(func() { m.followRoster(ctx, pollWait*time.Duration(i-agents+1)/time.Duration(entries)) })
		}
	}
	return c
}

func (m *member) connect(address string, to *counter) wire.Control {
	client := &http.Client{Transport: &http.Transport{DialContext: to.dial, MaxIdleConnsPerHost: 1, DisableCompression: true}}
	m.clients = append(m.clients, client)
	return wire.NewControlProtobufClient("http://"+address, client)
}

func (c *crowd) stop() {
	c.cancel()
	c.wg.Wait()
	for _, m := range c.members {
		for _, client := range m.clients {
			client.CloseIdleConnections()
		}
	}
}

// change alters the readiness of the first n processes and announces it at once.
func (c *crowd) change(n int) {
	for _, m := range c.members[:n] {
		m.mu.Lock()
		p := m.request.GetProcess()
		m.request = &wire.HeartbeatRequest{TargetName: m.request.GetTargetName(), TargetVersion: m.request.GetTargetVersion(), Process: &wire.ProcessInfo{
			Name: p.GetName(), Role: p.GetRole(), Incarnation: p.GetIncarnation(), Address: p.GetAddress(),
			FailureDomain: p.GetFailureDomain(), Region: p.GetRegion(), Revision: p.GetRevision(), Ready: !p.GetReady(),
		}}
		m.mu.Unlock()
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

func (m *member) announce(ctx context.Context, phase time.Duration) {
	pause(ctx, phase)
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.mu.Lock()
		r := m.request
		m.mu.Unlock()
		_, err := m.beat.Heartbeat(ctx, r)
		m.c.sent.Add(1)
		if err != nil && ctx.Err() == nil {
			m.c.failed.Add(1)
		}
		if err == nil && r.GetTarget() != nil {
			m.mu.Lock()
			m.request = &wire.HeartbeatRequest{Process: r.GetProcess(), TargetName: r.GetTargetName(), TargetVersion: r.GetTargetVersion()}
			m.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-m.wake:
		case <-ctx.Done():
		}
	}
}

// followConfig polls the configuration. The first wait differs between
// processes, so that they don't poll in step.
func (m *member) followConfig(ctx context.Context, wait time.Duration) {
	known := uint64(0)
	for ctx.Err() == nil {
		resp, err := m.config.Config(ctx, &wire.ConfigRequest{KnownRevision: known, Process: m.request.GetProcess().GetName(), WaitMs: wait.Milliseconds()})
		if err != nil || !resp.GetConfirmed() {
			pause(ctx, crowdPause)
			continue
		}
		if known > 0 {
			wait = pollWait
		}
		if r := resp.GetManifest().GetRevision(); r > known {
			known = r
			select {
			case m.c.arrived <- time.Now():
			default:
			}
		}
	}
}

func (m *member) followRoster(ctx context.Context, wait time.Duration) {
	var since uint64
	var epoch string
	for ctx.Err() == nil {
		resp, err := m.roster.Roster(ctx, &wire.RosterRequest{Since: since, Epoch: epoch, WaitMs: wait.Milliseconds(), Process: m.request.GetProcess().GetName()})
		if err != nil {
			pause(ctx, crowdPause)
			continue
		}
		if len(resp.GetChanges()) == 0 {
			wait = pollWait
		}
		since, epoch = resp.GetVersion(), resp.GetEpoch()
		m.c.changes.Add(int64(len(resp.GetChanges())))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// arrivals waits until n processes have received a new revision, and returns the
// times since began in milliseconds.
func (c *crowd) arrivals(ctx context.Context, n int, began time.Time) []float64 {
	ctx, cancel := context.WithTimeout(ctx, arrivalTime)
	defer cancel()
	var all []float64
	for len(all) < n {
		select {
		case t := <-c.arrived:
			all = append(all, float64(t.Sub(began))/million)
		case <-ctx.Done():
			return all
		}
	}
	return all
}
