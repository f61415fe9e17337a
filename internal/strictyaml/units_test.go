package strictyaml_test

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
)

// TestMain fixes the seed of property tests, so that every run tries the same
// inputs. The flag -rapid.seed on the command line wins.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a rendered unit that is read as another value.
func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(24*time.Hour/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		gotDuration, err := strictyaml.ParseDuration(strictyaml.FormatDuration(d))
		require.NoError(t, err)
		require.Equal(t, d, gotDuration)
		size := strictyaml.Size(rapid.Int64Range(0, math.MaxInt64).Draw(t, "bytes"))
		gotSize, err := strictyaml.ParseSize(size.String())
		require.NoError(t, err)
		require.Equal(t, size, gotSize)
		rate := strictyaml.Rate(rapid.Float64Range(0, 1e9).Draw(t, "rate"))
		gotRate, err := strictyaml.ParseRate(rate.String())
		require.NoError(t, err)
		require.Equal(t, rate, gotRate)
	})
}

// Guards against units that are read leniently, where an operator may mean
// something else than the program understands.
func TestUnitsRefuse(t *testing.T) {
	for _, s := range []string{"", "6", "6 s", "-6s", "+6s", ".5s", "6us", "6d", "1.0005s", "9999999999h"} {
		_, err := strictyaml.ParseDuration(s)
		require.Error(t, err, s)
	}
	for _, s := range []string{"", "8", "8G", "8gb", "8 GB", "-8GB", "08GB", "1.5GB", "8GBB", "99999999TiB", "GB"} {
		_, err := strictyaml.ParseSize(s)
		require.Error(t, err, s)
	}
	for _, s := range []string{"", "-1", "1e3", "inf", "NaN", "5/d", "5/", "1.2.3", "0x10", "1_000"} {
		_, err := strictyaml.ParseRate(s)
		require.Error(t, err, s)
	}
}
