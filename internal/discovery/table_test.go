package discovery

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/wire"
)

var epochStart = time.Unix(1000, 0)

func record(id, address string, born int64, sequence uint64, state wire.TargetState) *wire.RegisteredTarget {
	return &wire.RegisteredTarget{Id: id, Service: "s", Address: address, FailureDomain: "d", Slots: 1, State: state, BornMs: born, Sequence: sequence}
}

const (
	ready    = wire.TargetState_TARGET_STATE_READY
	draining = wire.TargetState_TARGET_STATE_DRAINING
	gone     = wire.TargetState_TARGET_STATE_GONE
)

func liveIDs(t *Table, now time.Time) []string {
	var ids []string
	for _, l := range t.Live("s", now) {
		ids = append(ids, l.Record().GetId()+"/"+l.Record().GetState().String())
	}
	return ids
}

// Guards against a late announcement that restores a target that has left, or that hides
// the target now running at the same address.
func TestLateAnnouncementRevivesNothing(t *testing.T) {
	table := NewTable(Options{HeartbeatTimeout: time.Minute})
	table.Announce(record("a", "x:1", 10, 5, ready), epochStart)
	table.Leave("a", 0, epochStart)
	require.Empty(t, liveIDs(table, epochStart))
	table.Announce(record("a", "x:1", 10, 6, ready), epochStart)
	require.Empty(t, liveIDs(table, epochStart), "the same incarnation after it left")
	table.Announce(record("b", "x:1", 20, 1, ready), epochStart)
	table.Announce(record("c", "x:1", 15, 9, ready), epochStart)
	require.Equal(t, []string{"b/TARGET_STATE_READY"}, liveIDs(table, epochStart), "an older incarnation at the address")
	table.Announce(record("a", "y:1", 30, 1, ready), epochStart)
	require.Len(t, liveIDs(table, epochStart), 2, "the same ID after a restart")
}

// Guards against a target that left and is still used, because it told a control VM that has
// restarted and doesn't know it, and against the end of an incarnation that follows it.
func TestTargetLeavesThroughARestartedVM(t *testing.T) {
	gateway, restarted := NewTable(Options{HeartbeatTimeout: time.Minute}), NewTable(Options{HeartbeatTimeout: time.Minute})
	gateway.Merge(&wire.WatchResponse{Targets: []*wire.RegisteredTarget{record("a", "x:1", 10, 5, ready)}}, epochStart)
	now := epochStart.Add(3 * time.Second)
	require.True(t, restarted.Leave("a", 0, now))
	left := restarted.ChangesSince("", 0, now)
	gateway.Merge(left, now)
	require.Empty(t, liveIDs(gateway, now))
	gateway.Merge(&wire.WatchResponse{Targets: []*wire.RegisteredTarget{record("a", "x:1", 10, 6, ready)}}, now)
	require.Empty(t, liveIDs(gateway, now), "a late announcement of the incarnation that left")
	gateway.Merge(&wire.WatchResponse{Targets: []*wire.RegisteredTarget{record("a", "x:1", 20, 1, ready)}}, now)
	gateway.Merge(left, now.Add(time.Second))
	require.Len(t, liveIDs(gateway, now), 1, "the next incarnation, and the end once more")
}

// Guards against an announcement with an older sequence that makes a draining target ready
// again.
func TestOlderSequenceIsIgnored(t *testing.T) {
	table := NewTable(Options{HeartbeatTimeout: time.Minute})
	table.Announce(record("a", "x:1", 10, 7, draining), epochStart)
	require.False(t, table.Announce(record("a", "x:1", 10, 6, ready), epochStart))
	require.Equal(t, []string{"a/TARGET_STATE_DRAINING"}, liveIDs(table, epochStart))
}

// Guards against watchers that disagree about the targets because they received the same
// announcements in a different order or more than once.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *wire.RegisteredTarget {
			return record(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id"), rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(rt, "address"),
				rapid.Int64Range(1, 3).Draw(rt, "born"), rapid.Uint64Range(1, 4).Draw(rt, "sequence"), rapid.SampledFrom([]wire.TargetState{ready, draining, gone}).Draw(rt, "state"))
		}), 1, 12).Draw(rt, "records")
		// An incarnation sends one record per sequence and starts at one address.
		byKey := map[[3]any]*wire.RegisteredTarget{}
		var records []*wire.RegisteredTarget
		for _, r := range drawn {
			key := [3]any{r.GetId(), r.GetBornMs(), r.GetSequence()}
			if byKey[key] == nil {
				byKey[key] = r
			}
			records = append(records, byKey[key])
		}
		one, other := NewTable(Options{HeartbeatTimeout: time.Minute}), NewTable(Options{HeartbeatTimeout: time.Minute})
		for _, r := range records {
			one.Announce(r, epochStart)
		}
		for _, i := range rapid.Permutation(indexes(len(records))).Draw(rt, "order") {
			other.Merge(&wire.WatchResponse{Targets: []*wire.RegisteredTarget{records[i]}}, epochStart)
		}
		for id, e := range one.entries {
			o := other.entries[id].record
			require.Equal(rt, e.record.GetBornMs(), o.GetBornMs())
			require.Equal(rt, isGone(e.record), isGone(o))
			if !isGone(o) {
				require.Equal(rt, e.record.GetSequence(), o.GetSequence())
			}
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against watchers that miss a change, or that receive the full list again.
func TestSinceSendsOnlyChanges(t *testing.T) {
	table := NewTable(Options{HeartbeatTimeout: time.Minute})
	table.Announce(record("a", "x:1", 10, 1, ready), epochStart)
	first := table.ChangesSince("", 0, epochStart)
	require.True(t, first.GetFull())
	require.Len(t, first.GetTargets(), 1)
	table.Announce(record("a", "x:1", 10, 2, ready), epochStart.Add(time.Second))
	next := table.ChangesSince(first.GetEpoch(), first.GetVersion(), epochStart.Add(time.Second))
	table.AddHeard(next, wire.HeardFormat_HEARD_FORMAT_NAMES, epochStart.Add(time.Second))
	require.Empty(t, next.GetTargets(), "only the sequence changed")
	require.Equal(t, []string{"a"}, next.GetHeard())
	table.Announce(record("a", "x:1", 10, 3, draining), epochStart.Add(time.Second))
	require.Len(t, table.ChangesSince(first.GetEpoch(), first.GetVersion(), epochStart.Add(time.Second)).GetTargets(), 1)
	require.True(t, table.ChangesSince("another", 99, epochStart.Add(time.Second)).GetFull())
}

// Guards against a watcher that misses a change, or a target that left, because obsolete
// changes are removed, and against their number, which would grow with the changes.
func TestWatcherHasAllChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable(Options{HeartbeatTimeout: time.Minute})
		follower := NewTable(Options{HeartbeatTimeout: time.Minute})
		epoch, version := "", uint64(0)
		now, born := epochStart, int64(1) // a target that left starts again as another incarnation
		for i := range rapid.IntRange(1, 400).Draw(rt, "changes") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "id")
			state := rapid.SampledFrom([]wire.TargetState{ready, draining}).Draw(rt, "state")
			switch rapid.IntRange(0, 9).Draw(rt, "kind") {
			case 0:
				table.Leave(id, 0, now)
				born++
			case 1:
				born++
				now = now.Add(goneRetention / 2)
				table.Expire(now)
			default:
				table.Announce(record(id, id+":1", born, uint64(i), state), now)
			}
			if rapid.IntRange(0, 3).Draw(rt, "watch") == 0 {
				w := table.ChangesSince(epoch, version, now)
				epoch, version = w.GetEpoch(), w.GetVersion()
				follower.Merge(w, now)
				for id, e := range table.entries {
					other := follower.entries[id].record
					require.True(rt, sameState(e.record, other) || isGone(e.record) && isGone(other), "%s and %s", e.record, other)
				}
			}
			require.LessOrEqual(rt, len(table.changes), maxObsolete+2*len(table.entries)+1)
		}
	})
}

// Guards against a crashed target that remains selectable without being marked silent.
func TestSilentTargetIsMarked(t *testing.T) {
	table := NewTable(Options{HeartbeatTimeout: 6 * time.Second})
	table.Announce(record("a", "x:1", 10, 1, ready), epochStart)
	require.False(t, table.Live("s", epochStart.Add(5*time.Second))[0].Silent())
	require.True(t, table.Live("s", epochStart.Add(7*time.Second))[0].Silent())
	table.Merge(&wire.WatchResponse{Heard: []string{"a"}}, epochStart.Add(7*time.Second))
	require.False(t, table.Live("s", epochStart.Add(8*time.Second))[0].Silent(), "another control VM receives its announcements")
}

// Guards against an incarnation that is used although it said in an answer that it leaves, or
// before the end of a pause, whatever is announced, merged and dropped in between.
func TestNoticesHoldUntilTheNextIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, now := NewTable(Options{HeartbeatTimeout: time.Minute}), epochStart
		said := map[incarnation]standing{}
		// Later than all answers, so that none can be one of the next incarnation.
		born := func(rt *rapid.T) int64 {
			return epochStart.AddDate(0, 0, rapid.IntRange(1, 3).Draw(rt, "born")).UnixMilli()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"announce": func(rt *rapid.T) {
				r := record(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "id"), "", born(rt),
					rapid.Uint64Range(1, 9).Draw(rt, "sequence"), rapid.SampledFrom([]wire.TargetState{ready, ready, draining, gone}).Draw(rt, "state"))
				r.Address = r.GetId() + ":1"
				table.Announce(r, now)
			},
			"answer": func(rt *rapid.T) {
				key := incarnation{id: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "id"), bornMs: born(rt)}
				n := NewNotice(rapid.Bool().Draw(rt, "leaving"), time.Duration(rapid.IntRange(0, 5).Draw(rt, "pause"))*time.Second)
				table.RecordNotice(key.id, key.bornMs, n, now)
				s := said[key]
				s.leaving = s.leaving || n.Leaving()
				if until := now.Add(n.Pause()); until.After(s.pausedUntil) {
					s.pausedUntil = until
				}
				said[key] = s
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
				table.Expire(now)
			},
			"": func(rt *rapid.T) {
				for _, l := range table.Live("s", now) {
					s := said[incarnation{id: l.Record().GetId(), bornMs: l.Record().GetBornMs()}]
					if s.leaving && !l.Leaving() || s.pausedUntil.After(now) && !l.PausedUntil().Equal(s.pausedUntil) {
						rt.Fatalf("%v is used: said %+v", l.Record(), s)
					}
				}
			},
		})
	})
}

// Guards against watchers that don't hear that a target has turned cold, in the middle of its life
// as well, or that hear an old time: announcements arrive late and in any order, three processes
// pass records on, and full answers follow minutes later.
func TestColdTimeTravels(t *testing.T) {
	const tolerance, heartbeat, hops = 2 * time.Second, 1200 * time.Millisecond, 3
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		maxDelay := rapid.SampledFrom([]time.Duration{0, 400 * time.Millisecond, 3 * time.Second}).Draw(rt, "delay")
		type arrival struct {
			at time.Time
			r  *wire.RegisteredTarget
		}
		var tables [hops]*Table
		var epochs [hops]string
		var versions [hops]uint64
		for i := range tables {
			tables[i] = NewTable(Options{HeartbeatTimeout: time.Minute})
		}
		var arrivals []arrival
		end := epochStart.Add(10 * time.Second) // of the cold time, by the target
		turnsAt := epochStart.Add(time.Duration(20+random.IntN(40)) * time.Second)
		sequence, changes := uint64(0), 0
		for now := epochStart; now.Before(epochStart.Add(2 * time.Minute)); now = now.Add(100 * time.Millisecond) {
			if now.Equal(turnsAt) {
				end = now.Add(30 * time.Second)
			}
			if now.Sub(epochStart)%heartbeat == 0 {
				sequence++
				r := record("a", "x:1", 10, sequence, ready)
				r.WarmUpMs = uint32(max(end.Sub(now), 0).Milliseconds())
				arrivals = append(arrivals, arrival{now.Add(time.Duration(random.Int64N(int64(maxDelay + 1)))), r})
			}
			arrivals = slices.DeleteFunc(arrivals, func(a arrival) bool {
				if a.at.After(now) {
					return false
				}
				said := a.r.GetWarmUpMs()
				if tables[0].Announce(a.r, now) {
					changes++
				}
				require.Equal(rt, said, a.r.GetWarmUpMs(), "a shared record")
				return true
			})
			for i := 1; i < hops; i++ {
				if random.IntN(400) == 0 {
					epochs[i] = "" // the watcher gets a full answer
				}
				if random.IntN(3) > 0 {
					w := tables[i-1].ChangesSince(epochs[i], versions[i], now)
					epochs[i], versions[i] = w.GetEpoch(), w.GetVersion()
					tables[i].Merge(w, now)
				}
			}
			if now.Sub(epochStart) < 5*time.Second || now.Sub(turnsAt).Abs() < heartbeat+maxDelay+time.Second && !now.Before(turnsAt) {
				continue
			}
			for i, table := range tables {
				until := table.Live("s", now)[0].ColdUntil()
				if end.After(now) {
					require.False(rt, until.Before(end.Add(-coldTolerance)), "process %d: %v too early", i, end.Sub(until))
				}
				if late := until.Sub(end); until.After(now) {
					require.LessOrEqual(rt, late, maxDelay+tolerance, "process %d", i)
				}
			}
		}
		if maxDelay < coldTolerance {
			require.LessOrEqual(rt, changes, 2, "the passing of time is no change")
		}
	})
}

// Guards against an announcement that was made before a time, and arrives or is listed after it,
// which counts as news of the target's state since then.
func TestAnnouncedSince(t *testing.T) {
	table, now := NewTable(Options{HeartbeatTimeout: 6 * time.Second}), epochStart.Add(time.Minute)
	table.Merge(&wire.WatchResponse{Targets: []*wire.RegisteredTarget{record("a", "x:1", 10, 1, ready)}}, epochStart)
	require.False(t, table.Live("s", now)[0].AnnouncedSince(epochStart), "a record may be old")
	table.Merge(&wire.WatchResponse{Heard: []string{"a"}}, now)
	require.False(t, table.Live("s", now)[0].AnnouncedSince(now.Add(-table.heardWindow())))
	require.True(t, table.Live("s", now)[0].AnnouncedSince(now.Add(-table.heardWindow()-maxAnnouncementDelay-time.Millisecond)))
	table.Merge(&wire.WatchResponse{Targets: []*wire.RegisteredTarget{record("a", "x:1", 20, 1, ready)}}, now)
	require.False(t, table.Live("s", now)[0].AnnouncedSince(epochStart), "another incarnation")
}

// Guards against a target that gets requests although it has asked for a pause, because it had started
// again and said so before its first announcement arrived. A pause of the process before doesn't
// count any more, nor that it left, whatever the target's clock says.
func TestPauseBeforeTheFirstAnnouncementHolds(t *testing.T) {
	start, restart := epochStart, epochStart.Add(time.Minute)
	for name, c := range map[string]struct {
		pausedAt, leavingAt time.Time
		clockBehind         time.Duration
		paused              bool
	}{
		"said before the restart":      {pausedAt: restart.Add(-3 * time.Second), leavingAt: restart.Add(-3 * time.Second)},
		"said after the restart":       {pausedAt: restart.Add(time.Second), paused: true},
		"leaving before, pause after":  {pausedAt: restart.Add(time.Second), leavingAt: restart.Add(-3 * time.Second), paused: true},
		"the target's clock is ahead":  {pausedAt: restart.Add(-500 * time.Millisecond), paused: true},
		"the target's clock is behind": {leavingAt: restart.Add(-time.Second), clockBehind: 20 * time.Second},
		"nothing was said":             {},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Options{HeartbeatTimeout: time.Minute})
			born := start.UnixMilli()
			table.Announce(record("a", "x:1", born, 1, ready), start)
			for at := start; !at.After(restart.Add(2 * time.Second)); at = at.Add(500 * time.Millisecond) {
				if at.Equal(c.pausedAt) {
					table.RecordNotice("a", born, NewNotice(false, 30*time.Second), at)
				}
				if at.Equal(c.leavingAt) {
					table.RecordNotice("a", born, NewNotice(true, 0), at)
				}
			}
			now := restart.Add(4 * time.Second)
			table.Merge(&wire.WatchResponse{Targets: []*wire.RegisteredTarget{record("a", "x:1", restart.Add(-c.clockBehind).UnixMilli(), 1, ready)}}, now)
			live := table.Live("s", now)[0]
			require.False(t, live.Leaving())
			require.Equal(t, c.paused, live.PausedUntil().After(now))
			if c.paused {
				require.Equal(t, c.pausedAt.Add(30*time.Second).Sub(now), table.PauseLeft("a", now))
			}
		})
	}
}
