package origin

import "fmt"

// Finding is what is known of the software version that began a stream.
type Finding interface{ finding() }

// Recorded is the finding that a record of the stream is stored.
type Recorded struct {
	Service, Software string
}

// First is the finding that the stream has no record, so that it began at the first version.
type First struct{ Software string }

// Only is the finding that no other version may have begun streams of the service.
type Only struct{ Software string }

// Unrecorded is the finding that no stream of the service was ever recorded.
type Unrecorded struct{}

// Unknown is the finding that the version can't be told.
type Unknown struct{ Cause string }

func (Recorded) finding()   {}
func (First) finding()      {}
func (Only) finding()       {}
func (Unrecorded) finding() {}
func (Unknown) finding()    {}

// Answer is what one control VM knows of a stream and of the versions of its service.
type Answer struct {
	// Record is the record of the stream, if HasRecord is set.
	Record    Record
	HasRecord bool
	// Complete says that no record was missed that may be the stream's.
	Complete bool
	// Versions are the versions of the service, and Confirmed says that a quorum has confirmed
	// them lately.
	Versions  ServiceVersions
	Confirmed bool
	// Revision is that of the versions.
	Revision uint64
	// Voter says that the control VM is one of the Voters whose majority stores each record.
	Voter  bool
	Voters int
}

// Judge returns what the answers of different control VMs show. It isn't Unknown only if further
// answers can't change it; last says that there are none.
//
// Records are stored by a majority of the voters before an event of their stream is passed on, so
// that a majority that has missed none and has no record shows that there is none.
func Judge(answers []Answer, last bool) Finding {
	var best *Answer
	votes, complete, voters := 0, 0, 0
	for i, a := range answers {
		voters = max(voters, a.Voters)
		if a.HasRecord && (best == nil || a.Record.attempt > best.Record.attempt) {
			best = &answers[i]
		}
		if a.Voter {
			votes++
			if a.Complete {
				complete++
			}
		}
	}
	if best != nil {
		if last || 2*votes > voters {
			return Recorded{Service: best.Record.service, Software: best.Record.software}
		}
		return Unknown{Cause: "a majority has not answered yet"}
	}
	if newest := newestVersions(answers); 2*complete > voters && len(newest.Active) > 0 {
		return First{Software: newest.First}
	}
	for _, a := range answers {
		switch {
		case !a.Confirmed:
		case len(a.Versions.Active) == 0:
			return Unrecorded{}
		case len(a.Versions.Active) == 1:
			return Only{Software: a.Versions.Active[0]}
		}
	}
	return Unknown{Cause: fmt.Sprintf("%d of %d voters answered, %d of them with all records", votes, voters, complete)}
}

// newestVersions returns the versions of the highest revision.
func newestVersions(answers []Answer) ServiceVersions {
	var newest Answer
	for _, a := range answers {
		if a.Revision >= newest.Revision {
			newest = a
		}
	}
	return newest.Versions
}
