package entry

import (
	"time"

	"github.com/cardamomline/cardamomline/internal/routing"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// story records what happens to one request, for explain. A nil story records nothing.
type story struct{}

func (e *Entry) newStory(string) *story { return &story{} }

func (s *story) accepted(*request, string) {}

func (s *story) admitted(string, time.Duration) {}

func (s *story) dispatched(string, routing.Choice) {}

func (s *story) finished(string, *reply) {}

func (s *story) retried(string, string, string) {}

func (s *story) claimed(*wire.ClaimOrder) {}

func (s *story) settled(string) {}

func (s *story) told(*answer, time.Duration) {}
