package kernel_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/kernel"
)

type recorder struct {
	name  string
	log   *[]string
	fails bool
	done  chan struct{}
}

func (r *recorder) Start(context.Context) error {
	if r.fails {
		return errors.New("no port")
	}
	*r.log = append(*r.log, "start "+r.name)
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

func (r *recorder) Done() <-chan struct{} { return r.done }

// Guards against a component that keeps running after a later component failed to start.
func TestFailedStartStopsStartedPartsInReverse(t *testing.T) {
	var log []string
	k := kernel.New()
	k.Register("journal", &recorder{name: "journal", log: &log})
	k.Register("replica", &recorder{name: "replica", log: &log})
	k.Register("server", &recorder{name: "server", log: &log, fails: true})
	err := k.Start(t.Context())
	require.ErrorContains(t, err, "start server: no port")
	require.Equal(t, []string{"start journal", "start replica", "stop replica", "stop journal"}, log)
}

// Guards against a lookup that returns a component of the wrong type.
func TestLookupReportsMissingAndMistyped(t *testing.T) {
	k := kernel.New()
	k.Register("journal", "text")
	_, err := kernel.Lookup[int](k, "journal")
	var missing *kernel.MissingError
	require.ErrorAs(t, err, &missing)
	require.Equal(t, `component "journal" is a string, not a int`, err.Error())
	_, err = kernel.Lookup[int](k, "ledger")
	require.ErrorAs(t, err, &missing)
	require.Equal(t, "ledger", missing.Name())
}
