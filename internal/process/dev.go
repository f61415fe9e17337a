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
	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/settings"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

const (
	devControls     = 3
	devServiceCount = 3
	devSlots        = 8
	// unusedAdmin fills the required key; dev runs no admin servers.
	unusedAdmin = "127.0.0.1:1"
)

// devDomains are the failure domains over which dev spreads its processes.
var devDomains = []string{"domain-a", "domain-b", "domain-c"}

// devTargets is the number of stand-ins that dev runs for a kind of service.
var devTargets = map[manifest.Kind]int{
	manifest.KindEngine:    4,
	manifest.KindEncoder:   3,
	manifest.KindRetriever: 3,
	manifest.KindReranker:  2,
}

// DevOptions configures a Dev.
type DevOptions struct {
	// Manifest is the manifest to apply, as YAML; required.
	Manifest []byte
	// Listen is the IP:port of the caller API; port 0 takes a free one.
	Listen string
	// DataFolder holds the folders of the control VMs; required.
	DataFolder string
}

// Dev runs all roles and stand-ins in one process on loopback. Each role has a
// kernel of its own, so that it is the code of the separate processes.
type Dev struct {
	o        DevOptions
	manifest *manifest.Manifest
	kernels  []*kernel.Kernel
	controls []string
	entry    string
	standins map[string]string
}

// NewDev returns a Dev, or an error that names what is wrong with the options.
func NewDev(o DevOptions) (*Dev, error) {
	m, err := manifest.Parse("manifest", o.Manifest)
	if err != nil {
		return nil, err
	}
	if o.DataFolder == "" {
		return nil, errors.New("dev: no data folder")
	}
	return &Dev{o: o, manifest: m, standins: make(map[string]string)}, nil
}

// EntryAddress returns the address of the caller API.
func (d *Dev) EntryAddress() string { return d.entry }

// ControlAddresses returns the addresses of the control VMs.
func (d *Dev) ControlAddresses() []string { return d.controls }

// Standins returns the addresses of the stand-ins by target name.
func (d *Dev) Standins() map[string]string { return d.standins }

// Start starts everything, applies the manifest and returns when the entry is ready.
func (d *Dev) Start(ctx context.Context) error {
	if err := d.startControls(ctx); err != nil {
		return err
	}
	if err := d.startTargets(ctx); err != nil {
		return err
	}
	if err := d.startEntry(ctx); err != nil {
		return err
	}
	return d.apply(ctx)
}

// Stop stops the entry, which lets its requests end, then all others at once. It
// returns the first error.
func (d *Dev) Stop(ctx context.Context) error {
	n := len(d.kernels)
	if n == 0 {
		return nil
	}
	first := d.kernels[n-1].Stop(ctx)
	var g errgroup.Group
	for _, k := range d.kernels[:n-1] {
		g.Go(func() error { return k.Stop(ctx) })
	}
	d.kernels = nil
	if err := g.Wait(); first == nil {
		first = err
	}
	return first
}

func (d *Dev) startControls(ctx context.Context) error {
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
		if err := d.start(ctx, settings.RoleControl, name, i, own, l); err != nil {
			return err
		}
	}
	return nil
}

func (d *Dev) startTargets(ctx context.Context) error {
	for _, s := range d.manifest.Services() {
		n, ok := devTargets[s.Kind()]
		if !ok {
			n = devServiceCount
		}
		for i := range n {
			if err := d.startTarget(ctx, s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Dev) startTarget(ctx context.Context, s *manifest.Service, i int) error {
	name := fmt.Sprintf("%s-%d", s.Name(), i+1)
	target, err := standin.New(d.standin(s, name))
	if err != nil {
		return errors.Wrapf(err, "stand-in %s", name)
	}
	k := kernel.New()
	k.Register("standin", target)
	if err := k.Start(ctx); err != nil {
		return err
	}
	d.kernels = append(d.kernels, k)
	d.standins[name] = target.Address()
	l, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	own := map[string]any{"target": map[string]any{"name": name, "service": s.Name(), "url": "http://" + target.Address()}}
	return d.start(ctx, settings.RoleAgent, "agent-"+name, i, own, l)
}

func (d *Dev) standin(s *manifest.Service, name string) standin.Options {
	o := standin.Options{
		Name: name, Service: s.Name(), Kind: standin.Kind(s.Kind()), Listen: "127.0.0.1:0", Slots: devSlots,
	}
	o.Engine.ChecksFencing = s.ChecksFencing()
	for _, m := range d.manifest.Models() {
		o.Engine.Models = append(o.Engine.Models, m.Name())
	}
	if s.Kind() == manifest.KindEngine {
		return o
	}
	o.Engine = standin.EngineOptions{}
	for _, op := range s.Operations() {
		o.Operations = append(o.Operations, standin.Operation{Name: op.Name(), Idempotent: op.Idempotent()})
	}
	return o
}

func (d *Dev) startEntry(ctx context.Context) error {
	l, err := listen(ctx, d.o.Listen)
	if err != nil {
		return err
	}
	d.entry = l.Addr().String()
	return d.start(ctx, settings.RoleEntry, "entry-1", 0, nil, l)
}

// start runs one process. It goes through the settings' own format, so that dev
// runs under the same checks as the separate processes.
func (d *Dev) start(ctx context.Context, role settings.Role, name string, i int, own map[string]any, l net.Listener) error {
	fields := map[string]any{
		"role": string(role), "name": name, "region": "dev", "failure_domain": devDomains[i%len(devDomains)],
		"listen": l.Addr().String(), "admin": unusedAdmin, "control": d.controls,
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
	k, err := New(s, Options{Listener: l, NoAdmin: true})
	if err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	d.kernels = append(d.kernels, k)
	return nil
}

// apply puts the manifest into force and waits until every process has it.
func (d *Dev) apply(ctx context.Context) error {
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
	if behind := report.Behind(); len(behind) > 0 {
		return errors.Errorf("revision %d is not in force at %v", result.GetRevision(), behind)
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
