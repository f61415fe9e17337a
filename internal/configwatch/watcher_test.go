package configwatch_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/configwatch"
	"github.com/cardamomline/cardamomline/internal/delta"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// TestMain sets the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func manifestOf(revision int) string {
	customers := strings.Repeat("  - {name: c%d, key: k%d, weight: %d, default_class: counter}\n", 1)
	text := "version: 1\nclasses: [{name: counter, priority: 0, deadline: 2s}]\nservices: [{name: core, kind: service, operations: [{name: look, idempotent: true}]}]\ncustomers:\n"
	for i := range 20 {
		weight := 1
		if i == 7 {
			weight = 1 + revision
		}
		text += fmt.Sprintf(customers, i, i, weight)
	}
	return text
}

// Requirement P7: a configuration never reverts and is never mixed with another one,
// whatever the order of full manifests, deltas, damaged and repeated records. A process
// that doesn't parse the contents can't detect a damaged full manifest, so it gets none.
func TestRevisionNeverDecreases(t *testing.T) {
	for _, bytesOnly := range []bool{false, true} {
		t.Run(fmt.Sprintf("bytes only %t", bytesOnly), func(t *testing.T) { checkRevisions(t, bytesOnly) })
	}
}

func checkRevisions(t *testing.T, bytesOnly bool) {
	rapid.Check(t, func(rt *rapid.T) {
		w := configwatch.New(configwatch.Options{Timers: timer.NewService(), SkipParsing: bytesOnly})
		highest := uint64(0)
		for range 20 {
			revision := rapid.IntRange(1, 12).Draw(rt, "revision")
			r := &wire.ManifestRecord{Revision: uint64(revision), Manifest: []byte(manifestOf(revision))}
			switch rapid.IntRange(0, 3).Draw(rt, "form") {
			case 0:
				known := rapid.IntRange(1, 12).Draw(rt, "known")
				base := &wire.ManifestRecord{Revision: uint64(known), Manifest: []byte(manifestOf(known))}
				r = delta.DiffRecord(base, r, uint64(known))
			case 1:
				if bytesOnly {
					break
				}
				r.Manifest = []byte("version: [")
			}
			err := w.Apply(r)
			require.GreaterOrEqual(rt, w.Revision(), highest)
			if err != nil {
				require.Equal(rt, highest, w.Revision(), "a rejected record changed the configuration")
			}
			highest = w.Revision()
			if highest > 0 {
				require.Equal(rt, manifestOf(int(highest)), string(w.Current().Record().GetManifest()))
			}
			if highest > 0 && !bytesOnly {
				c, ok := w.Current().Manifest().Customer("k7")
				require.True(rt, ok)
				require.Equal(rt, 1+int(highest), c.Weight())
			}
		}
	})
}
