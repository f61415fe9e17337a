package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/ledger"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// TestMain sets the seed and the number of runs of the property tests; flags override
// them. With 100 short runs, some deliberately disabled rules were not detected.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	claimed = wire.OrderState_ORDER_STATE_CLAIMED
	done    = wire.OrderState_ORDER_STATE_DONE
	notRun  = wire.OrderState_ORDER_STATE_NOT_RUN
	unknown = wire.OrderState_ORDER_STATE_UNKNOWN
	failed  = wire.OrderState_ORDER_STATE_FAILED

	accepted = wire.WaitingState_WAITING_STATE_ACCEPTED
	leased   = wire.WaitingState_WAITING_STATE_LEASED
	finished = wire.WaitingState_WAITING_STATE_DONE
)

var smallOptions = ledger.Options{MaxRevisions: 3, MaxChangeResults: 4, MaxEvents: 3}

// commandMachine applies random commands to two ledgers and compares them. The second ledger is
// occasionally replaced by a ledger that is restored from a snapshot.
type commandMachine struct {
	*testLog
	second   *ledger.Ledger
	commands []*wire.Command                // for retries
	running  map[string]string              // order to the attempt that may run
	changes  map[string]*wire.ApplyManifest // by change id
	results  map[string]*wire.Result        // first results by change id
	retained []string                       // change ids within the limit, oldest first
	accepted map[string]string              // submission to waiting id
	fences   map[string]uint64
	epoch    uint64
	last     *wire.LedgerSnapshot // state after the last command
}

func newMachine(t *rapid.T) *commandMachine {
	return &commandMachine{
		testLog:  newTestLog(t, smallOptions),
		second:   ledger.New(smallOptions),
		running:  map[string]string{},
		changes:  map[string]*wire.ApplyManifest{},
		results:  map[string]*wire.Result{},
		accepted: map[string]string{},
		fences:   map[string]uint64{},
		last:     &wire.LedgerSnapshot{},
	}
}

func (m *commandMachine) state(l *ledger.Ledger) *wire.LedgerSnapshot {
	data, err := l.Snapshot()
	require.NoError(m.t, err)
	s := &wire.LedgerSnapshot{}
	require.NoError(m.t, proto.Unmarshal(data, s))
	return s
}

// run applies a command to both ledgers and checks the changes of the state.
func (m *commandMachine) run(c *wire.Command) {
	before := m.last
	result := m.apply(c)
	data, err := proto.Marshal(c)
	require.NoError(m.t, err)
	require.True(m.t, proto.Equal(result, m.second.Apply(m.index, data).(*wire.Result)), "two replicas return different results")
	after := m.state(m.ledger)
	m.last = after
	require.GreaterOrEqual(m.t, after.GetAtMs(), before.GetAtMs(), "the log time went backwards")
	m.checkOrders(c, before, after)
	m.checkWaiting(c, result, before, after)
	m.checkEffect(c, result, before, after)
	m.checkResult(c, result)
}

func orders(s *wire.LedgerSnapshot) map[string]*wire.OrderRecord {
	out := map[string]*wire.OrderRecord{}
	for _, r := range s.GetOrders() {
		out[r.GetCustomer()+"/"+r.GetOrderId()] = r
	}
	return out
}

// checkOrders checks requirements P3 and P4: no order has two attempts that may both
// run, a final outcome never changes, and only final orders expire.
func (m *commandMachine) checkOrders(c *wire.Command, before, after *wire.LedgerSnapshot) {
	now := orders(after)
	for key, old := range orders(before) {
		r := now[key]
		switch {
		case r == nil:
			require.Contains(m.t, []wire.OrderState{done, failed, notRun}, old.GetState(), "an unresolved order was removed")
			require.Less(m.t, old.GetSettledMs(), c.GetExpire().GetBeforeMs())
			delete(m.running, key)
		case old.GetState() == done || old.GetState() == failed:
			require.True(m.t, proto.Equal(old, r), "a final order changed: %v to %v", old, r)
		case old.GetState() == notRun && r.GetState() != notRun:
			require.Equal(m.t, claimed, r.GetState())
			require.NotEqual(m.t, old.GetAttempt(), r.GetAttempt(), "a blocked attempt was granted again")
			require.Equal(m.t, old.GetBodyHash(), r.GetBodyHash())
		case r.GetState() != old.GetState():
			require.Equal(m.t, old.GetAttempt(), r.GetAttempt())
			require.NotEqual(m.t, claimed, r.GetState())
		}
	}
	for key, r := range now {
		attempt := m.running[key]
		if r.GetState() != claimed && r.GetState() != unknown {
			delete(m.running, key)
			continue
		}
		if attempt != "" {
			require.Equal(m.t, attempt, r.GetAttempt(), "two attempts of %s may run", key)
		}
		m.running[key] = r.GetAttempt()
		require.LessOrEqual(m.t, len(r.GetEvents()), smallOptions.MaxEvents)
	}
}

// checkWaiting checks that a stale epoch has no effect, that a request is completed
// only once, and that requests are leased by deadline.
func (m *commandMachine) checkWaiting(c *wire.Command, result *wire.Result, before, after *wire.LedgerSnapshot) {
	now := map[string]*wire.WaitingRecord{}
	earliest := int64(1 << 60)
	for _, r := range after.GetWaiting() {
		now[r.GetId()] = r
		if r.GetState() == accepted || r.GetState() == leased && r.GetLeaseUntilMs() <= after.GetAtMs() {
			earliest = min(earliest, r.GetDeadlineMs())
		}
	}
	epoch := c.GetRecordStage().GetEpoch() + c.GetCompleteWaiting().GetEpoch()
	for _, old := range before.GetWaiting() {
		r := now[old.GetId()]
		if r == nil {
			require.Equal(m.t, finished, old.GetState())
			require.Less(m.t, old.GetFinishedMs(), c.GetExpire().GetBeforeMs())
			continue
		}
		if old.GetState() == finished || epoch != 0 && epoch != old.GetEpoch() {
			require.True(m.t, proto.Equal(old, r), "a stale epoch changed %v to %v", old, r)
		}
		if r.GetEpoch() != old.GetEpoch() {
			require.True(m.t, old.GetState() == accepted || old.GetLeaseUntilMs() <= after.GetAtMs(), "an unexpired lease was reassigned")
			require.Greater(m.t, r.GetEpoch(), m.epoch)
		}
		require.GreaterOrEqual(m.t, len(r.GetStages()), len(old.GetStages()))
	}
	m.epoch = after.GetNextEpoch()
	if lease := c.GetLeaseWaiting(); lease != nil {
		for i, r := range result.GetWaiting() {
			require.LessOrEqual(m.t, r.GetDeadlineMs(), earliest, "a later deadline was leased first")
			require.True(m.t, i == 0 || result.GetWaiting()[i-1].GetDeadlineMs() <= r.GetDeadlineMs())
		}
		require.True(m.t, earliest == 1<<60 || len(result.GetWaiting()) == int(lease.GetMax()), "a leasable request was not leased")
	}
}

// checkEffect checks that rejected and repeated commands don't change the state, and
// that revisions and fencing tokens never decrease.
func (m *commandMachine) checkEffect(c *wire.Command, result *wire.Result, before, after *wire.LedgerSnapshot) {
	if result.GetRefusal() != "" || result.GetRepeated() {
		require.NotEqual(m.t, "", result.GetDetail()+fmt.Sprint(result.GetRepeated()))
		before.Index, before.AtMs, before.Changes = after.Index, after.AtMs, after.Changes
		require.True(m.t, proto.Equal(before, after), "a command without effect changed the state")
	}
	revision := func(s *wire.LedgerSnapshot) (newest uint64) {
		for i, r := range s.GetManifests() {
			require.True(m.t, i == 0 || r.GetRevision() == newest+1)
			newest = r.GetRevision()
		}
		return newest
	}
	added := revision(after) - revision(before)
	require.True(m.t, added == 0 || added == 1 && c.GetApplyManifest().GetBaseRevision() == revision(before))
	for _, f := range after.GetFences() {
		require.GreaterOrEqual(m.t, f.GetFence(), m.fences[f.GetScope()])
		m.fences[f.GetScope()] = f.GetFence()
	}
	if fence := c.GetGrantFence(); fence != nil && result.GetRefusal() == "" {
		require.Equal(m.t, m.fences[fence.GetScope()], result.GetFence())
	}
}

// checkResult checks that a retry returns the same result as the first command.
func (m *commandMachine) checkResult(c *wire.Command, result *wire.Result) {
	switch k := c.GetKind().(type) {
	case *wire.Command_ApplyManifest:
		id := k.ApplyManifest.GetChangeId()
		first := m.results[id]
		if first == nil {
			require.False(m.t, result.GetRepeated())
			m.results[id], m.changes[id] = proto.CloneOf(result), k.ApplyManifest
			m.retained = append(m.retained, id)
			if len(m.retained) > smallOptions.MaxChangeResults {
				delete(m.results, m.retained[0])
				m.retained = m.retained[1:]
			}
			return
		}
		if string(m.changes[id].GetManifest()) != string(k.ApplyManifest.GetManifest()) {
			require.Equal(m.t, ledger.RefusedChangeReused, result.GetRefusal())
			return
		}
		repeated := proto.CloneOf(result)
		require.True(m.t, repeated.GetRepeated())
		repeated.Repeated = false
		require.True(m.t, proto.Equal(first, repeated), "first %v, then %v", first, repeated)
	case *wire.Command_SubmitWaiting:
		s := k.SubmitWaiting
		if result.GetRefusal() != "" {
			return
		}
		key := s.GetCustomer() + "/" + s.GetSubmissionId()
		id := result.GetWaiting()[0].GetId()
		if _, ok := m.accepted[key]; !ok || !result.GetRepeated() {
			m.accepted[key] = id
		}
		require.Equal(m.t, m.accepted[key], id)
	case *wire.Command_ClaimOrder:
		if result.GetRefusal() == "" {
			require.Equal(m.t, k.ClaimOrder.GetAttempt(), result.GetOrder().GetAttempt())
			require.Equal(m.t, claimed, result.GetOrder().GetState())
		}
	}
}

func pick(t *rapid.T, name string, n int) string {
	return fmt.Sprintf("%s-%d", name, rapid.IntRange(1, n).Draw(t, name))
}

func content(t *rapid.T) []byte { return []byte(pick(t, "content", 2)) }

func (m *commandMachine) orderCommand(t *rapid.T) *wire.Command {
	customer, order, attempt := pick(t, "customer", 2), pick(t, "order", 2), pick(t, "attempt", 4)
	outcome := rapid.SampledFrom([]wire.OrderState{done, notRun, unknown, failed}).Draw(t, "outcome")
	kind := rapid.IntRange(0, 3).Draw(t, "kind")
	if kind == 0 {
		return &wire.Command{Kind: &wire.Command_ClaimOrder{ClaimOrder: &wire.ClaimOrder{Customer: customer, OrderId: order, BodyHash: content(t), Attempt: attempt, Agent: "agent-1", Incarnation: pick(t, "incarnation", 2), Entry: "entry-1", DeadlineMs: m.nowMS + 500}}}
	}
	if kind == 1 {
		return &wire.Command{Kind: &wire.Command_SettleOrder{SettleOrder: &wire.SettleOrder{Customer: customer, OrderId: order, State: outcome, Operator: pick(t, "operator", 2), Result: content(t)}}}
	}
	// Half of the outcomes are for the recorded attempt.
	if r, ok := m.ledger.Order(customer, order); ok && rapid.Bool().Draw(t, "recorded") {
		attempt = r.GetAttempt()
	}
	return &wire.Command{Kind: &wire.Command_RecordOutcome{RecordOutcome: &wire.RecordOutcome{Customer: customer, OrderId: order, Attempt: attempt, State: outcome, Result: content(t)}}}
}

func (m *commandMachine) waitingCommand(t *rapid.T) *wire.Command {
	id, epoch := pick(t, "w", 6), uint64(max(0, int(m.epoch)-rapid.IntRange(0, 3).Draw(t, "stale")))
	if r, ok := m.ledger.Waiting(id); ok && rapid.Bool().Draw(t, "held") {
		epoch = r.GetEpoch()
	}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return &wire.Command{Kind: &wire.Command_SubmitWaiting{SubmitWaiting: &wire.SubmitWaiting{Id: id, Customer: pick(t, "customer", 2), Pipeline: "summary", Body: content(t), DeadlineMs: int64(rapid.IntRange(1, 5).Draw(t, "deadline")), SubmissionId: pick(t, "submission", 4)}}}
	case 1:
		return &wire.Command{Kind: &wire.Command_LeaseWaiting{LeaseWaiting: &wire.LeaseWaiting{Entry: pick(t, "entry", 2), Max: int32(rapid.IntRange(1, 3).Draw(t, "max")), LeaseMs: 300}}}
	case 2:
		return &wire.Command{Kind: &wire.Command_RecordStage{RecordStage: &wire.RecordStage{Id: id, Epoch: epoch, Stage: pick(t, "stage", 2), Result: content(t), LeaseMs: 300}}}
	default:
		return &wire.Command{Kind: &wire.Command_CompleteWaiting{CompleteWaiting: &wire.CompleteWaiting{Id: id, Epoch: epoch, State: finished, Result: content(t)}}}
	}
}

func (m *commandMachine) otherCommand(t *rapid.T) *wire.Command {
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		base := uint64(max(0, int(m.ledger.Revision())-rapid.IntRange(-1, 2).Draw(t, "base")))
		return &wire.Command{Kind: &wire.Command_ApplyManifest{ApplyManifest: &wire.ApplyManifest{BaseRevision: base, ChangeId: pick(t, "change", 12), Operator: pick(t, "operator", 2), Manifest: content(t)}}}
	case 2:
		return &wire.Command{Kind: &wire.Command_SetDrain{SetDrain: &wire.SetDrain{Target: pick(t, "target", 2), Draining: rapid.Bool().Draw(t, "draining")}}}
	case 3:
		return &wire.Command{Kind: &wire.Command_GrantFence{GrantFence: &wire.GrantFence{Scope: pick(t, "scope", 2), Holder: "agent-1"}}}
	default:
		return &wire.Command{}
	}
}

func (m *commandMachine) expireCommand(t *rapid.T) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Expire{Expire: &wire.Expire{BeforeMs: m.nowMS - int64(rapid.IntRange(-50, 200).Draw(t, "age")), Max: int32(rapid.IntRange(1, 2).Draw(t, "max"))}}}
}

// Guards against violations of the ledger's guarantees under random commands,
// retries, restores and clocks that go backwards.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		step := func(c *wire.Command) {
			m.commands = append(m.commands, proto.CloneOf(c))
			m.run(c)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"order":    func(rt *rapid.T) { step(m.orderCommand(rt)) },
			"order2":   func(rt *rapid.T) { step(m.orderCommand(rt)) },
			"waiting":  func(rt *rapid.T) { step(m.waitingCommand(rt)) },
			"waiting2": func(rt *rapid.T) { step(m.waitingCommand(rt)) },
			"other":    func(rt *rapid.T) { step(m.otherCommand(rt)) },
			"expire":   func(rt *rapid.T) { step(m.expireCommand(rt)) },
			"resend": func(rt *rapid.T) {
				if len(m.commands) > 0 {
					m.run(proto.CloneOf(rapid.SampledFrom(m.commands).Draw(rt, "resent")))
				}
			},
			"time": func(rt *rapid.T) {
				m.nowMS += int64(rapid.IntRange(-100, 400).Draw(rt, "ms"))
			},
			"restore": func(rt *rapid.T) {
				data, err := m.ledger.Snapshot()
				require.NoError(rt, err)
				m.second = ledger.New(smallOptions)
				require.NoError(rt, m.second.Restore(m.index, data))
			},
			"": func(rt *rapid.T) {
				original, err := m.ledger.Snapshot()
				require.NoError(rt, err)
				copied, err := m.second.Snapshot()
				require.NoError(rt, err)
				require.Equal(rt, original, copied, "two replicas with the same log differ")
			},
		})
	})
}
