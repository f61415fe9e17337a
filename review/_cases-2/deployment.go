package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the settings. They are those of the sheet of harbwr-ops.
const (
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
	grace     = 8 * time.Second
	catchUp   = 4 * time.Second
	zone      = "milford"
)

// process is one process of the system under test.
type process struct {
	name, ip, serves string
	first            bool // the whole system starts for the first time
	cmd              *exec.Cmd
	ended            chan struct{}

	mu sync.Mutex
	// disturbedAt is when the process was last started or asked to stop.
	disturbedAt time.Time
	inRotation  bool // at the load balancer
}

func (p *process) disturb() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
}

// calmSince reports whether the process was neither started nor stopped for a time before at.
func (p *process) calmSince(d time.Duration, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return at.Sub(p.disturbedAt) >= d
}

func (p *process) takesChannels() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inRotation
}

// stage is a small deployment with what is around it.
type stage struct {
	*record
	trouble  bool
	folder   string
	logs     string
	memoryMB int
	port     int // the first one that every process uses on its own address
	cores    []*process
	gates    []*process
	started  []*process
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	control  *http.Client
}

func newStage(r *record, trouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &stage{
		record: r, trouble: trouble, folder: folder, logs: os.Getenv("REVIEW_LOGS"), memoryMB: 284, ctx: ctx, cancel: cancel,
		control: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if s.logs == "" {
		s.logs = folder
	}
	return s, nil
}

// start starts a deployment for the first time and waits until a config is acknowledged and all
// gateways are ready.
func (s *stage) start(cores, gates int, config string) error {
	if err := s.place(cores, gates); err != nil {
		return err
	}
	for _, p := range s.all() {
		if err := s.launch(p); err != nil {
			return err
		}
	}
	for _, p := range s.all() {
		p.first = false
	}
	if err := s.putConfig(config); err != nil {
		return err
	}
	for _, p := range s.gates {
		s.wg.Go(func() { s.balance(p) })
	}
	for _, p := range s.gates {
		if err := s.await("gateways ready", 15*time.Second, func() bool { return p.takesChannels() }); err != nil {
			return err
		}
	}
	return nil
}

// place gives the processes of a deployment their addresses and ports.
func (s *stage) place(cores, gates int) error {
	net := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(254))
	for i := range cores {
		s.cores = append(s.cores, &process{name: fmt.Sprint("core-", i+1), ip: net + fmt.Sprint(i+1), serves: "control", first: true})
	}
	for i := range gates {
		s.gates = append(s.gates, &process{name: fmt.Sprint("edge-", i+1), ip: net + fmt.Sprint(101+i), serves: "edge", first: true})
	}
	return s.findPorts()
}

func (s *stage) all() []*process { return append(append([]*process(nil), s.cores...), s.gates...) }

// findPorts finds five ports in a row that are free on the addresses of all processes.
func (s *stage) findPorts() error {
next:
	for range 50 {
		port := 20000 + rand.IntN(30000)
		for _, p := range s.all() {
			for n := range 5 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip, port+n))
				if err != nil {
					continue next
				}
				_ = l.Close()
			}
		}
		s.port = port
		return nil
	}
	return errors.New("no free ports")
}

func (s *stage) frontend(p *process) string  { return fmt.Sprintf("%s:%d", p.ip, s.port+2) }
func (s *stage) readiness(p *process) string { return fmt.Sprintf("%s:%d", p.ip, s.port+3) }
func (s *stage) controlOf(p *process) string { return fmt.Sprintf("%s:%d", p.ip, s.port+4) }

// settings returns the settings file of a process, as the platform writes it.
func (s *stage) settings(p *process) string {
	var seeds []string
	for _, c := range s.cores {
		seeds = append(seeds, fmt.Sprintf("%q", s.controlOf(c)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = \"r\"\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"south-wales\"\n", p.name, p.serves, p.serves, p.ip, zone)
	fmt.Fprintf(&b, "portRange = [%d,%d]\nseeds = [%s]\nbootstrap = %t\ncountsAsLoss = %t\n", s.port, s.port+1, strings.Join(seeds[:min(len(seeds), 3)], ","), p.first, p.serves == "control")
	fmt.Fprintf(&b, "discovery = \"register\"\nentry = \"vip\"\nheartbeatMs = %d\nconfigMode = \"highest\"\n", heartbeat.Milliseconds())
	if p.serves == "control" {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(s.folder, p.name))
	}
	fmt.Fprintf(&b, "[zones]\n%s = \"south-wales\"\n[listen]\n", zone)
	if p.serves == "control" {
		fmt.Fprintf(&b, "control = %q\n", s.controlOf(p))
	} else {
		fmt.Fprintf(&b, "frontend = %q\nreadiness = %q\n", s.frontend(p), s.readiness(p))
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = 1.0\ncpus = 1\nmemoryMb = %d\nmaxFds = 4100\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n", s.memoryMB)
	fmt.Fprintf(&b, "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = %d\nackMs = 4000\ncatchUpS = %d\ndrainMs = 2000\ngraceS = %d\n", contact.Milliseconds(), int(catchUp.Seconds()), int(grace.Seconds()))
	b.WriteString("lossSlackMs = 200\nconfigDeadlineMs = 2000\nrollbackSlackMs = 250\npartitionMaxMs = 5000\nfailClosed = false\nrevokeMs = 5000\n")
	b.WriteString("retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\nrecoverS = 12\nmaxDelayMs = 120\nreuseWindowS = 9.4\n")
	return b.String()
}

// launch starts a process with the command of the deploy file.
func (s *stage) launch(p *process) error {
	folder := filepath.Join(s.folder, p.name)
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return err
	}
	path := filepath.Join(s.folder, p.name+".toml")
	if err := os.WriteFile(path, []byte(s.settings(p)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/cardamomline", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CARDAMOMLINE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.disturb()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	if !slices.Contains(s.started, p) {
		s.started = append(s.started, p)
	}
	s.logf("start %s, process %d", p.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// stop asks a process to stop, as the platform does, and waits for its end.
func (s *stage) stop(p *process) {
	s.logf("SIGTERM to %s", p.name)
	p.disturb()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		s.kill(p)
	}
	s.logf("%s has ended", p.name)
}

// kill kills a process and waits for its end.
func (s *stage) kill(p *process) {
	s.logf("SIGKILL to %s", p.name)
	p.disturb()
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// end ends all processes that the case has started and removes its folder.
func (s *stage) end() {
	s.cancel()
	for _, p := range s.started {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	s.wg.Wait()
	_ = os.RemoveAll(s.folder)
}

// await waits until a condition holds.
func (s *stage) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
	}
	return nil
}

// balance asks a gateway each second whether it is ready, as the load balancer does.
func (s *stage) balance(p *process) {
	misses := 0
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.readiness(p)+"/v1/readyz", nil)
		resp, err := s.control.Do(r)
		ready := false
		if err == nil {
			ready = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		cancel()
		if misses++; ready {
			misses = 0
		}
		p.mu.Lock()
		if ready || misses >= 2 {
			p.inRotation = ready
		}
		p.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-s.ctx.Done():
		}
	}
}

// call sends a call of the operator or of a worker to a control VM.
func (s *stage) call(method string, p *process, path string, body []byte, limit time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.controlOf(p)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := s.control.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// putConfig sends a config until it is acknowledged.
func (s *stage) putConfig(config string) error {
	for i, end := 0, time.Now().Add(15*time.Second); time.Now().Before(end); i++ {
		status, err := s.call(http.MethodPut, s.cores[i%len(s.cores)], "/v1/config", []byte(config), time.Second)
		switch {
		case err == nil && status == http.StatusOK:
			s.logf("config acknowledged by %s", s.cores[i%len(s.cores)].name)
			return nil
		case err == nil && status < http.StatusInternalServerError:
			return fmt.Errorf("config refused: %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("config not acknowledged")
}

// inTouch reports whether a gateway was in touch at a time: it and all control VMs ran for the
// contact time before.
func (s *stage) inTouch(p *process, at time.Time) bool {
	for _, c := range s.cores {
		if !c.calmSince(contact, at) {
			return false
		}
	}
	return p.calmSince(contact, at)
}
