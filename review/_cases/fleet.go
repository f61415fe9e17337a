package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// binary is what the build line of the deploy file makes; the cases run in the repository root.
	binary     = "target/cardamomline"
	settingsIn = "CARDAMOMLINE_SETTINGS"
	// heartbeat and the bounds are those of imanes-plata.
	heartbeat        = 1200 * time.Millisecond
	contactTime      = 3 * time.Second
	drainTime        = 2 * time.Second
	configDeadline   = 2 * time.Second
	processStopLimit = 10 * time.Second
)

// ports are the ports of a deployment, the same on all machines.
type ports struct{ first, last, callers, readiness, control int }

// process is one process of the system under test, on a loopback address of its own.
type process struct {
	name, class, ip string
	settings, data  string
	cmd             *exec.Cmd
	ended           chan struct{}
}

// fleet is a small deployment: three control machines and some edge machines.
type fleet struct {
	rec     *record
	folder  string
	ports   ports
	control []*process
	edges   []*process
	starts  chan startRequest
	mu      sync.Mutex
	all     []*process
}

// opened are the deployments of this case, which main closes if the case can't.
var opened struct {
	mu     sync.Mutex
	fleets []*fleet
}

// closeFleets closes all deployments.
func closeFleets() {
	opened.mu.Lock()
	defer opened.mu.Unlock()
	for _, f := range opened.fleets {
		f.close()
	}
}

type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

// newFleet prepares a deployment on 127.0.net.x without starting it.
func newFleet(rec *record, network, edges int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, starts: make(chan startRequest)}
	go f.startProcesses()
	opened.mu.Lock()
	opened.fleets = append(opened.fleets, f)
	opened.mu.Unlock()
	add := func(list *[]*process, class string, n, host int) {
		name := fmt.Sprintf("%s-%d", class, n)
		p := &process{name: name, class: class, ip: fmt.Sprintf("127.0.%d.%d", network, host), settings: filepath.Join(folder, name+".toml"), data: filepath.Join(folder, name)}
		*list = append(*list, p)
		f.all = append(f.all, p)
	}
	for i := range 3 {
		add(&f.control, "core", i+1, i+1)
	}
	for i := range edges {
		add(&f.edges, "edge", i+1, i+11)
	}
	for _, p := range f.all {
		if err := os.MkdirAll(p.data, 0o700); err != nil {
			return nil, err
		}
	}
	f.ports, err = freePorts(f.all)
	return f, err
}

// freePorts finds ports that are free on the addresses of all machines.
func freePorts(machines []*process) (ports, error) {
	for range 50 {
		l, err := net.Listen("tcp", machines[0].ip+":0")
		if err != nil {
			return ports{}, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if first+8 <= 65535 && areFree(machines, first, 8) {
			return ports{first: first, last: first + 4, callers: first + 5, readiness: first + 6, control: first + 7}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func areFree(machines []*process, first, n int) bool {
	for _, m := range machines {
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, first+i))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startProcesses starts processes on one thread that never ends, because they end with it.
func (f *fleet) startProcesses() {
	runtime.LockOSThread()
	for r := range f.starts {
		r.done <- r.cmd.Start()
	}
}

// settingsOf returns the settings file of a process, as the platform writes it.
func (f *fleet) settingsOf(p *process, bootstrap bool) string {
	var b strings.Builder
	serves, listen := "edge", fmt.Sprintf("frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", p.ip, f.ports.callers, p.ip, f.ports.readiness)
	limits := "cpuShare = 0.304\ncpus = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
	if p.class == "core" {
		serves, listen = "control", fmt.Sprintf("control = \"%s:%d\"\n", p.ip, f.ports.control)
		limits = "cpuShare = 0.96\ncpus = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n"
	}
	var seeds []string
	for _, c := range f.control {
		seeds = append(seeds, fmt.Sprintf("%q", f.controlAddress(c)))
	}
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = \"uy-sur-a\"\nregion = \"uy-sur\"\n", p.name, p.class, p.class, serves, p.ip)
	fmt.Fprintf(&b, "portRange = [%d,%d]\nseeds = [%s]\nbootstrap = %t\ncountsAsLoss = %t\n", f.ports.first, f.ports.last, strings.Join(seeds, ","), bootstrap, p.class == "core")
	if p.class == "core" {
		fmt.Fprintf(&b, "dataDir = %q\n", p.data)
	}
	fmt.Fprintf(&b, "discovery = \"register\"\nentry = \"vip\"\nheartbeatMs = %d\n", heartbeat.Milliseconds())
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"stages\"]\nconfigMode = \"highest\"\n")
	b.WriteString("[zones]\nuy-sur-a = \"uy-sur\"\nuy-sur-b = \"uy-sur\"\nuy-sur-c = \"uy-sur\"\n[listen]\n" + listen + "[limits]\n" + limits)
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n")
	b.WriteString("lossSlackMs = 200\nconfigDeadlineMs = 2000\nrollbackSlackMs = 250\npartitionMaxMs = 5000\nfailClosed = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\nrecoverS = 12\nmaxDelayMs = 120\nreuseWindowS = 9.3\n")
	return b.String()
}

func (f *fleet) controlAddress(p *process) string {
	return fmt.Sprintf("%s:%d", p.ip, f.ports.control)
}

func (f *fleet) callerAddress(p *process) string {
	return fmt.Sprintf("%s:%d", p.ip, f.ports.callers)
}

// start starts a process. bootstrap says that the whole system starts for the first time.
func (f *fleet) start(p *process, bootstrap bool) error {
	if err := os.WriteFile(p.settings, []byte(f.settingsOf(p, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "platform")
	cmd.Env = append(os.Environ(), settingsIn+"="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	f.starts <- startRequest{cmd: cmd, done: started}
	if err := <-started; err != nil {
		return err
	}
	ended := make(chan struct{})
	f.mu.Lock()
	p.cmd, p.ended = cmd, ended
	f.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the signal that ended it is known
		_ = log.Close()
		close(ended)
	}()
	f.rec.event("platform starts %s (pid %d, bootstrap %t)", p.name, cmd.Process.Pid, bootstrap)
	return nil
}

// startAll starts the whole system for the first time.
func (f *fleet) startAll() error {
	for _, p := range f.all {
		if err := f.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// isRunning reports whether a process runs.
func (f *fleet) isRunning(p *process) bool {
	f.mu.Lock()
	ended := p.ended
	f.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to a process that this case has started.
func (f *fleet) signal(p *process, sig syscall.Signal) {
	if f.isRunning(p) {
		f.rec.event("platform sends %v to %s", sig, p.name)
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends a process at once.
func (f *fleet) kill(p *process) {
	if f.isRunning(p) {
		f.signal(p, syscall.SIGKILL)
		<-p.ended
	}
}

// stop ends a process as the platform does at a planned stop, and reports whether it ended by itself.
func (f *fleet) stop(p *process) bool {
	if !f.isRunning(p) {
		return true
	}
	f.signal(p, syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(8 * time.Second):
		f.kill(p)
		return false
	}
}

// close ends all processes and removes the folder, unless REVIEW_KEEP is set.
func (f *fleet) close() {
	f.mu.Lock()
	all := f.all
	f.mu.Unlock()
	for _, p := range all {
		if f.isRunning(p) {
			_ = p.cmd.Process.Kill()
			select {
			case <-p.ended:
			case <-time.After(processStopLimit):
			}
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// httpClient is for calls of operators and workers.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: time.Second}

// call sends a call to the control address of a process.
func (f *fleet) call(method string, p *process, path, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.controlAddress(p)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// putConfig sends a config until it is acknowledged, as an operator does.
func (f *fleet) putConfig(config string, limit time.Duration) error {
	last := "no call"
	for end, try := time.Now().Add(limit), 0; time.Now().Before(end); try++ {
		p := f.control[try%len(f.control)]
		status, answer, err := f.call(http.MethodPut, p, "/v1/config", config)
		if err == nil && status == http.StatusOK {
			f.rec.event("operator: config acknowledged by %s", p.name)
			return nil
		}
		last = fmt.Sprintf("%s: status %d %q %v", p.name, status, answer, err)
		time.Sleep(150 * time.Millisecond)
	}
	return fmt.Errorf("the config is not acknowledged: %s", last)
}

// isReady asks an edge machine as the balancer does.
func (f *fleet) isReady(p *process) bool {
	resp, err := httpClient.Get(fmt.Sprintf("http://%s:%d/v1/readyz", p.ip, f.ports.readiness))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all edge machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, p := range f.edges {
			ready = ready && f.isReady(p)
		}
		if ready {
			f.rec.event("all edge machines are ready")
			return nil
		}
	}
	return fmt.Errorf("the edge machines aren't ready")
}

// replace adds an empty control machine at another address in the place of one that is gone for good.
func (f *fleet) replace(n int) error {
	gone := f.control[n]
	var network, host int
	if _, err := fmt.Sscanf(gone.ip, "127.0.%d.%d", &network, &host); err != nil {
		return err
	}
	p := &process{name: gone.name + "-new", class: gone.class, ip: fmt.Sprintf("127.0.%d.%d", network, host+20), settings: filepath.Join(f.folder, gone.name+"-new.toml"), data: filepath.Join(f.folder, gone.name+"-new")}
	if err := os.MkdirAll(p.data, 0o700); err != nil {
		return err
	}
	f.mu.Lock()
	f.all = append(f.all, p)
	f.mu.Unlock()
	f.control[n] = p // seeds of settings that are written from now on, and what callers know
	return f.start(p, false)
}
