package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// logEntry is a log entry with the real time at which it was stamped.
type logEntry struct{ stampedAt, logTime time.Duration }

// clockVM is a VM whose wall clock may have any offset.
type clockVM struct {
	clock   logClock
	offset  time.Duration // of the wall clock
	started time.Duration
	applied int // number of applied entries
}

const (
	testEpoch    = 1_800_000_000 * time.Second
	observeDelay = observeInterval
)

// Guards against a leader whose wall clock jumps forward or is behind and that expires
// leases or retained orders early, or stops the log's time, alone or alternating with
// leaders whose clocks are wrong in the other direction.
func TestLogTimeFollowsRealTime(t *testing.T) {
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	for seed := range 3 {
		require.NoError(t, flag.Set("rapid.seed", fmt.Sprint(seed+1)))
		t.Run(fmt.Sprint(seed), func(t *testing.T) { rapid.Check(t, checkLogClock) })
	}
}

func checkLogClock(t *rapid.T) {
	vms := []*clockVM{{}, {}, {}}
	var log []logEntry
	var now time.Duration // the real time
	read := func(v *clockVM) clockReading {
		r := clockReading{wall: testEpoch + now + v.offset, elapsed: now - v.started, index: uint64(v.applied)}
		if v.applied > 0 {
			r.logTime = log[v.applied-1].logTime
		}
		return r
	}
	advance := func(d time.Duration) {
		for end := now + d; now < end; {
			now += min(observeDelay, end-now)
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
	// The total time by which leader changes set the log's time back: for each change, the
	// time during which the new leader hadn't observed the newest entry.
	var totalSetBack time.Duration
	setBacks := map[int]time.Duration{} // by the number of entries before the change
	leader.clock.beginTerm(term, read(leader))
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for range steps {
		v := rapid.SampledFrom(vms).Draw(t, "vm")
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0:
			v.offset = time.Duration(rapid.SampledFrom([]int64{0, 1, -1, 40, -40, 1e6, -1e6, 1e9, -1e9}).Draw(t, "jump")) * time.Second
		case 1: // a new leader, which applies the complete log first
			leader, term = v, term+1
			catchUp(v)
			if len(log) > 0 {
				// Entries contain complete milliseconds, so a fraction of one is lost as
				// well.
				totalSetBack += v.started + v.clock.lastApplied.elapsed - log[len(log)-1].stampedAt + time.Millisecond
			}
			setBacks[len(log)] = totalSetBack
			leader.clock.beginTerm(term, read(leader))
		case 2: // a restarted VM replays the log
			if v != leader {
				*v = clockVM{offset: v.offset, started: now}
			}
		case 3, 4, 5:
			advance(time.Duration(rapid.IntRange(1, 3_000).Draw(t, "ms")) * time.Millisecond)
		case 6: // a reading that is used after a later one
			late := read(leader)
			advance(observeDelay)
			leader.clock.stamp(read(leader))
			leader.clock.stamp(late)
		default:
			at := leader.clock.stamp(read(leader)).Truncate(time.Millisecond)
			if len(log) > 0 {
				at = max(at, log[len(log)-1].logTime) // as the ledger does
			}
			log = append(log, logEntry{stampedAt: now, logTime: at})
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
			elapsed, logged := last.stampedAt-first.stampedAt, last.logTime-first.logTime
			require.LessOrEqual(t, logged, elapsed+elapsed/slewDivisor+time.Millisecond, "the log's time runs ahead")
			back := setBacks[i+1+k] - setBacks[i]
			require.GreaterOrEqual(t, logged, elapsed-elapsed/slewDivisor-back-time.Millisecond, "the log's time falls behind")
		}
	}
}
