// Package placement decides which models are loaded on which engines.
//
// Plan is a pure function of what the control VM knows: the models that stages
// need, the engines of the roster, the demand, the orders in flight and the
// loads that failed. Runner collects this state once a second at the leader of
// the replicated log and sends the orders to the agents under the fencing token
// of the scope placement.
//
// A model that a stage needs gets at least two copies, in different failure
// domains where there are any, and more by demand. An engine without a needed
// model gets one, because it can't serve otherwise. A copy is unloaded only to
// make room for a needed model, only after the quiet time, and only when it is
// above the minimum and what the demand asked for during that time.
//
// # Usage
//
//	r, err := placement.NewRunner(placement.Options{Timers: ts, Leader: control, Roster: ros, ...})
//	kernel.Register("placement", r)
package placement
