package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// log feeds commands to a ledger and numbers them.
type log struct {
	t      require.TestingT
	ledger *ledger.Ledger
	index  uint64
	nowMS  int64
}

func newLog(t require.TestingT, o ledger.Options) *log {
	return &log{t: t, ledger: ledger.New(o), nowMS: 1_000_000}
}

func (l *log) apply(c *wire.Command) *wire.Result {
	c.AtMs = l.nowMS
	data, err := proto.Marshal(c)
	require.NoError(l.t, err)
	l.index++
	return l.ledger.Apply(l.index, data).(*wire.Result)
}

func (l *log) manifest(base uint64, change, operator, text string) *wire.Result {
	return l.apply(&wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{BaseRevision: base, ChangeId: change, Operator: operator, Manifest: []byte(text)}}})
}

func (l *log) claim(order, body, attempt string) *wire.Result {
	return l.apply(&wire.Command{Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{Customer: "depot-milford", OrderId: order, BodyHash: []byte(body), Attempt: attempt, Agent: "agent-1", Incarnation: "inc-1", Entry: "entry-1", DeadlineMs: l.nowMS + 2000}}})
}

func (l *log) outcome(order, attempt string, s wire.OrderState, result string) *wire.Result {
	return l.apply(&wire.Command{Kind: &wire.Command_RecordOutcome{RecordOutcome: &wire.RecordOutcome{Customer: "depot-milford", OrderId: order, Attempt: attempt, State: s, Result: []byte(result)}}})
}

// Guards against a resend that's answered by the present state, and against a
// conflict that leaves the operator in the dark about who won.
func TestManifestAnswersAreKept(t *testing.T) {
	l := newLog(t, ledger.Options{})
	first := l.manifest(0, "c1", "rhys", "one")
	require.Empty(t, first.GetRefusal())
	require.EqualValues(t, 1, first.GetRevision())

	lost := l.manifest(0, "c2", "sioned", "two")
	require.Equal(t, ledger.RefusedConflict, lost.GetRefusal())
	require.Equal(t, "rhys", lost.GetWinner())
	require.EqualValues(t, 1, lost.GetRevision())
	require.Equal(t, "The change is based on revision 0, but rhys has since set revision 1.", lost.GetDetail())

	require.EqualValues(t, 2, l.manifest(1, "c3", "sioned", "two").GetRevision())
	for want, again := range map[*wire.Result]*wire.Result{
		first: l.manifest(0, "c1", "rhys", "one"),
		lost:  l.manifest(0, "c2", "sioned", "two"),
	} {
		require.True(t, again.GetRepeated())
		again.Repeated = false
		require.True(t, proto.Equal(want, again))
	}
	require.Equal(t, ledger.RefusedChangeReused, l.manifest(2, "c1", "rhys", "other").GetRefusal())
	require.Equal(t, ledger.RefusedUnknownBase, l.manifest(9, "c4", "rhys", "other").GetRefusal())
	newest, ok := l.ledger.Manifest(0)
	require.True(t, ok)
	require.Equal(t, "two", string(newest.GetManifest()))
	require.EqualValues(t, 2, l.ledger.Revision())
}
