// Package configwatch maintains the active configuration of a process.
//
// A Watcher long-polls the control VMs and also accepts newer configurations from any
// process that provides one. The active revision never decreases. A process isn't ready
// until a quorum-confirmed revision is known.
//
// # Usage
//
//	w := configwatch.New(configwatch.Options{Timers: ts, Source: client, Process: "entry-1"})
//	cur := w.Current()
//	if cur == nil {
//		// not ready
//	}
package configwatch

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	// pollWait is how long a control VM holds a poll without changes.
	pollWait = 10 * time.Second
	// retryDelay and its jitter prevent processes from polling in lockstep after a control
	// VM's restart.
	retryDelay  = 150 * time.Millisecond
	retryJitter = 150 * time.Millisecond

	// largeManifest is the size in bytes above which memory is returned to the operating
	// system after a change. Returning it takes about 10 ms, 1,200 times a day.
	largeManifest = 1 << 20

	// MaxConfirmationAge is the age of the last confirmation above which a process counts
	// as disconnected.
	MaxConfirmationAge = 3 * time.Second
)

// Source serves configuration polls. It is implemented by controlclient.Client.
type Source interface {
	Config(ctx context.Context, r *wire.ConfigRequest) (*wire.ConfigResponse, error)
}

// Config is one accepted configuration.
type Config struct {
	record   *wire.ManifestRecord
	manifest *manifest.Manifest
}

// Revision returns the revision of the configuration; 0 means none.
func (c *Config) Revision() uint64 {
	if c == nil {
		return 0
	}
	return c.record.GetRevision()
}

// Manifest returns the validated manifest, or nil with Options.SkipParsing.
func (c *Config) Manifest() *manifest.Manifest {
	if c == nil {
		return nil
	}
	return c.manifest
}

// Record returns the manifest as stored by the control VMs.
func (c *Config) Record() *wire.ManifestRecord {
	if c == nil {
		return nil
	}
	return c.record
}

// newConfig returns the configuration of a record. If its contents are needed, the manifest
// is parsed based on the active one.
func newConfig(old *Config, record *wire.ManifestRecord, contents bool) (*Config, error) {
	if d := record.GetDelta(); d != nil {
		if d.GetBaseRevision() != old.Revision() {
			return nil, errors.Errorf("delta on revision %d, but the active revision is %d", d.GetBaseRevision(), old.Revision())
		}
		full, err := delta.Apply(old.Record().GetManifest(), d)
		if err != nil {
			return nil, err
		}
		record = proto.CloneOf(record)
		record.Manifest, record.Delta = full, nil
	}
	if !contents {
		return &Config{record: record}, nil
	}
	m, err := manifest.ParseNext(old.Manifest(), "manifest", record.GetManifest())
	if err != nil {
		return nil, err
	}
	return &Config{record: record, manifest: m}, nil
}

// Options configures a Watcher.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Source serves the polls; required.
	Source Source
	// Process is the name of this process.
	Process string
	// SkipParsing is set in a process that needs the revision and the bytes, but not the
	// contents. The control VMs have validated them, and parsing a manifest of 24,000
	// customers takes most of the memory and time of a change.
	SkipParsing bool
	// OnChange is called after a newer configuration became active.
	OnChange func(*Config)
}

// Watcher holds the active configuration.
type Watcher struct {
	o       Options
	current atomic.Pointer[Config]
	// confirmedAt is when a control VM last confirmed the revision.
	confirmedAt atomic.Pointer[time.Time]
	// mu guards changes of current, and previous.
	mu       sync.Mutex
	previous *Config
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a Watcher. Start starts polling.
func New(o Options) *Watcher {
	return &Watcher{o: o, done: make(chan struct{})}
}

// Start implements kernel.Starter.
func (w *Watcher) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (w *Watcher) Stop(context.Context) error {
	w.cancel()
	<-w.done
	return nil
}

// Done implements kernel.Stopper.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Current returns the active configuration, or nil before the first one.
func (w *Watcher) Current() *Config { return w.current.Load() }

// Revision returns the active revision, or 0.
func (w *Watcher) Revision() uint64 { return w.Current().Revision() }

// RecordFor returns the active configuration for a reader that has the known revision: as a
// delta if that is the previous revision, and nil if it is the active one.
func (w *Watcher) RecordFor(known uint64) *wire.ManifestRecord {
	w.mu.Lock()
	current, previous := w.Current(), w.previous
	w.mu.Unlock()
	if current.Revision() <= known {
		return nil
	}
	return delta.DiffRecord(previous.Record(), current.Record(), known)
}

// Confirmed reports whether a control VM that is connected to a quorum confirmed the
// revision within MaxConfirmationAge.
func (w *Watcher) Confirmed() bool {
	t := w.confirmedAt.Load()
	return t != nil && w.o.Timers.Since(*t) < MaxConfirmationAge
}

// Confirm records that a control VM connected to a quorum reported the revision. It has an
// effect only if this process has that revision or a newer one.
func (w *Watcher) Confirm(revision uint64, confirmed bool) {
	if !confirmed || revision == 0 || w.Revision() < revision {
		return
	}
	now := w.o.Timers.Now()
	w.confirmedAt.Store(&now)
}

// Apply activates a configuration if it is newer. It returns an error if the manifest can't
// be parsed or is a delta on another base; the active configuration then remains.
func (w *Watcher) Apply(record *wire.ManifestRecord) error {
	if record == nil || record.GetRevision() <= w.Revision() {
		return nil
	}
	// Configurations are applied one at a time: parsing a large manifest is the most
	// expensive work of a process, and several agents may provide the same one.
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.Current()
	if record.GetRevision() <= old.Revision() {
		return nil
	}
	cfg, err := newConfig(old, record, !w.o.SkipParsing)
	if err != nil {
		return errors.Wrapf(err, "manifest revision %d", record.GetRevision())
	}
	w.previous = old
	w.current.Store(cfg)
	if len(cfg.Record().GetManifest()) >= largeManifest {
		// Parsing leaves garbage of several times the size of the manifest.
		debug.FreeOSMemory()
	}
	klog.InfoS("Configuration in force", "process", w.o.Process, "revision", record.GetRevision())
	if w.o.OnChange != nil {
		w.o.OnChange(cfg)
	}
	return nil
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil {
			delay := retryDelay + rand.N(retryJitter)
			_ = w.o.Timers.Sleep(ctx, delay)
		}
	}
}

func (w *Watcher) poll(ctx context.Context) error {
	resp, err := w.o.Source.Config(ctx, &wire.ConfigRequest{
		KnownRevision: w.Revision(),
		Process:       w.o.Process,
		WaitMs:        pollWait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if err := w.Apply(resp.GetManifest()); err != nil {
		klog.ErrorS(err, "Configuration rejected", "process", w.o.Process)
		return err
	}
	w.Confirm(resp.GetRevision(), resp.GetConfirmed())
	if resp.GetManifest() == nil && !resp.GetConfirmed() {
		return errors.New("no confirmed configuration yet")
	}
	return nil
}
