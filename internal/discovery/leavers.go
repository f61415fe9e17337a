package discovery

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// maxLeavers bounds the records of one message.
const maxLeavers = 1024

// leaversExchange gives a control VM that has started the records of targets that drain or have
// ended. It would otherwise take an announcement from before that is delivered late for a new one.
type leaversExchange struct{ complete bool }

// request adds the records to a watch, if the control VM doesn't have them.
func (x *leaversExchange) request(r *wire.WatchRequest, t *Table) {
	r.Leaving = nil
	if !x.complete {
		r.Leaving = t.leavers()
	}
}

// receive records the response to the watch.
func (x *leaversExchange) receive(r *wire.WatchRequest, resp *wire.WatchResponse) {
	x.complete = r.GetEpoch() == "" || r.GetEpoch() == resp.GetEpoch()
}

// leavers returns the records of targets that drain or have ended, at most maxLeavers.
func (t *Table) leavers() []*wire.RegisteredTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire.RegisteredTarget
	for _, e := range t.entries {
		if e.record.GetState() != wire.TargetState_TARGET_STATE_READY && len(list) < maxLeavers {
			list = append(list, e.record)
		}
	}
	return list
}

// MergeLeavers merges the records of targets that drain or have ended.
func (t *Table) MergeLeavers(list []*wire.RegisteredTarget, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list[:min(len(list), maxLeavers)] {
		t.merge(r, now)
	}
}
