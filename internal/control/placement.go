package control

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/replica"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// Placement gives the placement runner access to the replicated log.
type Placement struct {
	c *Control
}

// Placement returns the placement runner's access to the replicated log.
func (c *Control) Placement() *Placement { return &Placement{c: c} }

// Leading implements placement.Leader.
func (p *Placement) Leading() (term uint64, ok bool) {
	st := p.c.o.Node.Status()
	return st.Term, st.Role == replica.Leader
}

// GrantFence implements placement.Leader. It never forwards to another leader.
func (p *Placement) GrantFence(ctx context.Context) (uint64, error) {
	result, err := p.c.propose(ctx, &wire.Command{Kind: &wire.Command_GrantFence{
		GrantFence: &wire.GrantFence{Scope: PlacementScope, Holder: p.c.o.Name},
	}})
	if err != nil {
		return 0, errors.Wrap(err, "grant placement fence")
	}
	if result.GetRefusal() != "" {
		return 0, errors.Errorf("grant placement fence: %s: %s", result.GetRefusal(), result.GetDetail())
	}
	return result.GetFence(), nil
}

// Confirm implements placement.Leader.
func (p *Placement) Confirm(ctx context.Context) error { return p.c.o.Node.Barrier(ctx) }

// Manifest implements placement.Leader.
func (p *Placement) Manifest() *wire.ManifestRecord {
	m, _ := p.c.o.Ledger.Manifest(0)
	return m
}

// Drains implements placement.Leader.
func (p *Placement) Drains() []string { return p.c.o.Ledger.Drains() }
