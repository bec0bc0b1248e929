package placement

import "math"

const (
	// largeShare is the fraction of an engine's memory from which a request counts as
	// large.
	largeShare = 0.2
	// largeRoom is the fraction of its memory that an engine must have free to be
	// reserved for large requests.
	largeRoom = 0.25
	// reservedShare is the largest fraction of the engines that is reserved for large
	// requests.
	reservedShare = 0.15
)

// excludeReserved removes the engines that are reserved for large requests from
// eligible, unless the request itself is large or leaves enough room for a large one.
//
// Load pattern: demand exceeds the memory of the engines. A small request fits wherever
// one stream has ended, a large one only where several have, and before that happens the
// next small request takes the room. Therefore the last engines with much free memory are
// reserved for large requests, which are rare. Small requests may use them again as soon
// as more than reservedShare of the engines have that much room.
func excludeReserved(list []Candidate, eligible []int, need Need) []int {
	if need.Room == nil {
		return eligible
	}
	engines, withLargeRoom := 0, 0
	for i := range list {
		if list[i].Excluded {
			continue
		}
		engines++
		if need.Room.hasLargeRoom(&list[i], 0) {
			withLargeRoom++
		}
	}
	if withLargeRoom > int(math.Ceil(reservedShare*float64(engines))) || engines == 1 {
		return eligible
	}
	out := eligible[:0]
	for _, i := range eligible {
		c := &list[i]
		if isLarge(c, need.Tokens) || !need.Room.hasLargeRoom(c, 0) || need.Room.hasLargeRoom(c, need.Tokens) {
			out = append(out, i)
		}
	}
	return out
}

func isLarge(c *Candidate, tokens int) bool {
	return float64(tokens) >= largeShare*float64(c.Capacity)
}

// hasLargeRoom reports whether an engine that holds the given number of additional tokens
// still has room for a large request.
func (r *Room) hasLargeRoom(c *Candidate, extra int) bool {
	return c.Capacity > 0 && !c.Excluded && !c.Full && c.Unread <= maxUnread &&
		c.fits(extra+int(largeRoom*float64(c.Capacity)), r.Fill)
}
