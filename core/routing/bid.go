package routing

import (
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
)

// zoneWait is how much sooner a target outside of the entry's zone must start
// to be preferred: below it the difference is within a bid's own error, and the
// answer's tokens would cross zones for nothing.
const zoneWait = 20 * time.Millisecond

// Bid is a target's answer to the question when it could start a request.
type Bid struct {
	// From is the candidate that was asked.
	From Candidate
	// Bid is its answer; Refuse is set when it would not take the request.
	admission.Bid
}

// cost orders bids.
func (b *Bid) cost() time.Duration {
	if b.From.Own {
		return b.Wait
	}
	return b.Wait + zoneWait
}

// Compare gives the index of the best bid: the earliest start, then the most
// prefix held, then the lower score. It gives -1 when every bid refuses.
func Compare(bids []Bid) int {
	best := -1
	for i := range bids {
		if bids[i].Refuse != "" {
			continue
		}
		if best < 0 || better(&bids[i], &bids[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Bid) bool {
	if a.cost() != b.cost() {
		return a.cost() < b.cost()
	}
	if a.Cached != b.Cached {
		return a.Cached > b.Cached
	}
	return a.From.Score < b.From.Score
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
