// Package admission decides which calls start now, which are queued and which
// are rejected.
//
// A CustomerLimiter limits the request rate and the concurrent requests of each
// customer and is called once per request. A Queue protects one service and is
// called once per stage or service call. It adapts its concurrency limit to the
// observed latency, divides the limit between customers by weight, serves urgent
// classes first and rejects early the calls that cannot meet their deadline. Both
// are event driven, take the current time as an argument and are safe for
// concurrent use.
//
// # Usage
//
//	limiter := admission.NewCustomerLimiter()
//	if r, ok := limiter.Acquire(customer, admission.CustomerLimits{MaxConcurrent: 64, Rate: 50}, now); !ok {
//		return r // admission.Refused, with the reason and the retry delay
//	}
//	defer func() { limiter.Release(customer, ts.Now()) }()
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
//		// wait for a decision on start; queue.Withdraw(d.Ticket, now) abandons the call
//	case admission.Refused:
//		return d // d.Reason is in snake case
//	}
//	// run the call, then, exactly once for each admitted ticket:
//	deliver(queue.Finish(ticket, admission.Completed{Latency: latency, AttemptTime: attemptTime, ProcessingTime: processingTime}, now))
//
//	// every admission.TickPeriod:
//	deliver(queue.Expire(now))
//
// Finish, Expire and Withdraw return decisions on queued calls. In this example
// deliver sends each decision to the channel stored as its Ticket's Owner:
//
//	for _, d := range decisions {
//		d.For().Owner().(chan admission.Decision) <- d
//	}
package admission
