// Package explain keeps what happened to the newest requests of an entry and
// renders it as plain sentences that an operator can pass on to a manager. It
// also renders the order and waiting records of the ledger.
//
// # Usage
//
//	r := explain.New(explain.Options{Timer: ts})
//	r.Record(requestID, explain.NewAccepted(customer, pipeline, class, deadline))
//	r.Record(requestID, explain.NewDispatched(stage, target, failureDomain, attempt))
//	if timeline, ok := r.Find(requestID); ok {
//		fmt.Print(timeline.Render(time.UTC))
//	}
package explain

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// Defaults of Options.
const (
	// DefaultRequests is the number of requests kept. With ten events of about
	// 150 bytes each they take 3 MB.
	DefaultRequests = 2048
	// DefaultEvents is the number of events kept for one request.
	DefaultEvents = 64
)

// minEvents leaves room for the first event and the newest one.
const minEvents = 2

// Options bound a Recorder. Zero values select the defaults.
type Options struct {
	// Timer is the source of time.
	Timer *timer.Service
	// Requests is the number of requests kept; the oldest are dropped first.
	Requests int
	// Events is the number of events kept for one request: its first and its
	// newest ones.
	Events int
}

func (o Options) withDefaults() Options {
	if o.Timer == nil {
		o.Timer = timer.NewService()
	}
	if o.Requests <= 0 {
		o.Requests = DefaultRequests
	}
	if o.Events <= 0 {
		o.Events = DefaultEvents
	}
	o.Events = max(o.Events, minEvents)
	return o
}

// Recorder keeps the newest requests. It's safe for concurrent use.
type Recorder struct {
	options Options

	mu        sync.Mutex
	timelines map[string]*Timeline
	ring      []string // request ids in order of their first event
	next      int      // place of the next request in the ring
}

// New returns an empty Recorder.
func New(o Options) *Recorder {
	o = o.withDefaults()
	return &Recorder{options: o, timelines: map[string]*Timeline{}, ring: make([]string, o.Requests)}
}

// Record adds an event to a request. The first event of a request makes room
// for it by dropping the oldest request.
func (r *Recorder) Record(request string, e Event) {
	now := r.options.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.timelines[request]
	if s == nil {
		delete(r.timelines, r.ring[r.next])
		r.ring[r.next] = request
		r.next = (r.next + 1) % len(r.ring)
		s = &Timeline{request: request}
		r.timelines[request] = s
	}
	s.add(happening{at: now, event: e}, r.options.Events)
}

// Find returns what is known of a request.
func (r *Recorder) Find(request string) (*Timeline, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.timelines[request]
	if s == nil {
		return nil, false
	}
	return &Timeline{request: s.request, happenings: slices.Clone(s.happenings), left: s.left}, true
}

type happening struct {
	at    time.Time
	event Event
}

// Timeline is what happened to one request.
type Timeline struct {
	request    string
	happenings []happening
	left       int // events left out after the first half of those kept
}

func (s *Timeline) add(h happening, limit int) {
	if len(s.happenings) == limit {
		s.happenings = slices.Delete(s.happenings, limit/2, limit/2+1)
		s.left++
	}
	s.happenings = append(s.happenings, h)
}

// Request returns the id of the request.
func (s *Timeline) Request() string { return s.request }

// Render returns the timeline as lines of text, each with the clock time in the
// location, the time since the line before, and a sentence.
func (s *Timeline) Render(location *time.Location) string {
	var b strings.Builder
	first := s.happenings[0].at
	fmt.Fprintf(&b, "Request %s on %s (%s):\n", s.request, first.In(location).Format(dateLayout), location)
	previous := first
	for i, h := range s.happenings {
		if s.left > 0 && i == (len(s.happenings)+1)/2 {
			fmt.Fprintf(&b, "  (%d events left out)\n", s.left)
		}
		fmt.Fprintf(&b, "  %s%s %s\n", h.at.In(location).Format(clockLayout), later(h.at.Sub(previous)), h.event.sentence(h.at.Sub(first)))
		previous = h.at
	}
	return b.String()
}

// later returns the time between two lines, or nothing when it's too short to matter.
func later(d time.Duration) string {
	if d < time.Millisecond {
		return ""
	}
	return " (+" + span(d) + ")"
}
