package metrics

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one series for each of 24,000 customers.
func TestCustomerSeriesAreBounded(t *testing.T) {
	m := New("entry")
	defer func() { require.NoError(t, m.Close()) }()
	labels := make(map[string]struct{})
	for i := range 24_000 {
		labels[m.boundCustomer(fmt.Sprintf("customer-%d", i))] = struct{}{}
	}
	require.LessOrEqual(t, len(labels), maxNamedCustomers+customerBuckets)
	require.Equal(t, "customer-7", m.boundCustomer("customer-7"))
	require.True(t, strings.HasPrefix(m.boundCustomer("customer-9999"), "other-"))
}
