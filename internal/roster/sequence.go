package roster

import "hash/fnv"

// Layout of a sequence, from the highest bit: 20 bits generation, 23 bits counter, 20 bits
// origin, 1 bit for the silent state.
const (
	originShift     = 1
	originBits      = 20
	counterShift    = originShift + originBits
	counterBits     = 23
	generationShift = counterShift + counterBits
	silentBit       = 1
)

// sequence identifies one announcement of a process. The generation counts its
// incarnations, the counter the announcements that contained a change, and the origin is
// the control VM that received it. An announcement that returns to a VM through its peers
// has the same sequence, so it is recognized and can't refresh itself.
type sequence uint64

func newSequence(generation, counter, origin uint64) sequence {
	return sequence(generation<<generationShift | counter&(1<<counterBits-1)<<counterShift | origin<<originShift)
}

func (s sequence) generation() uint64 { return uint64(s) >> generationShift }
func (s sequence) origin() uint64     { return uint64(s) >> originShift & (1<<originBits - 1) }

// decodeSequence separates the sequence of a change from the silent bit.
func decodeSequence(wireSequence uint64) (s sequence, silent bool) {
	return sequence(wireSequence &^ silentBit), wireSequence&silentBit != 0
}

// encodeSequence combines a sequence with the silent bit.
func encodeSequence(s sequence, silent bool) uint64 {
	if silent {
		return uint64(s) | silentBit
	}
	return uint64(s)
}

// originFromEpoch returns the origin of the announcements received in an epoch.
func originFromEpoch(epoch string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(epoch))
	sum := h.Sum64()
	return (sum ^ sum>>originBits ^ sum>>(2*originBits)) & (1<<originBits - 1)
}
