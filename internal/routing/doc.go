// Package routing decides which target of a service gets a call.
//
// A Pool holds what one entry process knows of the targets of one service. It
// never reads the clock: the caller passes the current time, so that decisions
// can be repeated in tests and explained afterwards. A Pool is safe for
// concurrent use.
//
// # Usage
//
//	pool := routing.NewPool(routing.Options{
//		Service:       "generators",
//		FailureDomain: "milford",
//		Policy:        routing.Adaptive{},
//		Seed:          seed,
//	})
//	pool.Sync(targets, now)             // at each roster change
//	pool.Report("engine-1", load, now)  // with each load report
//	pool.Tick(now)                      // every routing.TickPeriod
//	queue.SetSlots(pool.Slots() / entries)
//
//	choice, err := pool.Pick(routing.Request{Model: "bunker-7b", Prefix: prefix, Exclude: tried}, now)
//	if err != nil {
//		return err // *NoTargetError names the reason
//	}
//	// send the call to choice.Address, then exactly once:
//	pool.Finish(choice, routing.Success{Latency: latency, Busy: busy, Expected: expected}, now)
//
// A call that runs longer than most is reported with Overdue, so that others
// avoid its target before it times out. When Pick fails with
// ShortageAllExcluded, the entry may ask again excluding only the last target.
//
// Pick counts the call as in flight at the target until Finish is called with
// the same Choice. A call that is never sent is finished with Canceled.
//
// At the target size an entry works on a subset of each pool:
//
//	names := routing.Subset(entry, entries, targetNames, size)
package routing
