package routing

import (
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
)

// defaultZoneWait is how much sooner a target outside of the entry's zone must start
// to be preferred: below it the difference is within a bid's own error, and the
// answer's tokens would cross zones for nothing.
const defaultZoneWait = 20 * time.Millisecond

// tieWait is the difference in waiting that says nothing: a bid's estimate is no
// better than that, and a few milliseconds of prompt would otherwise lead all
// requests to one target for as long as it has room.
const tieWait = 30 * time.Millisecond

// Bid is a target's answer to the question when it could start a request.
type Bid struct {
	// From is the candidate that was asked.
	From Candidate
	// Bid is its answer; Refuse is set when it would not take the request.
	admission.Bid
}

// cost orders bids.
func (b *Bid) cost() time.Duration { return b.Wait + b.From.ZoneWait }

// Compare gives the index of the best bid: of those that start within tieWait of
// the earliest, the one with the lowest score, then the one with the most prefix
// held. It gives -1 when every bid refuses.
func Compare(bids []Bid) int {
	first, ok := earliest(bids)
	if !ok {
		return -1
	}
	best := -1
	for i := range bids {
		b := &bids[i]
		if b.Refuse != "" || b.cost() > first+tieWait {
			continue
		}
		if best < 0 || better(b, &bids[best]) {
			best = i
		}
	}
	return best
}

// earliest gives the lowest cost of the bids that don't refuse.
func earliest(bids []Bid) (first time.Duration, ok bool) {
	for i := range bids {
		b := &bids[i]
		if b.Refuse == "" && (!ok || b.cost() < first) {
			first, ok = b.cost(), true
		}
	}
	return first, ok
}

func better(a, b *Bid) bool {
	if a.From.Score != b.From.Score {
		return a.From.Score < b.From.Score
	}
	return a.Cached > b.Cached
}

// Refusal sums up bids of which none can be taken, for the caller: the reason
// that says the most, and the soonest time at which one of the targets asks to
// be tried again. Without bids the reason is no_target.
func Refusal(bids []Bid) *api.Error {
	e := api.NotRun(api.StepRoute, "", api.ReasonNoTarget, nil)
	for i := range bids {
		b := &bids[i]
		if b.Refuse == "" {
			continue
		}
		if e.Peer == "" || telling(b.Refuse) > telling(e.Reason) {
			e.Peer, e.Reason = string(b.From.ID), b.Refuse
		}
		if b.RetryAfter > 0 && (e.RetryAfter == 0 || b.RetryAfter < e.RetryAfter) {
			e.RetryAfter = b.RetryAfter
		}
	}
	return e
}

// telling ranks reasons by what they say of the fleet: one crowded target means
// that waiting helps, whatever the others say; one that is leaving says nothing.
func telling(r api.Reason) int {
	switch r {
	case api.ReasonQueueFull:
		return 3
	case api.ReasonDeadlineHopeless:
		return 2
	case api.ReasonNeverFits:
		return 1
	default:
		return 0
	}
}
