package directory

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Store is the replicated catalog: the committed document with the highest version. It
// implements replica.StateMachine.
type Store struct {
	mu       sync.Mutex
	version  uint64
	document []byte
	changed  chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Apply implements replica.StateMachine. It returns the version stored after the command. A
// version that isn't higher changes nothing, so that neither an older change nor different
// content under the same version ever becomes active.
func (s *Store) Apply(_ uint64, data []byte) any {
	cmd := &wire.StoreCatalogCommand{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cmd.GetVersion() > s.version {
		s.set(cmd.GetVersion(), cmd.GetDocument())
	}
	return s.version
}

// BeginSnapshot implements replica.StateMachine.
func (s *Store) BeginSnapshot() (encode func() ([]byte, error)) {
	version, document := s.Newest()
	return func() ([]byte, error) {
		return proto.Marshal(&wire.CatalogSnapshot{Version: version, Document: document})
	}
}

// Restore implements replica.StateMachine.
func (s *Store) Restore(_ uint64, data []byte) error {
	snapshot := &wire.CatalogSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(snapshot.GetVersion(), snapshot.GetDocument())
	return nil
}

func (s *Store) set(version uint64, document []byte) {
	s.version, s.document = version, document
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

// Changed returns a channel that is closed when the next version is applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
