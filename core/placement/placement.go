// Package placement chooses the target of a request among the announced targets, from one
// entry's view of their load. It is pure: Pick filters out the targets that must not be
// used, draws a random sample of the rest, scores each target in the sample by its load
// and returns the one with the lowest score.
package placement

import (
	"cmp"
	"time"

	"almondseam.dev/core/api"
)

// Candidate describes a target at the time of the choice.
type Candidate struct {
	Zone api.Zone
	// Slots is the number of requests that the target runs at once; zero if unknown.
	// Running is the number of requests known to be at the target.
	Slots   int
	Running int
	// Tokens is the expected memory use of the target, in tokens. Capacity is its total
	// memory; zero for a plain service, or if unknown.
	Tokens   int
	Capacity int
	// Unread is the number of prompt tokens at the target that are not yet processed
	// (prefilled).
	Unread int
	// Incoming is the memory, in tokens, of runs that are being copied to the target.
	Incoming int
	// Leaves is the probability that the target leaves before the request ends, by its age;
	// zero where departures do not depend on the age.
	Leaves float64
	// Cold is set while the target is still slow after its start.
	Cold bool
	// Avoid is set for a while after a failure of the target.
	Avoid bool
	// Full is set for a short time after the target has refused a reservation.
	Full bool
	// Excluded targets must not be chosen.
	Excluded bool
	// Pause is the longest pause between two events to expect of a stream on the target;
	// zero if unknown.
	Pause time.Duration
}

// Need describes what a request requires of its target.
type Need struct {
	Zone   api.Zone
	Tokens int
	// ZoneWeight is the penalty for a target in another availability zone, in the
	// unit of a target's load; zero means zonePenalty.
	ZoneWeight float64
	// Fill excludes targets whose memory use, the request included, would exceed this
	// fraction of their capacity. It also excludes targets with Avoid set. Zero
	// excludes none.
	Fill float64
	// Draws is the size of the random sample from which the best target is taken;
	// zero samples all targets. See DrawsFor.
	Draws int
	// Room excludes targets without room for the request; nil excludes none.
	Room *Room
	// Even treats all targets that have room for the request as equally loaded.
	Even bool
	// Pace describes the stream to the choice between targets of unequal pace.
	Pace Pace
	// Receiver marks the choice of the receiver of a run that is copied. Targets without a
	// free slot or free memory are excluded, and those with copies under way avoided.
	// Overcommit admits targets without free memory: their use may be counted too high.
	Receiver   bool
	Overcommit bool
}

const (
	// zonePenalty is added to the score of a target in another availability zone, in
	// the unit of a target's load. A request that crosses zones costs a millisecond
	// and the charge for its traffic, which is less than the cost of waiting behind
	// one more request.
	zonePenalty = 0.03
	// coldPenalty is added to the score of a target that is slow after its start.
	coldPenalty = 0.5
	// leavePenalty is added to the score of a target that is certain to leave before the request
	// ends. The stream then has to be migrated, which costs link time and a pause, but a target
	// that is nearly full may not have room for it to the end either.
	leavePenalty = 0.5
	// unreadPerLoad is the number of unprocessed prompt tokens that count as much as
	// a full target: about a second of prefill, half of the time allowed until the
	// first event.
	unreadPerLoad = 10_000
	// avoidPenalty ranks a target that has just failed behind all others.
	avoidPenalty = 100
)

// Pick returns the index of the chosen candidate, or -1 if none may be used. draw returns
// uniform random numbers in [0,1). With Need.Pace, Pick may change Candidate.Unread in list.
func Pick(list []Candidate, need Need, draw func() float64) int {
	pace := need.Pace.apply(list)
	eligible := filter(list, need)
	if need.Room != nil && !need.Room.leavesSpare(list) {
		return -1
	}
	eligible = excludeReserved(list, eligible, need)
	eligible = sample(eligible, need.Draws, draw)
	if len(eligible) == 0 {
		return -1
	}
	noiseRange := scoreNoise
	if need.Even {
		noiseRange = 1
	}
	best, bestScore := -1, 0.0
	for _, i := range eligible {
		// Random noise keeps entries that see the same loads from choosing the same target.
		s := score(&list[i], need) + pace.of(&list[i]) + draw()*noiseRange
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// drawsPerShare is the number of targets sampled per target in one entry's share, which
// is the number of targets divided by the number of entries.
const drawsPerShare = 20

// DrawsFor returns the size of the random sample that each choice should draw from the
// targets.
//
// Load pattern: thirty entries send sixty prompts a second to forty engines, and each
// entry learns of the others' choices some milliseconds late. If all entries chose the
// least loaded engine, several prompts would arrive there before the next load report.
// With random samples the entries choose different engines. With few entries the sample
// is the whole list.
func DrawsFor(targets, entries int) int {
	return max(2, drawsPerShare*targets/max(entries, 1))
}

// sample returns a random sample of draws elements of eligible without repetition, or all
// of eligible if draws is 0 or not smaller than its length. It reorders eligible.
func sample(eligible []int, draws int, draw func() float64) []int {
	if draws == 0 || draws >= len(eligible) {
		return eligible
	}
	for i := range draws {
		j := i + int(draw()*float64(len(eligible)-i))
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	return eligible[:draws]
}

// evenFill is the fraction of its memory up to which a target counts as having room for a
// migrated run, which is placed with Need.Even.
const evenFill = 0.85

// scoreNoise is the range of the random part of a score, in the unit of a target's load.
const scoreNoise = 0.02

// filter returns the indexes of the candidates that may be used.
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
		if need.Room != nil && !need.Room.admits(c, need.Tokens) {
			continue
		}
		if need.Receiver && !c.receives(need) {
			continue
		}
		out = append(out, i)
	}
	return out
}

// MemoryUse returns the fraction of the total memory of all targets that is in use. Excluded
// targets are not counted.
func MemoryUse(list []Candidate) float64 {
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

// fits reports whether the memory use of the target, with the given tokens added, stays
// within the fraction fill of its capacity.
func (c *Candidate) fits(tokens int, fill float64) bool {
	return c.Tokens+tokens <= int(fill*float64(c.Capacity))
}

// receives reports whether the target has a free slot and free memory for the run, as far as is
// known.
func (c *Candidate) receives(need Need) bool {
	return (c.Slots == 0 || c.Running < c.Slots) && (c.Capacity == 0 || need.Overcommit || c.fits(need.Tokens, 1))
}

// score returns the load of a target with the request added, plus penalties; lower is
// better.
func score(c *Candidate, need Need) float64 {
	s := load(c, need)
	if c.Zone != need.Zone {
		s += cmp.Or(need.ZoneWeight, zonePenalty)
	}
	s += leavePenalty * c.Leaves
	if c.Cold {
		s += coldPenalty
	}
	if c.Avoid {
		s += avoidPenalty
	}
	if need.Receiver && need.Tokens > 0 {
		// A copy that waits for another one of its size takes as long as one to another zone.
		s += cmp.Or(need.ZoneWeight, zonePenalty) * float64(c.Incoming) / float64(need.Tokens)
	}
	return s
}

// load returns the load of a target with the request added: the larger of the fractions
// of slots and of memory in use, plus a term for unprocessed prompts. 1 is a full target.
// With Need.Even it is 0 for every target that has room.
func load(c *Candidate, need Need) float64 {
	if need.Even && c.fits(need.Tokens, evenFill) {
		return 0
	}
	s := 0.0
	if c.Slots > 0 {
		s = float64(c.Running+1) / float64(c.Slots)
	}
	if c.Capacity > 0 {
		s = max(s, float64(c.Tokens+need.Tokens)/float64(c.Capacity))
	}
	return s + float64(c.Unread)/unreadPerLoad
}
