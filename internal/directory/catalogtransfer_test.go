package directory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/discovery"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a change that was confirmed and isn't in force in time at a gateway with a slow
// link: documents of the size of a large catalog compete for the link, and a transfer that takes
// longer than a watch begins again.
func TestLargeCatalogsReachGatewaysOnSlowLinks(t *testing.T) {
	const (
		linkRate = 10e6 / 8 // bytes a second
		inForce  = 2 * time.Second
	)
	for _, c := range []struct{ routes, more int }{{routes: 60, more: 1400}, {routes: 1500, more: 1400}, {routes: 2900, more: 1400}, {routes: 12000, more: 1400}} {
		t.Run(fmt.Sprint(c.routes, " routes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, uint64(c.routes)))
				vms := map[string]*Directory{}
				var seeds []string
				for i := range 5 {
					name := fmt.Sprint("vm-", i)
					vms[name], seeds = newDirectory(t), append(seeds, name)
				}
				store := func(version uint64, document []byte) {
					for _, name := range seeds {
						require.NoError(t, vms[name].StoreCatalog(t.Context(), version, document))
						time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
					}
				}
				link := &slowLink{rate: linkRate, serve: func(w http.ResponseWriter, r *http.Request) { vms[r.URL.Host].Handler().ServeHTTP(w, r) }}
				client := &http.Client{Transport: link}
				routes := randomRoutes(random, nil, c.routes)
				store(1, catalogDocument(1, routes))
				g := &catalogReceiver{}
				w := discovery.NewWatcher(g.options(discovery.WatcherOptions{
					Timers: timer.NewService(), HTTP: client, Process: "gateway", Seeds: seeds, Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}),
				}))
				require.NoError(t, w.Start(t.Context()))
				defer func() { require.NoError(t, w.Stop(context.Background())) }()
				time.Sleep(inForce)
				require.Equal(t, uint64(1), g.version.Load(), "the first catalog of a gateway that starts")
				routes = randomRoutes(random, routes, c.more)
				store(2, catalogDocument(2, routes))
				var document []byte
				for version := uint64(3); version < 6; version++ {
					time.Sleep(100 * time.Millisecond)
					routes[random.IntN(len(routes))] = randomRoutes(random, nil, 1)[0]
					document = catalogDocument(version, routes)
					store(version, document)
				}
				time.Sleep(inForce)
				require.Equal(t, uint64(5), g.version.Load(), "the newest of several changes")
				require.True(t, bytes.Equal(document, *g.document.Load()))
				require.Equal(t, 1, link.addTransfers(0), "documents at the same time")
			})
		})
	}
}

// Guards against a change that waits for a control VM that stalls in the middle of a transfer, and
// against a gateway that gets no catalog from control VMs of an older version, which send the
// document with their answers to watches.
func TestCatalogComesFromAnotherControlVM(t *testing.T) {
	for name, c := range map[string]struct{ stalls, old []string }{
		"one stalls": {stalls: []string{"vm-0"}}, "two stall": {stalls: []string{"vm-1", "vm-2"}}, "all are older": {old: []string{"vm-0", "vm-1", "vm-2"}}, "one is newer": {old: []string{"vm-0", "vm-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vms, seeds := map[string]*Directory{}, []string{"vm-0", "vm-1", "vm-2"}
				for _, vm := range seeds {
					vms[vm] = newDirectory(t)
					require.NoError(t, vms[vm].StoreCatalog(t.Context(), 1, catalogDocument(1, randomRoutes(rand.New(rand.NewPCG(1, 1)), nil, 2000))))
				}
				link := &slowLink{rate: 10e6 / 8}
				link.serve = func(w http.ResponseWriter, r *http.Request) {
					fetches := strings.HasSuffix(r.URL.Path, "/FetchCatalog")
					if fetches && slices.Contains(c.old, r.URL.Host) {
						r.URL.Path += "IsUnknown"
					}
					vms[r.URL.Host].Handler().ServeHTTP(w, r)
					if fetches && slices.Contains(c.stalls, r.URL.Host) {
						<-r.Context().Done()
					}
				}
				g := &catalogReceiver{}
				w := discovery.NewWatcher(g.options(discovery.WatcherOptions{
					Timers: timer.NewService(), HTTP: &http.Client{Transport: link}, Process: "gateway", Seeds: seeds, Table: discovery.NewTable(discovery.Options{HeartbeatTimeout: time.Minute}),
				}))
				require.NoError(t, w.Start(t.Context()))
				defer func() { require.NoError(t, w.Stop(context.Background())) }()
				time.Sleep(2 * time.Second)
				require.Equal(t, uint64(1), g.version.Load())
			})
		})
	}
}

// catalogReceiver stores the newest document that a watcher receives.
type catalogReceiver struct {
	version  atomic.Uint64
	document atomic.Pointer[[]byte]
}

func (g *catalogReceiver) options(o discovery.WatcherOptions) discovery.WatcherOptions {
	o.CatalogVersion = g.version.Load
	o.OnCatalog = func(d discovery.Document, _ time.Time) {
		if document := d.Content(); d.Version() > g.version.Load() {
			g.document.Store(&document)
			g.version.Store(d.Version())
		}
	}
	o.OnResponse = func(_ string, resp *wire.WatchResponse, _ time.Time) {
		if document := resp.GetCatalog(); len(document) > 0 && resp.GetCatalogVersion() > g.version.Load() {
			g.document.Store(&document)
			g.version.Store(resp.GetCatalogVersion())
		}
	}
	return o
}

func randomWord(random *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
	}
	return string(b)
}

// randomRoutes returns routes with n more of about 180 bytes each.
func randomRoutes(random *rand.Rand, routes []string, n int) []string {
	for range n {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%s","host":"%s.example","pathPrefix":"/%s/","type":"safe","timeoutMs":1000,"sloMs":150,"priority":1,"backend":"orders","attempts":2,"public":false,"resumable":false}`,
			randomWord(random, 7), randomWord(random, 6), randomWord(random, 8)))
	}
	return routes
}

func catalogDocument(version uint64, routes []string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i, r := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(r)
	}
	fmt.Fprintf(&b, `],"tenants":[{"name":"t-%d"}]}`, version)
	return b.Bytes()
}

// slowLink delivers the responses of a handler over one link, which all of them share.
type slowLink struct {
	rate  float64 // bytes a second
	serve http.HandlerFunc
	mu    sync.Mutex
	free  time.Time
	// transfers is the number of responses above largeResponse that are on their way, and
	// mostTransfers the highest.
	transfers, mostTransfers int
}

// largeResponse is the size in bytes of responses that hold a document.
const largeResponse = 4000

// RoundTrip implements http.RoundTripper.
func (l *slowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	l.serve(w, r)
	resp := w.Result()
	large := 0
	if w.Body.Len() > largeResponse {
		large = 1
	}
	l.addTransfers(large)
	resp.Body = &slowBody{ReadCloser: resp.Body, link: l, ctx: r.Context(), large: large}
	return resp, nil
}

// addTransfers changes the number of transfers and returns the highest one.
func (l *slowLink) addTransfers(n int) (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers += n
	l.mostTransfers = max(l.mostTransfers, l.transfers)
	return l.mostTransfers
}

// transmit waits until n bytes have passed the link.
func (l *slowLink) transmit(ctx context.Context, n int) error {
	l.mu.Lock()
	l.free = l.free.Add(max(time.Since(l.free), 0)).Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	wait := time.Until(l.free)
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type slowBody struct {
	io.ReadCloser
	link  *slowLink
	ctx   context.Context
	large int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	const packet = 1448
	n, err := b.ReadCloser.Read(p[:min(len(p), packet)])
	if n > 0 {
		if ctxErr := b.link.transmit(b.ctx, n); ctxErr != nil {
			return 0, ctxErr
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *slowBody) Close() error {
	b.link.addTransfers(-b.large)
	b.large = 0
	return b.ReadCloser.Close()
}
