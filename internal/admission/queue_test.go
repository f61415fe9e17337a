package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// A fixed seed makes the property tests repeatable; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// queueModel is a reference model of the decisions of a Queue.
type queueModel struct {
	queue    *Queue
	now      time.Time
	waiting  map[*Ticket]bool
	running  []*Ticket
	offered  int
	resolved int
}

func (m *queueModel) offer(t *rapid.T) {
	r := Request{
		Customer: fmt.Sprintf("c%d", rapid.IntRange(0, 5).Draw(t, "customer")),
		Weight:   float64(rapid.IntRange(0, 4).Draw(t, "weight")),
		Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
		Expected: time.Duration(rapid.IntRange(0, 500).Draw(t, "expected")) * time.Millisecond,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "deadline")) * time.Millisecond),
		Started:  rapid.Bool().Draw(t, "started"),
	}
	m.offered++
	d := m.queue.Offer(r, m.now)
	if q, ok := d.(Queued); ok {
		require.Positive(t, q.ExpectedWait)
		m.waiting[q.Ticket] = true
		return
	}
	m.decide(t, d)
}

func (m *queueModel) decide(t *rapid.T, d Decision) {
	delete(m.waiting, d.For())
	switch d := d.(type) {
	case Admitted:
		r := d.Ticket.request
		require.False(t, m.now.Add(r.Needs).After(r.Deadline), "started a call that can't finish in time")
		m.running = append(m.running, d.Ticket)
	case Refused:
		require.NotEmpty(t, d.Reason)
		m.resolved++
	default:
		require.Fail(t, "a waiting call was queued again")
	}
}

func (m *queueModel) decideAll(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		require.True(t, m.waiting[d.For()], "decided on a call that doesn't wait")
		m.decide(t, d)
	}
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	ticket := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.resolved++
	o := rapid.SampledFrom([]Outcome{
		Completed{Latency: 100 * time.Millisecond},
		Completed{Latency: 3 * time.Second},
		Overloaded{},
		Dropped{},
	}).Draw(t, "outcome")
	m.decideAll(t, m.queue.Finish(ticket, o, m.now))
	require.Empty(t, m.queue.Finish(ticket, o, m.now), "a second Finish must have no effect")
}

func (m *queueModel) withdraw(t *rapid.T) {
	var ticket *Ticket
	for w := range m.waiting {
		if ticket == nil || w.sequence < ticket.sequence {
			ticket = w
		}
	}
	if ticket == nil {
		return
	}
	delete(m.waiting, ticket)
	m.resolved++
	decisions, ok := m.queue.Withdraw(ticket, m.now)
	require.True(t, ok)
	m.decideAll(t, decisions)
}

func (m *queueModel) check(t *rapid.T) {
	q := m.queue
	s := q.Status(m.now)
	require.Equal(t, len(m.running), s.InFlight)
	require.Equal(t, len(m.waiting), s.Waiting)
	require.Equal(t, m.offered, m.resolved+len(m.running)+len(m.waiting), "a call was lost")
	if s.Waiting > 0 {
		return
	}
	for i := range q.levels {
		require.Zero(t, q.levels[i].queuedCost)
		require.Empty(t, q.levels[i].customers)
	}
}

// TestQueueDecidesOnce guards against calls with no decision or two decisions,
// against calls admitted too late to meet their deadline, and against wrong
// counters, under any order of events.
func TestQueueDecidesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			queue:   NewQueue(Options{Slots: rapid.IntRange(1, 4).Draw(t, "slots")}),
			now:     testStart,
			waiting: map[*Ticket]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":    m.offer,
			"offer2":   m.offer,
			"finish":   m.finish,
			"withdraw": m.withdraw,
			"expire": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "late tick") {
					return
				}
				m.decideAll(t, m.queue.Expire(m.now))
				for ticket := range m.waiting {
					require.False(t, m.now.After(ticket.latestStart), "a call that can't finish still waits")
				}
			},
			"": m.check,
		})
	})
}

// TestUrgentCallsKeepSlack guards against urgent calls that are admitted at their
// latest start, where calls that take slightly longer than expected miss their
// deadline.
func TestUrgentCallsKeepSlack(t *testing.T) {
	q := NewQueue(Options{Slots: 1})
	r := Request{Customer: "first", Expected: serviceTime, Deadline: testStart.Add(time.Second)}
	require.IsType(t, Admitted{}, q.Offer(r, testStart))
	r = Request{Customer: "second", Expected: serviceTime, Deadline: testStart.Add(250 * time.Millisecond)}
	d, ok := q.Offer(r, testStart).(Refused)
	require.True(t, ok)
	require.Equal(t, ReasonNotEnoughTime, d.Reason)
	require.Equal(t, serviceTime, d.ExpectedWait)
	r.Priority = deferrable
	require.IsType(t, Queued{}, q.Offer(r, testStart))
}
