package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamomline/cardamomline/internal/admission"
)

// acquire waits for a slot of the service.
func (e *Entry) acquire(ctx context.Context, s *serviceState, c *call) (*admission.Ticket, error) {
	decision := make(chan admission.Decision, 1)
	now := e.o.Timers.Now()
	first := s.queue.Offer(admission.Request{
		Customer: c.customer.Name(),
		Weight:   float64(c.customer.Weight()),
		Priority: c.class.Priority(),
		Deadline: c.deadline,
		Expected: c.expected,
		Needs:    c.needs,
		Started:  c.started,
		Owner:    decision,
	}, now)
	var waiting *admission.Ticket
	for {
		switch d := first.(type) {
		case admission.Admitted:
			e.o.Metrics.ObserveStage("queue_seconds", c.stage, c.class.Name(), d.Waited)
			c.timeline.admitted(d.Waited)
			return d.Ticket, nil
		case admission.Refused:
			return nil, &callError{reason: string(d.Reason), detail: refusalDetail(d)}
		case admission.Queued:
			waiting = d.Ticket
		}
		select {
		case first = <-decision:
		case <-ctx.Done():
			return nil, e.withdraw(ctx, s, waiting, decision)
		}
	}
}

// withdraw gives up a waiting ticket. A decision that crossed the withdrawal is
// taken back, so that its slot isn't lost.
func (e *Entry) withdraw(ctx context.Context, s *serviceState, t *admission.Ticket, decision <-chan admission.Decision) error {
	now := e.o.Timers.Now()
	more, ok := s.queue.Withdraw(t, now)
	deliver(more)
	if !ok {
		if _, admitted := (<-decision).(admission.Admitted); admitted {
			deliver(s.queue.Finish(t, admission.Dropped{}, now))
		}
	}
	return e.contextError(ctx)
}

func refusalDetail(d admission.Refused) string {
	switch d.Reason {
	case admission.ReasonNotEnoughTime:
		return fmt.Sprintf("the answer could not be ready in time: the expected wait for a slot is %v", d.ExpectedWait.Round(time.Millisecond))
	case admission.ReasonQueueFull:
		return "too many requests already wait for this service"
	}
	return string(d.Reason)
}

// pathAllowance is the part of an attempt's time that the path between entry and
// target may take. Without it, a call of 2 ms would look as if it had queued.
const pathAllowance = 5 * time.Millisecond

// completed tells the admission queue of an attempt that gave the answer.
func completed(latency, working time.Duration) admission.Completed {
	return admission.Completed{Latency: latency, AttemptTime: max(latency-pathAllowance, working), ProcessingTime: working}
}
