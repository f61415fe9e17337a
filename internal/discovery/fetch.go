package discovery

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// fetchStallTimeout is how long a transfer of the catalog may bring no bytes. The whole transfer
	// isn't limited: how long it takes depends on the size of the catalog and the load of the link.
	fetchStallTimeout = 700 * time.Millisecond
	// maxDocumentBytes limits the document that a patch leads to.
	maxDocumentBytes = 64 << 20
)

// Document is a version of the catalog's document.
type Document struct {
	version   uint64
	content   []byte
	confirmed bool
	source    string
}

// Version returns the version.
func (d Document) Version() uint64 { return d.version }

// Content returns the document, which must not be modified.
func (d Document) Content() []byte { return d.content }

// Confirmed reports whether a quorum had confirmed the version lately.
func (d Document) Confirmed() bool { return d.confirmed }

// Source returns the address of the control VM that sent it.
func (d Document) Source() string { return d.source }

// catalogFetcher fetches the document of the newest catalog from one control VM at a time. Several
// large documents at once fill the link of a small gateway for a second and more. The document
// comes as a patch of the last one, in calls of its own, so that it delays no watch.
type catalogFetcher struct {
	w    *Watcher
	last Document // base of the next patch
	// whole requests the next document without a base, after a patch that couldn't be applied.
	whole bool
	wake  chan struct{} // holds a token when a control VM has named a new version
}

func newCatalogFetcher(w *Watcher) *catalogFetcher {
	return &catalogFetcher{w: w, wake: make(chan struct{}, 1)}
}

// notify wakes the fetcher.
func (f *catalogFetcher) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run fetches each new version until the Watcher stops.
func (f *catalogFetcher) run() {
	for {
		select {
		case <-f.wake:
		case <-f.w.ctx.Done():
			return
		}
		for f.w.ctx.Err() == nil {
			address, vm, retried := f.w.catalogSource(f.last.version)
			if vm == nil {
				break
			}
			if retried {
				_ = f.w.o.Timers.Sleep(f.w.ctx, watchRetryDelay)
			}
			f.fetch(address, vm)
		}
	}
}

// fetch fetches the document from one control VM.
func (f *catalogFetcher) fetch(address string, vm *controlVM) {
	startedAt := f.w.o.Timers.Now()
	client := wire.NewDirectoryProtobufClient("http://"+address, &stallingClient{base: f.w.o.HTTP, timers: f.w.o.Timers, limit: fetchStallTimeout})
	r := &wire.FetchCatalogRequest{}
	if f.last.version > 0 && !f.whole {
		r.KnownVersion, r.KnownChecksum = f.last.version, xxhash.Sum64(f.last.content)
	}
	resp, err := client.FetchCatalog(f.w.ctx, r)
	var content []byte
	if err == nil && resp.GetVersion() > f.last.version {
		var base []byte
		if resp.GetBaseVersion() > 0 {
			base = f.last.content
		}
		content, err = delta.ApplyPatch(base, resp.GetPatch(), maxDocumentBytes)
		f.whole = err != nil
	}
	if err != nil {
		f.w.recordFetchFailure(address, vm, err)
		return
	}
	f.w.recordFetch(vm, resp.GetVersion())
	if content == nil {
		return
	}
	klog.InfoS("Catalog received", "version", resp.GetVersion(), "base", resp.GetBaseVersion(), "from", address, "bytes", len(resp.GetPatch()), "document_bytes", len(content),
		"took_ms", f.w.o.Timers.Since(startedAt).Milliseconds())
	f.last = Document{version: resp.GetVersion(), content: content, confirmed: resp.GetConfirmed(), source: address}
	f.w.o.OnCatalog(f.last, startedAt)
}

// catalogSource returns a control VM that has a newer catalog than the one that was fetched last and
// the one in force; nil if there is none. It prefers those of which no fetch has failed, then the
// highest version, then a different one at each gateway. It also reports whether the last fetch
// there failed.
func (w *Watcher) catalogSource(fetched uint64) (address string, source *controlVM, retried bool) {
	known := max(fetched, w.o.CatalogVersion())
	w.mu.Lock()
	defer w.mu.Unlock()
	var best sourceRank
	for a, vm := range w.controlVMs {
		if !vm.responsive || vm.sendsDocument || vm.catalogVersion <= known {
			continue
		}
		r := sourceRank{failures: vm.fetchFailures, version: vm.catalogVersion, hash: xxhash.Sum64String(w.o.Process + " " + a)}
		if source == nil || best.less(r) {
			address, source, best = a, vm, r
		}
	}
	return address, source, source != nil && source.fetchFailures > 0
}

// sourceRank orders control VMs as sources of the catalog.
type sourceRank struct {
	failures int
	version  uint64
	hash     uint64
}

func (a sourceRank) less(b sourceRank) bool {
	switch {
	case a.failures != b.failures:
		return a.failures > b.failures
	case a.version != b.version:
		return a.version < b.version
	}
	return a.hash < b.hash
}

// recordFetch records the version that a control VM has sent.
func (w *Watcher) recordFetch(vm *controlVM, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	vm.fetchFailures, vm.catalogVersion = 0, version
}

// recordFetchFailure records a failed fetch. A control VM of an older version sends the document with
// its answers to watches.
func (w *Watcher) recordFetchFailure(address string, vm *controlVM, err error) {
	if w.ctx.Err() != nil {
		return
	}
	var te twirp.Error
	w.mu.Lock()
	defer w.mu.Unlock()
	vm.fetchFailures++
	vm.sendsDocument = errors.As(err, &te) && te.Code() == twirp.BadRoute
	klog.InfoS("Catalog not fetched", "address", address, "failures", vm.fetchFailures, "sends_document", vm.sendsDocument, "cause", err.Error())
}

// stalledError reports a transfer that brought no bytes for a time.
type stalledError struct{ limit time.Duration }

// Error implements error.
func (e *stalledError) Error() string { return "no bytes for " + e.limit.String() }

// stallingClient ends calls that bring no bytes for a time.
type stallingClient struct {
	base   *http.Client
	timers *timer.Service
	limit  time.Duration
}

// Do implements wire.HTTPClient.
func (c *stallingClient) Do(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	progress := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-progress:
			case <-c.timers.After(c.limit):
				cancel(&stalledError{limit: c.limit})
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	resp, err := c.base.Do(r.WithContext(ctx))
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		return nil, err
	}
	resp.Body = &progressBody{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, progress: progress}
	return resp, nil
}

// progressBody reports arriving bytes to its stallingClient.
type progressBody struct {
	io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	progress chan<- struct{}
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		select {
		case b.progress <- struct{}{}:
		default:
		}
	}
	var stalled *stalledError
	if err != nil && errors.As(context.Cause(b.ctx), &stalled) {
		err = stalled
	}
	return n, err
}

// Close implements io.Closer.
func (b *progressBody) Close() error {
	b.cancel(nil)
	return b.ReadCloser.Close()
}
