package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Order returns the record of an order as lines of text: what it is, what
// happened, and what can be done now.
func Order(r *wire.OrderRecord, location *time.Location) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Order %s of %s, %s at %s (%s):\n", r.GetOrderId(), r.GetCustomer(), words(r.GetOperation()), r.GetService(), location)
	writeEvents(&b, r.GetEvents(), location)
	fmt.Fprintf(&b, "  %s\n", orderConclusion(r))
	return b.String()
}

func orderConclusion(r *wire.OrderRecord) string {
	switch r.GetState() {
	case wire.OrderState_ORDER_STATE_CLAIMED:
		return fmt.Sprintf("It is in progress at %s and can't be placed again until its outcome is recorded.", r.GetAgent())
	case wire.OrderState_ORDER_STATE_DONE:
		return "It ran and won't run again."
	case wire.OrderState_ORDER_STATE_FAILED:
		return fmt.Sprintf("It was carried out without success%s and won't run again under this id.", because(r.GetReason()))
	case wire.OrderState_ORDER_STATE_NOT_RUN:
		return fmt.Sprintf("It did not run%s and may be placed again.", because(r.GetReason()))
	case wire.OrderState_ORDER_STATE_UNKNOWN:
		return fmt.Sprintf("It isn't known whether it ran at %s%s. An operator has to find out and settle it.", r.GetAgent(), because(r.GetReason()))
	default:
		return "Its state isn't known to this version."
	}
}

// Waiting returns the record of a waiting request as lines of text.
func Waiting(r *wire.WaitingRecord, location *time.Location) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Waiting request %s of %s for %s (%s):\n", r.GetId(), r.GetCustomer(), r.GetPipeline(), location)
	writeEvents(&b, r.GetEvents(), location)
	fmt.Fprintf(&b, "  %s\n", waitingConclusion(r, location))
	return b.String()
}

func waitingConclusion(r *wire.WaitingRecord, location *time.Location) string {
	switch r.GetState() {
	case wire.WaitingState_WAITING_STATE_ACCEPTED:
		return "It waits for an entry to take it up" + due(r, location) + "."
	case wire.WaitingState_WAITING_STATE_LEASED:
		return fmt.Sprintf("%s works on it%s; another entry takes over unless %s reports by %s.", r.GetHolder(), due(r, location), r.GetHolder(), clock(r.GetLeaseUntilMs(), location))
	case wire.WaitingState_WAITING_STATE_DONE:
		return fmt.Sprintf("The answer is ready; it took %s.", span(time.Duration(r.GetFinishedMs()-r.GetAcceptedMs())*time.Millisecond))
	case wire.WaitingState_WAITING_STATE_FAILED:
		return fmt.Sprintf("It was given up%s.", because(r.GetReason()))
	default:
		return "Its state isn't known to this version."
	}
}

// due returns the deadline of a waiting request, or nothing when it has none.
func due(r *wire.WaitingRecord, location *time.Location) string {
	if r.GetDeadlineMs() == 0 {
		return ""
	}
	return ", due by " + clock(r.GetDeadlineMs(), location)
}

func writeEvents(b *strings.Builder, events []*wire.OrderEvent, location *time.Location) {
	previous := int64(0)
	for i, e := range events {
		gap := ""
		if i > 0 {
			gap = later(time.Duration(e.GetAtMs()-previous) * time.Millisecond)
		}
		fmt.Fprintf(b, "  %s%s %s\n", clock(e.GetAtMs(), location), gap, e.GetText())
		previous = e.GetAtMs()
	}
}

// clock returns the date and time of a log time in milliseconds.
func clock(atMS int64, location *time.Location) string {
	return time.UnixMilli(atMS).In(location).Format(dateLayout + " " + clockLayout)
}
