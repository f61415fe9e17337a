package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second member change before the first one is committed, whose
// majorities needn't overlap.
func TestOneRemovalAtATime(t *testing.T) {
	s := newSim(t, 5, 12, 1<<20, 1)
	s.settle()
	l := s.leader()
	var gone []*simVM
	for _, v := range s.vms {
		if v != l && len(gone) < 2 {
			gone = append(gone, v)
			s.crash(v, 0)
		}
	}
	s.rounds(13)
	accepted := len(l.accepted)
	s.removeMember(l, gone[0])
	s.removeMember(l, gone[1])
	require.Len(t, l.accepted, accepted+1)
	s.rounds(2)
	s.removeMember(l, gone[1])
	require.Len(t, l.accepted, accepted+2)
	s.settle()
}
