// Package budget divides the deadline of a request between its stages and
// decides on early rejection, retries and hedges.
//
// A request has one deadline. Each call gets the time left, less what later
// stages need. An Estimator combines the expected durations of the manifest with
// observed ones. Retries limits retries and hedges to a ratio of the traffic, and
// SharedRetries those of many processes together. All take the current time or the
// time left as an argument; Estimator, Retries and SharedRetries are safe for
// concurrent use, a Plan is immutable.
//
// # Usage
//
//	estimator := budget.NewEstimator()
//	retries := budget.NewRetries(budget.RetryOptions{})
//	plan, err := budget.NewPlan("quote-answer", []budget.Stage{
//		{Name: "retrieve", Expected: 20 * time.Millisecond},
//		{Name: "generate", Needs: []string{"retrieve"}, Expected: 600 * time.Millisecond},
//	})
//
//	// On arrival; wait is the sum of admission.Queue.ExpectedWait over the stages.
//	if v := plan.CanFinish(estimator, nil, left, wait, now); !v.Fits {
//		return v.Reason // not_enough_time
//	}
//
//	// For each stage:
//	a := plan.Allot(estimator, "retrieve", left, now)
//	retries.Request("retrievers")
//	// send the call with the timeout a.Limit, then
//	estimator.Observe(plan.Key("retrieve"), latency, now)
//
//	// After a failure:
//	d := retries.Retry(budget.Attempt{
//		Service: "retrievers", Idempotent: true, Attempts: 1,
//		TimeLeft: left, Typical: a.Typical, Cause: budget.FailedCall{}, IdleCapacity: queue.HasIdleCapacity(),
//	})
//	if !d.Allowed {
//		return d.Reason
//	}
//
//	// While a call runs, after a.HedgeAfter:
//	d = retries.Hedge(budget.Attempt{Service: "retrievers", Idempotent: true, Attempts: 1, TimeLeft: left, Typical: a.Typical})
package budget
