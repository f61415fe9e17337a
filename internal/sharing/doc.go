// Package sharing divides the limits of a customer between the entries that
// serve it.
//
// One ready entry, selected by rendezvous hashing, is the allocator of a customer.
// Entries report their demand to it in the background, and it grants each a share
// with a short lifetime. An entry without a valid grant uses its Fallback: the
// limit divided by the number of ready entries.
//
// An Allocator raises a share above the fallback only if the shares of all entries
// known to it fit into the limit. For each entry it counts the share that the
// entry reports to use, and after a response the higher of the old and the new
// share until the entry reports again. The sum of the active shares is therefore
// at most the limit plus the fallbacks of the entries that are unknown to the
// allocator; the excess ends as soon as the other entries have renewed their
// shares.
//
// Both types take the time as an argument and do no I/O. They are safe for
// concurrent use.
//
// # Usage
//
// At the entry that receives requests:
//
//	tracker := sharing.NewShareTracker("entry-1")
//	tracker.SetMembers(names, usable)
//	share, report := tracker.RecordArrival(customer, limit, now)
//	// admit the request within share.Amount or reject it, then
//	tracker.RecordDecision(customer, admitted)
//	tracker.RecordCompletion(customer) // when an admitted request ends
//
//	for _, d := range tracker.PendingReports(now, maxCalls) {
//		// send d to d.Owner, then tracker.ApplyGrant(d, grant, sent)
//		// or tracker.RecordReportFailure(d, refused, now)
//	}
//
// At the allocator:
//
//	allocator := sharing.NewAllocator("entry-2")
//	allocator.SetMembers(members, now)
//	grant, ok := allocator.Report(report, now)
package sharing
