package quarantine

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

const (
	// comparisonInterval is the mean time between two requests, of all gateways, that have only
	// some of a set of suspects and are let through.
	comparisonInterval = 2 * time.Second
	// comparisonRetry is the time after which a caller may return whose request has only some of a
	// set of suspects and isn't let through.
	comparisonRetry = time.Second
)

// suspects are parts with the same crashes, any of which may be their cause. A request with all of
// them is refused. The outcome of one with only some of them distinguishes them, so that a few of
// these are let through.
type suspects struct {
	ids []string
	// nextAt is when this process lets the next such request through. It is zero before the
	// first one.
	nextAt time.Time
}

func newSuspects(entries []*entry) *suspects {
	s := &suspects{}
	for _, e := range entries {
		s.ids = append(s.ids, e.part.id)
		e.suspects = s
	}
	slices.Sort(s.ids)
	return s
}

// others returns the suspects beside a part.
func (s *suspects) others(id string) []string {
	return slices.DeleteFunc(slices.Clone(s.ids), func(o string) bool { return o == id })
}

// within reports whether a request with parts has all of the suspects.
func (s *suspects) within(ids []string) bool {
	return !slices.ContainsFunc(s.ids, func(id string) bool { return !slices.Contains(ids, id) })
}

// compare reports whether a request with only some of the suspects is let through now. Each of the
// gateways begins at a time of its own after its first such request, so that all of them together
// let few through until the outcome of one is known to all.
func (s *suspects) compare(process string, gateways int, now time.Time) bool {
	cycle := time.Duration(max(gateways, 1)) * comparisonInterval
	if s.nextAt.IsZero() {
		h := fnv.New64a()
		_, _ = h.Write([]byte(process + "\n" + strings.Join(s.ids, "\n")))
		s.nextAt = now.Add(time.Duration(h.Sum64()%uint64(cycle)) - comparisonInterval/2)
	}
	if now.Before(s.nextAt) {
		return false
	}
	s.nextAt = now.Add(cycle)
	return true
}

// separate divides the sets of suspects whose parts no longer have the same crashes. Those whose
// crashes all count against another one as well are no longer blocked; q.mu is held.
func (q *Register) separate(now time.Time) {
	sets := map[*suspects][]*entry{}
	for _, e := range q.entries {
		if !e.blockedAt.IsZero() && len(e.suspects.ids) > 1 {
			sets[e.suspects] = append(sets[e.suspects], e)
		}
	}
	for set, members := range sets {
		explained := map[string]bool{}
		for _, e := range q.entries {
			if !e.blockedAt.IsZero() && e.suspects != set && (members[0].part.isRequest() || !e.part.isRequest()) {
				explain(explained, e)
			}
		}
		classes := map[string][]*entry{}
		engines := map[string][]string{}
		for _, e := range members {
			list := enginesOf(q.counted(e, explained, now))
			key := strings.Join(list, "\n")
			engines[key] = list
			classes[key] = append(classes[key], e)
		}
		if len(classes) == 1 {
			continue
		}
		for key, class := range classes {
			if hasSuperset(engines, key) {
				for _, e := range class {
					q.unblock(e)
				}
				continue
			}
			s := newSuspects(class)
			for _, e := range class {
				q.onChange(Change{part: e.part.id, blocked: true, crashes: len(e.crashes), others: s.others(e.part.id)})
			}
		}
	}
}

// hasSuperset reports whether another class has all engines of a class.
func hasSuperset(engines map[string][]string, key string) bool {
	for other, list := range engines {
		if other != key && !slices.ContainsFunc(engines[key], func(e string) bool { return !slices.Contains(list, e) }) {
			return true
		}
	}
	return false
}

// enginesOf returns the engines of crashes.
func enginesOf(crashes []Crash) []string {
	list := make([]string, len(crashes))
	for i, c := range crashes {
		list[i] = c.engine
	}
	slices.Sort(list)
	return list
}
