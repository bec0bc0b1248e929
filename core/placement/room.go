package placement

const (
	// fullFirst is up to which part of their memory engines are filled with
	// requests of the first rank, and fullStep how much less with each further one,
	// so that the first find room first.
	fullFirst = 1.0
	fullStep  = 0.03
	// fullLeast bounds that: the last rank still gets most of the memory.
	fullLeast = 0.85
)

// HasRoom tells whether any of the engines has memory for a request of a rank, where
// 0 goes first. Without, the request waits: sent on, it would wait at the engine, or
// push out a stream that runs there. A target without memory of its own, as a plain
// service is, always has room.
func HasRoom(list []Candidate, tokens, rank int) bool {
	fill := max(fullFirst-fullStep*float64(rank), fullLeast)
	for i := range list {
		c := &list[i]
		if c.Capacity == 0 || !c.Excluded && c.fits(tokens, fill) {
			return true
		}
	}
	return false
}
