package ledger

import (
	"fmt"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Reasons for rejecting a command, returned in Result.refusal. The values are stable,
// because callers and operators match on them.
const (
	// RefusedInvalid rejects a command that can't be decoded or lacks a required field.
	RefusedInvalid = "command_invalid"
	// RefusedConflict rejects a manifest whose base revision isn't the newest.
	RefusedConflict = "revision_conflict"
	// RefusedUnknownBase rejects a manifest whose base revision doesn't exist yet.
	RefusedUnknownBase = "revision_unknown"
	// RefusedChangeReused rejects a known change id with a different manifest.
	RefusedChangeReused = "change_id_reused"
	// RefusedBodyMismatch rejects a claim of a known order with a different body.
	RefusedBodyMismatch = "order_body_mismatch"
	// RefusedOrderExists rejects a claim of an order that is in progress or has an outcome.
	RefusedOrderExists = "order_exists"
	// RefusedAttemptUsed rejects a claim with an attempt that was recorded as not run.
	RefusedAttemptUsed = "attempt_used"
	// RefusedOrderUnknown rejects a command for an order without a record.
	RefusedOrderUnknown = "order_not_found"
	// RefusedAttemptMismatch rejects an outcome of an attempt that isn't the recorded one.
	RefusedAttemptMismatch = "attempt_mismatch"
	// RefusedOrderSettled rejects an outcome that conflicts with a recorded final outcome.
	RefusedOrderSettled = "order_settled"
	// RefusedOrderInProgress rejects an operator's decision on an order before its deadline.
	RefusedOrderInProgress = "order_in_progress"
	// RefusedSubmissionMismatch rejects a known submission id with a different request.
	RefusedSubmissionMismatch = "submission_mismatch"
	// RefusedWaitingTaken rejects a submission whose id belongs to another request.
	RefusedWaitingTaken = "waiting_id_taken"
	// RefusedWaitingUnknown rejects a command for a waiting request without a record.
	RefusedWaitingUnknown = "waiting_not_found"
	// RefusedStaleEpoch rejects work under a lease that was taken over by another entry.
	RefusedStaleEpoch = "stale_epoch"
	// RefusedStageExists rejects a second, different result of a stage.
	RefusedStageExists = "stage_exists"
	// RefusedWaitingFinished rejects work on a finished waiting request.
	RefusedWaitingFinished = "waiting_finished"
)

// reject returns a rejection with an explanation for the operator.
func reject(reason, format string, args ...any) *wire.Result {
	return &wire.Result{Refusal: reason, Detail: fmt.Sprintf(format, args...)}
}

// rejectInvalid returns the rejection of a command that lacks a field.
func rejectInvalid(field string) *wire.Result {
	return reject(RefusedInvalid, "The command has no %s.", field)
}

// firstMissing returns the name of the first empty field, or "" if all fields are set. The
// arguments are pairs of a name and a value.
func firstMissing(pairs ...string) string {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			return pairs[i]
		}
	}
	return ""
}
