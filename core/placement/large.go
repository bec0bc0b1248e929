package placement

import "math"

const (
	// largeShare is the part of an engine's memory from which on a request is large.
	largeShare = 0.2
	// largeRoom is the part of an engine's memory that a large request finds free at an
	// engine that is kept for such requests.
	largeRoom = 0.25
	// keptLarge is the part of the engines that are kept for large requests.
	keptLarge = 0.15
)

// withoutKept leaves out the engines that are kept for large requests, unless the
// request is one.
//
// Load pattern: more is asked of the engines than they hold. Small requests fit
// wherever a stream has ended, a large one only where several have; before that
// happens the next small one takes the room. The last engines with much room are left
// to large requests, which are few, and go to others as soon as there are more of them.
func withoutKept(list []Candidate, eligible []int, need Need) []int {
	if need.Room == nil {
		return eligible
	}
	engines, spacious := 0, 0
	for i := range list {
		if list[i].Excluded {
			continue
		}
		engines++
		if need.Room.hasLargeRoom(&list[i], 0) {
			spacious++
		}
	}
	if spacious > int(math.Ceil(keptLarge*float64(engines))) || engines == 1 {
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

// hasLargeRoom tells whether an engine has room for a large request beside so many
// tokens.
func (r *Room) hasLargeRoom(c *Candidate, beside int) bool {
	return c.Capacity > 0 && !c.Excluded && !c.Full && c.Unread <= unreadRoom &&
		c.fits(beside+int(largeRoom*float64(c.Capacity)), r.Fill)
}
