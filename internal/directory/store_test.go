package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/wire"
)

func command(t require.TestingT, version uint64, document string) []byte {
	data, err := proto.Marshal(&wire.StoreCatalogCommand{Version: version, Document: []byte(document)})
	require.NoError(t, err)
	return data
}

// Guards against a catalog that reverts to an older version, and against different content
// under the stored version, for any order of committed commands and any position of a
// snapshot.
func TestCatalogNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewStore()
		expected, document := uint64(0), ""
		for i, version := range rapid.SliceOfN(rapid.Uint64Range(1, 5), 1, 20).Draw(rt, "versions") {
			text := rapid.StringN(1, 4, 8).Draw(rt, "document")
			if version > expected {
				expected, document = version, text
			}
			require.Equal(rt, expected, s.Apply(uint64(i+1), command(rt, version, text)))
			if rapid.Bool().Draw(rt, "snapshot") {
				data, err := s.BeginSnapshot()()
				require.NoError(rt, err)
				s = NewStore()
				require.NoError(rt, s.Restore(uint64(i+1), data))
			}
			v, d := s.Newest()
			require.Equal(rt, expected, v)
			require.Equal(rt, document, string(d))
		}
	})
}
