package ledger_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// testLog applies commands to a ledger with increasing indexes.
type testLog struct {
	t      require.TestingT
	ledger *ledger.Ledger
	index  uint64
	nowMS  int64
}

func newTestLog(t require.TestingT, o ledger.Options) *testLog {
	return &testLog{t: t, ledger: ledger.New(o), nowMS: 1_000_000}
}

func (l *testLog) apply(c *wire.Command) *wire.Result {
	c.AtMs = l.nowMS
	data, err := proto.Marshal(c)
	require.NoError(l.t, err)
	l.index++
	return l.ledger.Apply(l.index, data).(*wire.Result)
}

func (l *testLog) manifest(base uint64, change, operator, text string) *wire.Result {
	return l.apply(&wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{BaseRevision: base, ChangeId: change, Operator: operator, Manifest: []byte(text)}}})
}

func (l *testLog) claim(order, body, attempt string) *wire.Result {
	return l.apply(&wire.Command{Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{Customer: "depot-milford", OrderId: order, BodyHash: []byte(body), Attempt: attempt, Agent: "agent-1", Incarnation: "inc-1", Entry: "entry-1", DeadlineMs: l.nowMS + 2000}}})
}

func (l *testLog) outcome(order, attempt string, s wire.OrderState, result string) *wire.Result {
	return l.apply(&wire.Command{Kind: &wire.Command_RecordOutcome{RecordOutcome: &wire.RecordOutcome{Customer: "depot-milford", OrderId: order, Attempt: attempt, State: s, Result: []byte(result)}}})
}

// Guards against a retried change whose result depends on the current state, and
// against a conflict that doesn't report which operator's change was accepted.
func TestManifestResultsAreRetained(t *testing.T) {
	l := newTestLog(t, ledger.Options{})
	first := l.manifest(0, "c1", "rhys", "one")
	require.Empty(t, first.GetRefusal())
	require.EqualValues(t, 1, first.GetRevision())

	conflict := l.manifest(0, "c2", "sioned", "two")
	require.Equal(t, ledger.RefusedConflict, conflict.GetRefusal())
	require.Equal(t, "rhys", conflict.GetWinner())
	require.EqualValues(t, 1, conflict.GetRevision())
	require.Equal(t, "The change is based on revision 0, but rhys has since set revision 1.", conflict.GetDetail())

	require.EqualValues(t, 2, l.manifest(1, "c3", "sioned", "two").GetRevision())
	for want, repeated := range map[*wire.Result]*wire.Result{
		first:    l.manifest(0, "c1", "rhys", "one"),
		conflict: l.manifest(0, "c2", "sioned", "two"),
	} {
		require.True(t, repeated.GetRepeated())
		repeated.Repeated = false
		require.True(t, proto.Equal(want, repeated))
	}
	require.Equal(t, ledger.RefusedChangeReused, l.manifest(2, "c1", "rhys", "other").GetRefusal())
	require.Equal(t, ledger.RefusedUnknownBase, l.manifest(9, "c4", "rhys", "other").GetRefusal())
	newest, ok := l.ledger.Manifest(0)
	require.True(t, ok)
	require.Equal(t, "two", string(newest.GetManifest()))
	require.EqualValues(t, 2, l.ledger.Revision())
}

func (l *testLog) settle(order, operator string, s wire.OrderState) *wire.Result {
	return l.apply(&wire.Command{Kind: &wire.Command_SettleOrder{SettleOrder: &wire.SettleOrder{Customer: "depot-milford", OrderId: order, State: s, Operator: operator, Reason: "checked at the berth"}}})
}

// Guards against violations of the order rules: who may claim an order, who may
// resolve it, and which events are recorded.
func TestOrderEvents(t *testing.T) {
	l := newTestLog(t, ledger.Options{})
	require.Empty(t, l.claim("r17", "body", "a1").GetRefusal())
	require.True(t, l.claim("r17", "body", "a1").GetRepeated())
	require.Equal(t, ledger.RefusedBodyMismatch, l.claim("r17", "other", "a2").GetRefusal())
	exists := l.claim("r17", "body", "a2")
	require.Equal(t, ledger.RefusedOrderExists, exists.GetRefusal())
	require.Equal(t, "a1", exists.GetOrder().GetAttempt())
	require.Equal(t, "Order r17 of depot-milford is already recorded: claimed (attempt a1 at agent-1).", exists.GetDetail())
	require.Equal(t, ledger.RefusedOrderInProgress, l.settle("r17", "rhys", done).GetRefusal())
	require.Empty(t, l.ledger.Unsettled(10))

	l.nowMS += 2001
	l.manifest(0, "c1", "rhys", "any command advances the log time")
	require.Len(t, l.ledger.Unsettled(10), 1, "an operator has to resolve a claim past its deadline")
	require.Equal(t, ledger.RefusedAttemptMismatch, l.outcome("r17", "a2", notRun, "").GetRefusal())
	require.Empty(t, l.outcome("r17", "a1", notRun, "").GetRefusal())
	require.Equal(t, ledger.RefusedAttemptUsed, l.claim("r17", "body", "a1").GetRefusal())
	require.Empty(t, l.claim("r17", "body", "a2").GetRefusal())
	require.Empty(t, l.outcome("r17", "a2", unknown, "").GetRefusal())
	require.Len(t, l.ledger.Unsettled(10), 1)
	require.Empty(t, l.settle("r17", "rhys", done).GetRefusal())
	require.True(t, l.settle("r17", "rhys", done).GetRepeated())
	late := l.outcome("r17", "a2", notRun, "")
	require.Equal(t, ledger.RefusedOrderSettled, late.GetRefusal())
	require.Equal(t, "Order r17 of depot-milford was already recorded as done by rhys, which is final.", late.GetDetail())

	r, ok := l.ledger.Order("depot-milford", "r17")
	require.True(t, ok)
	var timeline []string
	for _, e := range r.GetEvents() {
		timeline = append(timeline, e.GetText())
	}
	require.Equal(t, []string{
		"Claimed by entry-1 for attempt a1 at agent-1.",
		"Attempt a1 was recorded as not run.",
		"Claimed by entry-1 for attempt a2 at agent-1.",
		"Attempt a2 was recorded as unknown.",
		"rhys settled the order as done (checked at the berth).",
	}, timeline)
	require.Empty(t, l.ledger.Unsettled(10))
	require.Equal(t, 0, l.ledger.Counts().Unresolved())
}

// Guards against a view that changes when later commands are applied, and against
// leaked pages and conflict records in the table when most orders expire.
func TestViewIsUnaffectedByLaterCommands(t *testing.T) {
	const total = 2000
	l := newTestLog(t, ledger.Options{})
	for i := range total {
		l.nowMS++
		order := fmt.Sprintf("o%d", i)
		l.claim(order, "body", "a1")
		if i%100 != 0 {
			l.outcome(order, "a1", done, "ok")
		}
	}
	before, err := l.ledger.Snapshot()
	require.NoError(t, err)
	view := l.ledger.View()
	var data []byte
	marshalled := make(chan struct{})
	go func() {
		defer close(marshalled)
		data, err = view.Marshal()
	}()
	expired := l.apply(&wire.Command{Kind: &wire.Command_Expire{Expire: &wire.Expire{BeforeMs: l.nowMS + 1000, Max: total}}})
	// The newest order was settled at the current log time and isn't removed.
	require.EqualValues(t, total-total/100-1, expired.GetExpired())
	l.claim("o0", "body", "a1")
	l.outcome("o0", "a1", done, "ok")
	<-marshalled
	require.NoError(t, err)
	require.True(t, bytes.Equal(before, data), "a view changed after it was taken")
	require.Equal(t, total/100+1, l.ledger.Counts().Orders())
	for i := 100; i < total; i += 100 {
		r, ok := l.ledger.Order("depot-milford", fmt.Sprintf("o%d", i))
		require.True(t, ok)
		require.Equal(t, claimed, r.GetState())
	}
	restored := ledger.New(ledger.Options{})
	require.NoError(t, restored.Restore(view.Index(), before))
	require.Equal(t, total, restored.Counts().Orders())
	require.Error(t, restored.Restore(view.Index(), before[:len(before)-1]), "a truncated snapshot was accepted")
	require.Equal(t, total, restored.Counts().Orders(), "a failed restore changed the state")
}

// Guards against unbounded memory for the history of large manifests, and against
// losing the newest revision.
func TestHistoryIsBounded(t *testing.T) {
	l := newTestLog(t, ledger.Options{MaxRevisions: 4, MaxManifestBytes: 2000})
	for i := range uint64(6) {
		l.manifest(i, fmt.Sprintf("c%d", i), "rhys", strings.Repeat("x", 900))
	}
	history := l.ledger.History(10)
	require.Len(t, history, 4)
	for i, r := range history {
		require.EqualValues(t, 6-i, r.GetRevision())
		require.Equal(t, i < 2, len(r.GetManifest()) > 0)
	}
	_, ok := l.ledger.Manifest(2)
	require.False(t, ok)
	oldest, ok := l.ledger.Manifest(3)
	require.True(t, ok)
	require.Equal(t, "rhys", oldest.GetOperator())
}

// Guards against a log entry that makes every replica panic: Apply returns a result
// for any input, and the state can be restored.
func FuzzApply(f *testing.F) {
	for _, c := range []*wire.Command{
		{AtMs: 5, Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{Customer: "c", OrderId: "o", Attempt: "a", Agent: "g", Incarnation: "i"}}},
		{AtMs: -1, Kind: &wire.Command_SubmitWaiting{SubmitWaiting: &wire.SubmitWaiting{Id: "w", Customer: "c", Pipeline: "p", SubmissionId: "s"}}},
		{AtMs: 1 << 62, Kind: &wire.Command_LeaseWaiting{LeaseWaiting: &wire.LeaseWaiting{Entry: "e", Max: 9, LeaseMs: 1 << 62}}},
	} {
		data, err := proto.Marshal(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		l := ledger.New(smallOptions)
		for index := range uint64(3) {
			require.NotNil(t, l.Apply(index+1, data).(*wire.Result))
		}
		before, err := l.Snapshot()
		require.NoError(t, err)
		restored := ledger.New(smallOptions)
		require.NoError(t, restored.Restore(3, before))
		after, err := restored.Snapshot()
		require.NoError(t, err)
		require.Equal(t, before, after)
	})
}
