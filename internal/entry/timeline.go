package entry

import (
	"net/http"
	"time"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/explain"
	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// timeline records the events of one request for the explain command.
type timeline struct {
	records *explain.Recorder
	id      string
}

func (e *Entry) newTimeline(id string) *timeline {
	return &timeline{records: e.records, id: id}
}

func (s *timeline) add(event explain.Event) {
	s.records.Record(s.id, event)
}

func (s *timeline) accepted(r *request, what string) {
	s.add(explain.NewAccepted(r.customer.Name(), what, r.class.Name(), r.deadline.Sub(r.startedAt)))
}

func (s *timeline) admitted(waited time.Duration) {
	s.add(explain.NewAdmitted(waited))
}

func (s *timeline) dispatched(stage string, c routing.Choice, attempt string) {
	s.add(explain.NewDispatched(stage, c.Target, c.FailureDomain, attempt))
}

func (s *timeline) finished(stage string, r *callResult) {
	s.add(explain.NewFinished(stage, r.target, r.took))
}

func (s *timeline) retried(stage, target, reason string) {
	s.add(explain.NewRetried(stage, target, reason))
}

func (s *timeline) moved(stage, from, to string) {
	s.add(explain.NewMoved(stage, from, to, attempt.FrameTimeout))
}

func (s *timeline) hedged(stage, target string, after time.Duration) {
	s.add(explain.NewHedged(stage, target, after))
}

func (s *timeline) claimed(c *wire.ClaimOrder) {
	s.add(explain.NewClaimed(c.GetOrderId(), c.GetAgent(), c.GetAttempt()))
}

func (s *timeline) settled(order, outcome, reason string) {
	s.add(explain.NewSettled(order, outcome, reason))
}

func (s *timeline) answered(a *answer) {
	if a.outcome == outcomeNotRun {
		s.add(explain.NewRefused(a.reason, a.detail))
	}
	s.add(explain.NewTold(a.outcome, a.reason))
}

// TimelineRecord is the timeline of one request as served by the admin page of an entry.
type TimelineRecord struct {
	Request string `json:"request"`
	Entry   string `json:"entry"`
	Text    string `json:"text"`
}

func (e *Entry) serveRecord(w http.ResponseWriter, r *http.Request) {
	found, ok := e.records.Find(r.PathValue("id"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, TimelineRecord{Request: found.Request(), Entry: e.o.Name, Text: found.Render(time.UTC)})
}
