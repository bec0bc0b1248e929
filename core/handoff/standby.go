package handoff

import "time"

// Notice is how long an engine works on, at the least, after it has said that it
// drains, as far as migrations may rely on it: engines are reclaimed 1.5 s after their
// notice at the earliest, and the last stop needs some of that.
const Notice = 1300 * time.Millisecond

const (
	// fillMoves: where engines move runs on demand, up to this part of an engine's
	// memory copies of other engines' runs displace no request.
	fillMoves = 0.3
	// fillCopies: where they don't, a stream can be continued from a copy only.
	fillCopies = 0.85
	// fleetFill is up to which part of the memory of all engines those that move runs on
	// demand are given copies.
	fleetFill = 0.55
)

// StandbyFill gives up to which part of its memory an engine is given the copy of
// one more stream that starts elsewhere, zero for none; fleet is the part of the memory
// of all engines that is taken.
//
// Load pattern: engines two thirds full, a sixth of them reclaimed every few
// seconds. Copies of streams double what they hold; newcomers wait for memory, and
// the copies' traffic holds up the moves of the runs that must go. An engine that has
// just come is empty, but what waits elsewhere needs its room. Kept on nearly empty
// engines of a fleet that has memory to spare, copies save the streams of engines that
// crash at quiet hours.
func StandbyFill(moves bool, fleet float64) float64 {
	switch {
	case !moves:
		return fillCopies
	case fleet > fleetFill:
		return 0
	}
	return fillMoves
}

// moveOverhead is what a move takes besides the first copy of its run: the copy of what
// is new since, the retry's grant, and the last copy after the stop.
const moveOverhead = 50 * time.Millisecond

// MoveTime is how long it takes to move runs of so many tokens together at a rate in
// tokens a second; zero where the rate isn't known.
//
// Load pattern: an engine drains, and several entries move its runs one after the other,
// by their estimate of how long those before them take. The next one's first copy, begun
// too early, is ahead of the last copy of a run that has stopped, and that caller sees a
// pause of its whole length.
func MoveTime(tokens, runs int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens)/rate*float64(time.Second)) + time.Duration(runs)*moveOverhead
}
