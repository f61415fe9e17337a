// Package admission decides which calls may start now, which wait and which are
// refused.
//
// A Customers gate bounds the rate and the concurrent requests of each customer,
// once for each request. A Queue guards one service and is asked once for each
// stage or service call. It adapts its concurrency limit to the observed
// latency, shares the limit between customers by weight, serves urgent classes
// first and refuses early what can't finish in time. Both are event driven, take
// the current time as an argument and are safe for concurrent use.
//
// # Usage
//
//	gate := admission.NewCustomers()
//	if r, ok := gate.Enter(customer, admission.CustomerLimits{MaxConcurrent: 64, Rate: 50}, now); !ok {
//		return r // admission.Refused, with a reason and when to retry
//	}
//	defer func() { gate.Leave(customer, ts.Now()) }()
//
//	queue := admission.NewQueue(admission.Options{Service: "generators", Slots: 48})
//	start := make(chan admission.Decision, 1)
//	switch d := queue.Offer(admission.Request{
//		Customer: customer, Weight: 4, Priority: 0,
//		Deadline: deadline, Expected: expected, Needs: needs, Owner: start,
//	}, now).(type) {
//	case admission.Admitted:
//		// run the call
//	case admission.Queued:
//		// wait for a decision on start; call queue.Withdraw(d.Ticket, now) to give up
//	case admission.Refused:
//		return d // d.Reason in snake case
//	}
//	// run the call, then exactly once for each admitted ticket:
//	deliver(queue.Finish(ticket, admission.Completed{Latency: held, Attempt: latency, Busy: busy}, now))
//
//	// every admission.TickPeriod:
//	deliver(queue.Expire(now))
//
// Finish, Expire and Withdraw return decisions on waiting calls. deliver sends
// each to the channel that is its Ticket's Owner:
//
//	for _, d := range decisions {
//		d.For().Owner().(chan admission.Decision) <- d
//	}
package admission
