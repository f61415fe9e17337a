package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against gateways that return to a collector that was suspended or restarted while
// another collector knows the state of the targets. Two collectors would then compete for
// the targets' memory.
func TestGatewaysStayWithTheLongestCollector(t *testing.T) {
	w := NewWatcher(WatcherOptions{Timers: timer.NewService(), Table: NewTable(Options{HeartbeatTimeout: time.Minute})})
	for _, address := range []string{"10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1"} {
		w.controlVMs[address] = &controlVM{}
	}
	respond := func(address string, collecting time.Duration) {
		w.handleResponse(address, w.controlVMs[address], &wire.WatchResponse{CatalogVersion: 1, CollectingMs: uint32(collecting.Milliseconds())})
	}
	respond("10.0.0.1:1", 0)
	respond("10.0.0.2:1", 0)
	respond("10.0.0.3:1", 0)
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, w.Collectors(), "sorted by address before any of them collects")
	respond("10.0.0.2:1", 5*time.Second)
	require.Equal(t, "10.0.0.2:1", w.Collectors()[0])
	respond("10.0.0.1:1", time.Millisecond)
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.1:1", "10.0.0.3:1"}, w.Collectors(), "a collector that has just started")
	respond("10.0.0.1:1", 5*time.Second+collectorStartTolerance/2)
	require.Equal(t, "10.0.0.1:1", w.Collectors()[0], "equal within the tolerance: sorted by address")
	before := time.Now()
	respond("10.0.0.3:1", 0)
	require.True(t, w.RespondedSince("10.0.0.3:1", before))
	require.False(t, w.RespondedSince("10.0.0.3:1", time.Now().Add(time.Second)))
	require.False(t, w.RespondedSince("10.0.0.9:1", before), "an unknown one")
	w.controlVMs["10.0.0.1:1"].responsive = false
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.3:1"}, w.Collectors())
}

// Load pattern: a fleet starts again and every gateway lacks the catalog, or a change of it comes.
// Guards against a document that all control VMs send to each gateway at once, against a source
// that is behind, and against one source for all gateways.
func TestCatalogIsRequestedFromOneControlVM(t *testing.T) {
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"}
	perSource := map[string]int{}
	for i := range 100 {
		w := NewWatcher(WatcherOptions{
			Timers: timer.NewService(), Process: fmt.Sprint("gateway-", i), Table: NewTable(Options{HeartbeatTimeout: time.Minute}), CatalogVersion: func() uint64 { return 6 },
		})
		for _, a := range addresses {
			w.controlVMs[a] = &controlVM{}
		}
		source := func() string {
			address, _, _ := w.catalogSource(0)
			require.NotEmpty(t, address)
			return address
		}
		respond := func(a string, version uint64) {
			w.handleResponse(a, w.controlVMs[a], &wire.WatchResponse{CatalogVersion: version})
		}
		_, none, _ := w.catalogSource(0)
		require.Nil(t, none, "no control VM has named a version")
		for _, a := range addresses {
			respond(a, 7)
		}
		first := source()
		perSource[first]++
		require.Equal(t, first, source(), "all have the same version")
		other := addresses[(slices.Index(addresses, first)+1)%len(addresses)]
		respond(other, 8)
		require.Equal(t, other, source(), "the source is behind")
		respond(first, 8)
		require.Equal(t, first, source(), "the source has caught up")
		w.handleFailure(first, w.controlVMs[first], errors.New("no answer"))
		require.Equal(t, other, source(), "the source doesn't answer")
		w.recordFetchFailure(other, w.controlVMs[other], errors.New("no bytes"))
		require.NotContains(t, []string{first, other}, source(), "a fetch from the source has failed")
	}
	for _, a := range addresses {
		require.Greater(t, perSource[a], 5, "sources are spread over the control VMs")
	}
}

// Guards against sound targets that count as silent, and crashed ones that don't, because a
// list of those that announced themselves is sent only now and then: announcements, answers
// and clocks of the watches vary, and the watcher sees several control VMs.
func TestRareListsTellSilentTargets(t *testing.T) {
	const controlVMs, targets = 3, 40
	for _, heartbeat := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(heartbeat.String(), func(t *testing.T) {
			timeout := 5 * heartbeat
			random := rand.New(rand.NewPCG(1, uint64(heartbeat)))
			var vms [controlVMs]*Table
			var lists [controlVMs]heardList
			var next [controlVMs]time.Time
			for i := range vms {
				vms[i] = NewTable(Options{HeartbeatTimeout: timeout})
			}
			gateway := NewTable(Options{HeartbeatTimeout: timeout})
			asked, answered := 0, 0
			crashed := epochStart.Add(30 * time.Second)
			for now := epochStart; now.Before(crashed.Add(timeout + 5*time.Second)); now = now.Add(10 * time.Millisecond) {
				for i := range targets {
					// Half of the targets crash, and all change their control VM now and then.
					if (i%2 == 0 || now.Before(crashed)) && now.Sub(epochStart)%heartbeat == time.Duration(i)*10*time.Millisecond {
						vm := vms[(i+int(now.Unix()/7))%controlVMs]
						vm.Announce(record(fmt.Sprintf("t%02d", i), fmt.Sprintf("x:%d", i), 1, uint64(now.UnixMilli()), ready), now)
					}
				}
				for i, vm := range vms {
					if now.Before(next[i]) {
						continue
					}
					next[i] = now.Add(time.Duration(1+random.IntN(int((watchWait+200*time.Millisecond)/(10*time.Millisecond)))) * 10 * time.Millisecond)
					format := lists[i].format(now, gateway.heardInterval())
					resp := vm.ChangesSince(lists[i].epoch, 0, now)
					vm.AddHeard(resp, format, now)
					lists[i].resolve(format, resp, now)
					gateway.Merge(resp, now)
					answered++
					if format == wire.HeardFormat_HEARD_FORMAT_NUMBERS {
						asked++
					}
				}
				for _, l := range gateway.Live("s", now) {
					if !l.Silent() {
						continue
					}
					require.True(t, now.After(crashed), "%s at %s", l.Record().GetId(), now.Sub(epochStart))
					require.EqualValues(t, 1, (l.Record().GetId()[2]-'0')%2, "%s is sound", l.Record().GetId())
				}
			}
			end := crashed.Add(timeout + 5*time.Second)
			silent := 0
			for _, l := range gateway.Live("s", end) {
				if l.Silent() {
					silent++
				}
			}
			require.Equal(t, targets/2, silent)
			if heartbeat > time.Second {
				require.Less(t, asked, answered/3, "most answers have no list")
			}
		})
	}
}

// Guards against a list that names the wrong targets after a control VM has restarted, and
// against numbers that are no target's.
func TestNumbersBelongToTheirEpoch(t *testing.T) {
	var h heardList
	target := func(id string) []*wire.RegisteredTarget { return []*wire.RegisteredTarget{{Id: id}} }
	first := &wire.WatchResponse{Epoch: "1", Targets: target("a"), Numbers: []uint32{7}, HeardNumbers: []uint32{7, 8}}
	h.resolve(wire.HeardFormat_HEARD_FORMAT_NUMBERS, first, epochStart)
	require.Equal(t, []string{"a"}, first.GetHeard())
	restarted := &wire.WatchResponse{Epoch: "2", HeardNumbers: []uint32{7}}
	h.resolve(wire.HeardFormat_HEARD_FORMAT_NUMBERS, restarted, epochStart)
	require.Empty(t, restarted.GetHeard())
	broken := &wire.WatchResponse{Epoch: "2", Numbers: []uint32{7}, HeardNumbers: []uint32{7}}
	h.resolve(wire.HeardFormat_HEARD_FORMAT_NUMBERS, broken, epochStart)
	require.Empty(t, broken.GetHeard())
}

// BenchmarkRestart measures what a control VM does for 300 watchers while 3,000 targets
// announce themselves after a restart of a deployment.
func BenchmarkRestart(b *testing.B) {
	const watchers, targets, watchEvery = 300, 3000, 250
	for b.Loop() {
		table := NewTable(Options{HeartbeatTimeout: 6 * time.Second})
		since := table.ChangesSince("", 0, epochStart).GetEpoch()
		var versions [watchers]uint64
		for i := range targets {
			table.Announce(record(fmt.Sprintf("i-%08d", i), fmt.Sprintf("10.0.0.1:%d", i), 1, 1, ready), epochStart)
			if i%watchEvery != 0 {
				continue
			}
			for w := range watchers {
				resp := table.ChangesSince(since, versions[w], epochStart.Add(time.Duration(i)*time.Millisecond))
				table.AddHeard(resp, wire.HeardFormat_HEARD_FORMAT_NUMBERS, epochStart.Add(time.Duration(i)*time.Millisecond))
				versions[w] = resp.GetVersion()
			}
			table.Live("s", epochStart)
		}
	}
}

// resetDirectory answers watches, and resets the connections of some.
type resetDirectory struct {
	wire.Directory
	breaks atomic.Int32 // connections still to be reset
	asked  atomic.Int32
}

// Watch implements wire.Directory.
func (d *resetDirectory) Watch(context.Context, *wire.WatchRequest) (*wire.WatchResponse, error) {
	time.Sleep(time.Millisecond)
	return &wire.WatchResponse{Epoch: "e", CatalogVersion: 1}, nil
}

// handler resets connections before twirp answers: it answers a panic, and the client would use the
// connection again that ends with it.
func (d *resetDirectory) handler(t *testing.T) http.Handler {
	server := wire.NewDirectoryServer(d)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.asked.Add(1)
		if d.breaks.Add(-1) < 0 {
			server.ServeHTTP(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			err = c.Close()
		}
		if err != nil {
			t.Error(err)
		}
	})
}

// Guards against a gateway whose connections are all reset at the same moment and that takes all
// control VMs for lost, so that it refuses what needs a stage; and against one that takes a control VM
// for sound which breaks off each watch.
func TestBrokenConnectionIsNoLostControlVM(t *testing.T) {
	d := &resetDirectory{}
	srv := httptest.NewServer(d.handler(t))
	t.Cleanup(srv.Close)
	w := NewWatcher(WatcherOptions{
		Timers: timer.NewService(), HTTP: srv.Client(), Process: "p", Table: NewTable(Options{HeartbeatTimeout: time.Minute}), Seeds: []string{strings.TrimPrefix(srv.URL, "http://")},
	})
	require.NoError(t, w.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, w.Stop(context.Background())) })
	require.Eventually(t, func() bool { return len(w.Collectors()) == 1 }, 5*time.Second, time.Millisecond)
	available := w.AvailabilityContext(w.Collectors()[0])
	for range 5 {
		d.breaks.Store(1)
		asked := d.asked.Load()
		require.Eventually(t, func() bool { return d.asked.Load() > asked+2 }, 5*time.Second, time.Millisecond)
	}
	require.NoError(t, available.Err())
	d.breaks.Store(1_000_000)
	require.Eventually(t, func() bool { return len(w.Collectors()) == 0 }, 5*time.Second, time.Millisecond)
}
