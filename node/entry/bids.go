package entry

import (
	"context"
	"sync"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/wire"
)

// bids matches agents' bids to the requests that wait for them.
type bids struct {
	mu   sync.Mutex
	wait map[wire.Key]chan placedBid
}

type placedBid struct {
	from api.TargetID
	bid  *wire.Bid
}

func newBids() *bids { return &bids{wait: make(map[wire.Key]chan placedBid)} }

func (b *bids) open(k wire.Key, n int) <-chan placedBid {
	ch := make(chan placedBid, n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wait[k] = ch
	return ch
}

func (b *bids) close(k wire.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.wait, k)
}

// answer passes a bid on. One that comes after its time is dropped.
func (b *bids) answer(from api.TargetID, m *wire.Bid) {
	b.mu.Lock()
	ch := b.wait[m.Key]
	b.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- placedBid{from, m}:
	default: // a repeated answer
	}
}

// collect asks the peers for bids and waits until all have answered or ctx is
// done. Whoever stays silent gives none.
func (b *bids) collect(ctx context.Context, k wire.Key, size wire.Size, ask []asked) []routing.Bid {
	ch := b.open(k, len(ask))
	defer b.close(k)
	sent := 0
	for _, p := range ask {
		if p.peer.to.Send(&wire.BidRequest{Key: k, Size: size}) == nil {
			sent++
		}
	}
	out := make([]routing.Bid, 0, sent)
	for range sent {
		select {
		case pb := <-ch:
			out = append(out, routing.Bid{
				From: candidate(ask, pb.from),
				Bid:  admission.Bid{Wait: pb.bid.Wait, Cached: pb.bid.Cached, Refuse: pb.bid.Refuse, RetryAfter: pb.bid.RetryAfter},
			})
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// asked is a candidate with the link on which it is asked.
type asked struct {
	cand routing.Candidate
	peer *peer
}

func candidate(ask []asked, id api.TargetID) routing.Candidate {
	for _, a := range ask {
		if a.cand.ID == id {
			return a.cand
		}
	}
	return routing.Candidate{}
}
