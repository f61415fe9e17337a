package process

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/kernel"
	"github.com/cardamomline/cardamomline/internal/settings"
	"github.com/cardamomline/cardamomline/internal/standin"
)

// DevProcess is one process of a DevCluster: an entry, an agent with its stand-in, or a
// control VM. It can be stopped, crashed and restarted on the same address.
type DevProcess struct {
	settings *settings.Settings
	standin  *standin.Standin

	mu     sync.Mutex
	kernel *kernel.Kernel
}

// Name returns the name of the process.
func (m *DevProcess) Name() string { return m.settings.Name() }

// Role returns the role of the process.
func (m *DevProcess) Role() settings.Role { return m.settings.Role() }

// FailureDomain returns the failure domain of the process.
func (m *DevProcess) FailureDomain() string { return m.settings.FailureDomain() }

// Address returns the IP:port on which the process listens.
func (m *DevProcess) Address() string { return m.settings.Listen() }

// Standin returns the stand-in of an agent; it is nil for other roles.
func (m *DevProcess) Standin() *standin.Standin { return m.standin }

// Start starts the process on its configured address.
func (m *DevProcess) Start(ctx context.Context) error {
	return m.startOn(ctx, Options{NoAdmin: m.settings.Admin() == unusedAdminAddress})
}

func (m *DevProcess) startOn(ctx context.Context, o Options) error {
	k, err := New(m.settings, o)
	if err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	m.kernel = k
	m.mu.Unlock()
	return nil
}

// Stop stops the process gracefully. It does nothing if the process is stopped.
func (m *DevProcess) Stop(ctx context.Context) error {
	m.mu.Lock()
	k := m.kernel
	m.kernel = nil
	m.mu.Unlock()
	if k == nil {
		return nil
	}
	if err := k.Stop(ctx); err != nil {
		return errors.Wrapf(err, "stop %s", m.Name())
	}
	return nil
}

// Crash stops the process without waiting for its work, like a kill signal.
func (m *DevProcess) Crash() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = m.Stop(ctx)
}
