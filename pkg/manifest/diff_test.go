package manifest_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// Guards against a comparison that misses a kind of item or shows a secret.
// The command's script covers the sentences for the other fields.
func TestDiffNamesTheFieldAndHidesKeys(t *testing.T) {
	before := parse(t, example(t, "harbwr.yaml"))
	data := bytes.ReplaceAll(example(t, "harbwr.yaml"), []byte("key: agent-barry-key"), []byte("key: leaked-secret"))
	data = bytes.Replace(data, []byte("{name: stock_lookup, idempotent: true, timeout: 500ms}"), []byte("{name: stock_lookup, idempotent: true, timeout: 750ms}"), 1)
	changes := manifest.Diff(before, parse(t, data))
	require.Len(t, changes, 2)
	require.Equal(t, "customer agent-barry: key changes (a secret, not shown)", changes[0].String())
	timeout, ok := changes[1].(*manifest.Changed)
	require.True(t, ok)
	require.Equal(t, "operation stock_lookup of service orders-core", timeout.Item().String())
	require.Equal(t, []string{"timeout", "500ms", "750ms"}, []string{timeout.Field(), timeout.Old(), timeout.New()})
}

// Guards against digests that miss a change of a customer, or that spread it
// over sections that then travel without need.
func TestDigestsFollowTheirSection(t *testing.T) {
	data := large(t, 1000)
	digests := func(data []byte) map[string]manifest.Digest {
		table := map[string]manifest.Digest{}
		for _, d := range parse(t, data).Digests() {
			table[d.Section()] = d.Digest()
		}
		return table
	}
	differing := func(a, b map[string]manifest.Digest) []string {
		var list []string
		for section, digest := range a {
			if b[section] != digest {
				list = append(list, section)
			}
		}
		return list
	}
	before := digests(data)
	one := differing(before, digests(bytes.Replace(data, []byte("rate: 50"), []byte("rate: 51"), 1)))
	require.Len(t, one, 1)
	require.Contains(t, one[0], "customers/")
	require.Equal(t, []string{"general"}, differing(before, digests(bytes.Replace(data, []byte("policy: adaptive"), []byte("policy: baseline"), 1))))

	first, rest, _ := bytes.Cut(data, []byte("  - {name: customer-00000"))
	line, rest, _ := bytes.Cut(rest, []byte("\n"))
	moved := bytes.Replace(rest, []byte("\nmodels:"), append(append([]byte("  - {name: customer-00000"), line...), "\n\nmodels:"...), 1)
	require.Empty(t, differing(before, digests(append(first, moved...))))
}

// Guards against customers that are taken over although they changed, and
// against faults that lose their position when customers are taken over.
func TestParseNextEqualsParse(t *testing.T) {
	data := large(t, 200)
	previous := parse(t, data)
	next := bytes.Replace(data, []byte("weight: 3"), []byte("weight: 7"), 1)
	next = bytes.Replace(next, []byte("customers:\n"), []byte("customers:\n  - {name: first, key: first-key}\n"), 1)
	got, err := manifest.ParseNext(previous, "next.yaml", next)
	require.NoError(t, err)
	requireSame(t, parse(t, next), got)
	again, err := manifest.ParseNext(got, "next.yaml", data)
	require.NoError(t, err)
	requireSame(t, previous, again)

	bad := bytes.Replace(next, []byte("name: interactive,"), []byte("name: desk,"), 1)
	_, want := manifest.Parse("next.yaml", bad)
	_, err = manifest.ParseNext(previous, "next.yaml", bad)
	require.EqualError(t, err, want.Error())
	require.ErrorContains(t, err, `next.yaml:20:`)
}
