package ledger

import (
	"bytes"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// waitingIDField is the field number of wire.WaitingRecord.id.
const waitingIDField = 1

// changeIDField is the field number of wire.ChangeAnswer.change_id.
const changeIDField = 1

// waiting holds the waiting requests. A record begins with its id, so that its
// beginning is the key.
type waiting struct {
	options     Options
	table       *table
	submissions *table            // wire.ChangeAnswer by customer and submission id
	submittedAs map[string]string // waiting id to the key in submissions
	ready       schedule          // by deadline: accepted, or the lease has expired
	leases      schedule          // by end of lease
	finished    schedule          // by finished_ms
	nextEpoch   uint64
	unfinished  int
}

func newWaiting(o Options) *waiting {
	return &waiting{
		options:     o,
		table:       newTable(),
		submissions: newTable(),
		submittedAs: map[string]string{},
	}
}

func appendWaitingKey(b []byte, id string) []byte {
	b = protowire.AppendTag(b, waitingIDField, protowire.BytesType)
	return protowire.AppendString(b, id)
}

// encodeWaiting returns the encoded record and the part of it that is its key.
func encodeWaiting(r *wire.WaitingRecord) (key, record string) {
	id := r.Id
	b := appendWaitingKey(make([]byte, 0, proto.Size(r)), id)
	n := len(b)
	r.Id = ""
	record = string(appendMessage(b, r))
	r.Id = id
	return record[:n], record
}

func decodeWaiting(record string) *wire.WaitingRecord {
	r := &wire.WaitingRecord{}
	mustUnmarshal(record, r)
	return r
}

func (w *waiting) slot(id string) (uint64, bool) {
	var buf [128]byte
	return w.table.find(appendWaitingKey(buf[:0], id))
}

// find returns the encoded record of a waiting request, or "".
func (w *waiting) find(id string) string {
	slot, ok := w.slot(id)
	if !ok {
		return ""
	}
	return w.table.at(slot)
}

// submit accepts a waiting request. A repeated submission id of the same
// customer gives the request that was accepted first.
func (w *waiting) submit(at step, c *wire.SubmitWaiting) *wire.Result {
	if field := missing("id", c.GetId(), "customer", c.GetCustomer(), "pipeline", c.GetPipeline()); field != "" {
		return invalid(field)
	}
	submission := submissionKey(c)
	if slot, ok := w.submissions.find([]byte(submission)); ok {
		return w.repeatSubmission(decodeWaiting(w.find(submissionTarget(w.submissions.at(slot)))), c)
	}
	if record := w.find(c.GetId()); record != "" {
		return w.repeatSubmission(decodeWaiting(record), c)
	}
	r := &wire.WaitingRecord{
		Id:         c.GetId(),
		Customer:   c.GetCustomer(),
		Pipeline:   c.GetPipeline(),
		Class:      c.GetClass(),
		Body:       c.GetBody(),
		DeadlineMs: c.GetDeadlineMs(),
		State:      wire.WaitingState_WAITING_STATE_ACCEPTED,
		AcceptedMs: at.nowMS,
	}
	w.event(at, r, "Accepted from "+c.GetCustomer()+" for pipeline "+c.GetPipeline()+".")
	key, record := encodeWaiting(r)
	slot := w.table.insert(key, record)
	w.unfinished++
	w.ready.push(entry{atMS: deadlineOrder(r.GetDeadlineMs()), slot: slot})
	if submission != "" {
		w.keepSubmission(at, submission, c.GetId())
	}
	return &wire.Result{Waiting: []*wire.WaitingRecord{r}}
}

// repeatSubmission answers a submission whose submission id or id is known. An
// id alone identifies a request only when neither has a submission id.
func (w *waiting) repeatSubmission(r *wire.WaitingRecord, c *wire.SubmitWaiting) *wire.Result {
	first := w.submittedAs[r.GetId()]
	if r.GetCustomer() != c.GetCustomer() || first != submissionKey(c) {
		return refuse(RefusedWaitingTaken, "The id %s belongs to another request.", c.GetId())
	}
	if r.GetPipeline() != c.GetPipeline() || !bytes.Equal(r.GetBody(), c.GetBody()) {
		return refuse(RefusedSubmissionMismatch, "The submission %s was already accepted with another content.", c.GetSubmissionId())
	}
	return &wire.Result{Waiting: []*wire.WaitingRecord{r}, Repeated: true}
}

// The submission ids are kept and written to snapshots as change answers, which
// hold only the id of the waiting request: the answer to a resend is built from
// its present record.

// submissionKey returns the key of a submission, or "" when it has no submission
// id. Its prefix tells submissions from the ids of configuration changes, and
// the length keeps two customers' ids apart.
func submissionKey(c *wire.SubmitWaiting) string {
	if c.GetSubmissionId() == "" {
		return ""
	}
	id := fmt.Sprintf("submission/%d/%s/%s", len(c.GetCustomer()), c.GetCustomer(), c.GetSubmissionId())
	return string(appendChangeID(nil, id))
}

func appendChangeID(b []byte, id string) []byte {
	b = protowire.AppendTag(b, changeIDField, protowire.BytesType)
	return protowire.AppendString(b, id)
}

func (w *waiting) keepSubmission(at step, key, id string) {
	answer := &wire.ChangeAnswer{
		AtMs:   at.nowMS,
		Result: &wire.Result{Waiting: []*wire.WaitingRecord{{Id: id}}},
	}
	record := string(appendMessage([]byte(key), answer))
	w.insertSubmission(record[:len(key)], record)
}

func (w *waiting) insertSubmission(key, record string) {
	w.submissions.insert(key, record)
	w.submittedAs[submissionTarget(record)] = key
}

func submissionTarget(record string) string {
	answer := &wire.ChangeAnswer{}
	mustUnmarshal(record, answer)
	return answer.GetResult().GetWaiting()[0].GetId()
}

// lease hands out the requests with the earliest deadlines, each under an epoch
// of its own, so that an epoch names one holder.
func (w *waiting) lease(at step, c *wire.LeaseWaiting) *wire.Result {
	if field := missing("entry", c.GetEntry()); field != "" {
		return invalid(field)
	}
	if c.GetLeaseMs() <= 0 {
		return invalid("lease time")
	}
	w.collectExpiredLeases(at.nowMS)
	result := &wire.Result{}
	for len(result.Waiting) < int(c.GetMax()) {
		e, ok := w.ready.peek()
		if !ok {
			break
		}
		w.ready.pop()
		r, ok := w.leasable(e.slot, at.nowMS)
		if !ok {
			continue
		}
		w.grant(at, e.slot, r, c)
		result.Waiting = append(result.Waiting, r)
	}
	return result
}

func (w *waiting) collectExpiredLeases(nowMS int64) {
	for {
		e, ok := w.leases.peek()
		if !ok || e.atMS > nowMS {
			return
		}
		w.leases.pop()
		// A renewed lease has a later entry, a finished request none.
		r, ok := w.leasable(e.slot, nowMS)
		if ok {
			w.ready.push(entry{atMS: deadlineOrder(r.GetDeadlineMs()), slot: e.slot})
		}
	}
}

// leasable returns the request in a slot when it's accepted or its lease has expired.
func (w *waiting) leasable(slot uint64, nowMS int64) (*wire.WaitingRecord, bool) {
	record := w.table.at(slot)
	if record == "" {
		return nil, false
	}
	r := decodeWaiting(record)
	switch r.GetState() {
	case wire.WaitingState_WAITING_STATE_ACCEPTED:
		return r, true
	case wire.WaitingState_WAITING_STATE_LEASED:
		return r, r.GetLeaseUntilMs() <= nowMS
	default:
		return nil, false
	}
}

func (w *waiting) grant(at step, slot uint64, r *wire.WaitingRecord, c *wire.LeaseWaiting) {
	text := "Taken up by " + c.GetEntry() + "."
	if r.GetHolder() != "" {
		text = "Taken over by " + c.GetEntry() + " because the lease of " + r.GetHolder() + " expired."
	}
	w.nextEpoch++
	r.State = wire.WaitingState_WAITING_STATE_LEASED
	r.Epoch = w.nextEpoch
	r.Holder = c.GetEntry()
	w.event(at, r, text)
	w.renew(at, slot, r, c.GetLeaseMs())
}

// renew extends the lease to leaseMS from now; it never shortens it.
func (w *waiting) renew(at step, slot uint64, r *wire.WaitingRecord, leaseMS int64) {
	r.LeaseUntilMs = max(r.GetLeaseUntilMs(), addMS(at.nowMS, leaseMS))
	w.leases.push(entry{atMS: r.GetLeaseUntilMs(), slot: slot})
	w.store(slot, r)
}

func (w *waiting) recordStage(at step, c *wire.RecordStage) *wire.Result {
	if field := missing("stage", c.GetStage()); field != "" {
		return invalid(field)
	}
	slot, r, refusal := w.held(c.GetId(), c.GetEpoch())
	if refusal != nil {
		return refusal
	}
	answer := &wire.Result{Waiting: []*wire.WaitingRecord{r}}
	if isFinished(r) {
		return refuseFinished(r)
	}
	for _, s := range r.GetStages() {
		if s.GetStage() != c.GetStage() {
			continue
		}
		if !bytes.Equal(s.GetResult(), c.GetResult()) {
			return refuse(RefusedStageExists, "Stage %s of request %s already has another result.", c.GetStage(), r.GetId())
		}
		answer.Repeated = true
		return answer
	}
	r.Stages = append(r.Stages, &wire.StageResult{Stage: c.GetStage(), Result: c.GetResult()})
	w.event(at, r, "Stage "+c.GetStage()+" finished at "+r.GetHolder()+".")
	w.renew(at, slot, r, max(c.GetLeaseMs(), 0))
	return answer
}

// renewLease extends the lease of an epoch that's still the newest.
func (w *waiting) renewLease(at step, c *wire.RenewWaiting) *wire.Result {
	slot, r, refusal := w.held(c.GetId(), c.GetEpoch())
	if refusal != nil {
		return refusal
	}
	if isFinished(r) {
		return refuseFinished(r)
	}
	w.renew(at, slot, r, max(c.GetLeaseMs(), 0))
	return &wire.Result{}
}

func (w *waiting) complete(at step, c *wire.CompleteWaiting) *wire.Result {
	if c.GetState() != wire.WaitingState_WAITING_STATE_DONE && c.GetState() != wire.WaitingState_WAITING_STATE_FAILED {
		return invalid("outcome (done or failed)")
	}
	slot, r, refusal := w.held(c.GetId(), c.GetEpoch())
	if refusal != nil {
		return refusal
	}
	if isFinished(r) {
		if r.GetState() != c.GetState() || !bytes.Equal(r.GetResult(), c.GetResult()) {
			return refuseFinished(r)
		}
		return &wire.Result{Waiting: []*wire.WaitingRecord{r}, Repeated: true}
	}
	r.State, r.Result, r.Reason = c.GetState(), c.GetResult(), c.GetReason()
	r.FinishedMs = at.nowMS
	w.event(at, r, completionSentence(r))
	w.store(slot, r)
	w.unfinished--
	w.finished.push(entry{atMS: r.GetFinishedMs(), slot: slot})
	return &wire.Result{Waiting: []*wire.WaitingRecord{r}}
}

// held returns the request when the epoch is that of its newest lease.
func (w *waiting) held(id string, epoch uint64) (uint64, *wire.WaitingRecord, *wire.Result) {
	slot, ok := w.slot(id)
	if !ok {
		return 0, nil, refuse(RefusedWaitingUnknown, "There is no record of the waiting request %s.", id)
	}
	r := decodeWaiting(w.table.at(slot))
	if r.GetEpoch() == 0 || r.GetEpoch() != epoch {
		holder := r.GetHolder()
		if holder == "" {
			holder = "nobody yet"
		}
		return 0, nil, refuse(RefusedStaleEpoch, "Request %s is worked on by %s under epoch %d, so work under epoch %d doesn't count.", id, holder, r.GetEpoch(), epoch)
	}
	return slot, r, nil
}

func refuseFinished(r *wire.WaitingRecord) *wire.Result {
	return refuse(RefusedWaitingFinished, "Request %s was already finished by %s.", r.GetId(), r.GetHolder())
}

func completionSentence(r *wire.WaitingRecord) string {
	if r.GetState() == wire.WaitingState_WAITING_STATE_DONE {
		return "Finished by " + r.GetHolder() + "."
	}
	return "Given up by " + r.GetHolder() + ": " + r.GetReason() + "."
}

func (w *waiting) store(slot uint64, r *wire.WaitingRecord) {
	key, record := encodeWaiting(r)
	w.table.replace(slot, key, record)
}

func (w *waiting) event(at step, r *wire.WaitingRecord, text string) {
	r.Events = appendEvent(r.Events, w.options.MaxEvents, at, text)
}

// expire removes at most limit requests that finished before beforeMS.
func (w *waiting) expire(beforeMS int64, limit int) int {
	n := 0
	for n < limit {
		e, ok := w.finished.peek()
		if !ok || e.atMS >= beforeMS {
			break
		}
		w.finished.pop()
		r := decodeWaiting(w.table.at(e.slot))
		key, _ := encodeWaiting(r)
		w.table.remove(e.slot, key)
		w.forgetSubmission(r.GetId())
		n++
	}
	return n
}

func (w *waiting) forgetSubmission(id string) {
	key, ok := w.submittedAs[id]
	if !ok {
		return
	}
	delete(w.submittedAs, id)
	slot, _ := w.submissions.find([]byte(key))
	w.submissions.remove(slot, key)
}

func isFinished(r *wire.WaitingRecord) bool {
	return r.GetState() == wire.WaitingState_WAITING_STATE_DONE || r.GetState() == wire.WaitingState_WAITING_STATE_FAILED
}

// deadlineOrder returns the key by which leases are handed out; a request
// without a deadline comes last.
func deadlineOrder(deadlineMS int64) int64 {
	if deadlineMS <= 0 {
		return math.MaxInt64
	}
	return deadlineMS
}

// addMS adds a positive duration and stops at the largest time.
func addMS(nowMS, ms int64) int64 {
	if ms > math.MaxInt64-nowMS {
		return math.MaxInt64
	}
	return nowMS + ms
}
