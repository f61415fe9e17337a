package commands

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are cut off because SIGHUP ends a process at once, without a
// planned stop: a terminal is closed.
func TestHangupStopsACommand(t *testing.T) {
	// A test that was started with nohup has inherited that SIGHUP is ignored.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	defer signal.Stop(caught)
	ctx, stop := untilSignal(t.Context())
	defer stop()
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	<-ctx.Done()
}

// Guards against a command that ends with its terminal although it was started with nohup.
func TestIgnoredHangupStaysIgnored(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	_, stop := untilSignal(t.Context())
	defer stop()
	require.True(t, signal.Ignored(syscall.SIGHUP))
}
