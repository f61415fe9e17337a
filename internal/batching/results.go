package batching

import (
	"slices"
	"time"
)

// storedResult is a result that takes up memory at a target.
type storedResult struct {
	worker  *worker
	bytes   int64
	expires time.Time
}

// Orphans returns the results that no job needs, for the collector to release.
func (s *Scheduler) Orphans() []Result {
	o := s.orphans
	s.orphans = nil
	return o
}

// ReleasableInputs returns the inputs that may be released because the last pieces of
// jobs in a call have fetched them, at targets that are short of memory. Other inputs
// are kept until the job is done, because a failed piece has to fetch its inputs
// again. A job whose last pieces started in a later call is left to that call.
func (s *Scheduler) ReleasableInputs(c *Call, lowMemory func(target string) bool) []Result {
	var list []Result
	for _, p := range c.Pieces {
		j := p.Job
		if len(j.queue) > 0 || j.finished || j.startedAt.After(c.StartedAt) {
			continue
		}
		j.Release = slices.DeleteFunc(j.Release, func(r Result) bool {
			if lowMemory(r.Target) {
				list = append(list, r)
				return true
			}
			return false
		})
	}
	return list
}

// LowMemoryTargets returns the targets whose used share of result memory has reached
// lowMemoryShare, or nil when there are none.
func (s *Scheduler) LowMemoryTargets() map[string]bool {
	var list map[string]bool
	for id, w := range s.workers {
		if s.profile.ResultBytes <= 0 || float64(w.resultBytes) < lowMemoryShare*float64(s.profile.ResultBytes) {
			continue
		}
		if list == nil {
			list = map[string]bool{}
		}
		list[id] = true
	}
	return list
}

// RemoveResults removes results that are no longer needed and returns the handles of
// the known ones by target.
func (s *Scheduler) RemoveResults(handles []string) map[string][]string {
	byTarget := map[string][]string{}
	for _, h := range handles {
		r, ok := s.results[h]
		if !ok {
			continue
		}
		delete(s.results, h)
		byTarget[r.worker.ID] = append(byTarget[r.worker.ID], h)
		r.worker.addBytes(-r.bytes, s.seenAt)
	}
	return byTarget
}

func (s *Scheduler) storeResult(handle string, w *worker, bytes int64, now time.Time) {
	expires := now.Add(s.profile.ResultTTL)
	if len(s.results) == 0 || expires.Before(s.nextExpiry) {
		s.nextExpiry = expires
	}
	s.results[handle] = storedResult{worker: w, bytes: bytes, expires: expires}
}

// expireResults frees the memory of results whose lifetime is over.
func (s *Scheduler) expireResults(now time.Time) {
	if now.Before(s.nextExpiry) {
		return
	}
	next := now.Add(s.profile.ResultTTL)
	for h, r := range s.results {
		if now.Before(r.expires) {
			if r.expires.Before(next) {
				next = r.expires
			}
			continue
		}
		delete(s.results, h)
		r.worker.addBytes(-r.bytes, now)
	}
	s.nextExpiry = next
}
