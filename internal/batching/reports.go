package batching

import (
	"math"
	"time"
)

const (
	// reportAge is the assumed age of what a report says. Targets update their reports
	// every few hundred milliseconds.
	reportAge = 300 * time.Millisecond
	// reportInterval is the shortest time between two requests for a report of one target.
	reportInterval = 200 * time.Millisecond
	// reportTimeout limits a request for a report. The next one is sent only after it.
	reportTimeout = 500 * time.Millisecond
	// firstReportWait is how long a target gets no call after collecting began, unless its
	// first report arrives earlier. A report takes a few milliseconds; a lost packet takes
	// longer than this.
	firstReportWait = 100 * time.Millisecond
	// reportMargin is added to the lifetime of results: a call of an earlier collector may
	// still end shortly after this one has begun.
	reportMargin = time.Second
	// reportsAfterRejection is how long reports are requested after a target rejected a
	// piece for lack of memory.
	reportsAfterRejection = time.Second
	// reportHold is how long the memory of other collectors in a report counts in full when
	// no newer report arrives. It is longer than a few lost reports.
	reportHold = time.Second
	// minReportSteps is the number of steps that the memory of a target has to have in its
	// reports. A target with 0.85 MB that reports whole megabytes looks full all the time; what
	// it rejects says more.
	minReportSteps = 10
)

// TargetReport is what a target reports of itself.
type TargetReport struct {
	Queued    int   // calls that wait at the target
	Busy      int   // calls that run
	FreeBytes int64 // free result memory, rounded down to a multiple of Resolution
	// Resolution is the step in which FreeBytes is stated, in bytes.
	Resolution int64
	// Latency is how long work takes at the moment, relative to the usual time; 0 if the target
	// didn't say. Unlike the rest it is of the time of the answer.
	Latency float64
}

// memoryUse is the memory that own results take at a target from a time on.
type memoryUse struct {
	at    time.Time
	bytes int64
}

// reportState is what the Scheduler knows about the reports of a target.
type reportState struct {
	requestedAt time.Time
	inFlight    bool
	answered    bool // a request has ended since collecting began
	// clear says that the last report showed no results of others, so that no more are
	// requested before the target rejects a piece.
	clear bool
	until time.Time // end of reports because of a rejection
}

// addBytes changes the memory that own results take at the target, and remembers the former
// values for as long as a report may refer to them.
func (w *worker) addBytes(n int64, now time.Time) {
	if len(w.uses) == 0 {
		w.uses = append(w.uses, memoryUse{bytes: w.resultBytes})
	}
	w.resultBytes += n
	if last := &w.uses[len(w.uses)-1]; !now.After(last.at) {
		last.bytes = w.resultBytes
		return
	}
	w.uses = append(w.uses, memoryUse{at: now, bytes: w.resultBytes})
	old := 0
	for old+1 < len(w.uses) && now.Sub(w.uses[old+1].at) > 2*reportAge {
		old++
	}
	if old > len(w.uses)/2 {
		w.uses = append(w.uses[:0], w.uses[old:]...)
	}
}

// bytesAt returns the memory that own results took at a time.
func (w *worker) bytesAt(at time.Time) int64 {
	for i := len(w.uses) - 1; i >= 0; i-- {
		if !w.uses[i].at.After(at) {
			return w.uses[i].bytes
		}
	}
	return w.resultBytes
}

// removeUnused subtracts the bytes of a piece that took no memory, now and for the time since
// its call began.
func (w *worker) removeUnused(bytes int64, since, now time.Time) {
	for i := range w.uses {
		if !w.uses[i].at.Before(since) {
			w.uses[i].bytes -= bytes
		}
	}
	w.resultBytes -= bytes
	w.addBytes(0, now)
}

// othersBytes returns the memory attributed to results of other collectors. A guess decays
// because the lifetime of the results isn't known; a report counts in full until the next
// one is overdue.
func (w *worker) othersBytes(now time.Time) int64 {
	since := max(now.Sub(w.othersAt), 0)
	return int64(float64(w.otherBytes) * math.Exp(-since.Seconds()/otherBytesDecay.Seconds()))
}

// BeginCollecting says that results of another collector may take up memory at the targets, and
// requests reports until their lifetime is over.
func (s *Scheduler) BeginCollecting(now time.Time) {
	s.collectingSince = now
	for _, w := range s.workers {
		w.report.answered, w.report.clear = false, false
	}
}

// isCollectingNewly reports whether results of an earlier collector may still exist.
func (s *Scheduler) isCollectingNewly(now time.Time) bool {
	return !s.collectingSince.IsZero() && now.Before(s.collectingSince.Add(s.profile.ResultTTL+reportMargin))
}

// awaitsReport reports whether calls to a target wait for its first report.
func (s *Scheduler) awaitsReport(w *worker, now time.Time) bool {
	return s.profile.ResultBytes > 0 && !s.reportsAreCoarse && !w.report.answered && !s.collectingSince.IsZero() && now.Before(s.collectingSince.Add(firstReportWait))
}

// ReportsDue returns the targets to request a report from now, and the time after which to call
// it again; 0 means that this isn't needed before a call ends or collecting begins.
// RecordReport has to be called once for each.
func (s *Scheduler) ReportsDue(now time.Time) (due []Target, again time.Duration) {
	if s.profile.ResultBytes <= 0 || s.reportsAreCoarse {
		return nil, 0
	}
	newly := s.isCollectingNewly(now)
	for _, w := range s.order {
		r := &w.report
		if r.inFlight || !now.Before(r.until) && (!newly || r.clear) || now.Before(w.PausedUntil) {
			continue
		}
		left := max(r.requestedAt.Add(reportInterval).Sub(now), 0)
		if left == 0 {
			r.inFlight, r.requestedAt = true, now
			due = append(due, w.Target)
			left = reportInterval
		}
		if again == 0 || left < again {
			again = left
		}
	}
	if s.awaitsAnyReport(now) {
		left := s.collectingSince.Add(firstReportWait).Sub(now) // calls may start without a report then
		if again == 0 || left < again {
			again = left
		}
	}
	return due, again
}

// awaitsAnyReport reports whether calls to any target wait for its first report.
func (s *Scheduler) awaitsAnyReport(now time.Time) bool {
	for _, w := range s.order {
		if s.awaitsReport(w, now) {
			return true
		}
	}
	return false
}

// RecordReport records the end of a request for a report; r is nil if there was no usable
// answer. What the target holds beyond this collector's own results at the time of the report
// belongs to others. Results placed since then count in addition. It returns the memory of
// others, and whether that is news: there was none before, or there is none any more.
func (s *Scheduler) RecordReport(t Target, r *TargetReport, now time.Time) (others int64, changed bool) {
	w := s.workers[t.ID]
	if w == nil || !w.Started.Equal(t.Started) {
		return 0, false
	}
	w.report.inFlight = false
	w.report.answered = true
	before := w.othersBytes(now)
	if r != nil {
		w.recordSample(r.Latency, now)
	}
	if r == nil || s.profile.ResultBytes <= 0 {
		return before, false
	}
	if s.reportsAreCoarse = r.Resolution*minReportSteps > s.profile.ResultBytes; s.reportsAreCoarse {
		return before, false
	}
	at := now.Add(-reportAge)
	free := r.FreeBytes + r.Resolution/2
	others = min(max(s.profile.ResultBytes-free-w.bytesAt(at), 0), s.profile.ResultBytes)
	if at.Before(w.rejectedAt) {
		others = max(others, before) // the report is older than the rejection
	}
	w.otherBytes, w.othersAt = others, now.Add(reportHold)
	// Until reportAge has passed, the report may be older than the last call of others.
	w.report.clear = others == 0 && r.Queued+r.Busy <= len(w.running) && !at.Before(s.collectingSince)
	return others, (before == 0) != (others == 0)
}
