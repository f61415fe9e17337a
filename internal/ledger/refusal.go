package ledger

import (
	"fmt"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Reasons in Result.refusal. They're stable: callers and operators match on them.
const (
	// RefusedInvalid answers a command that can't be decoded or lacks a required field.
	RefusedInvalid = "command_invalid"
	// RefusedConflict answers a manifest whose base revision isn't the newest.
	RefusedConflict = "revision_conflict"
	// RefusedUnknownBase answers a manifest whose base revision doesn't exist yet.
	RefusedUnknownBase = "revision_unknown"
	// RefusedChangeReused answers a known change id that comes with another manifest.
	RefusedChangeReused = "change_id_reused"
	// RefusedBodyMismatch answers a claim of a known order with another body.
	RefusedBodyMismatch = "order_body_mismatch"
	// RefusedOrderExists answers a claim of an order that's in progress or has an outcome.
	RefusedOrderExists = "order_exists"
	// RefusedAttemptUsed answers a claim with the attempt that was already recorded as not run.
	RefusedAttemptUsed = "attempt_used"
	// RefusedOrderUnknown answers a command on an order that has no record.
	RefusedOrderUnknown = "order_not_found"
	// RefusedAttemptMismatch answers an outcome of an attempt that isn't the recorded one.
	RefusedAttemptMismatch = "attempt_mismatch"
	// RefusedOrderSettled answers an outcome that contradicts a recorded final one.
	RefusedOrderSettled = "order_settled"
	// RefusedOrderInProgress answers an operator who settles an order before its deadline.
	RefusedOrderInProgress = "order_in_progress"
	// RefusedSubmissionMismatch answers a known submission id that comes with another request.
	RefusedSubmissionMismatch = "submission_mismatch"
	// RefusedWaitingTaken answers a submission whose id belongs to another request.
	RefusedWaitingTaken = "waiting_id_taken"
	// RefusedWaitingUnknown answers a command on a waiting request that has no record.
	RefusedWaitingUnknown = "waiting_not_found"
	// RefusedStaleEpoch answers work under a lease that was handed on.
	RefusedStaleEpoch = "stale_epoch"
	// RefusedStageExists answers a second, different result of a stage.
	RefusedStageExists = "stage_exists"
	// RefusedWaitingFinished answers work on a waiting request that's finished.
	RefusedWaitingFinished = "waiting_finished"
)

// refuse returns a refusal with one sentence of explanation.
func refuse(reason, format string, args ...any) *wire.Result {
	return &wire.Result{Refusal: reason, Detail: fmt.Sprintf(format, args...)}
}

// invalid returns the refusal of a command that lacks a field.
func invalid(field string) *wire.Result {
	return refuse(RefusedInvalid, "The command has no %s.", field)
}

// missing is the name of the first empty field, or "" when all are set. It
// takes pairs of name and value.
func missing(pairs ...string) string {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			return pairs[i]
		}
	}
	return ""
}
