package manifest_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/pkg/manifest"
)

// targetCustomers is the number of customers in two years, section 1 of docs/design.md.
const targetCustomers = 24_000

// large returns the Harbwr example with the given number of customers.
func large(t testing.TB, n int) []byte {
	t.Helper()
	before, rest, ok := bytes.Cut(example(t, "harbwr.yaml"), []byte("customers:\n"))
	require.True(t, ok)
	_, after, ok := bytes.Cut(rest, []byte("\nmodels:\n"))
	require.True(t, ok)
	var b bytes.Buffer
	b.Write(before)
	b.WriteString("customers:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: customer-%05d, key: customer-%05d-key, weight: %d, max_concurrent: 64, rate: 50, default_class: interactive}\n", i, i, 1+i%4)
	}
	b.WriteString("\nmodels:\n")
	b.Write(after)
	return b.Bytes()
}

func BenchmarkParse24000Customers(b *testing.B) {
	data := large(b, targetCustomers)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		_, err := manifest.Parse("large.yaml", data)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(data)), "file-bytes")
	b.ReportMetric(float64(retained(b, data)), "retained-bytes")
}

func BenchmarkParseNext24000Customers(b *testing.B) {
	data := large(b, targetCustomers)
	previous := parse(b, data)
	next := bytes.Replace(data, []byte("weight: 4"), []byte("weight: 5"), 1)
	b.ReportAllocs()
	for b.Loop() {
		_, err := manifest.ParseNext(previous, "large.yaml", next)
		require.NoError(b, err)
	}
}

func BenchmarkDiff24000Customers(b *testing.B) {
	before := parse(b, large(b, targetCustomers))
	after := parse(b, bytes.ReplaceAll(large(b, targetCustomers), []byte("weight: 4"), []byte("weight: 5")))
	b.ReportAllocs()
	for b.Loop() {
		require.Len(b, manifest.Diff(before, after), targetCustomers/4)
	}
}

func BenchmarkDigests24000Customers(b *testing.B) {
	m := parse(b, large(b, targetCustomers))
	b.ReportAllocs()
	for b.Loop() {
		m.Digests()
	}
}

func BenchmarkBytes24000Customers(b *testing.B) {
	m := parse(b, large(b, targetCustomers))
	b.ReportAllocs()
	for b.Loop() {
		m.Bytes()
	}
}

// retained returns how much the live heap grows by one parsed manifest.
func retained(t testing.TB, data []byte) uint64 {
	t.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, err := manifest.Parse("large.yaml", data)
	require.NoError(t, err)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(m)
	return after.HeapAlloc - before.HeapAlloc
}
