package discovery

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// maxParts bounds the parts that are read from one message.
const maxParts = 1024

// EncodeParts returns the message form of records. Processes have clocks of their own, so that
// times travel as ages.
func EncodeParts(records []quarantine.Record, now time.Time) []*wire.PromptPart {
	list := make([]*wire.PromptPart, 0, len(records))
	for _, r := range records {
		p := &wire.PromptPart{Id: r.Part().ID(), Position: uint32(r.Position())}
		for _, c := range r.Crashes() {
			p.Crashes = append(p.Crashes, &wire.EngineCrash{Engine: c.Engine(), Observer: c.Observer(), AgeMs: age(c.At(), now)})
		}
		if at := r.BegunAt(); !at.IsZero() {
			begun := age(at, now)
			p.BegunMs = &begun
		}
		list = append(list, p)
	}
	return list
}

func age(at, now time.Time) uint64 { return uint64(max(now.Sub(at).Milliseconds(), 0)) }

// DecodeParts returns the records of a message.
func DecodeParts(parts []*wire.PromptPart, now time.Time) []quarantine.Record {
	parts = parts[:min(len(parts), maxParts)]
	list := make([]quarantine.Record, 0, len(parts))
	for _, p := range parts {
		var crashes []quarantine.Crash
		for _, c := range p.GetCrashes() {
			crashes = append(crashes, quarantine.NewCrash(c.GetEngine(), c.GetObserver(), ageTime(c.GetAgeMs(), now)))
		}
		var begunAt time.Time
		if p.BegunMs != nil {
			begunAt = ageTime(p.GetBegunMs(), now)
		}
		list = append(list, quarantine.NewRecord(quarantine.NewPart(p.GetId(), int(p.GetPosition())), crashes, begunAt))
	}
	return list
}

// upload is how far a control VM has what this process knows. A control VM that starts gets all of
// it, because the processes that have observed it may have ended; after that it gets new observations.
type upload struct {
	sent, next uint64 // versions that the control VM has, and gets now
	complete   bool   // the control VM has all up to sent
	last       bool   // it will with this watch
}

// sending records that a watch goes up to a version, out of all versions that there are.
func (u *upload) sending(version, all uint64) { u.next, u.last = version, version >= all }

// received records the response to the watch.
func (u *upload) received(r *wire.WatchRequest, resp *wire.WatchResponse) {
	u.sent, u.complete = u.next, u.complete || u.last
	if r.GetEpoch() != "" && r.GetEpoch() != resp.GetEpoch() {
		*u = upload{}
	}
}

// maxAgeMs bounds the age of what another process has observed.
const maxAgeMs = 24 * 60 * 60 * 1000

// partsExchange is the state of the exchange of records with one control VM.
type partsExchange struct {
	upload
}

// request adds to a watch what this process has observed since the last one, or all records.
func (x *partsExchange) request(r *wire.WatchRequest, q *quarantine.Register, now time.Time) {
	if q == nil {
		return
	}
	if r.PartsSince == nil {
		r.PartsSince = new(uint64)
	}
	since := q.ChangesSince
	if x.complete {
		since = q.ObservedSince
	}
	records, version := since(x.sent)
	x.sending(version, q.Version())
	r.Parts = EncodeParts(records, now)
}

// receive merges the records of a response.
func (x *partsExchange) receive(r *wire.WatchRequest, resp *wire.WatchResponse, q *quarantine.Register, now time.Time) {
	if q == nil {
		return
	}
	x.received(r, resp)
	*r.PartsSince = resp.GetPartsVersion()
	q.Merge(DecodeParts(resp.GetParts(), now), now)
}
