// Package settings holds the settings of one process, as opposed to the manifest
// that all processes share.
//
// # Usage
//
//	s, err := settings.Load("settings/entry-1.yaml")
//	if err != nil {
//		return err // one line for each fault, with file, line and column
//	}
//	if s.Role() == settings.RoleEntry {
//		serve(s.Listen())
//	}
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// Role is what a process does.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Limits on sizes.
const (
	MaxBytes   = 64 << 10 // of the file
	MaxControl = 7        // control VMs, as many as may be dedicated to control
	MaxText    = 1024     // bytes of a path or URL

	minReadRate = 1_000                 // bytes per second
	maxReadRate = 100_000_000_000_000   // bytes per second
	maxMemory   = 1_000_000_000_000_000 // bytes
	// defaultReadRate matches the stand-in of the weight store; it is low for a
	// real one, so that an unset value slows loads down and doesn't overload it.
	defaultReadRate = 1_000_000_000
)

// Settings are the settings of one process.
type Settings struct {
	role          Role
	name          string
	region        string
	failureDomain string
	listen        string
	advertise     string
	source        netip.Addr
	admin         string
	control       []string
	dataFolder    string
	peers         []string
	target        Target
	placement     Placement
}

// Role returns what the process does.
func (s *Settings) Role() Role { return s.role }

// Name returns the name of the process, which is unique in the system.
func (s *Settings) Name() string { return s.name }

// Region returns the region that the process runs in.
func (s *Settings) Region() string { return s.region }

// FailureDomain returns the failure domain that the process runs in.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Listen returns the address for callers (entry) or for other processes (agent,
// control). The system chooses the port when it is 0.
func (s *Settings) Listen() string { return s.listen }

// Advertise returns the address under which other processes reach this one, which
// is that of Listen unless the settings name another one.
func (s *Settings) Advertise() string {
	if s.advertise == "" {
		return s.listen
	}
	return s.advertise
}

// Source returns the IP address from which the process opens connections. It is
// not valid when the system chooses the address.
func (s *Settings) Source() netip.Addr { return s.source }

// Admin returns the address for metrics, health and readiness. The system chooses
// the port when it is 0.
func (s *Settings) Admin() string { return s.admin }

// Control returns the addresses of the control VMs.
func (s *Settings) Control() []string { return s.control }

// DataFolder returns the folder for durable state of a control process. A
// relative path is relative to the working directory of the process.
func (s *Settings) DataFolder() string { return s.dataFolder }

// Peers returns the addresses of the control processes that form the cluster;
// the first one forms it. It is empty for other roles.
func (s *Settings) Peers() []string { return s.peers }

// Target returns the target of an agent; it is zero for other roles.
func (s *Settings) Target() Target { return s.target }

// Placement returns the limits for loading models; it is zero for other roles
// than control.
func (s *Settings) Placement() Placement { return s.placement }

// Placement holds the limits that a control process keeps to when it loads
// models on engines. They should be the same at all control processes.
type Placement struct {
	readRate       int64
	engineReadRate int64
	engineMemory   int64
}

// ReadRate returns the read limit of the weight store in bytes per second.
func (p Placement) ReadRate() int64 { return p.readRate }

// EngineReadRate returns the rate at which one engine reads, in bytes per second.
func (p Placement) EngineReadRate() int64 { return p.engineReadRate }

// EngineMemory returns the memory of an engine for models in bytes; 0 is unknown.
func (p Placement) EngineMemory() int64 { return p.engineMemory }

// Target is the process that an agent stands in front of.
type Target struct {
	name    string
	service string
	url     string
}

// Name returns the name of the target, which is unique in the system.
func (t Target) Name() string { return t.name }

// Service returns the service of the manifest that the target belongs to.
func (t Target) Service() string { return t.service }

// URL returns the base URL of the target, without a slash at the end.
func (t Target) URL() string { return t.url }

// Load reads and checks the settings in the file.
func Load(path string) (*Settings, error) {
	data, err := strictyaml.ReadFile(path, MaxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "load settings")
	}
	return Parse(path, data)
}

// Parse checks settings. Name is the file name for faults. The error is a
// *strictyaml.Errors that holds every fault with its position.
func Parse(name string, data []byte) (*Settings, error) {
	r := strictyaml.NewReader(name)
	var s *Settings
	if r.CheckSize(data, MaxBytes) {
		s = decode(r.Read(data))
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func decode(v strictyaml.Value) *Settings {
	f := v.Mapping("role", "name", "region", "failure_domain", "listen", "advertise", "source", "admin", "control", "data_folder", "peers", "target", "placement")
	if !f.Present() {
		return nil
	}
	s := &Settings{
		role:          Role(f.Required("role").OneOf(string(RoleEntry), string(RoleAgent), string(RoleControl))),
		name:          itemName(f.Required("name")),
		region:        itemName(f.Required("region")),
		failureDomain: itemName(f.Required("failure_domain")),
		listen:        ownAddress(f.Required("listen")),
		advertise:     address(f.Optional("advertise")),
		source:        source(f.Optional("source")),
		admin:         ownAddress(f.Required("admin")),
		control:       addresses(f.Required("control")),
	}
	if s.admin != "" && s.admin == s.listen && isAddress(s.admin) {
		f.Optional("admin").Fail("the address of listen", "an address of its own")
	}
	switch s.role {
	case RoleControl:
		s.dataFolder = f.Required("data_folder").Text(isPath, fmt.Sprintf("a path of 1 to %d bytes", MaxText))
		s.peers = addresses(f.Required("peers"))
		if peers := f.Optional("peers"); len(s.peers) > 0 && s.listen != "" && !slices.Contains(s.peers, s.Advertise()) {
			peers.Fail("no address "+s.Advertise(), "the process's own address, advertise or else listen, among the peers")
		}
		s.placement = placement(f.Optional("placement"))
		refuse(f, "target", "only agents have a target")
	case RoleAgent:
		s.target = target(f.Required("target"))
		refuse(f, "data_folder", "only control processes keep data")
		refuse(f, "placement", "only control processes place models")
		refuse(f, "peers", "only control processes have peers")
	case RoleEntry:
		refuse(f, "data_folder", "only control processes keep data")
		refuse(f, "placement", "only control processes place models")
		refuse(f, "peers", "only control processes have peers")
		refuse(f, "target", "only agents have a target")
	}
	return s
}

func refuse(f strictyaml.Mapping, key, why string) {
	if v := f.Optional(key); v.Present() {
		v.Fail("the key "+key, "no such key for this role: "+why)
	}
}

func target(v strictyaml.Value) Target {
	f := v.Mapping("name", "service", "url")
	if !f.Present() {
		return Target{}
	}
	return Target{
		name:    itemName(f.Required("name")),
		service: itemName(f.Required("service")),
		url:     f.Required("url").Text(isBaseURL, `an http URL of a host and a port, such as "http://127.0.0.1:9001"`),
	}
}

func placement(v strictyaml.Value) Placement {
	f := v.Mapping("read_rate", "engine_read_rate", "engine_memory")
	p := Placement{
		readRate:       int64(f.Optional("read_rate").Size(minReadRate, maxReadRate)),
		engineReadRate: int64(f.Optional("engine_read_rate").Size(minReadRate, maxReadRate)),
		engineMemory:   int64(f.Optional("engine_memory").Size(1, maxMemory)),
	}
	if p.readRate == 0 {
		p.readRate = defaultReadRate
	}
	if p.engineReadRate > p.readRate {
		f.Optional("engine_read_rate").Fail("more than read_rate", "at most the read_rate "+strictyaml.Size(p.readRate).String())
	}
	if p.engineReadRate == 0 {
		p.engineReadRate = p.readRate
	}
	return p
}

func addresses(v strictyaml.Value) []string {
	var list []string
	for item := range v.Items(1, MaxControl) {
		value := item.Value()
		a := address(value)
		if a != "" && slices.Contains(list, a) {
			value.Fail("the address "+a+" a second time", "each address once")
		}
		list = append(list, a)
	}
	return list
}

// ownAddress decodes an address that the process listens on. The system chooses
// the port when it is 0.
func ownAddress(v strictyaml.Value) string {
	return v.Text(isOwnAddress, "an IP address in its shortest form and a port from 0 to 65535, such as 127.0.0.1:8080")
}

func address(v strictyaml.Value) string {
	return v.Text(isAddress, "an IP address in its shortest form and a port from 1 to 65535, such as 127.0.0.1:8080")
}

func source(v strictyaml.Value) netip.Addr {
	a, _ := netip.ParseAddr(v.Text(isSource, "an IP address of this VM in its shortest form, such as 127.0.0.1"))
	return a
}

func itemName(v strictyaml.Value) string {
	return v.Text(isName, fmt.Sprintf("a name of up to %d lower-case letters, digits and single hyphens that starts with a letter", manifest.MaxName))
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

func isName(s string) bool {
	return len(s) <= manifest.MaxName && namePattern.MatchString(s)
}

func isOwnAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.String() == s
}

func isAddress(s string) bool {
	return isOwnAddress(s) && !strings.HasSuffix(s, ":0")
}

func isSource(s string) bool {
	a, err := netip.ParseAddr(s)
	return err == nil && a.String() == s && !a.IsUnspecified()
}

func isPath(s string) bool {
	return s != "" && len(s) <= MaxText
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || len(s) > MaxText {
		return false
	}
	return s == "http://"+u.Host && u.Hostname() != "" && u.Port() != ""
}
