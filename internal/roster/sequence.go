package roster

import "hash/fnv"

// Layout of a sequence, from the highest bit: 20 bits of generation, 24 bits of
// counter, 20 bits of origin.
const (
	originBits     = 20
	counterBits    = 24
	originMask     = 1<<originBits - 1
	counterMask    = 1<<counterBits - 1
	generationStep = 1 << (originBits + counterBits)
)

// sequence identifies one announcement of a process. The generation counts its
// incarnations, the counter the announcements that changed something, and the
// origin is the control VM that heard it. An announcement that returns to a VM
// through its peers has the same sequence, so it's recognised and can't refresh itself.
type sequence uint64

func newSequence(generation, counter, origin uint64) sequence {
	return sequence(generation<<(originBits+counterBits) | (counter&counterMask)<<originBits | origin)
}

func (s sequence) generation() uint64 { return uint64(s) >> (originBits + counterBits) }
func (s sequence) counter() uint64    { return uint64(s) >> originBits & counterMask }
func (s sequence) origin() uint64     { return uint64(s) & originMask }

// originOf returns the origin of the announcements heard in an epoch.
func originOf(epoch string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(epoch))
	sum := h.Sum64()
	return (sum ^ sum>>originBits ^ sum>>(2*originBits)) & originMask
}
