// Package placement decides which models are loaded on which engines.
//
// Plan is a pure function of the state at the control VM: the models that stages
// need, the engines of the roster, the demand, the orders in flight and the failed
// loads. Runner collects this state once a second on the leader of the replicated
// log and sends the orders to the agents with the fencing token of the scope
// placement.
//
// A model that a stage needs gets at least two copies, in different failure
// domains if possible, and more by demand. An engine without a needed model gets
// one, because it cannot serve requests otherwise. A copy is unloaded only to free
// memory for a needed model, only after the quiet time, and only if it exceeds both
// the minimum and the demand during that time.
//
// # Usage
//
//	r, err := placement.NewRunner(placement.Options{Timers: ts, Leader: control, Roster: ros, ...})
//	kernel.Register("placement", r)
package placement
