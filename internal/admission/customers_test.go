package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/admission"
)

// Guards against a rate below one request in 2 s that is not enforced because the
// state of an idle customer is evicted before its bucket has refilled, and against
// state that is never evicted.
func TestLowRateOutlivesIdleTime(t *testing.T) {
	limiter := admission.NewCustomerLimiter()
	limits := admission.CustomerLimits{MaxConcurrent: 8, Rate: 0.1}
	start := time.Unix(1_000_000, 0)
	admitted := 0
	for at := time.Duration(0); at < 100*time.Second; at += 3 * time.Second {
		if _, ok := limiter.Acquire("depot-milford", limits, start.Add(at)); ok {
			admitted++
			limiter.Release("depot-milford", start.Add(at))
		}
	}
	require.LessOrEqual(t, admitted, 1+100/10)
	for at := 100 * time.Second; at < 120*time.Second; at += time.Second {
		limiter.Release("nobody", start.Add(at))
	}
	require.Zero(t, limiter.Active())
}
