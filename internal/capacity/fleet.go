package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	readyTime  = 15 * time.Second
	readyPause = 20 * time.Millisecond
	stopTime   = 10 * time.Second
)

// child is a started process.
type child struct {
	cmd    *exec.Cmd
	name   string
	listen string
	admin  string
	done   chan struct{}
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// fleet runs real processes on loopback.
type fleet struct {
	binary   string
	folder   string
	controls []string
	children map[string]*child
	client   *controlclient.Client
	revision uint64
}

// newFleet starts control VMs and waits until they have a leader.
func newFleet(ctx context.Context, o Options, controls int) (*fleet, error) {
	return newSeededFleet(ctx, o, controls, func(*fleet) error { return nil })
}

// newSeededFleet is newFleet with a function that fills the data folders first.
func newSeededFleet(ctx context.Context, o Options, controls int, seed func(*fleet) error) (*fleet, error) {
	folder, err := os.MkdirTemp(o.Folder, "fleet-")
	if err != nil {
		return nil, errors.Wrap(err, "folder for processes")
	}
	f := &fleet{binary: o.Binary, folder: folder, children: make(map[string]*child)}
	if f.controls, err = freeAddresses(ctx, controls); err != nil {
		return nil, err
	}
	if err := seed(f); err != nil {
		f.stop()
		return nil, err
	}
	for i := range f.controls {
		if err := f.startControl(ctx, i); err != nil {
			f.stop()
			return nil, err
		}
	}
	f.client, err = controlclient.New(controlclient.Options{Timers: timer.NewService(), Addresses: f.controls, Process: "capacity"})
	if err != nil {
		f.stop()
		return nil, err
	}
	for i := range f.controls {
		if err := f.ready(ctx, controlName(i)); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// freeAddresses returns addresses with ports that nobody listens on now.
func freeAddresses(ctx context.Context, n int) ([]string, error) {
	var all []string
	var lc net.ListenConfig
	for range n {
		l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }()
		all = append(all, l.Addr().String())
	}
	return all, nil
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

func (f *fleet) dataFolder(i int) string { return filepath.Join(f.folder, controlName(i)) }

func (f *fleet) startControl(ctx context.Context, i int) error {
	more := fmt.Sprintf("data_folder: %s\npeers: [%s]\n", f.dataFolder(i), strings.Join(f.controls, ", "))
	return f.start(ctx, "control", controlName(i), f.controls[i], f.controls, more)
}

// start starts one role; an empty address takes a free one.
func (f *fleet) start(ctx context.Context, role, name, listen string, controls []string, more string) error {
	free, err := freeAddresses(ctx, 2)
	if err != nil {
		return err
	}
	if listen == "" {
		listen = free[0]
	}
	text := fmt.Sprintf("role: %s\nname: %s\nregion: one\nfailure_domain: domain-a\nlisten: %s\nadmin: %s\ncontrol: [%s]\n%s",
		role, name, listen, free[1], strings.Join(controls, ", "), more)
	file := filepath.Join(f.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrapf(err, "settings of %s", name)
	}
	return f.run(&child{name: name, listen: listen, admin: free[1]}, role, "--settings", file)
}

// run starts the program with arguments. Its output goes to a file in the folder.
func (f *fleet) run(c *child, args ...string) error {
	log, err := os.Create(filepath.Join(f.folder, c.name+".log"))
	if err != nil {
		return errors.Wrapf(err, "log of %s", c.name)
	}
	defer func() { _ = log.Close() }()
	c.cmd = exec.Command(f.binary, args...)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	// The child ends with this process, also when this process is killed.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := c.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", c.name)
	}
	c.done = make(chan struct{})
	go func() {
		_ = c.cmd.Wait()
		close(c.done)
	}()
	f.children[c.name] = c
	return nil
}

// ready waits until a process reports that it takes work.
func (f *fleet) ready(ctx context.Context, name string) error {
	url := "http://" + f.children[name].admin + "/readyz"
	return until(ctx, name+" is not ready", func() bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func until(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return errors.Errorf("%s after %v", what, readyTime)
		case <-time.After(readyPause):
		}
	}
	return nil
}

// end stops one process gracefully and forgets it.
func (f *fleet) end(name string) {
	c, ok := f.children[name]
	if !ok {
		return
	}
	delete(f.children, name)
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.done:
	case <-time.After(stopTime):
		_ = c.cmd.Process.Kill()
		<-c.done
	}
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, c := range f.children {
		_ = c.cmd.Process.Signal(syscall.SIGTERM)
	}
	for name := range f.children {
		f.end(name)
	}
	_ = os.RemoveAll(f.folder)
}

// apply commits a manifest and returns its revision.
func (f *fleet) apply(ctx context.Context, manifest []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	result, err := f.client.Execute(ctx, &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
		BaseRevision: f.revision, ChangeId: attempt.NewID(), Manifest: manifest, Operator: "capacity",
	}}})
	if err != nil {
		return 0, err
	}
	if result.GetRefusal() != "" {
		return 0, errors.Errorf("manifest refused: %s", result.GetDetail())
	}
	f.revision = result.GetRevision()
	return f.revision, nil
}

// leader returns the name of the control VM that leads.
func (f *fleet) leader(ctx context.Context) (string, error) {
	for _, s := range f.client.StatusAll(ctx) {
		for i, a := range f.controls {
			if s.GetLeaderAddress() == a {
				return controlName(i), nil
			}
		}
	}
	return "", errors.New("no control VM leads")
}

// pair returns the names of the leader and of a follower.
func (f *fleet) pair(ctx context.Context) (leader, follower string, err error) {
	leader, err = f.leader(ctx)
	if leader == "control-1" {
		return leader, "control-2", err
	}
	return leader, "control-1", err
}

// usage is what a process used between two readings.
type usage struct {
	at   time.Time
	time map[string]time.Duration
}

func (f *fleet) read(names ...string) (usage, error) {
	u := usage{at: time.Now(), time: make(map[string]time.Duration)}
	for _, n := range names {
		t, err := processorTime(f.children[n].pid())
		if err != nil {
			return u, errors.Wrap(err, n)
		}
		u.time[n] = t
	}
	return u, nil
}

// share returns the processor time of a process since an earlier reading as a
// percentage of one core.
func (u usage) share(earlier usage, name string) float64 {
	return 100 * float64(u.time[name]-earlier.time[name]) / float64(u.at.Sub(earlier.at))
}
