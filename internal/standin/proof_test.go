package standin_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/standin"
)

func tokens(origin, request string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = standin.Token(origin, request, n, i)
	}
	return out
}

func join(tokens []string) string {
	text := ""
	for _, t := range tokens {
		text += t
	}
	return text
}

// Guards against a proof that passes a text with a lost, repeated, swapped or
// foreign token, whichever token it is.
func TestProofFindsEveryDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := rapid.StringN(1, 40, -1).Draw(t, "input")
		request := rapid.StringN(1, 20, -1).Draw(t, "request")
		origin := standin.Origin(input)
		n := rapid.IntRange(standin.MinTokens, 60).Draw(t, "tokens")
		whole := tokens(origin, request, n)
		require.NoError(t, standin.CheckText(join(whole), input, request, n))
		i := rapid.IntRange(0, n-1).Draw(t, "at")
		var cut *standin.CutError
		require.ErrorAs(t, standin.CheckText(join(whole[:i]), input, request, n), &cut)
		require.ErrorAs(t, standin.CheckText(join(tokens(origin, request, n)), input, request, n+1), &cut)
		damaged := map[string][]string{
			"lost":     slices.Delete(slices.Clone(whole), i, i+1),
			"repeated": slices.Insert(slices.Clone(whole), i, whole[i]),
			"input":    tokens(standin.Origin(input+"x"), request, n),
			"request":  tokens(origin, request+"x", n),
		}
		for name, list := range damaged {
			require.Error(t, standin.CheckText(join(list), input, request, n), name)
		}
	})
}

// Guards against an origin that is lost, or hides that outputs were mixed, on the
// way through the stages.
func TestOriginPassesThroughStages(t *testing.T) {
	origin := standin.Origin("stem 12")
	encoded := standin.Output(origin, "r1", "encode", "")
	require.Equal(t, origin, standin.Origin("context: "+encoded+" and "+standin.Text(origin, "r1", 0, 5)))
	other := standin.Output(standin.Origin("stem 13"), "r2", "encode", "")
	require.NotEqual(t, origin, standin.Origin(encoded+other))
	require.NoError(t, standin.CheckOutput(encoded, "stem 12", "r1", "encode", ""))
	require.Error(t, standin.CheckOutput(encoded, "stem 13", "r1", "encode", ""))
	require.Error(t, standin.CheckOutput(encoded, "stem 12", "r1", "retrieve", ""))
}
