// Package budget divides the deadline of a request between its stages and
// decides on early refusal, retries and hedges.
//
// A request has one deadline. Each call is given the time left, less what later
// stages need. An Estimator blends the durations that the manifest expects with
// observed ones. Retries bounds repeated calls to a share of the traffic. All
// take the current time or the time left as an argument; Estimator and Retries
// are safe for concurrent use, a Plan never changes.
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
//	// On arrival; wait is what admission.Queue.ExpectedWait says for each stage.
//	if v := plan.CanFinish(estimator, nil, left, wait, now); !v.Fits {
//		return v.Reason // not_enough_time
//	}
//
//	// For each stage:
//	a := plan.Allot(estimator, "retrieve", left, now)
//	retries.Request("retrievers")
//	// send the call with a.Limit as its time, then
//	estimator.Observe(plan.Key("retrieve"), latency, now)
//
//	// After a failure:
//	d := retries.Retry(budget.Attempt{
//		Service: "retrievers", Idempotent: true, Tried: 1,
//		Left: left, Typical: a.Typical, Cause: budget.FailedCall{}, Spare: queue.Spare(),
//	})
//	if !d.Allowed {
//		return d.Reason
//	}
//
//	// While a call runs, after a.HedgeAfter:
//	d = retries.Hedge(budget.Attempt{Service: "retrievers", Idempotent: true, Tried: 1, Left: left, Typical: a.Typical})
package budget
