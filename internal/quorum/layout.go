package quorum

import (
	"fmt"
	"time"
)

// VM is a control VM and its location.
type VM struct {
	name   string
	domain string
	region string
}

// NewVM returns a VM in a failure domain of a region.
func NewVM(name, domain, region string) VM {
	return VM{name: name, domain: domain, region: region}
}

// set is a set of VMs as a bitmap in the order of the layout.
type set uint32

func (s set) has(i int) bool { return s&(1<<i) != 0 }

// Layout is a placement of VMs in failure domains and regions.
type Layout struct {
	name string
	vms  []VM
}

// NewLayout returns a Layout of at most 16 VMs, whose failure sets can be enumerated
// in reasonable time.
func NewLayout(name string, vms ...VM) (*Layout, error) {
	if len(vms) == 0 || len(vms) > maxVMs {
		return nil, &SizeError{subject: "layout " + name, vms: len(vms)}
	}
	return &Layout{name: name, vms: vms}, nil
}

// maxVMs limits the enumeration to 65,536 failure sets.
const maxVMs = 16

// NewSpreadLayout returns a Layout with the given number of VMs in each failure
// domain of each region.
func NewSpreadLayout(name string, regions ...[]int) (*Layout, error) {
	var vms []VM
	domains := 0
	for r, counts := range regions {
		for _, n := range counts {
			domains++
			for range n {
				vms = append(vms, NewVM(fmt.Sprintf("vm-%d", len(vms)+1), fmt.Sprintf("domain-%d", domains), fmt.Sprintf("region-%d", r+1)))
			}
		}
	}
	return NewLayout(name, vms...)
}

// Name returns the name of the layout.
func (l *Layout) Name() string { return l.name }

// Size returns the number of VMs.
func (l *Layout) Size() int { return len(l.vms) }

func (l *Layout) all() set { return 1<<len(l.vms) - 1 }

// groups returns the sets of VMs with the same key, in the order of the layout.
func (l *Layout) groups(key func(VM) string) []set {
	var groups []set
	at := map[string]int{}
	for i, vm := range l.vms {
		g, ok := at[key(vm)]
		if !ok {
			g = len(groups)
			at[key(vm)] = g
			groups = append(groups, 0)
		}
		groups[g] |= 1 << i
	}
	return groups
}

func (l *Layout) domains() []set { return l.groups(func(vm VM) string { return vm.domain }) }

func (l *Layout) regions() []set { return l.groups(func(vm VM) string { return vm.region }) }

// Latency contains the one-way network latencies between VMs.
type Latency struct {
	IntraRegion time.Duration // in one region
	InterRegion time.Duration // between regions
}

// roundTrip returns the round-trip time between two VMs, or 0 for the same VM.
func (l *Layout) roundTrip(t Latency, from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case l.vms[from].region == l.vms[to].region:
		return 2 * t.IntraRegion
	}
	return 2 * t.InterRegion
}
