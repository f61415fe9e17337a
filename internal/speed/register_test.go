package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	simTargets = 10
	simPerS    = 5.0 // answers a second of one target at all gateways together
	simStep    = 100 * time.Millisecond
	noise      = 0.5 // standard deviation of a sample's logarithm to the base 2
)

var simStart = time.Unix(1_000_000, 0)

// fleet is gateways that observe targets, and control VMs.
type fleet struct {
	rng      *rand.Rand
	gateways []*Register
	vms      [3]*Register
	seen     [][3]uint64
	changes  int // of published values, at one control VM
	now      time.Time
}

func newFleet(gateways int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(uint64(gateways), 1)), now: simStart, seen: make([][3]uint64, gateways)}
	for i := range f.vms {
		f.vms[i] = NewRegister()
	}
	f.vms[0].OnChange(func(string, float64) { f.changes++ })
	for range gateways {
		f.gateways = append(f.gateways, NewRegister())
	}
	return f
}

// run lets time pass. slowness returns how long answers of a target take at a gateway, over what is
// usual there.
func (f *fleet) run(d time.Duration, slowness func(gateway, target int) float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		for t := range simTargets {
			for n := simPerS * simStep.Seconds(); f.rng.Float64() < n; n-- {
				g := f.rng.IntN(len(f.gateways))
				f.gateways[g].Observe(fmt.Sprint("t", t), 1, slowness(g, t)*math.Exp2(noise*f.rng.NormFloat64()), f.now)
			}
		}
		for g, r := range f.gateways {
			if (f.now.Sub(simStart)/simStep+time.Duration(g))%5 != 0 {
				continue
			}
			for i, vm := range f.vms {
				vm.MergeSums(fmt.Sprint("gateway-", g), r.Sums(fmt.Sprint("vm-", i), f.now), f.now)
				values, version := vm.ChangesSince(f.seen[g][i])
				f.seen[g][i] = version
				r.MergeValues(fmt.Sprint("vm-", i), "epoch", values, f.now)
			}
		}
		for _, vm := range f.vms {
			vm.Tick(f.now)
		}
	}
}

// speed returns the lowest and the highest speed of a target that a gateway uses.
func (f *fleet) speed(target int) (lowest, highest float64) {
	lowest = math.Inf(1)
	for _, r := range f.gateways {
		s := r.Speed(fmt.Sprint("t", target), 1)
		lowest, highest = min(lowest, s), max(highest, s)
	}
	return lowest, highest
}

// Load pattern: engines of which two differ, one of them for seconds only, and a gateway with a
// slow link to a third one. Guards against speeds that aren't learned with few or many gateways, that
// are kept for long, or that noise or one gateway changes.
func TestSpeedsAreLearnedTogether(t *testing.T) {
	for _, n := range []int{1, 12, 103, 370} {
		t.Run(fmt.Sprint(n, " gateways"), func(t *testing.T) {
			f := newFleet(n)
			equal := func(int, int) float64 { return 1 }
			f.run(40*time.Second, equal)
			require.LessOrEqual(t, f.changes, 6, "of 800 estimates of equal targets")
			f.changes = 0
			f.run(20*time.Second, func(gateway, target int) float64 {
				switch {
				case target == 1:
					return 1.7
				case target == 2:
					return 0.7
				case target == 3 && n > 1 && gateway == 0:
					return 10
				}
				return 1
			})
			for target, want := range []float64{1, 1 / 1.7, 1 / 0.7, 1, 1} {
				lowest, highest := f.speed(target)
				require.InEpsilon(t, want, lowest, 0.3, "target %d", target)
				require.InEpsilon(t, want, highest, 0.3, "target %d", target)
			}
			f.run(20*time.Second, equal)
			lowest, highest := f.speed(1)
			require.InDelta(t, 1, lowest, 0.3)
			require.InDelta(t, 1, highest, 0.3)
		})
	}
}

// Guards against a control VM that goes by the order or the number of messages instead of what the
// gateways have observed, and against values out of bounds.
func TestLostAndRepeatedSumsChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := simStart
		one, other := NewRegister(), NewRegister()
		newest := map[string]Sums{}
		for range rapid.IntRange(1, 30).Draw(rt, "messages") {
			observer := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "observer"))
			weight := rapid.Float64Range(0.5, 100).Draw(rt, "weight")
			mean := rapid.Float64Range(-maxSample, maxSample).Draw(rt, "mean")
			s := NewSums("a", 1, weight, weight*mean, weight*mean*mean)
			newest[observer] = s
			for range rapid.IntRange(1, 3).Draw(rt, "times") {
				one.MergeSums(observer, []Sums{s}, now)
			}
		}
		for observer, s := range newest {
			other.MergeSums(observer, []Sums{s}, now)
		}
		x, _ := one.entries["a"].estimate(now)
		y, _ := other.entries["a"].estimate(now)
		require.InDelta(rt, x, y, 1e-9)
		now = now.Add(estimateInterval)
		one.Tick(now)
		values, _ := one.ChangesSince(0)
		for _, v := range values {
			require.GreaterOrEqual(rt, v.Speed(), minSpeed)
			require.LessOrEqual(rt, v.Speed(), maxSpeed)
		}
	})
}

// Guards against speeds of an earlier incarnation or of a control VM that has restarted, and
// against sums that no gateway can have sent.
func TestOldSpeedsAreDropped(t *testing.T) {
	r := NewRegister()
	r.MergeValues("vm-1", "a", []Value{NewValue("t", 1, 3)}, simStart)
	r.MergeValues("vm-2", "a", []Value{NewValue("t", 1, 3)}, simStart)
	require.Less(t, r.Speed("t", 1), 0.7)
	require.InDelta(t, 1, r.Speed("t", 2), 0)
	r.MergeValues("vm-1", "b", nil, simStart)
	require.Less(t, r.Speed("t", 1), 0.7)
	r.MergeValues("vm-1", "b", nil, simStart.Add(valueRetention+time.Second))
	require.InDelta(t, 1, r.Speed("t", 1), 0)
	r.MergeSums("g", []Sums{NewSums("u", 1, 1, 100, 1), NewSums("u", 1, math.NaN(), 1, 1), NewSums("u", 1, 1, math.NaN(), 1)}, simStart)
	require.Empty(t, r.entries["u"].observers)
}
