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

// waiting stores the waiting requests. An encoded record starts with its id, so that
// a prefix of the record is its key.
type waiting struct {
	options        Options
	table          *table
	submissions    *table            // wire.ChangeAnswer by customer and submission id
	submissionKeys map[string]string // waiting id to the key in submissions
	ready          schedule          // by deadline: accepted, or the lease has expired
	leased         schedule          // by end of the lease
	finished       schedule          // by finished_ms
	nextEpoch      uint64
	unfinished     int
}

func newWaiting(o Options) *waiting {
	return &waiting{
		options:        o,
		table:          newTable(),
		submissions:    newTable(),
		submissionKeys: map[string]string{},
	}
}

func appendWaitingKey(b []byte, id string) []byte {
	b = protowire.AppendTag(b, waitingIDField, protowire.BytesType)
	return protowire.AppendString(b, id)
}

// encodeWaiting returns the encoded record and the prefix of it that is the key.
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

// find returns the encoded record of a waiting request, or "" if there is none.
func (w *waiting) find(id string) string {
	slot, ok := w.slot(id)
	if !ok {
		return ""
	}
	return w.table.at(slot)
}

// submit accepts a waiting request. For a repeated submission id of the same
// customer it returns the request that was accepted first.
func (w *waiting) submit(pos logPosition, c *wire.SubmitWaiting) *wire.Result {
	if field := firstMissing("id", c.GetId(), "customer", c.GetCustomer(), "pipeline", c.GetPipeline()); field != "" {
		return rejectInvalid(field)
	}
	submission := submissionKey(c)
	if slot, ok := w.submissions.find([]byte(submission)); ok {
		return w.repeatedSubmission(decodeWaiting(w.find(submittedID(w.submissions.at(slot)))), c)
	}
	if record := w.find(c.GetId()); record != "" {
		return w.repeatedSubmission(decodeWaiting(record), c)
	}
	r := &wire.WaitingRecord{
		Id:         c.GetId(),
		Customer:   c.GetCustomer(),
		Pipeline:   c.GetPipeline(),
		Class:      c.GetClass(),
		Body:       c.GetBody(),
		DeadlineMs: c.GetDeadlineMs(),
		State:      wire.WaitingState_WAITING_STATE_ACCEPTED,
		AcceptedMs: pos.nowMS,
	}
	w.addEvent(pos, r, "Accepted from "+c.GetCustomer()+" for pipeline "+c.GetPipeline()+".")
	key, record := encodeWaiting(r)
	slot := w.table.insert(key, record)
	w.unfinished++
	w.ready.push(entry{atMS: deadlineOrder(r.GetDeadlineMs()), slot: slot})
	if submission != "" {
		w.storeSubmission(pos, submission, c.GetId())
	}
	return &wire.Result{Waiting: []*wire.WaitingRecord{r}}
}

// repeatedSubmission returns the result for a known submission id or id. An id alone
// identifies a request only if neither submission has a submission id.
func (w *waiting) repeatedSubmission(r *wire.WaitingRecord, c *wire.SubmitWaiting) *wire.Result {
	first := w.submissionKeys[r.GetId()]
	if r.GetCustomer() != c.GetCustomer() || first != submissionKey(c) {
		return reject(RefusedWaitingTaken, "The id %s belongs to another request.", c.GetId())
	}
	if r.GetPipeline() != c.GetPipeline() || !bytes.Equal(r.GetBody(), c.GetBody()) {
		return reject(RefusedSubmissionMismatch, "The submission %s was already accepted with another content.", c.GetSubmissionId())
	}
	return &wire.Result{Waiting: []*wire.WaitingRecord{r}, Repeated: true}
}

// Submission ids are stored, also in snapshots, as change answers that contain only
// the id of the waiting request. The result of a retry is built from its current record.

// submissionKey returns the key of a submission, or "" if it has no submission id.
// The prefix distinguishes submissions from configuration changes, and the length
// prevents collisions between the ids of different customers.
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

func (w *waiting) storeSubmission(pos logPosition, key, id string) {
	answer := &wire.ChangeAnswer{
		AtMs:   pos.nowMS,
		Result: &wire.Result{Waiting: []*wire.WaitingRecord{{Id: id}}},
	}
	record := string(appendMessage([]byte(key), answer))
	w.insertSubmission(record[:len(key)], record)
}

func (w *waiting) insertSubmission(key, record string) {
	w.submissions.insert(key, record)
	w.submissionKeys[submittedID(record)] = key
}

func submittedID(record string) string {
	answer := &wire.ChangeAnswer{}
	mustUnmarshal(record, answer)
	return answer.GetResult().GetWaiting()[0].GetId()
}

// lease leases the requests with the earliest deadlines. Each lease has a unique
// epoch, so that an epoch identifies a single holder.
func (w *waiting) lease(pos logPosition, c *wire.LeaseWaiting) *wire.Result {
	if field := firstMissing("entry", c.GetEntry()); field != "" {
		return rejectInvalid(field)
	}
	if c.GetLeaseMs() <= 0 {
		return rejectInvalid("lease time")
	}
	w.collectExpiredLeases(pos.nowMS)
	result := &wire.Result{}
	for len(result.Waiting) < int(c.GetMax()) {
		e, ok := w.ready.peek()
		if !ok {
			break
		}
		w.ready.pop()
		r, ok := w.leasable(e.slot, pos.nowMS)
		if !ok {
			continue
		}
		w.grantLease(pos, e.slot, r, c)
		result.Waiting = append(result.Waiting, r)
	}
	return result
}

func (w *waiting) collectExpiredLeases(nowMS int64) {
	for {
		e, ok := w.leased.peek()
		if !ok || e.atMS > nowMS {
			return
		}
		w.leased.pop()
		// If the lease was renewed, it has a later entry in the schedule.
		r, ok := w.leasable(e.slot, nowMS)
		if ok {
			w.ready.push(entry{atMS: deadlineOrder(r.GetDeadlineMs()), slot: e.slot})
		}
	}
}

// leasable returns the request in a slot if it is accepted or its lease has expired.
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

func (w *waiting) grantLease(pos logPosition, slot uint64, r *wire.WaitingRecord, c *wire.LeaseWaiting) {
	text := "Taken up by " + c.GetEntry() + "."
	if r.GetHolder() != "" {
		text = "Taken over by " + c.GetEntry() + " because the lease of " + r.GetHolder() + " expired."
	}
	w.nextEpoch++
	r.State = wire.WaitingState_WAITING_STATE_LEASED
	r.Epoch = w.nextEpoch
	r.Holder = c.GetEntry()
	w.addEvent(pos, r, text)
	w.extendLease(pos, slot, r, c.GetLeaseMs())
}

// extendLease extends the lease to leaseMS from the current log time. It never shortens it.
func (w *waiting) extendLease(pos logPosition, slot uint64, r *wire.WaitingRecord, leaseMS int64) {
	r.LeaseUntilMs = max(r.GetLeaseUntilMs(), addMS(pos.nowMS, leaseMS))
	w.leased.push(entry{atMS: r.GetLeaseUntilMs(), slot: slot})
	w.store(slot, r)
}

func (w *waiting) recordStage(pos logPosition, c *wire.RecordStage) *wire.Result {
	if field := firstMissing("stage", c.GetStage()); field != "" {
		return rejectInvalid(field)
	}
	slot, r, refusal := w.findLeased(c.GetId(), c.GetEpoch())
	if refusal != nil {
		return refusal
	}
	result := &wire.Result{Waiting: []*wire.WaitingRecord{r}}
	if isFinished(r) {
		return rejectFinished(r)
	}
	for _, s := range r.GetStages() {
		if s.GetStage() != c.GetStage() {
			continue
		}
		if !bytes.Equal(s.GetResult(), c.GetResult()) {
			return reject(RefusedStageExists, "Stage %s of request %s already has another result.", c.GetStage(), r.GetId())
		}
		result.Repeated = true
		return result
	}
	r.Stages = append(r.Stages, &wire.StageResult{Stage: c.GetStage(), Result: c.GetResult()})
	w.addEvent(pos, r, "Stage "+c.GetStage()+" finished at "+r.GetHolder()+".")
	w.extendLease(pos, slot, r, max(c.GetLeaseMs(), 0))
	return result
}

// renewLease extends the lease of an epoch if it is still the newest.
func (w *waiting) renewLease(pos logPosition, c *wire.RenewWaiting) *wire.Result {
	slot, r, refusal := w.findLeased(c.GetId(), c.GetEpoch())
	if refusal != nil {
		return refusal
	}
	if isFinished(r) {
		return rejectFinished(r)
	}
	w.extendLease(pos, slot, r, max(c.GetLeaseMs(), 0))
	return &wire.Result{}
}

func (w *waiting) complete(pos logPosition, c *wire.CompleteWaiting) *wire.Result {
	if c.GetState() != wire.WaitingState_WAITING_STATE_DONE && c.GetState() != wire.WaitingState_WAITING_STATE_FAILED {
		return rejectInvalid("outcome (done or failed)")
	}
	slot, r, refusal := w.findLeased(c.GetId(), c.GetEpoch())
	if refusal != nil {
		return refusal
	}
	if isFinished(r) {
		if r.GetState() != c.GetState() || !bytes.Equal(r.GetResult(), c.GetResult()) {
			return rejectFinished(r)
		}
		return &wire.Result{Waiting: []*wire.WaitingRecord{r}, Repeated: true}
	}
	r.State, r.Result, r.Reason = c.GetState(), c.GetResult(), c.GetReason()
	r.FinishedMs = pos.nowMS
	w.addEvent(pos, r, completionText(r))
	w.store(slot, r)
	w.unfinished--
	w.finished.push(entry{atMS: r.GetFinishedMs(), slot: slot})
	return &wire.Result{Waiting: []*wire.WaitingRecord{r}}
}

// findLeased returns the request if the epoch is that of its newest lease.
func (w *waiting) findLeased(id string, epoch uint64) (uint64, *wire.WaitingRecord, *wire.Result) {
	slot, ok := w.slot(id)
	if !ok {
		return 0, nil, reject(RefusedWaitingUnknown, "There is no record of the waiting request %s.", id)
	}
	r := decodeWaiting(w.table.at(slot))
	if r.GetEpoch() == 0 || r.GetEpoch() != epoch {
		holder := r.GetHolder()
		if holder == "" {
			holder = "nobody yet"
		}
		return 0, nil, reject(RefusedStaleEpoch, "Request %s is worked on by %s under epoch %d, so work under epoch %d doesn't count.", id, holder, r.GetEpoch(), epoch)
	}
	return slot, r, nil
}

func rejectFinished(r *wire.WaitingRecord) *wire.Result {
	return reject(RefusedWaitingFinished, "Request %s was already finished by %s.", r.GetId(), r.GetHolder())
}

func completionText(r *wire.WaitingRecord) string {
	if r.GetState() == wire.WaitingState_WAITING_STATE_DONE {
		return "Finished by " + r.GetHolder() + "."
	}
	return "Given up by " + r.GetHolder() + ": " + r.GetReason() + "."
}

func (w *waiting) store(slot uint64, r *wire.WaitingRecord) {
	key, record := encodeWaiting(r)
	w.table.replace(slot, key, record)
}

func (w *waiting) addEvent(pos logPosition, r *wire.WaitingRecord, text string) {
	r.Events = appendEvent(r.Events, w.options.MaxEvents, pos, text)
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
		w.removeSubmission(r.GetId())
		n++
	}
	return n
}

func (w *waiting) removeSubmission(id string) {
	key, ok := w.submissionKeys[id]
	if !ok {
		return
	}
	delete(w.submissionKeys, id)
	slot, _ := w.submissions.find([]byte(key))
	w.submissions.remove(slot, key)
}

func isFinished(r *wire.WaitingRecord) bool {
	return r.GetState() == wire.WaitingState_WAITING_STATE_DONE || r.GetState() == wire.WaitingState_WAITING_STATE_FAILED
}

// deadlineOrder returns the sort key for leasing requests; a request without a
// deadline comes last.
func deadlineOrder(deadlineMS int64) int64 {
	if deadlineMS <= 0 {
		return math.MaxInt64
	}
	return deadlineMS
}

// addMS adds a positive duration, saturating at the maximum time.
func addMS(nowMS, ms int64) int64 {
	if ms > math.MaxInt64-nowMS {
		return math.MaxInt64
	}
	return nowMS + ms
}
