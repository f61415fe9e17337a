package origin

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// voter is a control VM of the model below.
type voter struct {
	register *Register
	started  time.Time
	down     bool
}

// Guards against a stream that is taken to have begun at another version than it did, for any order
// of records, restarts and cuts of control VMs as long as each record was stored by a majority, and
// against a stream that is unknown although a majority has kept all records.
func TestJudgeFindsTheVersionThatBegan(t *testing.T) {
	const window = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		versions := NewVersions()
		voters := make([]*voter, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters"))
		for i := range voters {
			voters[i] = &voter{register: NewRegister(1000), started: now}
			voters[i].register.SetComplete(time.Time{})
		}
		up := func() (list []*voter) {
			for _, v := range voters {
				if !v.down {
					list = append(list, v)
				}
			}
			return list
		}
		versions.Add("s", "v1")
		begun, begunAt := map[Stream]string{}, map[Stream]time.Time{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "later ms")) * time.Millisecond)
			v := voters[rapid.IntRange(0, len(voters)-1).Draw(t, "voter")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				v.down = !v.down
			case 1: // it restarts without what it held, and gets it from a majority of the others
				*v = voter{register: NewRegister(1000), started: now}
				var since time.Time
				sources := 0
				for _, other := range up() {
					at, complete := other.register.CompleteSince()
					if other == v || !complete {
						continue
					}
					sources++
					since = later(since, at)
					for _, r := range other.register.Records(now) {
						v.register.Record(r, now)
					}
				}
				if 2*sources <= len(voters) {
					since = now
				}
				v.register.SetComplete(since)
			default: // a stream begins, after an attempt elsewhere
				if 2*len(up()) <= len(voters) {
					continue
				}
				s, software := StreamOf("c", fmt.Sprint(step)), rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "software")
				versions.Add("s", software)
				attempt := uint32(1)
				if rapid.Bool().Draw(t, "second attempt") {
					up()[0].register.Record(NewRecord(s, "s", "v2", 1, window), now)
					attempt = 2
				}
				if software != "v1" || attempt == 2 {
					for _, v := range up()[:len(voters)/2+1] {
						v.register.Record(NewRecord(s, "s", software, attempt, window), now)
					}
				}
				begun[s], begunAt[s] = software, now
			}
		}
		for s, software := range begun {
			if now.Sub(begunAt[s]) >= window {
				continue // it can't be taken up any more
			}
			var answers []Answer
			for _, v := range up() {
				a := Answer{Complete: v.register.CompleteFor(window, now), Versions: versions.Of("s"), Confirmed: 2*len(up()) > len(voters), Voter: true, Voters: len(voters)}
				a.Record, a.HasRecord = v.register.Find(s, now)
				answers = append(answers, a)
			}
			complete := 0
			for _, a := range answers {
				if a.Complete {
					complete++
				}
			}
			majority := 2*complete > len(voters)
			switch f := Judge(answers, true).(type) {
			case Recorded:
				if majority {
					require.Equal(t, software, f.Software)
				}
			case First:
				require.Equal(t, software, f.Software)
			case Only:
				require.Equal(t, software, f.Software)
			default:
				require.False(t, majority, "unknown although a majority has all records: %v", f)
			}
		}
	})
}

// Guards against a register that grows without bound, and against one that says that it has missed
// nothing after it has dropped a record.
func TestRegisterIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := NewRegister(10)
	r.SetComplete(time.Time{})
	for i := range 10 {
		r.Record(NewRecord(Stream(i), "s", "v2", 1, time.Minute), now)
	}
	require.True(t, r.CompleteFor(time.Hour, now))
	r.Record(NewRecord(10, "s", "v2", 1, time.Minute), now)
	require.Equal(t, 10, r.Len())
	require.False(t, r.CompleteFor(time.Second, now))
	later := now.Add(2 * time.Minute)
	r.Record(NewRecord(11, "s", "v2", 1, time.Minute), later)
	require.Equal(t, 1, r.Len(), "expired records are dropped")
	require.True(t, r.CompleteFor(time.Minute, later))
}

// Guards against versions that are forgotten while streams of theirs may be taken up, and against a
// first version that changes while there are others, because streams at it have no records.
func TestFirstVersionStays(t *testing.T) {
	v := NewVersions()
	require.True(t, v.Add("s", "v1"))
	require.False(t, v.Remove("s", "v1"), "the last one")
	require.True(t, v.Add("s", "v2"))
	require.True(t, v.Remove("s", "v1"))
	require.Equal(t, ServiceVersions{First: "v1", Active: []string{"v2"}}, v.Of("s"))
	require.True(t, v.Add("s", "v1"))
	require.Equal(t, ServiceVersions{First: "v1", Active: []string{"v1", "v2"}}, v.Of("s"))
	restored := RestoreVersions(v.Revision(), v.All())
	require.Equal(t, v, restored)
	require.False(t, v.SetFirst("s", "v2"), "not the only one")
	require.True(t, v.Remove("s", "v1"))
	require.True(t, v.SetFirst("s", "v2"))
	require.Equal(t, ServiceVersions{First: "v2", Active: []string{"v2"}}, v.Of("s"))
	for i := range maxVersions {
		v.Add("s", fmt.Sprint(i))
	}
	require.False(t, v.Add("s", "one too many"))
}

// BenchmarkRegister holds the records of the target size: 2,400 streams a second for 50 s.
func BenchmarkRegister(b *testing.B) {
	const records = 120_000
	now := time.Unix(1_800_000_000, 0)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := NewRegister(300_000)
		for i := range records {
			r.Record(NewRecord(Stream(uint64(i)*0x9e3779b97f4a7c15), "s", "v2", 1, time.Hour), now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "bytes/record")
		runtime.KeepAlive(r)
	}
}
