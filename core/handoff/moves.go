package handoff

import "time"

// quickTries is the number of receivers that are tried without a pause. The reports by which
// receivers are chosen are some milliseconds old, so a first refusal says little.
const quickTries = 3

const (
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
)

// RetryPause returns the pause before the next receiver is tried, after the given number of
// refusals.
//
// Load pattern: a sixth of the engines is reclaimed, and the runs of all of them need memory on
// the rest. For some hundred milliseconds no engine may have room, and then streams end. A run
// that is tried at a few engines at once, and not again, is lost with its engine.
func RetryPause(refusals int) time.Duration {
	if refusals < quickTries {
		return 0
	}
	// Shifted by the number of pauses before this one, within the range of the bound.
	return min(minRetryPause<<min(refusals-quickTries, 4), maxRetryPause)
}

// Turn describes what a run waits for before it is copied from its draining engine.
type Turn struct {
	// Ahead is the time that the runs ahead of it need, as estimated from the last report of
	// them, and Since the time of that report, or the start of the drain if that is later.
	Ahead time.Duration
	Since time.Time
	// Runs is the number of runs ahead of it that are still reported.
	Runs int
}

// StartAt returns the time at which the run is copied unless a later report changes the turn:
// at once if no run ahead is reported any longer. If reports are late, the estimate applies.
//
// Load pattern: several entries migrate the runs of one draining engine over one link. A whole
// copy that starts before the last copy of another run, for which that run is stopped, delays
// that last copy by its whole duration, and the caller sees a pause of that length. This also
// holds when the notice is nearly over: if all runs that are left started then, their whole
// copies would delay all last copies.
func (t Turn) StartAt(now time.Time) time.Time {
	if t.Runs <= 0 {
		return now
	}
	return t.Since.Add(t.Ahead)
}

// FastCopy is the longest time that a copy of a few tokens takes on an idle link: two round
// trips to the engine and some milliseconds of copying.
const FastCopy = 40 * time.Millisecond

// Round describes the last copy of a run that still runs.
type Round struct {
	// Took is the duration of the copy, Since the time since its end.
	Took  time.Duration
	Since time.Duration
	// Whole is set if it was the first copy, of the whole run.
	Whole bool
	// Incoming is set if other runs are being copied to the receiver.
	Incoming bool
	// Left is the time until the end of the notice.
	Left time.Duration
}

// MayStop reports whether the run may be stopped for its last copy, or else what was added to it
// should be copied once more. A slow copy of a few tokens means that the last copy would wait
// for whole copies of other runs on the same link, and so would the caller. The next copy may
// take as long as this one, so the run is stopped if the notice does not allow another.
func (r Round) MayStop() bool {
	switch {
	case r.Took > r.Left:
		return true
	case r.Took >= FastCopy, r.Since >= FastCopy:
		return false
	}
	return !r.Whole || !r.Incoming
}

// paceMargin is how much longer than at its mean pace a run may take to its end: the engine
// reads prompts and has slow spells in between.
const paceMargin = 1.25

// minPaceEvents is the number of events from which on the pace of a run is known.
const minPaceEvents = 8

// Remainder describes what a run may still generate.
type Remainder struct {
	// MaxTokens is the largest number of tokens that the run may generate in all, zero if it
	// is not known; TokensPerEvent is the number of tokens in each event.
	MaxTokens      int
	TokensPerEvent int
	// Events is the number of events that the run has sent in the time Took after the first,
	// and LongestGap the longest time between two of them.
	Events     int
	Took       time.Duration
	LongestGap time.Duration
}

// EndsWithin reports whether the run certainly ends within the given time: its maximum of tokens
// left takes less, at its own pace.
//
// Load pattern: the runs of a reclaimed engine hardly fit through its link within the notice. A
// run that ends anyway takes time on the link from the others, and memory at a receiver.
func (r Remainder) EndsWithin(left time.Duration) bool {
	if r.MaxTokens <= 0 || r.TokensPerEvent <= 0 || r.Events < minPaceEvents {
		return false
	}
	events := (max(r.MaxTokens-r.Events*r.TokensPerEvent, 0) + r.TokensPerEvent - 1) / r.TokensPerEvent
	perEvent := float64(r.Took) / float64(r.Events-1)
	return time.Duration(paceMargin*perEvent*float64(events))+r.LongestGap < left
}
