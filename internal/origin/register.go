// Package origin stores which software version of a service began a stream.
//
// What two versions write doesn't fit together, so that a stream may only go on at the version
// that began it. Its caller names the request that brought the first event. A Register holds the
// versions of streams for as long as they may be taken up: on a gateway those of its own streams,
// on a control VM those that gateways have recorded there. Versions is the part of the replicated
// state machine that holds which versions of each service may have begun streams. Neither of them
// uses the network or a clock.
//
// Streams at the first version of a service need no record: one that a complete Register doesn't
// have began at the first version. That changes only when another version has been the only one
// for so long that every process has learned of it.
//
// # Usage
//
//	stream := origin.StreamOf(customer, requestID)
//	r := origin.NewRegister(maxRecords)
//	r.Record(origin.NewRecord(stream, "generators", "v2", attempt, life), now)
//	record, ok := r.Find(stream, now)
//	if !ok && r.CompleteFor(window, now) {
//		// it began at the first version
//	}
package origin

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream identifies a stream by the request of a customer that brought its first event.
type Stream uint64

// StreamOf returns the Stream that a request began.
func StreamOf(customer, request string) Stream {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(customer)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(request)
	return Stream(d.Sum64())
}

// Record says which software version of a service began a stream.
type Record struct {
	stream            Stream
	service, software string
	attempt           uint32
	life              time.Duration
}

// NewRecord returns a Record. Of several for one stream that with the highest number of an attempt
// counts. It is kept for life.
func NewRecord(stream Stream, service, software string, attempt uint32, life time.Duration) Record {
	return Record{stream: stream, service: service, software: software, attempt: attempt, life: life}
}

// Stream returns the stream.
func (r Record) Stream() Stream { return r.stream }

// Service returns the service that runs the stream.
func (r Record) Service() string { return r.service }

// Software returns the version that began the stream.
func (r Record) Software() string { return r.software }

// Attempt returns the number of the attempt that the record is of.
func (r Record) Attempt() uint32 { return r.attempt }

// Life returns the time for which the record is still kept.
func (r Record) Life() time.Duration { return r.life }

// version is a software version of a service.
type version struct{ service, software string }

// entry is a stored record. Versions are few and stored once.
type entry struct {
	version uint32 // index in versions
	attempt uint32
	expires time.Time
}

// expireInterval is the least time between two searches for expired records.
const expireInterval = time.Second

// Register holds records. It is safe for concurrent use.
type Register struct {
	mu       sync.Mutex
	max      int
	streams  map[Stream]entry
	versions []version
	indices  map[version]uint32
	lastUse  map[version]time.Time // when the last record of a version expires
	expired  time.Time             // last search for expired records
	// completeSince is the time since which no record was missed, if isComplete is set.
	completeSince time.Time
	isComplete    bool
}

// NewRegister returns an empty Register that holds up to maxRecords. It isn't complete.
func NewRegister(maxRecords int) *Register {
	return &Register{max: maxRecords, streams: map[Stream]entry{}, indices: map[version]uint32{}, lastUse: map[version]time.Time{}}
}

// Record stores a record, unless a later attempt is known.
func (r *Register) Record(rec Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.streams[rec.stream]
	if known && before.attempt > rec.attempt {
		return
	}
	if !known {
		r.makeRoom(now)
	}
	v := version{service: rec.service, software: rec.software}
	i, ok := r.indices[v]
	if !ok {
		i = uint32(len(r.versions))
		r.versions = append(r.versions, v)
		r.indices[v] = i
	}
	e := entry{version: i, attempt: rec.attempt, expires: later(before.expires, now.Add(rec.life))}
	r.streams[rec.stream] = e
	r.lastUse[v] = later(r.lastUse[v], e.expires)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// makeRoom drops expired records, and any one if there is no room for another; r.mu is held.
// Without it, the Register is complete only from now on.
func (r *Register) makeRoom(now time.Time) {
	if now.Sub(r.expired) >= expireInterval {
		r.expired = now
		maps.DeleteFunc(r.streams, func(_ Stream, e entry) bool { return !now.Before(e.expires) })
	}
	for s := range r.streams {
		if len(r.streams) < r.max {
			return
		}
		delete(r.streams, s)
		r.completeSince = later(r.completeSince, now)
	}
}

// Find returns the record of a stream.
func (r *Register) Find(s Stream, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.streams[s]
	if !ok || !now.Before(e.expires) {
		return Record{}, false
	}
	return r.record(s, e, now), true
}

func (r *Register) record(s Stream, e entry, now time.Time) Record {
	v := r.versions[e.version]
	return NewRecord(s, v.service, v.software, e.attempt, e.expires.Sub(now))
}

// Records returns all records.
func (r *Register) Records(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Record, 0, len(r.streams))
	for s, e := range r.streams {
		if now.Before(e.expires) {
			list = append(list, r.record(s, e, now))
		}
	}
	return list
}

// Len returns the number of records.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

// SetComplete says that no record was missed since a time; a zero time says that none ever was.
func (r *Register) SetComplete(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeSince, r.isComplete = since, true
}

// CompleteFor reports whether no record of the given time was missed.
func (r *Register) CompleteFor(window time.Duration, now time.Time) bool {
	since, ok := r.CompleteSince()
	return ok && now.Sub(since) >= window
}

// CompleteSince returns the time since which no record was missed, and false if there is none.
func (r *Register) CompleteSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeSince, r.isComplete
}

// UsedUntil returns the time until which there are records of a version, or a zero time.
func (r *Register) UsedUntil(service, software string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastUse[version{service: service, software: software}]
}
