// Package metrics holds the counters, gauges and histograms of a process.
//
// They are tally metrics behind a Prometheus reporter. The number of series is
// bounded: the first maxNamedCustomers customers seen have series of their own,
// and all others share customerBuckets series by a hash of their name, so that
// 24,000 customers don't make 24,000 histograms.
//
// # Usage
//
//	m := metrics.New("entry")
//	m.CountReason("refusals", "not_enough_time")
//	m.Observe("request_seconds", "depot-milford", "counter", d)
//	mux.Handle("GET /metrics", m.Handler())
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	maxNamedCustomers = 64
	customerBuckets   = 16
	maxReasons        = 128
	reportPeriod      = 500 * time.Millisecond
	otherReason       = "other"
)

// latencyBuckets span 1 ms to about 16 minutes with a factor of 2.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)

// Metrics is the metric scope of one process. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter tallyprom.Reporter

	mu        sync.Mutex
	customers map[string]string
	reasons   map[string]struct{}
	// totals mirror the counters, so that status pages and tests can read them.
	totals map[string]int64
}

// New returns the metrics of a process with the given role.
func New(role string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cardamomline",
		Tags:           map[string]string{"role": role},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportPeriod)
	return &Metrics{
		scope:     scope,
		closer:    closer,
		reporter:  reporter,
		customers: make(map[string]string),
		reasons:   make(map[string]struct{}),
		totals:    make(map[string]int64),
	}
}

// Close ends the reporting goroutine.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Handler returns the scrape page.
func (m *Metrics) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Count adds n to a counter.
func (m *Metrics) Count(name string, n int64) {
	m.scope.Counter(name).Inc(n)
	m.addTotal(name, n)
}

// CountReason adds one to a counter that is split by a fixed reason.
func (m *Metrics) CountReason(name, reason string) {
	reason = m.boundReason(reason)
	m.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
	m.addTotal(name+"/"+reason, 1)
}

// CountCost adds n to a counter that is split by customer and stage.
func (m *Metrics) CountCost(name, customer, stage string, n int64) {
	customer = m.boundCustomer(customer)
	m.scope.Tagged(map[string]string{"customer": customer, "stage": stage}).Counter(name).Inc(n)
	m.addTotal(name+"/"+customer+"/"+stage, n)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// Observe records a duration in the histogram of a customer and class.
func (m *Metrics) Observe(name, customer, class string, d time.Duration) {
	m.histogram(name, map[string]string{"customer": m.boundCustomer(customer), "class": class}, d)
}

// ObserveStage records a duration in the histogram of a pipeline stage.
func (m *Metrics) ObserveStage(name, stage, class string, d time.Duration) {
	m.histogram(name, map[string]string{"stage": stage, "class": class}, d)
}

func (m *Metrics) histogram(name string, tags map[string]string, d time.Duration) {
	m.scope.Tagged(tags).Histogram(name, latencyBuckets).RecordDuration(d)
}

// Totals returns a copy of all counter totals, by name and labels joined with slashes.
func (m *Metrics) Totals() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals := make(map[string]int64, len(m.totals))
	for k, v := range m.totals {
		totals[k] = v
	}
	return totals
}

func (m *Metrics) addTotal(key string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals[key] += n
}

func (m *Metrics) boundCustomer(customer string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if label, ok := m.customers[customer]; ok {
		return label
	}
	if len(m.customers) >= maxNamedCustomers {
		return fmt.Sprintf("other-%02d", xxhash.Sum64String(customer)%customerBuckets)
	}
	m.customers[customer] = customer
	return customer
}

func (m *Metrics) boundReason(reason string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.reasons[reason]; ok {
		return reason
	}
	if len(m.reasons) >= maxReasons {
		return otherReason
	}
	m.reasons[reason] = struct{}{}
	return reason
}
