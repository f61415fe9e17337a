package journal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A record consists of a magic number, a sequence number, the payload length, a
// checksum of the sequence number, length and payload, and the payload. Numbers are
// encoded in little-endian order.
const (
	magicSize  = 4
	headerSize = magicSize + 8 + 4 + 8
)

var magic = []byte{0xca, 0x4d, 0xa3, 0x0e}

func writeHeader(record []byte, sequence uint64) {
	copy(record, magic)
	binary.LittleEndian.PutUint64(record[4:], sequence)
	binary.LittleEndian.PutUint32(record[12:], uint32(len(record)-headerSize))
	binary.LittleEndian.PutUint64(record[16:], checksum(record))
}

func checksum(record []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(record[magicSize:16])
	_, _ = h.Write(record[headerSize:])
	return h.Sum64()
}

// readRecord decodes the record at the start of data. It returns false if there is
// no intact record.
func readRecord(data []byte) (sequence uint64, payload []byte, ok bool) {
	if len(data) < headerSize || !bytes.Equal(data[:magicSize], magic) {
		return 0, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(data[12:]))
	if size > uint64(len(data)-headerSize) {
		return 0, nil, false
	}
	record := data[:headerSize+int(size)]
	if checksum(record) != binary.LittleEndian.Uint64(record[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(record[4:]), record[headerSize:], true
}

// findRecord returns the offset of the first intact record in data, or -1.
func findRecord(data []byte) int {
	for at := 0; ; at++ {
		next := bytes.Index(data[at:], magic)
		if next < 0 {
			return -1
		}
		at += next
		if _, _, ok := readRecord(data[at:]); ok {
			return at
		}
	}
}
