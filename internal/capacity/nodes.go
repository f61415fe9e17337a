package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/standin"
)

const (
	settleTime  = 2 * time.Second
	measureTime = 5 * time.Second
	burstTime   = 2 * time.Second
	// takeoverTime leaves time for the changes that follow the full lists.
	takeoverTime = 4 * time.Second
	mebi         = 1 << 20
)

// role names a process in the name of a quantity.
type role struct {
	what, process string
}

// node is a real entry or agent whose control traffic passes a relay.
type node struct {
	name  string
	relay *relay
}

func (f *fleet) startNode(ctx context.Context, role, name, more string) (*node, error) {
	r, err := newRelay(ctx, f.controls[0])
	if err != nil {
		return nil, err
	}
	if err := f.start(ctx, role, name, "", []string{r.address()}, more); err != nil {
		return nil, err
	}
	return &node{name: name, relay: r}, f.ready(ctx, name)
}

func targetSettings(name, service, address string) string {
	return fmt.Sprintf("target: {name: %s, service: %s, url: \"http://%s\"}\n", name, service, address)
}

// nodesGroup runs three control VMs, a real entry and a real agent among
// simulated processes, and measures what each uses by their number.
func nodesGroup(ctx context.Context, o Options, s *series) error {
	for _, n := range []int{50, 200, 600, 1220} {
		if err := nodesAt(ctx, o, s, n); err != nil {
			return errors.Wrapf(err, "%d processes", n)
		}
	}
	return nil
}

// observed is a fleet of three control VMs with a real entry and a real agent.
type observed struct {
	*fleet
	engine       *standin.Standin
	entry, agent *node
}

func newObserved(ctx context.Context, o Options, manifest []byte) (*observed, error) {
	fleet, err := newFleet(ctx, o, 3)
	if err != nil {
		return nil, err
	}
	f := &observed{fleet: fleet}
	if err := f.startNodes(ctx, manifest); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *observed) startNodes(ctx context.Context, manifest []byte) error {
	if _, err := f.apply(ctx, manifest); err != nil {
		return err
	}
	var err error
	f.engine, err = startStandin(ctx, standin.Options{Name: "real", Service: "generators", Kind: standin.KindEngine, Slots: 8, Engine: standin.EngineOptions{Models: []string{"model-7b"}}})
	if err != nil {
		return err
	}
	if f.entry, err = f.startNode(ctx, "entry", "entry-real", ""); err != nil {
		return err
	}
	f.agent, err = f.startNode(ctx, "agent", "agent-real", targetSettings("real", "generators", f.engine.Address()))
	return err
}

// stop ends all parts that were started.
func (f *observed) stop() {
	f.fleet.stop()
	for _, n := range []*node{f.entry, f.agent} {
		if n != nil {
			n.relay.close()
		}
	}
	if f.engine != nil {
		f.engine.Die()
	}
}

func nodesAt(ctx context.Context, o Options, s *series, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newObserved(ctx, o, manifestText(100, 5))
	if err != nil {
		return err
	}
	defer f.stop()
	c := newCrowd(ctx, f.controls[0], n-n*targetWorkers/targetProcesses, n*targetWorkers/targetProcesses, 0)
	defer c.stop()
	c.arrivals(ctx, n, time.Now())
	// The entry chooses among the targets of a service only from the first request
	// on. All targets but the real one refuse it, so it may fail.
	send(ctx, post{url: "http://" + f.children[f.entry.name].listen + "/v1/pipelines/talk-16", body: `{"deadline_ms":2000,"input":"first","max_tokens":1}`})
	pause(ctx, settleTime)
	if err := f.idle(ctx, s, c); err != nil {
		return err
	}
	if err := f.churn(ctx, s, c); err != nil {
		return err
	}
	if err := f.spread(ctx, s, c, 100); err != nil {
		return err
	}
	c.stop()
	return f.takeover(ctx, s, n)
}

// takeover measures what it costs a control VM when all processes turn to it at
// the same time, because the one before died.
func (f *observed) takeover(ctx context.Context, s *series, n int) error {
	entry := f.entry
	agents := n * targetWorkers / targetProcesses
	before, err := f.read("control-2", entry.name)
	if err != nil {
		return err
	}
	began := time.Now()
	c := newCrowd(ctx, f.controls[1], n-agents, agents, 0)
	defer c.stop()
	want := int64(n) * int64(n-agents)
	took := takeoverTime
	for time.Since(began) < takeoverTime {
		pause(ctx, readyPause)
		if c.changes.Load() >= want && took == takeoverTime {
			took = time.Since(began)
		}
	}
	after, err := f.read("control-2", entry.name)
	if err != nil {
		return err
	}
	size := float64(n)
	seconds := after.at.Sub(before.at).Seconds()
	const perCent = 10 // ms per second in 1% of a core
	s.add(byProcesses("takeover: time until all entries had a full list", "ms"), size, float64(took)/million)
	s.add(byProcesses("takeover: processor of the control VM in 4 s", "ms"), size, perCent*seconds*after.share(before, "control-2"))
	s.add(byProcesses("takeover: processor of an entry in 4 s", "ms"), size, perCent*seconds*after.share(before, entry.name))
	s.add(byProcesses("takeover: roster answers to all entries in 4 s", "bytes"), size, c.rosters.total())
	s.add(byProcesses("takeover: failed heartbeats", "heartbeats"), size, float64(c.failed.Load()))
	return nil
}

func byProcesses(name, unit string) quantity {
	return quantity{name, unit, "processes", targetProcesses}
}

// idle measures without a change or request.
func (f *observed) idle(ctx context.Context, s *series, c *crowd) error {
	entry, agent := f.entry, f.agent
	size := float64(len(c.members))
	names := []string{"control-1", "control-2", "control-3", entry.name, agent.name}
	before, err := f.read(names...)
	if err != nil {
		return err
	}
	beats, sent := c.heartbeats.total(), c.sent.Load()
	polls := c.configs.total() + c.rosters.total()
	entryBytes, agentBytes := entry.relay.total(), agent.relay.total()
	pause(ctx, measureTime)
	after, err := f.read(names...)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	s.add(byProcesses("bytes of one heartbeat, both ways", "bytes"), size, (c.heartbeats.total()-beats)/float64(max(1, c.sent.Load()-sent)))
	s.add(byProcesses("heartbeats at the control VM", "bytes/s"), size, (c.heartbeats.total()-beats)/seconds)
	s.add(byProcesses("idle polls at the control VM", "bytes/s"), size, (c.configs.total()+c.rosters.total()-polls)/seconds)
	s.add(byProcesses("processor of the control VM that answers", "% of a core"), size, after.share(before, "control-1"))
	s.add(byProcesses("processor of a control VM that merges its roster", "% of a core"), size, min(after.share(before, "control-2"), after.share(before, "control-3")))
	s.add(byProcesses("failed heartbeats", "heartbeats"), size, float64(c.failed.Load()))
	s.add(byProcesses("processor of an idle entry", "% of a core"), size, after.share(before, entry.name))
	s.add(byProcesses("processor of an idle agent", "% of a core"), size, after.share(before, agent.name))
	s.add(byProcesses("control traffic of an idle entry", "bytes/s"), size, (entry.relay.total()-entryBytes)/seconds)
	s.add(byProcesses("control traffic of an idle agent", "bytes/s"), size, (agent.relay.total()-agentBytes)/seconds)
	for _, x := range []role{{"the control VM that answers", "control-1"}, {"an idle entry", entry.name}, {"an idle agent", agent.name}} {
		now, _, err := memory(f.children[x.process].pid())
		if err != nil {
			return err
		}
		s.add(byProcesses("memory of "+x.what, "MiB"), size, now/mebi)
	}
	return nil
}

// churn lets a quarter of the processes change at the same time, as when a
// failure domain fails or returns.
func (f *observed) churn(ctx context.Context, s *series, c *crowd) error {
	entry := f.entry
	size := float64(len(c.members))
	changed := len(c.members) / 4
	before, err := f.read("control-1", entry.name)
	if err != nil {
		return err
	}
	polls, got, entryBytes := c.rosters.total(), c.changes.Load(), entry.relay.total()
	began := time.Now()
	c.change(changed)
	want := int64(changed) * int64(len(c.members)-len(c.members)*targetWorkers/targetProcesses)
	took := burstTime
	for time.Since(began) < burstTime {
		pause(ctx, readyPause)
		if c.changes.Load()-got >= want && took == burstTime {
			took = time.Since(began)
		}
	}
	after, err := f.read("control-1", entry.name)
	if err != nil {
		return err
	}
	busy := func(name string) float64 {
		return after.share(before, name) / 100 * float64(after.at.Sub(before.at)) / million
	}
	s.add(byProcesses("time until all entries heard of a change of a quarter", "ms"), size, float64(took)/million)
	s.add(byProcesses("processor of the control VM for a change of a quarter, 2 s of heartbeats included", "ms"), size, busy("control-1"))
	s.add(byProcesses("processor of an entry for a change of a quarter, 2 s of idling included", "ms"), size, busy(entry.name))
	s.add(byProcesses("roster answers to all entries for a change of a quarter", "bytes"), size, c.rosters.total()-polls)
	s.add(byProcesses("roster answers to one entry for a change of a quarter, 2 s of heartbeats included", "bytes"), size, entry.relay.total()-entryBytes)
	return nil
}

// spread measures how long a change of the configuration takes to reach every
// watching process.
func (f *observed) spread(ctx context.Context, s *series, c *crowd, customers int) error {
	const changes = 5
	var typical, last []float64
	for i := range changes {
		text := manifestText(customers, 6+i%2)
		began := time.Now()
		if _, err := f.apply(ctx, text); err != nil {
			return err
		}
		all := c.arrivals(ctx, len(c.members), began)
		if len(all) < len(c.members) {
			return errors.Errorf("%d of %d processes heard of a change", len(all), len(c.members))
		}
		typical = append(typical, median(all))
		last = append(last, quantile(all, 1))
	}
	size := float64(len(c.members))
	s.add(byProcesses("time to the median process, from sending a change", "ms"), size, median(typical))
	s.add(byProcesses("time to the last process, from sending a change", "ms"), size, median(last))
	return nil
}

// fullGroup repeats the change of a customer with the target number of customers
// in force, by the number of processes.
func fullGroup(ctx context.Context, o Options, s *series) error {
	for _, n := range []int{200, 600, 1220} {
		if err := fullAt(ctx, o, s, n); err != nil {
			return errors.Wrapf(err, "%d processes", n)
		}
	}
	return nil
}

func fullAt(ctx context.Context, o Options, s *series, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newObserved(ctx, o, manifestText(targetCustomers, 5))
	if err != nil {
		return err
	}
	defer f.stop()
	const stagger = 10 * time.Millisecond
	began := time.Now()
	c := newCrowd(ctx, f.controls[0], n-n*targetWorkers/targetProcesses, n*targetWorkers/targetProcesses, stagger)
	defer c.stop()
	if got := c.arrivals(ctx, n, began); len(got) < n {
		return errors.Errorf("%d of %d processes got the manifest", len(got), n)
	}
	pause(ctx, settleTime)
	before, err := f.read("control-1", f.entry.name, f.agent.name)
	if err != nil {
		return err
	}
	bytes := c.configs.total()
	if err := f.spread(ctx, s, c, targetCustomers); err != nil {
		return err
	}
	pause(ctx, settleTime)
	after, err := f.read("control-1", f.entry.name, f.agent.name)
	if err != nil {
		return err
	}
	s.add(byProcesses("answers to polls of the configuration in 5 changes and 2 s", "bytes"), float64(n), c.configs.total()-bytes)
	for _, x := range []role{{"the control VM that answers", "control-1"}, {"an entry", f.entry.name}, {"an agent", f.agent.name}} {
		now, peak, err := memory(f.children[x.process].pid())
		if err != nil {
			return err
		}
		s.add(byProcesses("memory of "+x.what, "MiB"), float64(n), now/mebi)
		s.add(byProcesses("peak memory of "+x.what, "MiB"), float64(n), peak/mebi)
		s.add(byProcesses("processor of "+x.what+" in 5 changes and 2 s", "ms"), float64(n), float64(after.time[x.process]-before.time[x.process])/million)
	}
	return nil
}

// startStandin starts a stand-in in this process.
func startStandin(ctx context.Context, o standin.Options) (*standin.Standin, error) {
	o.Listen = "127.0.0.1:0"
	t, err := standin.New(o)
	if err != nil {
		return nil, err
	}
	return t, t.Start(ctx)
}
