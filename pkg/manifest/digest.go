package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// customerBuckets is the number of sections that the customers are spread over.
// With 24,000 customers a bucket has about 94 of them and takes about 11 KB.
const customerBuckets = 256

// Digest identifies the content of a section: the first 128 bits of the SHA-256
// of its canonical form.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// SectionDigest is the digest of one section of a manifest.
type SectionDigest struct {
	section string
	digest  Digest
}

// Section returns general, classes, models, services, pipelines, or customers/00
// to customers/ff for a bucket of customers.
func (s SectionDigest) Section() string { return s.section }

// Digest returns the digest of the section.
func (s SectionDigest) Digest() Digest { return s.digest }

// Digests returns the digest of every section that isn't empty, in a fixed
// order. Two processes that compare them find which sections differ without
// sending the manifest. The order of customers in the file has no effect.
func (m *Manifest) Digests() []SectionDigest {
	sections := []struct {
		name  string
		write func(*bytes.Buffer)
	}{
		{"general", m.writeGeneral},
		{"classes", func(b *bytes.Buffer) { writeItems(b, "classes", m.classes) }},
		{"models", func(b *bytes.Buffer) { writeItems(b, "models", m.models) }},
		{"services", m.writeServices},
		{"pipelines", m.writePipelines},
	}
	var b bytes.Buffer
	var list []SectionDigest
	add := func(name string) {
		if b.Len() > 0 {
			list = append(list, SectionDigest{section: name, digest: digestOf(b.Bytes())})
		}
		b.Reset()
	}
	for _, s := range sections {
		s.write(&b)
		add(s.name)
	}
	for i, customers := range m.buckets() {
		writeItems(&b, "customers", customers)
		add(fmt.Sprintf("customers/%02x", i))
	}
	return list
}

// buckets spreads the customers by a hash of their names, sorted by name.
func (m *Manifest) buckets() [customerBuckets][]*Customer {
	var buckets [customerBuckets][]*Customer
	for _, c := range m.customers {
		i := sha256.Sum256([]byte(c.name))[0]
		buckets[i] = append(buckets[i], c)
	}
	for _, b := range buckets {
		slices.SortFunc(b, func(x, y *Customer) int { return strings.Compare(x.name, y.name) })
	}
	return buckets
}

func digestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(sum[:len(Digest{})])
}
