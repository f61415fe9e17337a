package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/admission"
)

// Guards against a rate below one request in 2 s that isn't enforced, because the
// state of an idle customer is dropped before its bucket has refilled; and
// against state that is kept afterwards.
func TestLowRateOutlivesIdleTime(t *testing.T) {
	gate := admission.NewCustomerLimiter()
	limits := admission.CustomerLimits{MaxConcurrent: 8, Rate: 0.1}
	began := time.Unix(1_000_000, 0)
	admitted := 0
	for at := time.Duration(0); at < 100*time.Second; at += 3 * time.Second {
		if _, ok := gate.Acquire("depot-milford", limits, began.Add(at)); ok {
			admitted++
			gate.Release("depot-milford", began.Add(at))
		}
	}
	require.LessOrEqual(t, admitted, 1+100/10)
	for at := 100 * time.Second; at < 120*time.Second; at += time.Second {
		gate.Release("nobody", began.Add(at))
	}
	require.Zero(t, gate.Active())
}
