package handoff

import "time"

// Notice is how long an engine works on, at the least, after it has said that it
// leaves, as far as moves may rely on it: engines are reclaimed 1.5 s after their
// notice at the earliest, and the last stop needs some of that.
const Notice = 1100 * time.Millisecond

// Exposure is what would have to be moved if an engine left now.
type Exposure struct {
	// Tokens is the memory that no other engine has a copy of, with the stream
	// that is about to start.
	Tokens int
	// Rate is how many tokens are moved in a second.
	Rate float64
	// Moves tells that engines move runs on demand.
	Moves bool
}

const (
	// fillFree: up to this part of an engine's memory copies cost nobody a place,
	// and they save the streams of engines that crash.
	fillFree = 0.5
	// fillNeeded: up to this part copies are kept where the notice would not do to
	// move all that an engine runs.
	fillNeeded = 0.85
	// noticeShare is the part of the notice that moves are planned to take: an
	// engine in another zone takes twice the time.
	noticeShare = 0.5
)

// BackupFill gives up to which part of its memory an engine is given the copy of
// one more stream that starts elsewhere.
//
// Load pattern: engines two fifths full, a sixth of them reclaimed every few
// seconds. Copies of all streams would double what they hold, and newcomers would
// find no memory. So copies are kept in memory that is free, and beyond that only
// for streams that could not be moved within the notice.
func BackupFill(x Exposure) float64 {
	if !x.Moves {
		return fillNeeded
	}
	if x.Rate > 0 && float64(x.Tokens)/x.Rate > noticeShare*Notice.Seconds() {
		return fillNeeded
	}
	return fillFree
}
