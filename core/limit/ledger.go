package limit

import (
	"time"

	"almondseam.dev/core/api"
)

// outstanding is a lease that its holder may be using.
type outstanding struct {
	seq uint64
	Share
	expires time.Time
}

// account is what a grantor knows of one holder's use of one customer's limit.
type account struct {
	leases []outstanding
	want   Share
	inUse  int64
	// heard is when inUse was told.
	heard time.Time
}

// maxOutstanding bounds the leases remembered apart; beyond it the two oldest
// are taken together, which counts too much and never too little.
const maxOutstanding = 8

func (a *account) add(o outstanding) {
	if len(a.leases) == maxOutstanding {
		first, second := a.leases[0], a.leases[1]
		second.Slots = max(first.Slots, second.Slots)
		second.Rate = max(first.Rate, second.Rate)
		second.expires = latest(first.expires, second.expires)
		a.leases = append(a.leases[:0], a.leases[1:]...)
		a.leases[0] = second
	}
	a.leases = append(a.leases, o)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirm drops the leases before the one that the holder says it has in
// force: it applies leases in order, so it can't go back to them.
func (a *account) confirm(seq uint64) {
	kept := a.leases[:0]
	for _, o := range a.leases {
		if o.seq >= seq {
			kept = append(kept, o)
		}
	}
	a.leases = kept
}

// committed gives what the holder may be using. A lowered lease counts only
// once the holder has confirmed it: the grant may be lost, and the holder goes
// on with the one before until that runs out.
func (a *account) committed(now time.Time, t Timing) Share {
	var c Share
	for _, o := range a.leases {
		if now.Before(o.expires) {
			c.Rate = max(c.Rate, o.Rate)
		}
		if now.Before(o.expires.Add(t.Linger)) {
			c.Slots = max(c.Slots, o.Slots)
		}
	}
	if now.Before(a.heard.Add(t.Linger)) {
		c.Slots = max(c.Slots, a.inUse)
	}
	return c
}

// prune forgets leases that no longer count.
func (a *account) prune(now time.Time, t Timing) {
	kept := a.leases[:0]
	for _, o := range a.leases {
		if now.Before(o.expires.Add(t.Linger)) {
			kept = append(kept, o)
		}
	}
	a.leases = kept
}

func (a *account) idle(now time.Time, t Timing) bool {
	a.prune(now, t)
	return len(a.leases) == 0 && !now.Before(a.heard.Add(t.Linger))
}

// ledger holds the accounts of one customer.
type ledger struct {
	customer api.CustomerID
	holders  map[api.InstanceID]*account
	// complete tells that no lease is in force that isn't in holders; it stays
	// true for as long as this grantor owns the customer.
	complete bool
}

func newLedger(c api.CustomerID) *ledger {
	return &ledger{customer: c, holders: make(map[api.InstanceID]*account)}
}

// settle takes in what a holder says of itself.
func (l *ledger) settle(h api.InstanceID, w Want, now time.Time, t Timing) *account {
	a := l.holders[h]
	if a == nil {
		a = &account{}
		l.holders[h] = a
	}
	a.prune(now, t)
	a.want = Share{Slots: max(w.Slots, w.InUse), Rate: w.Rate}
	a.inUse, a.heard = w.InUse, now
	if w.Remaining <= 0 {
		a.lapse(w.HeldSeq, now)
		return a
	}
	a.confirm(w.HeldSeq)
	if len(a.leases) == 0 || a.leases[0].seq != w.HeldSeq {
		a.adopt(outstanding{seq: w.HeldSeq, Share: w.Held, expires: now.Add(w.Remaining + t.Margin)})
	}
	return a
}

// lapse ends the lingering of leases that the holder has applied and that have
// expired: what it started under them is in the use that it tells. A lease after
// seq may have reached the holder when this request was already on its way.
func (a *account) lapse(seq uint64, now time.Time) {
	kept := a.leases[:0]
	for _, o := range a.leases {
		if o.seq > seq || now.Before(o.expires) {
			kept = append(kept, o)
		}
	}
	a.leases = kept
}

// adopt puts a lease of an earlier grantor before those of this one.
func (a *account) adopt(o outstanding) {
	rest := append([]outstanding(nil), a.leases...)
	a.leases = append(a.leases[:0], o)
	for _, r := range rest {
		a.add(r)
	}
}

// grant gives the holder its part: what is fair, as far as the others leave
// it. While recovering, nothing beyond what the holder already had: another
// holder, not heard yet, may have the rest.
func (l *ledger) grant(h api.InstanceID, lim Limit, w Want, recovering bool, now time.Time, t Timing) Share {
	free := Share(lim)
	slots := make([]demand, 0, len(l.holders))
	rates := make([]demand, 0, len(l.holders))
	for other, a := range l.holders {
		if other != h {
			c := a.committed(now, t)
			free.Slots -= c.Slots
			free.Rate -= c.Rate
		}
		r := rank(l.customer, other)
		slots = append(slots, demand{other, a.want.Slots, r})
		rates = append(rates, demand{other, a.want.Rate, r})
	}
	s := Share{
		Slots: max(0, min(divide(lim.Slots, slots)[h], free.Slots)),
		Rate:  max(0, min(divide(lim.Rate, rates)[h], free.Rate)),
	}
	if recovering {
		s = held(w, free)
	}
	return s
}

// held gives what the holder has, so that the share is not lost while nobody
// else may be given it.
func held(w Want, free Share) Share {
	if w.Remaining <= 0 {
		return Share{}
	}
	return Share{
		Slots: max(0, min(free.Slots, w.Held.Slots)),
		Rate:  max(0, min(free.Rate, w.Held.Rate)),
	}
}
