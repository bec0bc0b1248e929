package limit

import (
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
)

// Grantor grants shares of the limits of the customers that its entry owns. Its
// state is neither persisted nor replicated: a grantor that becomes the owner of a
// customer, by a restart or a change of the roster, at first only renews what
// holders already have (recovery). It is safe for concurrent use, and no method is
// called on the request path.
type Grantor struct {
	self   api.InstanceID
	timing Timing

	mu      sync.Mutex
	limits  map[api.CustomerID]Limit
	roster  Roster
	ledgers map[api.CustomerID]*ledger
	peers   map[api.InstanceID]peer
	// unreported holds the entries that may hold leases which they haven't
	// reported to this grantor; recoverUntil is when all of those have expired.
	unreported   map[api.InstanceID]bool
	recoverUntil time.Time
	// authorityEnds is until when this grantor may grant leases under the roster
	// without another confirmation that it is in force.
	authorityEnds time.Time
}

// peer identifies the last request received from a holder.
type peer struct {
	incarnation api.Incarnation
	seq         uint64
}

// NewGrantor returns a grantor that owns no customer until SetRoster is called.
func NewGrantor(self api.InstanceID, t Timing) *Grantor {
	return &Grantor{
		self: self, timing: t,
		ledgers: make(map[api.CustomerID]*ledger),
		peers:   make(map[api.InstanceID]peer),
	}
}

// SetLimits replaces the limits of all customers. A lowered limit takes effect as
// holders renew their leases. The map must not be changed afterwards.
func (g *Grantor) SetLimits(limits map[api.CustomerID]Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
}

// SetRoster applies the roster that is in force at the control group; confirmed is
// when this entry sent the query for it. An earlier roster is ignored, and the
// present one only renews the grantor's authority.
//
// The authority keeps two owners of one customer from granting the same share. An
// entry without contact to the control group goes on with the old roster while the
// others have replaced it. It stops granting when its authority expires, and the
// next owner waits for that and for the leases granted until then.
func (g *Grantor) SetRoster(r Roster, confirmed, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Epoch < g.roster.Epoch {
		return
	}
	g.authorityEnds = latest(g.authorityEnds, confirmed.Add(g.timing.TTL))
	if r.Epoch == g.roster.Epoch {
		return
	}
	old := g.roster
	g.roster = r
	g.startRecovery(old, now)
	g.dropLedgers(old)
}

// startRecovery starts the recovery that follows a change of the roster. It ends
// early once every entry of both rosters has reported under the new epoch what it
// holds, since a holder accepts no grant of an earlier epoch after that. It doesn't
// end early if leases may be in force under a roster that this grantor never
// received; the empty entry ID in unreported stands for their holders.
func (g *Grantor) startRecovery(old Roster, now time.Time) {
	wait := g.timing.recovery()
	if !g.recovering(now) {
		g.unreported = make(map[api.InstanceID]bool)
	}
	for _, e := range slices.Concat(old.Entries, g.roster.Entries) {
		g.unreported[e] = true
	}
	if g.roster.Epoch != old.Epoch+1 && g.roster.Age < wait {
		g.unreported[""] = true
	}
	g.recoverUntil = now.Add(wait)
}

// dropLedgers drops the ledgers of customers that this entry no longer owns, and
// all ledgers if this grantor missed a roster in between, under which another entry
// may have owned the customers.
func (g *Grantor) dropLedgers(old Roster) {
	for c := range g.ledgers {
		if g.roster.Epoch != old.Epoch+1 || g.roster.Owner(c) != g.self {
			delete(g.ledgers, c)
		}
	}
}

func (g *Grantor) recovering(now time.Time) bool {
	return len(g.unreported) > 0 && now.Before(g.recoverUntil)
}

// Step applies a request and returns the grant that answers it. It returns false if
// the request is outdated, is of another epoch or comes from outside the roster, or
// if this grantor's authority has expired.
func (g *Grantor) Step(req Request, now time.Time) (Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accept(req, now) {
		return Grant{}, false
	}
	delete(g.unreported, req.Holder)
	g.dropUnlisted(req)
	out := Grant{
		Epoch: req.Epoch, Grantor: g.self, Holder: req.Holder,
		Incarnation: req.Incarnation, Seq: req.Seq, TTL: g.timing.TTL,
	}
	for _, w := range req.Wants {
		if s, ok := g.grant(req, w, now); ok {
			out.Leases = append(out.Leases, Lease{Customer: w.Customer, Share: s})
		}
	}
	return out, true
}

// accept reports whether a request is to be answered, and records it as the last one
// of its holder. A late or duplicate request is dropped: the state that it reports
// is outdated, and a lease granted for it would expire earlier than that of a later
// request.
func (g *Grantor) accept(req Request, now time.Time) bool {
	if req.Epoch != g.roster.Epoch || !now.Before(g.authorityEnds) {
		return false
	}
	if !slices.Contains(g.roster.Entries, req.Holder) {
		return false
	}
	p := g.peers[req.Holder]
	if req.Incarnation < p.incarnation || req.Incarnation == p.incarnation && req.Seq <= p.seq {
		return false
	}
	if req.Incarnation > p.incarnation {
		g.dropHolder(req.Holder)
	}
	g.peers[req.Holder] = peer{req.Incarnation, req.Seq}
	return true
}

// dropHolder drops the accounts of a holder that has restarted: the requests of its
// earlier incarnation ended with that.
func (g *Grantor) dropHolder(h api.InstanceID) {
	for _, l := range g.ledgers {
		l.drop(h)
	}
}

// dropUnlisted drops the holder's accounts for customers that the request doesn't
// list.
func (g *Grantor) dropUnlisted(req Request) {
	for c, l := range g.ledgers {
		if l.holders[req.Holder] == nil {
			continue
		}
		if !slices.ContainsFunc(req.Wants, func(w Want) bool { return w.Customer == c }) {
			l.drop(req.Holder)
		}
	}
}

// grant returns the share that answers one want, and false for an unknown customer or
// one that this entry doesn't own.
func (g *Grantor) grant(req Request, w Want, now time.Time) (Share, bool) {
	lim, ok := g.limits[w.Customer]
	if !ok {
		return Share{}, false
	}
	l := g.ledgers[w.Customer]
	if l == nil {
		if g.roster.Owner(w.Customer) != g.self {
			return Share{}, false
		}
		l = newLedger(w.Customer)
		g.ledgers[w.Customer] = l
	}
	l.entries = len(g.roster.Entries)
	a := l.update(req.Holder, w, now, g.timing)
	l.complete = l.complete || !g.recovering(now)
	s := l.grant(req.Holder, lim, w, !l.complete, now, g.timing)
	a.add(outstanding{seq: req.Seq, Share: s, expires: now.Add(g.timing.TTL + g.timing.Margin)})
	l.recount(a, now, g.timing)
	return s, true
}

// Tick drops idle accounts and empty ledgers. The caller runs it about once per
// Timing.TTL or more often.
func (g *Grantor) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, l := range g.ledgers {
		for h, a := range l.holders {
			if a.idle(now, g.timing) {
				l.drop(h)
			}
		}
		if len(l.holders) == 0 {
			delete(g.ledgers, c)
		}
	}
}

// Committed returns the part of a customer's limit that holders may be using, for
// display to operators.
func (g *Grantor) Committed(c api.CustomerID, now time.Time) Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum Share
	if l := g.ledgers[c]; l != nil {
		for _, a := range l.holders {
			s := a.committed(now, g.timing)
			sum.Slots += s.Slots
			sum.Rate += s.Rate
		}
	}
	return sum
}
