package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPlan plans for 850 engines and 6 models: nothing to do, all engines
// empty, and empty engines that wait for a load in flight.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name    string
		loaded  bool
		reading int
	}{{"settled", true, 0}, {"empty", false, 0}, {"waiting", false, 1}} {
		s := &State{Sizes: map[string]int64{}}
		for i := range 6 {
			m := fmt.Sprintf("model-%d", i)
			s.Sizes[m] = 8_000_000_000
			s.Needs = append(s.Needs, Need{Key: Key{Service: "generators", Model: m}, Copies: 100})
		}
		for i := range 850 {
			e := Engine{Name: fmt.Sprintf("engine-%03d", i), Service: "generators", Domain: fmt.Sprintf("domain-%d", i%4), Usable: true}
			if c.loaded {
				e.Models = []string{fmt.Sprintf("model-%d", i%6)}
			}
			s.Engines = append(s.Engines, e)
		}
		for range c.reading {
			s.Orders = append(s.Orders, InFlight{Order: Order{Engine: "engine-000", Action: Load, Model: "model-0"}, Reading: true})
		}
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				Plan(s, testStart)
			}
		})
	}
}
