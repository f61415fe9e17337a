package capacity

// changedMiddle returns the number of bytes between the common prefix and the
// common suffix of two texts, in the later one. It's what a transfer of a
// changed manifest as a delta carries.
func changedMiddle(earlier, later []byte) int {
	limit := min(len(earlier), len(later))
	prefix := 0
	for prefix < limit && earlier[prefix] == later[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && earlier[len(earlier)-1-suffix] == later[len(later)-1-suffix] {
		suffix++
	}
	return len(later) - prefix - suffix
}
