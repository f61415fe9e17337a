package capacity

import (
	"fmt"
	"strings"
	"time"
)

// manifestText returns a manifest with the given number of customers. Weight is
// that of the customer in the middle, which a change alters.
func manifestText(customers, weight int) []byte {
	var b strings.Builder
	b.WriteString("version: 1\npolicy: adaptive\nunconfirmed: serve\nclasses:\n" +
		"  - {name: counter, priority: 0, deadline: 6s}\ncustomers:\n" +
		"  - {name: load, key: load-key, weight: 1, max_concurrent: 4096, rate: 100000, default_class: counter}\n")
	for i := range customers - 1 {
		w := 1 + i%4
		if i == (customers-1)/2 {
			w = weight
		}
		fmt.Fprintf(&b, "  - {name: customer-%05d, key: customer-%05d-key, weight: %d, max_concurrent: 64, rate: 50, default_class: counter}\n", i, i, w)
	}
	b.WriteString(`models:
  - {name: model-7b, size: 8GB}
services:
  - name: generators
    kind: engine
    reports_load: true
    operations: [{name: generate, idempotent: true, timeout: 5s}]
  - name: lookups
    kind: service
    operations: [{name: lookup, idempotent: true, timeout: 2s}]
pipelines:
`)
	for _, tokens := range tokenCounts {
		fmt.Fprintf(&b, "  - name: talk-%d\n    deadline: 6s\n    default_class: counter\n    stages:\n"+
			"      - {name: generate, service: generators, operation: generate, model: model-7b, expected: %v}\n", tokens, time.Duration(tokens)*tokenTime)
	}
	for _, stages := range stageCounts {
		fmt.Fprintf(&b, "  - name: chain-%d\n    deadline: 6s\n    default_class: counter\n    stages:\n", stages)
		for i := range stages {
			needs := ""
			if i > 0 {
				needs = fmt.Sprintf("needs: [s%d], ", i-1)
			}
			fmt.Fprintf(&b, "      - {name: s%d, service: lookups, operation: lookup, %sexpected: 5ms}\n", i, needs)
		}
	}
	return []byte(b.String())
}

// stageCounts are the lengths of the pipelines that are measured.
var stageCounts = []int{1, 3, 6}

// tokenCounts are the lengths of the answers that are measured. Each has a
// pipeline with its own expected time: the admission limit of an entry takes
// calls that grow longer than expected for overload of the service.
var tokenCounts = []int{16, 64, 256}

const (
	// stepTime is the time of a decoding step of the stand-in, tokenTime what a
	// token takes with the work around it.
	stepTime  = 4 * time.Millisecond
	tokenTime = 4500 * time.Microsecond
)
