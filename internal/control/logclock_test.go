package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// stamped is an entry of the log with the real time at which it was stamped.
type stamped struct{ at, log time.Duration }

// clockVM is a VM whose wall clock may be wrong by any amount.
type clockVM struct {
	clock   logClock
	offset  time.Duration // of the wall clock
	started time.Duration
	applied int // entries
}

const (
	testEpoch  = 1_800_000_000 * time.Second
	observeLag = observePeriod
)

// Guards against a leader whose wall clock jumps ahead or stands behind and that
// expires leases or retained orders early, or stops the log's time, alone or in turn
// with leaders whose clocks are wrong the other way.
func TestLogTimeFollowsRealTime(t *testing.T) {
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	for seed := range 3 {
		require.NoError(t, flag.Set("rapid.seed", fmt.Sprint(seed+1)))
		t.Run(fmt.Sprint(seed), func(t *testing.T) { rapid.Check(t, checkLogClock) })
	}
}

func checkLogClock(t *rapid.T) {
	vms := []*clockVM{{}, {}, {}}
	var log []stamped
	var now time.Duration // the real time
	read := func(v *clockVM) reading {
		r := reading{wall: testEpoch + now + v.offset, elapsed: now - v.started, index: uint64(v.applied)}
		if v.applied > 0 {
			r.applied = log[v.applied-1].log
		}
		return r
	}
	pass := func(d time.Duration) {
		for end := now + d; now < end; {
			now += min(observeLag, end-now)
			for _, v := range vms {
				v.clock.observe(read(v))
			}
		}
	}
	catchUp := func(v *clockVM) {
		v.applied = len(log)
		v.clock.observe(read(v))
	}
	leader, term := vms[0], uint64(1)
	// What the log's time is set back by a change of leader: the time for which the
	// new leader hadn't seen the newest entry.
	var lost time.Duration
	setBacks := map[int]time.Duration{} // by the number of entries before the change
	leader.clock.lead(term, read(leader))
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for range steps {
		v := rapid.SampledFrom(vms).Draw(t, "vm")
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0:
			v.offset = time.Duration(rapid.SampledFrom([]int64{0, 1, -1, 40, -40, 1e6, -1e6, 1e9, -1e9}).Draw(t, "jump")) * time.Second
		case 1: // another leader, which applies the whole log first
			leader, term = v, term+1
			catchUp(v)
			if len(log) > 0 {
				// Entries hold whole milliseconds, so that a part of one is lost as well.
				lost += v.started + v.clock.seen.elapsed - log[len(log)-1].at + time.Millisecond
			}
			setBacks[len(log)] = lost
			leader.clock.lead(term, read(leader))
		case 2: // a restarted VM replays the log
			if v != leader {
				*v = clockVM{offset: v.offset, started: now}
			}
		case 3, 4, 5:
			pass(time.Duration(rapid.IntRange(1, 3_000).Draw(t, "ms")) * time.Millisecond)
		case 6: // a reading that another one overtakes
			late := read(leader)
			pass(observeLag)
			leader.clock.stamp(read(leader))
			leader.clock.stamp(late)
		default:
			at := leader.clock.stamp(read(leader)).Truncate(time.Millisecond)
			if len(log) > 0 {
				at = max(at, log[len(log)-1].log) // as the ledger does
			}
			log = append(log, stamped{at: now, log: at})
			for _, v := range vms {
				if v == leader || rapid.Bool().Draw(t, "applied") {
					catchUp(v)
				}
			}
		}
	}
	for i := range log {
		setBacks[i+1] = max(setBacks[i+1], setBacks[i])
	}
	for i, first := range log {
		for k, last := range log[i+1:] {
			passed, logged := last.at-first.at, last.log-first.log
			require.LessOrEqual(t, logged, passed+passed/maxSlew+time.Millisecond, "the log's time runs ahead")
			back := setBacks[i+1+k] - setBacks[i]
			require.GreaterOrEqual(t, logged, passed-passed/maxSlew-back-time.Millisecond, "the log's time stands")
		}
	}
}
