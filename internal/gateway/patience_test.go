package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/catalog"
)

// Load pattern: callers that were refused come back among those that come for the
// first time. Guards against a queue in which they are taken for new, so that they
// displace requests that can still be in time, and against new ones that are taken
// for late.
func TestReturningCallersAreToldApart(t *testing.T) {
	p := newPatience()
	random := rand.New(rand.NewPCG(1, 2))
	require.Zero(t, p.waited("draft", 2*time.Second), "nothing is known yet")
	fresh := func() time.Duration {
		return time.Duration((0.86 + 0.14*random.Float64()) * float64(6*time.Second))
	}
	for range 200 {
		p.waited("draft", fresh())
	}
	for range 500 {
		require.Zero(t, p.waited("draft", fresh()))
	}
	require.Greater(t, p.waited("draft", 3*time.Second), 1900*time.Millisecond)
	require.Less(t, p.waited("draft", 3*time.Second), 3*time.Second, "never more than it can have waited")
	require.Zero(t, p.waited("chat", 3*time.Second), "each route by itself")
	require.Zero(t, p.waited("draft", 0), "a caller that states none")
	for i := range 10 * patienceRoutes {
		p.waited(fmt.Sprint("route-", i), time.Second)
	}
	require.Len(t, p.routes, patienceRoutes, "a config with many routes takes no more memory")
}

// Load pattern: a burst in which nearly all customers have one rank. Guards against
// drafts and chats that count as equally urgent because the customer's rank hides the
// route's.
func TestRouteRankDecidesAmongCustomersOfOneRank(t *testing.T) {
	c, err := catalog.New(catalog.Input{
		Version:  1,
		Services: []catalog.ServiceInput{{Name: "pool"}},
		Routes: []catalog.RouteInput{
			{Name: "draft", Host: "h", Prefix: "/d/", Timeout: time.Second, Priority: 0, Split: []catalog.WeightedService{{Service: "pool", Weight: 1}}},
			{Name: "chat", Host: "h", Prefix: "/c/", Timeout: time.Second, Priority: 2, Split: []catalog.WeightedService{{Service: "pool", Weight: 1}}},
			{Name: "other", Host: "h", Prefix: "/o/", Timeout: time.Second, Priority: 9, Split: []catalog.WeightedService{{Service: "pool", Weight: 1}}},
		},
		Customers: []catalog.CustomerInput{
			{Name: "first", Keys: []string{"k0"}, Priority: 0, HasPriority: true},
			{Name: "second", Keys: []string{"k1"}, Priority: 1, HasPriority: true},
			{Name: "plain", Keys: []string{"k2"}},
			{Name: "below", Keys: []string{"k3"}, Priority: -7, HasPriority: true},
			{Name: "beyond", Keys: []string{"k4"}, Priority: 1 << 40, HasPriority: true},
		},
	})
	require.NoError(t, err)
	of := func(key, path string) int {
		customer, ok := c.Customer(key)
		require.True(t, ok)
		route, ok := c.Route("h", path)
		require.True(t, ok)
		return rank(customer, route)
	}
	require.Less(t, of("k1", "/d/"), of("k1", "/c/"), "the route decides")
	require.Less(t, of("k0", "/o/"), of("k1", "/d/"), "the customer goes first")
	require.Equal(t, of("k0", "/c/"), of("k3", "/c/"))
	require.Equal(t, customerRanks*routeRanks-1, of("k4", "/o/"))
	require.Equal(t, of("k1", "/c/"), of("k2", "/c/"), "a customer without a rank is an ordinary one")
}
