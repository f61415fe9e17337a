package batching

import (
	"slices"
	"time"
)

// held is a result that takes up room at a target.
type held struct {
	worker  *worker
	bytes   int64
	expires time.Time
}

// Orphans returns the results that no job needs, for the runner to give up.
func (s *Scheduler) Orphans() []Result {
	o := s.orphans
	s.orphans = nil
	return o
}

// Fetched returns the inputs that may be given up because the last pieces of jobs
// in a call have fetched them, at targets that are short of room. Others are kept
// until the job is done, as a piece that fails has to fetch its inputs again. A job
// whose last pieces began with a later call is left to that one.
func (s *Scheduler) Fetched(c *Call, short func(target string) bool) []Result {
	var list []Result
	for _, p := range c.Pieces {
		j := p.Job
		if len(j.queue) > 0 || j.ended || j.began.After(c.Began) {
			continue
		}
		j.Release = slices.DeleteFunc(j.Release, func(r Result) bool {
			if short(r.Target) {
				list = append(list, r)
				return true
			}
			return false
		})
	}
	return list
}

// ShortOfRoom returns the targets of which more than a part of the memory for
// results is taken; nil when there is none.
func (s *Scheduler) ShortOfRoom() map[string]bool {
	var list map[string]bool
	for id, w := range s.workers {
		if s.profile.ResultBytes <= 0 || float64(w.room) < shortShare*float64(s.profile.ResultBytes) {
			continue
		}
		if list == nil {
			list = map[string]bool{}
		}
		list[id] = true
	}
	return list
}

// Free takes the handles of results that are no longer needed and returns the
// target of each that is known.
func (s *Scheduler) Free(handles []string) map[string][]string {
	byTarget := map[string][]string{}
	for _, h := range handles {
		r, ok := s.results[h]
		if !ok {
			continue
		}
		delete(s.results, h)
		byTarget[r.worker.ID] = append(byTarget[r.worker.ID], h)
		r.worker.room -= r.bytes
	}
	return byTarget
}

// expire releases the room of results whose lifetime is over.
func (s *Scheduler) expire(now time.Time) {
	for h, r := range s.results {
		if now.Before(r.expires) {
			continue
		}
		delete(s.results, h)
		r.worker.room -= r.bytes
	}
}
