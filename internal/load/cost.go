package load

import (
	"cmp"
	"slices"

	"github.com/cardamomline/cardamomline/internal/report"
	"github.com/cardamomline/cardamomline/internal/standin"
)

type costKey struct{ service, operation, customer string }

type stageKey struct{ request, operation string }

// stageCosts sums the accounts by service, operation and customer, and finds the
// work whose result no caller used.
//
// An attempt is used when its request was answered done and it is the finished
// attempt with the latest end of its stage. When that attempt resumed a text, the
// earlier attempts of the stage that generated tokens are used as well.
func stageCosts(records []Record, accounts []standin.Account) []report.StageCost {
	answered := make(map[string]bool)
	for i := range records {
		if a := records[i].Answer; a != nil && a.Outcome == OutcomeDone {
			answered[a.RequestID] = true
			// A repeated answer is the result of an earlier request.
			answered[standin.MadeFor(a.Output)] = true
		}
	}
	best := bestAttempts(accounts)
	costs := make(map[costKey]*report.StageCost)
	for i := range accounts {
		for j := range accounts[i].Attempts {
			at := &accounts[i].Attempts[j]
			key := costKey{accounts[i].Service, at.Operation, at.Customer}
			if costs[key] == nil {
				costs[key] = &report.StageCost{Service: key.service, Operation: key.operation, Customer: key.customer}
			}
			addCost(costs[key], at, answered[at.Request] && used(at, best[stageKey{at.Request, at.Operation}]))
		}
	}
	out := []report.StageCost{}
	for _, c := range costs {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b report.StageCost) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Customer, b.Customer))
	})
	return out
}

func bestAttempts(accounts []standin.Account) map[stageKey]*standin.AttemptRecord {
	best := make(map[stageKey]*standin.AttemptRecord)
	for i := range accounts {
		for j := range accounts[i].Attempts {
			at := &accounts[i].Attempts[j]
			key := stageKey{at.Request, at.Operation}
			if at.State == standin.StateFinished && (best[key] == nil || at.EndMS > best[key].EndMS) {
				best[key] = at
			}
		}
	}
	return best
}

func used(at, best *standin.AttemptRecord) bool {
	if best == nil {
		return false
	}
	return at.Attempt == best.Attempt || (best.FromOffset > 0 && at.Tokens > 0 && at.FromOffset < best.FromOffset)
}

func addCost(c *report.StageCost, at *standin.AttemptRecord, used bool) {
	c.Attempts++
	c.BusyMS += at.BusyMS
	c.Tokens += at.Tokens
	if !used {
		c.UnusedMS += at.BusyMS
	}
	switch at.State {
	case standin.StateFinished:
		c.Finished++
	case standin.StateCanceled:
		c.Canceled++
	case standin.StateFailed:
		c.Failed++
	}
}
