// Package originlink connects a gateway to the control VMs that store which software versions began
// streams.
//
// A record goes to all control VMs that answer. For each of them one call at a time is under way,
// and takes all records that have come meanwhile. A control VM that has started again gets the
// records of all streams that may still be taken up.
//
// # Usage
//
//	c := originlink.NewClient(originlink.Options{Timers: ts, HTTP: client, ControlVMs: watcher.ControlVMs})
//	stored := c.Store(origin.NewRecord(stream, "generators", "v2", attempt, life))
//	<-stored // before the first event is passed on
//	switch f := c.Find(ctx, stream, "generators", window).(type) {
//	case origin.Recorded:
//		// the stream goes on at f.Software
//	}
package originlink

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// storeTimeout limits one call that stores records. A control VM may have to commit a version
	// first.
	storeTimeout = 900 * time.Millisecond
	// storeRetry is the time until records are sent again that a control VM hasn't stored, and
	// storeGiveUp the age at which they are dropped.
	storeRetry  = 100 * time.Millisecond
	storeGiveUp = 5 * time.Second
	// maxBatch and maxQueued bound the records of one call and those that wait for one.
	maxBatch  = 500
	maxQueued = 10_000
	// maxKept bounds the records that are kept for control VMs that start again.
	maxKept = 20_000
	// findTimeout limits the wait for the answers of all control VMs, and findRetry is the time
	// until they are asked again.
	findTimeout = 300 * time.Millisecond
	findRetry   = 50 * time.Millisecond
	// firstMaxAge is how long an answer to which version is the first one is used. Control VMs wait
	// twice as long before they change it.
	firstMaxAge = 30 * time.Second
)

// Options configures a Client; all are required.
type Options struct {
	Timers *timer.Service
	// HTTP is the client for connections to control VMs.
	HTTP *http.Client
	// ControlVMs returns the addresses of the control VMs.
	ControlVMs func() []string
}

// Client stores and finds records. It is safe for concurrent use.
type Client struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	queues map[string]*queue
	kept   *origin.Register
	epochs map[string]string       // processes of the control VMs that have the records
	first  map[string]firstVersion // by service
	wg     sync.WaitGroup
	done   chan struct{}
}

// firstVersion is a version whose streams need no records, and when a control VM last said so, on
// the boot clock, which also runs while the process is suspended.
type firstVersion struct {
	software string
	at       time.Duration
}

// queue holds the records that a control VM hasn't stored yet.
type queue struct{ records []*pending }

// pending is a record that isn't stored by a majority yet.
type pending struct {
	record origin.Record
	since  time.Time
	mu     sync.Mutex
	votes  int
	stored chan struct{}
	isDone bool
}

// NewClient returns a Client.
func NewClient(o Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{o: o, ctx: ctx, cancel: cancel, queues: map[string]*queue{}, kept: origin.NewRegister(maxKept), epochs: map[string]string{}, first: map[string]firstVersion{}, done: make(chan struct{})}
}

// Start implements kernel.Starter.
func (c *Client) Start(context.Context) error { return nil }

// Stop implements kernel.Stopper.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	c.cancel() // from here on, Store starts no call
	c.mu.Unlock()
	c.wg.Wait()
	close(c.done)
	return nil
}

// Done implements kernel.Stopper.
func (c *Client) Done() <-chan struct{} { return c.done }

// First returns the version of a service whose streams need no records, and false if no control VM
// has lately said which one that is.
func (c *Client) First(service string) (software string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.first[service]
	if !ok || timer.SinceBoot()-f.at > firstMaxAge {
		return "", false
	}
	return f.software, true
}

// Store sends a record to the control VMs. The channel is closed once a majority has stored it.
func (c *Client) Store(r origin.Record) <-chan struct{} {
	p := &pending{record: r, since: c.o.Timers.Now(), stored: make(chan struct{})}
	addresses := c.o.ControlVMs()
	c.kept.Record(r, p.since)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.enqueue(address, p)
	}
	return p.stored
}

// enqueue adds a record to the queue of a control VM; c.mu is held.
func (c *Client) enqueue(address string, p *pending) {
	if c.ctx.Err() != nil {
		return
	}
	q := c.queues[address]
	if q == nil {
		q = &queue{}
		c.queues[address] = q
		c.wg.Go(func() { c.run(address, q) })
	}
	if len(q.records) >= maxQueued {
		q.records = q.records[1:]
	}
	q.records = append(q.records, p)
}

// resend sends the kept records to a control VM whose process has no records of this one's.
func (c *Client) resend(address, epoch string) {
	now := c.o.Timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.epochs[address]
	c.epochs[address] = epoch
	if before == "" || before == epoch {
		return
	}
	records := c.kept.Records(now)
	for _, r := range records {
		c.enqueue(address, &pending{record: r, since: now, stored: make(chan struct{})})
	}
	klog.InfoS("Origins of streams sent again", "address", address, "records", len(records))
}

// run sends the records of a queue until it is empty.
func (c *Client) run(address string, q *queue) {
	client := wire.NewDirectoryProtobufClient("http://"+address, c.o.HTTP)
	for {
		batch := c.next(address, q)
		if len(batch) == 0 {
			return
		}
		if left := c.send(address, client, batch); len(left) > 0 {
			c.mu.Lock()
			q.records = append(left, q.records...)
			c.mu.Unlock()
			_ = c.o.Timers.Sleep(c.ctx, storeRetry)
		}
	}
}

// next takes the records of the next call; none if the queue ends.
func (c *Client) next(address string, q *queue) []*pending {
	now := c.o.Timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(q.records) > 0 && now.Sub(q.records[0].since) > storeGiveUp {
		q.records = q.records[1:]
	}
	if len(q.records) == 0 || c.ctx.Err() != nil {
		delete(c.queues, address)
		return nil
	}
	n := min(len(q.records), maxBatch)
	batch := q.records[:n:n]
	q.records = q.records[n:]
	return batch
}

// send sends records and returns those that weren't stored.
func (c *Client) send(address string, client wire.Directory, batch []*pending) []*pending {
	r := &wire.RecordOriginsRequest{}
	for _, p := range batch {
		r.Origins = append(r.Origins, &wire.StreamOrigin{
			Stream: uint64(p.record.Stream()), Service: p.record.Service(), Software: p.record.Software(), Attempt: p.record.Attempt(),
			LifeMs: uint32(p.record.Life().Milliseconds()),
		})
	}
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	askedAt := timer.SinceBoot()
	resp, err := client.RecordOrigins(ctx, r)
	if isUnknownCall(err) {
		for _, p := range batch {
			p.finish()
		}
		return nil
	}
	if err != nil {
		klog.V(1).InfoS("Origins of streams not stored", "address", address, "records", len(batch), "cause", err.Error())
		return batch
	}
	for _, v := range resp.GetVersions() {
		c.learnFirst(v, askedAt)
	}
	c.resend(address, resp.GetEpoch())
	var left []*pending
	for i, p := range batch {
		if i < len(resp.GetStored()) && resp.GetStored()[i] {
			p.recordVote(resp.GetVoter(), int(resp.GetVoters()))
		} else {
			left = append(left, p)
		}
	}
	return left
}

// recordVote counts a control VM that has stored the record.
func (p *pending) recordVote(voter bool, voters int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if voter {
		p.votes++
	}
	if 2*p.votes > voters {
		p.finishLocked()
	}
}

// finish ends the wait for the record, because a control VM of an earlier release doesn't store any.
func (p *pending) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishLocked()
}

// finishLocked closes the channel of the record; p.mu is held.
func (p *pending) finishLocked() {
	if !p.isDone {
		p.isDone = true
		close(p.stored)
	}
}

// isUnknownCall reports whether a control VM doesn't know a call, because it runs an earlier release.
func isUnknownCall(err error) bool {
	var failed twirp.Error
	return errors.As(err, &failed) && failed.Code() == twirp.BadRoute
}

// learnFirst records what a control VM has said to a call that was made at a time.
func (c *Client) learnFirst(v *wire.SoftwareVersions, askedAt time.Duration) {
	if len(v.GetActive()) == 0 || v.GetFirstChanges() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first[v.GetService()].at > askedAt {
		return
	}
	c.first[v.GetService()] = firstVersion{software: v.GetFirst(), at: askedAt}
}

// Find asks the control VMs for the version that began a stream of a service, which began within the
// window. It asks again until it knows, or ctx ends.
func (c *Client) Find(ctx context.Context, s origin.Stream, service string, window time.Duration) origin.Finding {
	for {
		f := c.ask(ctx, &wire.FindOriginRequest{Stream: uint64(s), Service: service, WindowMs: uint32(window.Milliseconds())})
		if _, unknown := f.(origin.Unknown); !unknown {
			return f
		}
		if err := c.o.Timers.Sleep(ctx, findRetry); err != nil {
			return f
		}
	}
}

// ask asks all control VMs once.
func (c *Client) ask(ctx context.Context, r *wire.FindOriginRequest) origin.Finding {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses, askedAt := c.o.ControlVMs(), timer.SinceBoot()
	replies := make(chan *wire.FindOriginResponse, len(addresses))
	var older atomic.Int32 // control VMs of an earlier release
	for _, address := range addresses {
		go func() {
			resp, err := wire.NewDirectoryProtobufClient("http://"+address, c.o.HTTP).FindOrigin(ctx, r)
			if isUnknownCall(err) {
				older.Add(1)
			}
			if err != nil {
				klog.V(1).InfoS("Origin of a stream not asked", "address", address, "cause", err.Error())
			}
			replies <- resp // nil after an error
		}()
	}
	var answers []origin.Answer
	for range addresses {
		resp := <-replies
		if resp == nil {
			continue
		}
		if v := resp.GetVersions(); v != nil {
			c.learnFirst(v, askedAt)
		}
		answers = append(answers, decodeAnswer(resp))
		f := origin.Judge(answers, false)
		if _, unknown := f.(origin.Unknown); !unknown {
			return f
		}
	}
	if len(answers) == 0 && older.Load() > 0 {
		return origin.Unrecorded{}
	}
	return origin.Judge(answers, true)
}

func decodeAnswer(r *wire.FindOriginResponse) origin.Answer {
	a := origin.Answer{Complete: r.GetComplete(), Confirmed: r.GetConfirmed(), Voter: r.GetVoter(), Voters: int(r.GetVoters()), Revision: r.GetRevision()}
	if v := r.GetVersions(); v != nil {
		a.Versions = origin.ServiceVersions{First: v.GetFirst(), Active: v.GetActive()}
	}
	if o := r.GetOrigin(); o != nil {
		life := time.Duration(o.GetLifeMs()) * time.Millisecond
		a.Record, a.HasRecord = origin.NewRecord(origin.Stream(o.GetStream()), o.GetService(), o.GetSoftware(), o.GetAttempt(), life), true
	}
	return a
}
