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

// Guards against a catalog that goes back to an older version, and against other
// content under the version held, whatever order the commands are committed in and
// wherever a snapshot falls.
func TestCatalogNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewStore()
		held, document := uint64(0), ""
		for i, version := range rapid.SliceOfN(rapid.Uint64Range(1, 5), 1, 20).Draw(rt, "versions") {
			text := rapid.StringN(1, 4, 8).Draw(rt, "document")
			if version > held {
				held, document = version, text
			}
			require.Equal(rt, held, s.Apply(uint64(i+1), command(rt, version, text)))
			if rapid.Bool().Draw(rt, "snapshot") {
				data, err := s.BeginSnapshot()()
				require.NoError(rt, err)
				s = NewStore()
				require.NoError(rt, s.Restore(uint64(i+1), data))
			}
			v, d := s.Newest()
			require.Equal(rt, held, v)
			require.Equal(rt, document, string(d))
		}
	})
}
