package process

import (
	"context"
	"fmt"
	"maps"
	"net"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/controlclient"
	"github.com/cardamomline/cardamomline/internal/settings"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	devControls          = 3
	devEntries           = 1
	devDefaultTargets    = 3
	devSlots             = 8
	devMaxAccountRecords = 200_000
	// unusedAdminAddress is the value of the required setting admin in processes without an admin
	// server.
	unusedAdminAddress = "127.0.0.1:1"
)

// devDomains are the failure domains of the processes.
var devDomains = []string{"domain-a", "domain-b", "domain-c"}

// devTargetCounts is the number of stand-ins by kind of service.
var devTargetCounts = map[manifest.Kind]int{
	manifest.KindEngine:    4,
	manifest.KindEncoder:   3,
	manifest.KindRetriever: 3,
	manifest.KindReranker:  2,
}

// DevOptions configures a DevCluster.
type DevOptions struct {
	// Manifest is the manifest to apply, as YAML; required.
	Manifest []byte
	// Listen is the IP:port of the first entry; port 0 selects a free port.
	Listen string
	// DataFolder contains the data folders of the control VMs; required.
	DataFolder string
	// Entries is the number of entries; defaults to 1.
	Entries int
	// Targets overrides the number of stand-ins by service name.
	Targets map[string]int
}

// DevCluster runs all roles and stand-ins in one operating system process on loopback.
// Each role has its own kernel, so that it runs the same code as a separate process.
type DevCluster struct {
	o        DevOptions
	manifest *manifest.Manifest
	members  []*DevProcess
	controls []string
	accounts *standin.Accounts
}

// NewDevCluster returns a DevCluster, or an error if the options are invalid.
func NewDevCluster(o DevOptions) (*DevCluster, error) {
	m, err := manifest.Parse("manifest", o.Manifest)
	if err != nil {
		return nil, err
	}
	if o.DataFolder == "" {
		return nil, errors.New("dev: option DataFolder is required")
	}
	if o.Entries == 0 {
		o.Entries = devEntries
	}
	return &DevCluster{o: o, manifest: m}, nil
}

// Processes returns all processes: control VMs, agents and entries.
func (d *DevCluster) Processes() []*DevProcess { return d.members }

// EntryAddresses returns the addresses of the entries.
func (d *DevCluster) EntryAddresses() []string {
	var addresses []string
	for _, m := range d.members {
		if m.Role() == settings.RoleEntry {
			addresses = append(addresses, m.Address())
		}
	}
	return addresses
}

// ControlAddresses returns the addresses of the control VMs.
func (d *DevCluster) ControlAddresses() []string { return d.controls }

// AccountsURL returns the URL that serves the accounts of all stand-ins.
func (d *DevCluster) AccountsURL() string { return "http://" + d.accounts.Address() }

// LeaderAddress returns the address of the control VM that is the leader.
func (d *DevCluster) LeaderAddress(ctx context.Context) (string, error) {
	c, err := controlclient.New(controlclient.Options{Timers: timer.NewService(), Addresses: d.controls, Process: "dev"})
	if err != nil {
		return "", err
	}
	for i, s := range c.StatusAll(ctx) {
		if s != nil && s.GetConfirmed() && s.GetLeaderId() == s.GetMemberId() {
			return d.controls[i], nil
		}
	}
	return "", errors.New("no control VM is the leader")
}

// Start starts all processes, applies the manifest and returns when it is active
// everywhere.
func (d *DevCluster) Start(ctx context.Context) error {
	if err := d.startControls(ctx); err != nil {
		return err
	}
	if err := d.startTargets(ctx); err != nil {
		return err
	}
	if err := d.startEntries(ctx); err != nil {
		return err
	}
	return d.apply(ctx)
}

// Stop stops the entries, so that their requests can finish, and then all other processes
// concurrently. It returns the first error.
func (d *DevCluster) Stop(ctx context.Context) error {
	first := d.stopAll(ctx, func(m *DevProcess) bool { return m.Role() == settings.RoleEntry })
	if err := d.stopAll(ctx, func(*DevProcess) bool { return true }); first == nil {
		first = err
	}
	for _, m := range d.members {
		if m.standin != nil {
			m.standin.Die()
		}
	}
	if d.accounts != nil {
		if err := d.accounts.Stop(ctx); first == nil {
			first = err
		}
	}
	return first
}

func (d *DevCluster) stopAll(ctx context.Context, which func(*DevProcess) bool) error {
	var g errgroup.Group
	for _, m := range d.members {
		if which(m) {
			g.Go(func() error { return m.Stop(ctx) })
		}
	}
	return g.Wait()
}

func (d *DevCluster) startControls(ctx context.Context) error {
	listeners := make([]net.Listener, 0, devControls)
	for range devControls {
		l, err := listen(ctx, "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		d.controls = append(d.controls, l.Addr().String())
	}
	for i, l := range listeners {
		name := fmt.Sprintf("control-%d", i+1)
		own := map[string]any{"data_folder": filepath.Join(d.o.DataFolder, name), "peers": d.controls}
		if err := d.start(ctx, settings.RoleControl, name, i, own, l, nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *DevCluster) startTargets(ctx context.Context) error {
	var all []*standin.Standin
	for _, s := range d.manifest.Services() {
		for i := range d.targetCount(s) {
			target, err := d.startTarget(ctx, s, i)
			if err != nil {
				return err
			}
			all = append(all, target)
		}
	}
	d.accounts = standin.NewAccounts("127.0.0.1:0", all...)
	return d.accounts.Start(ctx)
}

func (d *DevCluster) targetCount(s *manifest.Service) int {
	if n, ok := d.o.Targets[s.Name()]; ok {
		return n
	}
	if n, ok := devTargetCounts[s.Kind()]; ok {
		return n
	}
	return devDefaultTargets
}

func (d *DevCluster) startTarget(ctx context.Context, s *manifest.Service, i int) (*standin.Standin, error) {
	name := fmt.Sprintf("%s-%d", s.Name(), i+1)
	target, err := standin.New(d.standinOptions(s, name))
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in %s", name)
	}
	if err := target.Start(ctx); err != nil {
		return nil, err
	}
	l, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	own := map[string]any{"target": map[string]any{"name": name, "service": s.Name(), "url": "http://" + target.Address()}}
	return target, d.start(ctx, settings.RoleAgent, "agent-"+name, i, own, l, target)
}

func (d *DevCluster) standinOptions(s *manifest.Service, name string) standin.Options {
	o := standin.Options{
		Name: name, Service: s.Name(), Kind: standin.Kind(s.Kind()), Listen: "127.0.0.1:0", Slots: devSlots, Account: devMaxAccountRecords,
	}
	if s.Kind() == manifest.KindEngine {
		o.Engine.ChecksFencing = s.ChecksFencing()
		for _, m := range d.manifest.Models() {
			o.Engine.Models = append(o.Engine.Models, m.Name())
		}
		return o
	}
	for _, op := range s.Operations() {
		o.Operations = append(o.Operations, standin.Operation{Name: op.Name(), Idempotent: op.Idempotent()})
	}
	return o
}

func (d *DevCluster) startEntries(ctx context.Context) error {
	for i := range d.o.Entries {
		address := "127.0.0.1:0"
		if i == 0 {
			address = d.o.Listen
		}
		l, err := listen(ctx, address)
		if err != nil {
			return err
		}
		if err := d.start(ctx, settings.RoleEntry, fmt.Sprintf("entry-%d", i+1), i, nil, l, nil); err != nil {
			return err
		}
	}
	return nil
}

// start runs one process. It encodes and parses the settings, so that they pass the same
// checks as those of separate processes.
func (d *DevCluster) start(ctx context.Context, role settings.Role, name string, i int, own map[string]any, l net.Listener, target *standin.Standin) error {
	o := Options{Listener: l, NoAdmin: true}
	admin := unusedAdminAddress
	if role == settings.RoleEntry {
		// Operators' commands use the admin addresses of entries.
		var err error
		if o.Admin, err = listen(ctx, "127.0.0.1:0"); err != nil {
			return err
		}
		o.NoAdmin = false
		admin = o.Admin.Addr().String()
	}
	fields := map[string]any{
		"role": string(role), "name": name, "region": "dev", "failure_domain": devDomains[i%len(devDomains)],
		"listen": l.Addr().String(), "admin": admin, "control": d.controls,
	}
	maps.Copy(fields, own)
	data, err := yaml.Marshal(fields)
	if err != nil {
		return errors.Wrapf(err, "settings of %s", name)
	}
	s, err := settings.Parse(name, data)
	if err != nil {
		return err
	}
	m := &DevProcess{settings: s, standin: target}
	if err := m.startOn(ctx, o); err != nil {
		return err
	}
	d.members = append(d.members, m)
	return nil
}

// apply applies the manifest and waits until it is active in every process.
func (d *DevCluster) apply(ctx context.Context) error {
	c, err := controlclient.New(controlclient.Options{Timers: timer.NewService(), Addresses: d.controls, Process: "dev"})
	if err != nil {
		return err
	}
	current, err := c.Query(ctx, &wire.QueryRequest{Kind: &wire.QueryRequest_Manifest{Manifest: &wire.ManifestQuery{}}})
	if err != nil {
		return err
	}
	result, err := c.Execute(ctx, &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{
		BaseRevision: current.GetRevision(), ChangeId: attempt.NewID(), Manifest: d.o.Manifest, Operator: "dev",
	}}})
	if err != nil {
		return err
	}
	if result.GetRefusal() != "" {
		return errors.Errorf("manifest refused: %s", result.GetDetail())
	}
	report, err := NewRollout(c, timer.NewService()).Wait(ctx, result.GetRevision())
	if err != nil {
		return err
	}
	if outdated := report.Outdated(); len(outdated) > 0 {
		return errors.Errorf("revision %d is not active in %v", result.GetRevision(), outdated)
	}
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return l, nil
}
