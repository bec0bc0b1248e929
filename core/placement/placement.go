// Package placement chooses the target of a request among those that announce
// themselves, from what one entry knows of them. It is pure: a Filter leaves out
// what must not be asked, a Scorer weighs the rest, and a Picker takes the best of
// two drawn at random.
package placement

import (
	"cmp"

	"almondseam.dev/core/api"
)

// Candidate is a target at the time of the choice.
type Candidate struct {
	Zone api.Zone
	// Slots is how many requests the target runs at once; Running how many are
	// known to be there.
	Slots   int
	Running int
	// Tokens is the memory that those are expected to take, of Capacity; both are
	// zero for a plain service.
	Tokens   int
	Capacity int
	// Unread is the part of the prompts there, in tokens, that is still to be read
	// before their answers begin.
	Unread int
	// Cold targets are still slow after their start.
	Cold bool
	// Avoid is set for a while after a failure.
	Avoid bool
	// Full targets have refused a reservation of late.
	Full bool
	// Excluded targets must not be asked.
	Excluded bool
}

// Need is what a request asks of its target.
type Need struct {
	Zone   api.Zone
	Tokens int
	// ZoneWeight is what a target in another zone counts more, in parts of its
	// load; zero takes the usual one.
	ZoneWeight float64
	// Fill leaves out targets of which more than this part would be taken with the
	// request, and those that have just failed; zero leaves out none for that.
	Fill float64
	// Draws is how many targets are drawn, the best of which is taken; zero takes
	// all. See DrawsFor.
	Draws int
	// Room leaves out targets without room for the request; nil leaves out none.
	Room *Room
	// Even treats all targets that have room as equally loaded.
	Even bool
}

const (
	// otherZone is what a target in another zone counts more, in parts of its
	// load: a crossing costs a millisecond and bytes that are paid for, which is
	// less than waiting behind one more request.
	otherZone = 0.03
	// coldLoad is what a target counts more while it is slow after its start.
	coldLoad = 0.5
	// unreadFull is how many unread tokens weigh as much as a target that is full: a
	// second or so of reading, about half of what a first event may take.
	unreadFull = 10_000
	// avoidLoad puts a target that has just failed behind all that have not.
	avoidLoad = 100
)

// Pick gives the index of the chosen candidate, -1 if none may be asked. draw is
// uniform in [0,1).
func Pick(list []Candidate, need Need, draw func() float64) int {
	eligible := filter(list, need)
	if need.Room != nil && !need.Room.spares(list) {
		return -1
	}
	eligible = withoutKept(list, eligible, need)
	eligible = drawn(eligible, need.Draws, draw)
	if len(eligible) == 0 {
		return -1
	}
	breadth := noise
	if need.Even {
		breadth = 1
	}
	best, bestScore := -1, 0.0
	for _, i := range eligible {
		// Noise keeps entries that see the same loads from choosing the same target.
		s := score(&list[i], need) + draw()*breadth
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// drawsPerShare is how many targets are drawn for each target that there is for an
// entry.
const drawsPerShare = 20

// DrawsFor gives how many of the targets each choice should draw.
//
// Load pattern: thirty entries send sixty prompts a second to forty engines, and each
// learns of the others' choices some milliseconds late. If all choose the least loaded
// engine, several prompts arrive there before any load report does; from a random sample
// the entries choose different ones. With few entries the sample is the whole list.
func DrawsFor(targets, entries int) int {
	return max(2, drawsPerShare*targets/max(entries, 1))
}

// drawn gives some of the eligible, all of them if there are no more or draws is 0.
func drawn(eligible []int, draws int, draw func() float64) []int {
	if draws == 0 || draws >= len(eligible) {
		return eligible
	}
	for i := range draws {
		j := i + int(draw()*float64(len(eligible)-i))
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	return eligible[:draws]
}

// evenRoom is up to which part of its memory a target has room for a run that is
// moved there.
const evenRoom = 0.85

// noise is the breadth of the random part of a score, in parts of a target's load.
const noise = 0.02

// filter gives the indexes of candidates that may be asked.
func filter(list []Candidate, need Need) []int {
	out := make([]int, 0, len(list))
	for i := range list {
		c := &list[i]
		if c.Excluded || c.Capacity > 0 && need.Tokens > c.Capacity {
			continue
		}
		if need.Fill > 0 && (c.Avoid || !c.fits(need.Tokens, need.Fill)) {
			continue
		}
		if need.Room != nil && !need.Room.in(c, need.Tokens) {
			continue
		}
		out = append(out, i)
	}
	return out
}

// Taken is the part of the memory of all targets together that is taken, as far as they
// may be asked.
func Taken(list []Candidate) float64 {
	tokens, capacity := 0, 0
	for i := range list {
		if !list[i].Excluded {
			tokens += list[i].Tokens
			capacity += list[i].Capacity
		}
	}
	if capacity <= 0 {
		return 0
	}
	return float64(tokens) / float64(capacity)
}

// fits tells whether a request leaves the target within a part of its memory.
func (c *Candidate) fits(tokens int, fill float64) bool {
	return c.Tokens+tokens <= int(fill*float64(c.Capacity))
}

// score gives the load of a target with the request on it, lower is better.
func score(c *Candidate, need Need) float64 {
	s := load(c, need)
	if c.Zone != need.Zone {
		s += cmp.Or(need.ZoneWeight, otherZone)
	}
	if c.Cold {
		s += coldLoad
	}
	if c.Avoid {
		s += avoidLoad
	}
	return s
}

// load gives the part of a target that is taken with the request on it.
func load(c *Candidate, need Need) float64 {
	if need.Even && c.fits(need.Tokens, evenRoom) {
		return 0
	}
	s := 0.0
	if c.Slots > 0 {
		s = float64(c.Running+1) / float64(c.Slots)
	}
	if c.Capacity > 0 {
		s = max(s, float64(c.Tokens+need.Tokens)/float64(c.Capacity))
	}
	return s + float64(c.Unread)/unreadFull
}
