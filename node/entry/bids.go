package entry

import (
	"context"
	"sync"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/wire"
)

// bids delivers the agents' bids to the requests that wait for them.
type bids struct {
	mu      sync.Mutex
	waiting map[wire.Key]chan receivedBid
}

// receivedBid is a bid and the target that sent it.
type receivedBid struct {
	from api.TargetID
	bid  *wire.Bid
}

func newBids() *bids { return &bids{waiting: make(map[wire.Key]chan receivedBid)} }

// register returns the channel for the bids on key k, with room for n bids.
func (b *bids) register(k wire.Key, n int) <-chan receivedBid {
	ch := make(chan receivedBid, n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[k] = ch
	return ch
}

func (b *bids) unregister(k wire.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, k)
}

// answer delivers a bid to the request that waits for it. A bid that nothing waits
// for any more is dropped.
func (b *bids) answer(from api.TargetID, m *wire.Bid) {
	b.mu.Lock()
	ch := b.waiting[m.Key]
	b.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- receivedBid{from, m}:
	default: // the agent sent the bid more than once
	}
}

// collect asks the candidates for bids and waits until all have answered or ctx is
// done. It returns the bids received by then.
func (b *bids) collect(ctx context.Context, k wire.Key, size wire.Size, candidates []linkedCandidate) []routing.Bid {
	ch := b.register(k, len(candidates))
	defer b.unregister(k)
	sent := 0
	for _, c := range candidates {
		if c.peer.link.Send(&wire.BidRequest{Key: k, Size: size}) == nil {
			sent++
		}
	}
	out := make([]routing.Bid, 0, sent)
	for range sent {
		select {
		case rb := <-ch:
			out = append(out, routing.Bid{
				From: candidateOf(candidates, rb.from),
				Bid:  admission.Bid{Wait: rb.bid.Wait, Cached: rb.bid.Cached, Refuse: rb.bid.Refuse, RetryAfter: rb.bid.RetryAfter},
			})
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// linkedCandidate is a candidate and the link to its agent.
type linkedCandidate struct {
	cand routing.Candidate
	peer *peer
}

// candidateOf returns the candidate with the given ID, or the zero Candidate.
func candidateOf(candidates []linkedCandidate, id api.TargetID) routing.Candidate {
	for _, c := range candidates {
		if c.cand.ID == id {
			return c.cand
		}
	}
	return routing.Candidate{}
}
