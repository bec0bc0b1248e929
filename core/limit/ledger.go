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
	inUse  int64
	// heard is when inUse was told.
	heard time.Time
	// counted is the part of the ledger's sum that stands for this account.
	counted Share
}

// sweepsPerRenew is how often the sums are counted anew between renewals.
const sweepsPerRenew = 4

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
	// entries is the number of entries in the roster.
	entries int
	// slots and rates are the demands of holders.
	slots demands
	rates demands
	// sum is what holders may be using; it is counted anew at swept and kept up
	// in between. Leases that have run out since count on: too much is safe.
	sum   Share
	swept time.Time
	// complete tells that no lease is in force that isn't in holders; it stays
	// true for as long as this grantor owns the customer.
	complete bool
}

func newLedger(c api.CustomerID) *ledger {
	return &ledger{customer: c, holders: make(map[api.InstanceID]*account)}
}

// recount brings the sum up to date with one account.
func (l *ledger) recount(a *account, now time.Time, t Timing) {
	c := a.committed(now, t)
	l.sum.Slots += c.Slots - a.counted.Slots
	l.sum.Rate += c.Rate - a.counted.Rate
	a.counted = c
}

// sweep recounts all accounts, unless that was done lately: a grantor at full
// size would otherwise look at hundreds of accounts for every grant.
func (l *ledger) sweep(now time.Time, t Timing) {
	if now.Sub(l.swept) < t.Renew/sweepsPerRenew {
		return
	}
	l.swept = now
	for _, a := range l.holders {
		l.recount(a, now, t)
	}
}

// drop forgets a holder.
func (l *ledger) drop(h api.InstanceID) {
	if a := l.holders[h]; a != nil {
		l.sum.Slots -= a.counted.Slots
		l.sum.Rate -= a.counted.Rate
	}
	delete(l.holders, h)
	l.slots.drop(h)
	l.rates.drop(h)
}

// settle takes in what a holder says of itself.
func (l *ledger) settle(h api.InstanceID, w Want, now time.Time, t Timing) *account {
	a := l.holders[h]
	if a == nil {
		a = &account{}
		l.holders[h] = a
	}
	a.prune(now, t)
	r := rank(l.customer, h)
	l.slots.set(demand{h, max(w.Slots, w.InUse), r})
	l.rates.set(demand{h, w.Rate, r})
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
	l.sweep(now, t)
	a := l.holders[h]
	mayCome := len(l.holders) < l.entries
	free := Share{
		Slots: lim.Slots - l.sum.Slots + a.counted.Slots,
		Rate:  lim.Rate - l.sum.Rate + a.counted.Rate,
	}
	s := Share{
		Slots: max(0, min(l.slots.part(lim.Slots, h, mayCome), free.Slots)),
		Rate:  max(0, min(l.rates.part(lim.Rate, h, mayCome), free.Rate)),
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
