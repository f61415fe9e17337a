package originlink

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// controlVM is a stand-in for a control VM; the methods that it lacks aren't called.
type controlVM struct {
	wire.Directory
	mu      sync.Mutex
	epoch   string
	refuses bool
	records map[uint64]*wire.StreamOrigin
}

func (vm *controlVM) restart(epoch string) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.epoch, vm.records = epoch, map[uint64]*wire.StreamOrigin{}
}

func (vm *controlVM) refuse(refuses bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.refuses = refuses
}

func (vm *controlVM) has(s origin.Stream) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.records[uint64(s)] != nil
}

// RecordOrigins implements wire.Directory.
func (vm *controlVM) RecordOrigins(_ context.Context, r *wire.RecordOriginsRequest) (*wire.RecordOriginsResponse, error) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	resp := &wire.RecordOriginsResponse{Voter: true, Voters: 3, Epoch: vm.epoch, Versions: []*wire.SoftwareVersions{{Service: "s", First: "v1", Active: []string{"v1", "v2"}}}}
	for _, o := range r.GetOrigins() {
		resp.Stored = append(resp.Stored, !vm.refuses)
		if !vm.refuses {
			vm.records[o.GetStream()] = o
		}
	}
	return resp, nil
}

// FindOrigin implements wire.Directory.
func (vm *controlVM) FindOrigin(_ context.Context, r *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return &wire.FindOriginResponse{
		Origin: vm.records[r.GetStream()], Complete: true, Confirmed: true, Voter: true, Voters: 3,
		Versions: &wire.SoftwareVersions{Service: "s", First: "v1", Active: []string{"v1", "v2"}},
	}, nil
}

// Guards against a record that counts as stored before a majority has it, that never reaches a control
// VM which refused it for a while, or that is missing at one that has started again.
func TestRecordsReachAMajority(t *testing.T) {
	var vms []*controlVM
	var addresses []string
	for range 3 {
		vm := &controlVM{}
		vm.restart("first")
		srv := httptest.NewServer(wire.NewDirectoryServer(vm))
		t.Cleanup(srv.Close)
		vms, addresses = append(vms, vm), append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	c := NewClient(Options{Timers: timer.NewService(), HTTP: http.DefaultClient, ControlVMs: func() []string { return addresses }})
	t.Cleanup(func() { require.NoError(t, c.Stop(context.Background())) })
	record := func(s origin.Stream) <-chan struct{} {
		return c.Store(origin.NewRecord(s, "s", "v2", 1, time.Minute))
	}
	vms[1].refuse(true)
	vms[2].refuse(true)
	stored := record(1)
	require.Eventually(t, func() bool { return vms[0].has(1) }, 5*time.Second, time.Millisecond)
	select {
	case <-stored:
		require.Fail(t, "stored by one of three")
	case <-time.After(50 * time.Millisecond):
	}
	vms[1].refuse(false)
	<-stored
	vms[2].refuse(false)
	require.Eventually(t, func() bool { return vms[2].has(1) }, 5*time.Second, time.Millisecond)
	first, ok := c.First("s")
	require.True(t, ok)
	require.Equal(t, "v1", first)
	require.Equal(t, origin.Recorded{Service: "s", Software: "v2"}, c.Find(t.Context(), 1, "s", time.Minute))
	require.Equal(t, origin.First{Software: "v1"}, c.Find(t.Context(), 2, "s", time.Minute))

	for _, vm := range vms {
		vm.restart("second")
	}
	<-record(3)
	for _, vm := range vms {
		require.Eventually(t, func() bool { return vm.has(1) && vm.has(3) }, 5*time.Second, time.Millisecond)
	}
	addresses = nil
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.IsType(t, origin.Unknown{}, c.Find(ctx, 1, "s", time.Minute))
}

// Guards against streams that wait, or are refused, while the control VMs run an earlier release
// that knows no records.
func TestControlVMsOfAnEarlierReleaseDelayNothing(t *testing.T) {
	srv := httptest.NewServer(wire.NewBatchingServer(nil))
	t.Cleanup(srv.Close)
	c := NewClient(Options{Timers: timer.NewService(), HTTP: http.DefaultClient, ControlVMs: func() []string { return []string{strings.TrimPrefix(srv.URL, "http://")} }})
	t.Cleanup(func() { require.NoError(t, c.Stop(context.Background())) })
	<-c.Store(origin.NewRecord(1, "s", "v1", 1, time.Minute))
	require.Equal(t, origin.Unrecorded{}, c.Find(t.Context(), 1, "s", time.Minute))
}

// BenchmarkStore stores one record at a time at one control VM over loopback: the processor time of
// both ends together, without a commit.
func BenchmarkStore(b *testing.B) {
	vm := &controlVM{}
	vm.restart("first")
	srv := httptest.NewServer(wire.NewDirectoryServer(vm))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	c := NewClient(Options{Timers: timer.NewService(), HTTP: http.DefaultClient, ControlVMs: func() []string { return []string{address} }})
	for i := range b.N {
		c.Store(origin.NewRecord(origin.Stream(i), "s", "v2", 1, time.Minute))
		for !vm.has(origin.Stream(i)) {
			time.Sleep(10 * time.Microsecond)
		}
	}
}
