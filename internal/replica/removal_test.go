package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second member change before the first one is committed, since the
// majorities of their member lists may not overlap.
func TestOneRemovalAtATime(t *testing.T) {
	s := newSim(t, 5, 12, 1<<20, 1)
	s.healAndVerify()
	l := s.leader()
	var crashed []*simVM
	for _, v := range s.vms {
		if v != l && len(crashed) < 2 {
			crashed = append(crashed, v)
			s.crash(v, 0)
		}
	}
	s.rounds(13)
	accepted := len(l.accepted)
	s.removeMember(l, crashed[0])
	s.removeMember(l, crashed[1])
	require.Len(t, l.accepted, accepted+1)
	s.rounds(2)
	s.removeMember(l, crashed[1])
	require.Len(t, l.accepted, accepted+2)
	s.healAndVerify()
}
