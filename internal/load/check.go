package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/report"
	"github.com/cardamomline/cardamomline/internal/standin"
)

// Evidence is what the stand-ins say they did.
type Evidence struct {
	Accounts []standin.Account
	Missing  int // accounts that couldn't be read
}

// Complete reports whether the accounts hold everything that the stand-ins did.
func (e Evidence) Complete() bool {
	return len(e.Accounts) > 0 && e.Missing == 0 && e.dropped() == 0
}

func (e Evidence) dropped() int {
	sum := 0
	for i := range e.Accounts {
		sum += e.Accounts[i].DroppedAttempts + e.Accounts[i].DroppedEffects
	}
	return sum
}

// Check compares what callers were told with what the stand-ins did. It returns
// the broken invariants and observations that break none.
func Check(records []Record, e Evidence) ([]report.Violation, []report.Observation) {
	c := &checker{
		records: records, complete: e.Complete(),
		effects: make(map[string]effect), ran: make(map[string]string),
	}
	for i := range e.Accounts {
		c.read(&e.Accounts[i])
	}
	for i := range records {
		c.answer(&records[i])
	}
	c.orders()
	slices.SortStableFunc(c.violations, func(a, b report.Violation) int { return cmp.Compare(a.Kind, b.Kind) })
	return c.violations, c.notes()
}

// effect sums up the effects of one order over all stand-ins.
type effect struct {
	count    int
	first    time.Time
	attempts []string
}

type checker struct {
	records      []Record
	complete     bool
	effects      map[string]effect // by order id
	ran          map[string]string // request id to an attempt that ran
	violations   []report.Violation
	unclear      int
	failedButRan int
}

func (c *checker) read(a *standin.Account) {
	for _, e := range a.Effects {
		if e.Order == "" {
			continue
		}
		sum, ok := c.effects[e.Order]
		first := time.UnixMilli(e.FirstMS)
		if !ok || first.Before(sum.first) {
			sum.first = first
		}
		sum.count += e.Count
		sum.attempts = append(sum.attempts, e.Attempts...)
		c.effects[e.Order] = sum
	}
	for _, at := range a.Attempts {
		if at.Ran {
			c.ran[at.Request] = at.Attempt
		}
	}
}

func (c *checker) broken(kind string, r *Record, detail string) {
	v := report.Violation{Kind: kind, Request: r.Arrival.Name(), Detail: detail}
	if r.Answer != nil {
		v.ID = r.Answer.RequestID
	}
	if r.Arrival.Request.Kind == KindOrder {
		v.Order = r.Arrival.Order
	}
	c.violations = append(c.violations, v)
}

// answer checks one record by itself.
func (c *checker) answer(r *Record) {
	if r.Answer == nil {
		c.unanswered(r)
		return
	}
	if !r.Accepted.IsZero() && r.Answer.Outcome != OutcomeDone {
		c.broken(report.KindLost, r, fmt.Sprintf("accepted as waiting, but ended as %s %s", r.Answer.Outcome, r.Answer.Reason))
		return
	}
	switch r.Answer.Outcome {
	case OutcomeDone:
		c.done(r)
	case OutcomeNotRun:
		if attempt, ran := c.ran[r.Answer.RequestID]; ran {
			c.broken(report.KindUntrueNotRun, r, fmt.Sprintf("told not_run (%s), but attempt %s ran", r.Answer.Reason, attempt))
		}
	}
}

func (c *checker) unanswered(r *Record) {
	if r.Stream != "" {
		c.broken(report.KindCut, r, "the stream ended after some tokens: "+r.LastError)
		return
	}
	c.broken(report.KindLost, r, "no answer: "+r.LastError)
}

// done checks a complete answer against the input of its own request.
func (c *checker) done(r *Record) {
	request := r.Answer.RequestID
	if r.Answer.Repeated {
		// The recorded outcome names the request that ran.
		request = ""
	}
	if r.Foreign != nil && (r.Foreign.Outcome == OutcomeDone || r.Foreign.Output != "") {
		c.broken(report.KindMisdelivered, r, "another customer could fetch the answer")
	}
	err := r.checkOutput(request)
	var cut *standin.CutError
	switch {
	case errors.As(err, &cut):
		c.broken(report.KindCut, r, err.Error())
	case err != nil:
		c.broken(report.KindMisdelivered, r, err.Error())
	case r.Arrival.Request.Kind == KindStream:
		c.stream(r)
	}
}

func (r *Record) checkOutput(request string) error {
	a := &r.Arrival
	switch a.Request.Kind {
	case KindCall:
		return standin.CheckOutput(r.Answer.Output, a.Input, request, a.Request.Operation, "")
	case KindOrder:
		return standin.CheckOutput(r.Answer.Output, a.Input, request, a.Request.Operation, a.Order)
	default:
		return standin.CheckText(r.Answer.Output, a.Input, request, a.Request.Tokens)
	}
}

// stream checks the tokens of a stream, one by one, against the whole answer.
func (c *checker) stream(r *Record) {
	switch {
	case r.StreamGap != "":
		c.broken(report.KindCut, r, r.StreamGap)
	case r.Stream != r.Answer.Output:
		c.broken(report.KindCut, r, "the tokens of the stream aren't those of the answer")
	}
}

// orders checks effects by order id, over all copies of an order.
func (c *checker) orders() {
	byOrder := make(map[string][]*Record)
	var ids []string
	for i := range c.records {
		r := &c.records[i]
		if r.Arrival.Request.Kind != KindOrder {
			continue
		}
		if byOrder[r.Arrival.Order] == nil {
			ids = append(ids, r.Arrival.Order)
		}
		byOrder[r.Arrival.Order] = append(byOrder[r.Arrival.Order], r)
	}
	for _, id := range ids {
		c.order(byOrder[id], c.effects[id])
	}
}

func (c *checker) order(copies []*Record, e effect) {
	if e.count > 1 {
		c.broken(report.KindDoubled, copies[0], fmt.Sprintf("ran %d times, in attempts %v", e.count, e.attempts))
	}
	for _, r := range copies {
		if r.Answer == nil {
			continue
		}
		switch r.Answer.Outcome {
		case OutcomeDone:
			if e.count == 0 && c.complete {
				c.broken(report.KindLost, r, "told done, but no account shows that the order ran")
			}
		case OutcomeNotRun:
			c.orderNotRun(r, e)
		case OutcomeFailed:
			if e.count > 0 {
				c.failedButRan++
			}
		}
	}
}

// orderNotRun judges a not_run about an order that ran before the answer. It is
// untrue also when another copy of the order ran, because a caller who believes
// it places the order anew. An effect after the answer is that of a later copy.
func (c *checker) orderNotRun(r *Record, e effect) {
	if _, reported := c.ran[r.Answer.RequestID]; reported {
		return // answer has reported it
	}
	if e.count == 0 || e.first.After(r.Answered) {
		return
	}
	c.broken(report.KindUntrueNotRun, r, fmt.Sprintf("told not_run (%s), but the order ran in attempts %v", r.Answer.Reason, e.attempts))
}

func (c *checker) notes() []report.Observation {
	if c.failedButRan == 0 {
		return []report.Observation{}
	}
	return []report.Observation{{Kind: "failed_but_ran", Count: c.failedButRan, Detail: "told failed about an order that ran"}}
}

func offsetFault(want, got int) string {
	return fmt.Sprintf("token %d came where token %d was due", got, want)
}
