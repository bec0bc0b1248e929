package limit

import (
	"time"

	"almondseam.dev/core/api"
)

// outstanding is a granted lease that its holder may be using.
type outstanding struct {
	seq uint64
	Share
	expires time.Time
}

// account records what a grantor knows of one holder's use of one customer's
// limit.
type account struct {
	leases []outstanding
	inUse  int64
	// reported is when the holder reported inUse.
	reported time.Time
	// counted is the part of the ledger's sum that comes from this account.
	counted Share
}

// sweepsPerRenew is how many times per Timing.Renew a ledger's sum is recomputed
// from its accounts, at most.
const sweepsPerRenew = 4

// maxOutstanding bounds the leases recorded separately per account. Beyond it the
// two oldest are merged, which may overestimate the use but never underestimates
// it.
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

// confirm drops the leases before seq, the one that the holder has reported to be
// in force. A holder applies leases in order, so it can't return to earlier ones.
func (a *account) confirm(seq uint64) {
	kept := a.leases[:0]
	for _, o := range a.leases {
		if o.seq >= seq {
			kept = append(kept, o)
		}
	}
	a.leases = kept
}

// committed returns what the holder may be using. A lease lower than the previous
// one takes effect here only once the holder has confirmed it: the grant may be
// lost, and the holder then uses the previous lease until that expires.
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
	if now.Before(a.reported.Add(t.Linger)) {
		c.Slots = max(c.Slots, a.inUse)
	}
	return c
}

// prune drops leases that no longer count towards the committed share.
func (a *account) prune(now time.Time, t Timing) {
	kept := a.leases[:0]
	for _, o := range a.leases {
		if now.Before(o.expires.Add(t.Linger)) {
			kept = append(kept, o)
		}
	}
	a.leases = kept
}

// idle reports whether the account no longer counts towards the committed share.
func (a *account) idle(now time.Time, t Timing) bool {
	a.prune(now, t)
	return len(a.leases) == 0 && !now.Before(a.reported.Add(t.Linger))
}

// ledger holds the accounts of one customer at the grantor that owns it.
type ledger struct {
	customer api.CustomerID
	holders  map[api.InstanceID]*account
	// entries is the number of entries in the roster.
	entries int
	// slots and rates are the holders' demands.
	slots demands
	rates demands
	// sum is what all holders may be using. It was last recomputed at swept and
	// is updated incrementally since. Leases that expired in the meantime are
	// still included, which is safe because it only overestimates the use.
	sum   Share
	swept time.Time
	// complete is set once every lease in force is recorded in holders. It stays
	// set for as long as this grantor owns the customer.
	complete bool
}

func newLedger(c api.CustomerID) *ledger {
	return &ledger{customer: c, holders: make(map[api.InstanceID]*account)}
}

// recount updates the sum with the present state of one account.
func (l *ledger) recount(a *account, now time.Time, t Timing) {
	c := a.committed(now, t)
	l.sum.Slots += c.Slots - a.counted.Slots
	l.sum.Rate += c.Rate - a.counted.Rate
	a.counted = c
}

// sweep recounts all accounts unless that was done recently. Otherwise a grantor
// in a large fleet would visit hundreds of accounts for every grant.
func (l *ledger) sweep(now time.Time, t Timing) {
	if now.Sub(l.swept) < t.Renew/sweepsPerRenew {
		return
	}
	l.swept = now
	for _, a := range l.holders {
		l.recount(a, now, t)
	}
}

// drop removes a holder's account and its demands.
func (l *ledger) drop(h api.InstanceID) {
	if a := l.holders[h]; a != nil {
		l.sum.Slots -= a.counted.Slots
		l.sum.Rate -= a.counted.Rate
	}
	delete(l.holders, h)
	l.slots.drop(h)
	l.rates.drop(h)
}

// update applies a holder's report to its account, which it creates if needed.
func (l *ledger) update(h api.InstanceID, w Want, now time.Time, t Timing) *account {
	a := l.holders[h]
	if a == nil {
		a = &account{}
		l.holders[h] = a
	}
	a.prune(now, t)
	r := rank(l.customer, h)
	l.slots.set(demand{h, max(w.Slots, w.InUse), r})
	l.rates.set(demand{h, w.Rate, r})
	a.inUse, a.reported = w.InUse, now
	if w.Remaining <= 0 {
		a.dropExpired(w.HeldSeq, now)
		return a
	}
	a.confirm(w.HeldSeq)
	if len(a.leases) == 0 || a.leases[0].seq != w.HeldSeq {
		a.adopt(outstanding{seq: w.HeldSeq, Share: w.Held, expires: now.Add(w.Remaining + t.Margin)})
	}
	return a
}

// dropExpired drops expired leases up to seq, the last one that the holder has
// applied, without waiting for Timing.Linger: the requests started under them are
// included in the reported InUse. Leases after seq are kept, because the holder may
// have received them after it sent its report.
func (a *account) dropExpired(seq uint64, now time.Time) {
	kept := a.leases[:0]
	for _, o := range a.leases {
		if o.seq > seq || now.Before(o.expires) {
			kept = append(kept, o)
		}
	}
	a.leases = kept
}

// adopt inserts a lease that was granted by an earlier owner before the leases of
// this one.
func (a *account) adopt(o outstanding) {
	rest := append([]outstanding(nil), a.leases...)
	a.leases = append(a.leases[:0], o)
	for _, r := range rest {
		a.add(r)
	}
}

// grant returns the share to grant to the holder: its fair share, as far as the
// other holders' commitments leave it. While recovering, it returns no more than
// what the holder already has, because a holder that hasn't reported yet may have
// the rest.
func (l *ledger) grant(h api.InstanceID, lim Limit, w Want, recovering bool, now time.Time, t Timing) Share {
	l.sweep(now, t)
	a := l.holders[h]
	reserve := len(l.holders) < l.entries
	free := Share{
		Slots: lim.Slots - l.sum.Slots + a.counted.Slots,
		Rate:  lim.Rate - l.sum.Rate + a.counted.Rate,
	}
	s := Share{
		Slots: max(0, min(l.slots.fairShare(lim.Slots, h, reserve), free.Slots)),
		Rate:  max(0, min(l.rates.fairShare(lim.Rate, h, reserve), free.Rate)),
	}
	if recovering {
		s = recoveryShare(w, free)
	}
	return s
}

// recoveryShare returns what the holder has already, as far as it is free. It is
// renewed so that it isn't left unused while it may be granted to no other holder.
func recoveryShare(w Want, free Share) Share {
	if w.Remaining <= 0 {
		return Share{}
	}
	return Share{
		Slots: max(0, min(free.Slots, w.Held.Slots)),
		Rate:  max(0, min(free.Rate, w.Held.Rate)),
	}
}
