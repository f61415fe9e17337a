package directory

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/evacuation"
	"github.com/cardamomline/cardamomline/internal/origin"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// versions are those of all that a Store holds.
type versions struct {
	catalog     uint64
	evacuations uint64
	software    uint64
}

// atLeast reports whether nothing is older than in other.
func (v versions) atLeast(other versions) bool {
	return v.catalog >= other.catalog && v.evacuations >= other.evacuations && v.software >= other.software
}

// contents is all that a Store holds at one moment. The document must not be modified.
type contents struct {
	versions
	document []byte
	domains  []string // evacuated, sorted
}

// maxPreviousBytes bounds the earlier documents that a Store keeps as bases of patches.
const maxPreviousBytes = 8 << 20

// versionedDocument is an earlier document of the catalog.
type versionedDocument struct {
	version  uint64
	document []byte
	checksum uint64
}

// Store is the replicated catalog, the committed document with the highest version, the evacuated
// failure domains and the software versions that began streams. It implements replica.StateMachine.
type Store struct {
	mu       sync.Mutex
	version  uint64
	document []byte
	// previous are the documents before, the newest one first. They are no part of the replicated
	// state.
	previous      []versionedDocument
	evacuations   *evacuation.State
	onEvacuations func(revision uint64, domains []string)
	software      *origin.Versions
	changed       chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{evacuations: evacuation.NewState(), software: origin.NewVersions(), onEvacuations: func(uint64, []string) {}, changed: make(chan struct{})}
}

// OnEvacuations sets the function that is called with each new revision of the evacuations. It
// must not call the Store, and is set before the first Apply or Restore.
func (s *Store) OnEvacuations(f func(revision uint64, domains []string)) { s.onEvacuations = f }

// Apply implements replica.StateMachine. It returns the version stored after the command, the
// evacuation.Result of an order, or the softwareResult of a change of software versions. A version that isn't higher changes nothing, so that neither an
// older change nor different content under the same version ever becomes active.
func (s *Store) Apply(_ uint64, data []byte) any {
	cmd := &wire.StoreCatalogCommand{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := cmd.GetEvacuation(); o != nil {
		r := s.evacuations.Apply(evacuation.NewOrder(o.GetDomain(), o.GetEvacuated(), o.GetKnownRevision()))
		if !r.Overtaken {
			s.onEvacuations(s.evacuations.Revision(), s.evacuations.Domains())
			s.notify()
		}
		return r
	}
	if c := cmd.GetSoftware(); c != nil {
		return s.applyVersion(c)
	}
	if cmd.GetVersion() > s.version {
		s.retainDocument()
		s.version, s.document = cmd.GetVersion(), cmd.GetDocument()
		s.notify()
	}
	return s.version
}

// softwareResult says whether a software version is as a change wants it.
type softwareResult bool

// applyVersion changes the software versions; s.mu is held.
func (s *Store) applyVersion(c *wire.VersionChange) softwareResult {
	revision := s.software.Revision()
	change := s.software.Add
	switch {
	case c.GetRemoved():
		change = s.software.Remove
	case c.GetFirst():
		change = s.software.SetFirst
	}
	ok := change(c.GetService(), c.GetSoftware())
	if s.software.Revision() != revision {
		s.notify()
	}
	return softwareResult(ok)
}

// BeginSnapshot implements replica.StateMachine.
func (s *Store) BeginSnapshot() (encode func() ([]byte, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &wire.CatalogSnapshot{
		Version: s.version, Document: s.document, EvacuationRevision: s.evacuations.Revision(), EvacuationFloor: s.evacuations.Floor(),
		SoftwareRevision: s.software.Revision(),
	}
	for service, v := range s.software.All() {
		snapshot.Software = append(snapshot.Software, encodeVersions(service, v))
	}
	for _, r := range s.evacuations.Records() {
		snapshot.Evacuations = append(snapshot.Evacuations, &wire.EvacuationRecord{Domain: r.Domain, Evacuated: r.Evacuated, Revision: r.Revision})
	}
	return func() ([]byte, error) { return proto.Marshal(snapshot) }
}

// Restore implements replica.StateMachine.
func (s *Store) Restore(_ uint64, data []byte) error {
	snapshot := &wire.CatalogSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return err
	}
	records := make([]evacuation.Record, 0, len(snapshot.GetEvacuations()))
	for _, r := range snapshot.GetEvacuations() {
		records = append(records, evacuation.Record{Domain: r.GetDomain(), Evacuated: r.GetEvacuated(), Revision: r.GetRevision()})
	}
	software := map[string]origin.ServiceVersions{}
	for _, v := range snapshot.GetSoftware() {
		software[v.GetService()] = origin.ServiceVersions{First: v.GetFirst(), Active: v.GetActive()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.software = origin.RestoreVersions(snapshot.GetSoftwareRevision(), software)
	if snapshot.GetVersion() != s.version {
		s.retainDocument()
	}
	s.version, s.document = snapshot.GetVersion(), snapshot.GetDocument()
	s.evacuations = evacuation.RestoreState(snapshot.GetEvacuationRevision(), snapshot.GetEvacuationFloor(), records)
	s.onEvacuations(s.evacuations.Revision(), s.evacuations.Domains())
	s.notify()
	return nil
}

// retainDocument keeps the document as the base of patches; s.mu is held.
func (s *Store) retainDocument() {
	if len(s.document) == 0 {
		return
	}
	s.previous = slices.Insert(s.previous, 0, versionedDocument{version: s.version, document: s.document, checksum: xxhash.Sum64(s.document)})
	size := 0
	for i, d := range s.previous {
		if size += len(d.document); size > maxPreviousBytes {
			s.previous = slices.Delete(s.previous, i, len(s.previous))
			return
		}
	}
}

// previousDocument returns an earlier document, or nil if it isn't kept.
func (s *Store) previousDocument(version, checksum uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.previous {
		if d.version == version && d.checksum == checksum {
			return d.document
		}
	}
	return nil
}

// notify closes the channel of Changed; s.mu is held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Newest returns the stored version, which is 0 if there is none, and its document, which
// must not be modified.
func (s *Store) Newest() (version uint64, document []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.document
}

// hasOrder reports whether an order on a failure domain is stored.
func (s *Store) hasOrder(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.HasOrder(domain)
}

// contents returns all that the Store holds, of one moment.
func (s *Store) contents() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return contents{versions: s.versionsLocked(), document: s.document, domains: s.evacuations.Domains()}
}

// versions returns the versions of all that the Store holds, of one moment.
func (s *Store) versions() versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionsLocked()
}

func (s *Store) versionsLocked() versions {
	return versions{catalog: s.version, evacuations: s.evacuations.Revision(), software: s.software.Revision()}
}

// softwareVersions returns the software versions of a service.
func (s *Store) softwareVersions(service string) origin.ServiceVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.software.Of(service)
}

// allSoftwareVersions returns the software versions of all services.
func (s *Store) allSoftwareVersions() map[string]origin.ServiceVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.software.All())
}

// Changed returns a channel that is closed when the next version, evacuation or software version is
// applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
