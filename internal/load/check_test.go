package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/load"
	"github.com/cardamomline/cardamomline/internal/report"
	"github.com/cardamomline/cardamomline/internal/standin"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const (
	quoteInput   = "quote for 300 t at Milford"
	releaseInput = "release 300 t to barge 7"
)

// evidence is the account of one quote (r1) and one release (r2) that ran once.
func evidence() load.Evidence {
	return load.Evidence{Accounts: []standin.Account{{
		Name: "orders-1", Service: "orders-core",
		Effects: []standin.Effect{{
			Customer: "depot-milford", Order: "o1", Operation: "release_fuel", Count: 1,
			Attempts: []string{"a2"}, Requests: []string{"r2"}, FirstMS: noon.UnixMilli(),
		}},
		Attempts: []standin.AttemptRecord{
			{Attempt: "a1", Request: "r1", Operation: "generate", State: standin.StateFinished, Ran: true, BusyMS: 10},
			{Attempt: "a2", Request: "r2", Operation: "release_fuel", Order: "o1", State: standin.StateFinished, Ran: true, BusyMS: 10},
		},
	}}}
}

func record(kind load.Kind, answer *load.Answer) load.Record {
	r := load.Record{
		Arrival: load.Arrival{
			Request:  load.Request{Name: string(kind), Kind: kind, Operation: "release_fuel", Deadline: time.Second, Tokens: 8},
			Customer: load.Customer{Name: "depot-milford"}, Input: quoteInput, Order: "o1", ResendOf: -1,
		},
		Sent: noon, Answered: noon.Add(time.Second / 2), Answer: answer,
	}
	if kind == load.KindOrder {
		r.Arrival.Input = releaseInput
	}
	return r
}

func quote(output string) *load.Answer {
	return &load.Answer{RequestID: "r1", Outcome: load.OutcomeDone, Output: output}
}

func released() *load.Answer {
	return &load.Answer{
		RequestID: "r2", Outcome: load.OutcomeDone,
		Output: standin.Output(standin.Origin(releaseInput), "r2", "release_fuel", "o1"),
	}
}

func text(input, request string) string {
	return standin.Text(standin.Origin(input), request, 0, 8)
}

// Guards against a check that reports a healthy run, which would hide real violations.
func TestCheckPassesCleanRun(t *testing.T) {
	stream := record(load.KindStream, quote(text(quoteInput, "r1")))
	stream.Stream = stream.Answer.Output
	waiting := record(load.KindWaiting, quote(text(quoteInput, "r1")))
	waiting.Accepted = noon
	resent := record(load.KindOrder, released())
	resent.Answer.RequestID, resent.Answer.Repeated = "r3", true
	refused := record(load.KindPipeline, &load.Answer{RequestID: "r9", Outcome: load.OutcomeNotRun, Reason: "overloaded"})
	got, notes := load.Check([]load.Record{
		record(load.KindPipeline, quote(text(quoteInput, "r1"))), stream, waiting,
		record(load.KindOrder, released()), resent, refused,
	}, evidence())
	require.Empty(t, got)
	require.Empty(t, notes)
}

// Guards against a check that sees nothing: each case breaks one invariant in one way.
func TestCheckFindsEachViolation(t *testing.T) {
	whole := text(quoteInput, "r1")
	cases := []struct {
		name   string
		record func(e *load.Evidence) load.Record
		want   string
	}{
		{"no answer", func(*load.Evidence) load.Record {
			return record(load.KindPipeline, nil)
		}, report.KindLost},
		{"waiting request never arrives", func(*load.Evidence) load.Record {
			r := record(load.KindWaiting, &load.Answer{RequestID: "r1", Outcome: load.OutcomeAccepted})
			r.Accepted = noon
			return r
		}, report.KindLost},
		{"order told done but never ran", func(e *load.Evidence) load.Record {
			e.Accounts[0].Effects = nil
			return record(load.KindOrder, released())
		}, report.KindLost},
		{"order ran twice at one target", func(e *load.Evidence) load.Record {
			e.Accounts[0].Effects[0].Count = 2
			return record(load.KindOrder, released())
		}, report.KindDoubled},
		{"order ran at two targets", func(e *load.Evidence) load.Record {
			other := evidence().Accounts[0]
			other.Name = "orders-2"
			e.Accounts = append(e.Accounts, other)
			return record(load.KindOrder, released())
		}, report.KindDoubled},
		{"answer made from another input", func(*load.Evidence) load.Record {
			return record(load.KindPipeline, quote(text("another quote", "r1")))
		}, report.KindMisdelivered},
		{"answer made for another request", func(*load.Evidence) load.Record {
			return record(load.KindPipeline, quote(text(quoteInput, "r7")))
		}, report.KindMisdelivered},
		{"token doubled within an answer", func(*load.Evidence) load.Record {
			last := standin.Token(standin.Origin(quoteInput), "r1", 8, 7)
			return record(load.KindPipeline, quote(whole+last))
		}, report.KindMisdelivered},
		{"order answered with another order", func(*load.Evidence) load.Record {
			r := record(load.KindOrder, released())
			r.Answer.Output = standin.Output(standin.Origin(releaseInput), "r2", "release_fuel", "o2")
			return r
		}, report.KindMisdelivered},
		{"told not_run, but an attempt of the request ran", func(*load.Evidence) load.Record {
			return record(load.KindPipeline, &load.Answer{RequestID: "r1", Outcome: load.OutcomeNotRun, Reason: "deadline"})
		}, report.KindUntrueNotRun},
		{"told not_run, but the order ran under another request id", func(*load.Evidence) load.Record {
			return record(load.KindOrder, &load.Answer{RequestID: "r8", Outcome: load.OutcomeNotRun, Reason: "no_target"})
		}, report.KindUntrueNotRun},
		{"told not_run, but the order ran under the same request id", func(*load.Evidence) load.Record {
			return record(load.KindOrder, &load.Answer{RequestID: "r2", Outcome: load.OutcomeNotRun, Reason: "no_target"})
		}, report.KindUntrueNotRun},
		{"told not_run about a copy of an order that ran before", func(*load.Evidence) load.Record {
			r := record(load.KindOrder, &load.Answer{RequestID: "r8", Outcome: load.OutcomeNotRun, Reason: "overloaded"})
			r.Arrival.ResendOf, r.Retries = 3, 1
			return r
		}, report.KindUntrueNotRun},
		{"another customer could fetch a waiting answer", func(*load.Evidence) load.Record {
			r := record(load.KindWaiting, quote(whole))
			r.Accepted, r.Foreign = noon, r.Answer
			return r
		}, report.KindMisdelivered},
		{"text shorter than asked for", func(*load.Evidence) load.Record {
			return record(load.KindPipeline, quote(standin.Text(standin.Origin(quoteInput), "r1", 0, 7)))
		}, report.KindCut},
		{"last token missing", func(*load.Evidence) load.Record {
			return record(load.KindPipeline, quote(whole[:len(whole)-len(" 7:abcd")]))
		}, report.KindCut},
		{"stream ends without an answer", func(*load.Evidence) load.Record {
			r := record(load.KindStream, nil)
			r.Stream = whole[:30]
			return r
		}, report.KindCut},
		{"stream differs from its answer", func(*load.Evidence) load.Record {
			r := record(load.KindStream, quote(whole))
			r.Stream = whole[:30]
			return r
		}, report.KindCut},
		{"stream passes over a token", func(*load.Evidence) load.Record {
			r := record(load.KindStream, quote(whole))
			r.Stream, r.StreamGap = whole, "token 5 came where token 4 was due"
			return r
		}, report.KindCut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := evidence()
			r := c.record(&e)
			got, _ := load.Check([]load.Record{r}, e)
			require.Len(t, got, 1)
			require.Equal(t, c.want, got[0].Kind, got[0].Detail)
		})
	}
}

// Guards against a false alarm: an order that was not run may be sent again and run then.
func TestCheckAllowsRunAfterNotRun(t *testing.T) {
	refused := record(load.KindOrder, &load.Answer{RequestID: "r8", Outcome: load.OutcomeNotRun, Reason: "overloaded"})
	refused.Answered = noon.Add(-time.Second)
	got, _ := load.Check([]load.Record{refused, record(load.KindOrder, released())}, evidence())
	require.Empty(t, got)
}

// Guards against overlooking an order that failed for the caller but ran.
func TestCheckNotesFailedOrderThatRan(t *testing.T) {
	failed := record(load.KindOrder, &load.Answer{RequestID: "r2", Outcome: load.OutcomeFailed})
	got, notes := load.Check([]load.Record{failed}, evidence())
	require.Empty(t, got)
	require.Len(t, notes, 1)
}

// Guards against unused work that is overlooked, and against used work that is
// called unused: hedged, resumed and repeated attempts.
func TestUnusedWork(t *testing.T) {
	at := func(attempt, request, state string, from, tokens int, end int64) standin.AttemptRecord {
		return standin.AttemptRecord{
			Attempt: attempt, Request: request, Operation: "generate", State: state, Ran: true,
			BusyMS: 10, FromOffset: from, Tokens: tokens, EndMS: end,
		}
	}
	accounts := []standin.Account{{Name: "engine-1", Service: "generators", Attempts: []standin.AttemptRecord{
		at("hedge-loser", "r1", standin.StateCanceled, 0, 3, 20),
		at("hedge-winner", "r1", standin.StateFinished, 0, 8, 20),
		at("head", "r2", standin.StateFailed, 0, 4, 10),
		at("stillborn", "r2", standin.StateFailed, 0, 0, 10),
		at("tail", "r2", standin.StateFinished, 4, 4, 20),
		at("repeated", "r3", standin.StateFinished, 0, 8, 20),
		at("unanswered", "r4", standin.StateFinished, 0, 8, 20),
	}}}
	repeated := record(load.KindPipeline, quote(text(quoteInput, "r3")))
	repeated.Answer.RequestID, repeated.Answer.Repeated = "r9", true
	resumed := record(load.KindPipeline, quote(text(quoteInput, "r2")))
	resumed.Answer.RequestID = "r2"
	failed := record(load.KindPipeline, &load.Answer{RequestID: "r4", Outcome: load.OutcomeFailed})
	late := record(load.KindPipeline, quote(text(quoteInput, "r1")))
	late.Answered = noon.Add(time.Minute)
	run := load.Summarize(&load.Mix{}, []load.Record{late, resumed, repeated, failed}, load.Evidence{Accounts: accounts})
	require.Empty(t, run.Violations)
	require.Len(t, run.Stages, 1)
	require.InDelta(t, 30, run.Stages[0].UnusedMS, 0.001, "hedge-loser, stillborn and unanswered")
	require.InDelta(t, 70, run.Stages[0].BusyMS, 0.001)
	require.Equal(t, report.Attainment{Group: "all", Name: "all", Sent: 4, Attained: 2, Late: 1, Share: 0.5}, run.Attainment[0])
}
