package routing

import (
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
)

// defaultZoneWait is how much sooner a target outside of the entry's zone must start
// the request to be preferred. A smaller difference is within the error of a bid, and
// the answer's tokens would cross zones without a benefit.
const defaultZoneWait = 20 * time.Millisecond

// tieWait is the difference in waiting time up to which bids count as equal. The
// estimate of a bid is no more precise, and a difference of a few milliseconds in
// prompt processing would otherwise send all requests to one target for as long as
// it has room.
const tieWait = 30 * time.Millisecond

// Bid is a target's estimate of when it could start a request.
type Bid struct {
	// From is the candidate that sent the bid.
	From Candidate
	// Bid is its estimate; Refuse is set when the target would refuse the request.
	admission.Bid
}

// cost returns the bid's wait plus the penalty of another zone; lower is better.
func (b *Bid) cost() time.Duration { return b.Wait + b.From.ZoneWait }

// BestBid returns the index of the best bid: of the bids whose cost is within tieWait
// of the lowest, the one with the lowest score, then the one with the most prompt
// tokens cached. It returns -1 when every bid refuses.
func BestBid(bids []Bid) int {
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

// earliest returns the lowest cost of the bids that do not refuse.
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

// Refusal returns the error for the caller when all bids refuse: the reason that
// ranks highest, the target that gave it, and the shortest RetryAfter of all
// targets. Without bids the reason is no_target.
func Refusal(bids []Bid) *api.Error {
	e := api.NotRun(api.StepRoute, "", api.ReasonNoTarget, nil)
	for i := range bids {
		b := &bids[i]
		if b.Refuse == "" {
			continue
		}
		if e.Peer == "" || reasonRank(b.Refuse) > reasonRank(e.Reason) {
			e.Peer, e.Reason = string(b.From.ID), b.Refuse
		}
		if b.RetryAfter > 0 && (e.RetryAfter == 0 || b.RetryAfter < e.RetryAfter) {
			e.RetryAfter = b.RetryAfter
		}
	}
	return e
}

// reasonRank ranks reasons by how much they tell about the fleet. One target with a
// full queue means that waiting helps, whatever the other targets answer; a target
// that is leaving tells nothing.
func reasonRank(r api.Reason) int {
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
