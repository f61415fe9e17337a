package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamomline/cardamomline/internal/admission"
)

// acquireSlot waits for a slot of the service.
func (e *Entry) acquireSlot(ctx context.Context, s *serviceState, c *call) (*admission.Ticket, error) {
	decision := make(chan admission.Decision, 1)
	now := e.o.Timers.Now()
	first := s.queue.Offer(admission.Request{
		Customer: c.customer.Name(),
		Weight:   float64(c.customer.Weight()),
		Priority: c.class.Priority(),
		Deadline: c.deadline,
		Expected: c.expected,
		Needs:    c.needs,
		Started:  c.priorStagesRan,
		Owner:    decision,
	}, now)
	var queued *admission.Ticket
	for {
		switch d := first.(type) {
		case admission.Admitted:
			e.o.Metrics.ObserveStage("queue_seconds", c.stage, c.class.Name(), d.Waited)
			c.timeline.admitted(d.Waited)
			return d.Ticket, nil
		case admission.Refused:
			return nil, &callError{reason: string(d.Reason), detail: refusalDetail(d)}
		case admission.Queued:
			queued = d.Ticket
		}
		select {
		case first = <-decision:
		case <-ctx.Done():
			return nil, e.withdrawTicket(ctx, s, queued, decision)
		}
	}
}

// withdrawTicket withdraws a queued ticket. If the ticket was admitted concurrently, its
// slot is released, so that it isn't lost.
func (e *Entry) withdrawTicket(ctx context.Context, s *serviceState, t *admission.Ticket, decision <-chan admission.Decision) error {
	now := e.o.Timers.Now()
	more, ok := s.queue.Withdraw(t, now)
	deliverDecisions(more)
	if !ok {
		if _, admitted := (<-decision).(admission.Admitted); admitted {
			deliverDecisions(s.queue.Finish(t, admission.Dropped{}, now))
		}
	}
	return e.contextError(ctx)
}

func refusalDetail(d admission.Refused) string {
	switch d.Reason {
	case admission.ReasonNotEnoughTime:
		return fmt.Sprintf("the deadline can't be met: the expected wait for a slot is %v", d.ExpectedWait.Round(time.Millisecond))
	case admission.ReasonQueueFull:
		return "the queue of this service is full"
	}
	return string(d.Reason)
}

// networkAllowance is the part of an attempt's latency that is attributed to the network
// between entry and target. Without it, a call of 2 ms would appear to have queued.
const networkAllowance = 5 * time.Millisecond

// completed is the admission outcome of a successful attempt.
func completed(latency, working time.Duration) admission.Completed {
	return admission.Completed{Latency: latency, AttemptTime: max(latency-networkAllowance, working), ProcessingTime: working}
}
