// Package sharing divides the limits of a customer between the entries that
// serve it.
//
// One ready entry, chosen by rendezvous hashing, is the sharer of a customer.
// Entries report what they need to it in the background, and it answers with a
// share that holds for a short lifetime. An entry without such a grant uses its
// Fallback: the limit divided by the number of ready entries.
//
// A Sharer raises a share above the fallback only when the shares of all entries
// that it knows of fit in the limit. It counts what an entry reports to
// hold, and after an answer the higher of the old and the new share
// until the entry reports again. So the sum of the shares in force is at most
// the limit and the fallbacks of the entries that the sharer didn't know of; the
// excess goes away as soon as the other entries have renewed their shares.
//
// Both types are pure: they take the time as an argument and send nothing. They
// are safe for concurrent use.
//
// # Usage
//
// Where requests arrive:
//
//	holder := sharing.NewHolder("entry-1")
//	holder.SetMembers(names, usable)
//	share, ask := holder.Arrive(customer, limit, now)
//	// admit the request within share.Amount or refuse it, then
//	holder.Decided(customer, admitted)
//	holder.Leave(customer) // when an admitted request ends
//
//	for _, d := range holder.Due(now, maxCalls) {
//		// send d to d.Owner; then holder.Granted(d, grant, now) or holder.Failed(d, now)
//	}
//
// At the sharer:
//
//	sharer := sharing.NewSharer("entry-2")
//	sharer.SetMembers(members, now)
//	grant, ok := sharer.Report(report, now)
package sharing
