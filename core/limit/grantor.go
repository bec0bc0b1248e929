package limit

import (
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
)

// Grantor hands out shares of the customers that its entry owns. Its memory is
// its own: a grantor that is new to a customer, by a restart or by a change of
// roster, first lets holders go on with what they have (recovery). Methods may
// be called from several goroutines; none is on a request's path.
type Grantor struct {
	self   api.InstanceID
	timing Timing

	mu      sync.Mutex
	limits  map[api.CustomerID]Limit
	roster  Roster
	ledgers map[api.CustomerID]*ledger
	peers   map[api.InstanceID]peer
	// unheard lists the entries that may hold leases which this grantor hasn't
	// been told of; recoverUntil is when those have run out.
	unheard      map[api.InstanceID]bool
	recoverUntil time.Time
	// authority is until when the roster is known to be in force.
	authority time.Time
}

// peer is the last request seen of a holder.
type peer struct {
	incarnation api.Incarnation
	seq         uint64
}

// NewGrantor gives a grantor that owns nothing until SetRoster.
func NewGrantor(self api.InstanceID, t Timing) *Grantor {
	return &Grantor{
		self: self, timing: t,
		ledgers: make(map[api.CustomerID]*ledger),
		peers:   make(map[api.InstanceID]peer),
	}
}

// SetLimits replaces the limits of all customers. A limit that was lowered is
// reached as holders renew. The map must not change afterwards.
func (g *Grantor) SetLimits(limits map[api.CustomerID]Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
}

// SetRoster takes a later roster; confirmed is when the question to which it is
// the answer was sent. An earlier roster is ignored; the same one renews the
// grantor's authority.
//
// Authority keeps two grantors of one customer apart: an entry that is cut off
// from the control group goes on with the old roster, while the others have
// moved on. It stops granting when its authority runs out, and the next owner
// waits for that and for the leases under it.
func (g *Grantor) SetRoster(r Roster, confirmed, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Epoch < g.roster.Epoch {
		return
	}
	g.authority = latest(g.authority, confirmed.Add(g.timing.TTL))
	if r.Epoch == g.roster.Epoch {
		return
	}
	old := g.roster
	g.roster = r
	g.recover(old, now)
	g.forget(old)
}

// recover starts the wait that follows a change of roster. It ends early once
// every entry of both rosters has told under the new epoch what it holds: a
// holder takes no grant of an earlier epoch after that. When leases of rosters
// that this grantor never saw may be in force, nothing ends it early.
func (g *Grantor) recover(old Roster, now time.Time) {
	wait := g.timing.recovery()
	if !g.recovering(now) {
		g.unheard = make(map[api.InstanceID]bool)
	}
	for _, e := range slices.Concat(old.Entries, g.roster.Entries) {
		g.unheard[e] = true
	}
	if g.roster.Epoch != old.Epoch+1 && g.roster.Age < wait {
		g.unheard[""] = true
	}
	g.recoverUntil = now.Add(wait)
}

// forget drops the ledgers of customers that this entry doesn't own now, and
// all of them when a roster between the two may have given them to another.
func (g *Grantor) forget(old Roster) {
	for c := range g.ledgers {
		if g.roster.Epoch != old.Epoch+1 || g.roster.Owner(c) != g.self {
			delete(g.ledgers, c)
		}
	}
}

func (g *Grantor) recovering(now time.Time) bool {
	return len(g.unheard) > 0 && now.Before(g.recoverUntil)
}

// Step answers a request; false means that there is nothing to answer: the
// request is old, of another epoch, or this grantor has no authority.
func (g *Grantor) Step(req Request, now time.Time) (Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accept(req, now) {
		return Grant{}, false
	}
	delete(g.unheard, req.Holder)
	g.release(req)
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

// accept checks a request. One that comes late or twice is dropped: it tells of
// a state that the holder has left, and its lease would have run out the sooner.
func (g *Grantor) accept(req Request, now time.Time) bool {
	if req.Epoch != g.roster.Epoch || !now.Before(g.authority) {
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
		g.restarted(req.Holder)
	}
	g.peers[req.Holder] = peer{req.Incarnation, req.Seq}
	return true
}

// restarted frees what an earlier incarnation held: its requests ended with it.
func (g *Grantor) restarted(h api.InstanceID) {
	for _, l := range g.ledgers {
		l.drop(h)
	}
}

// release frees what the holder doesn't list.
func (g *Grantor) release(req Request) {
	for c, l := range g.ledgers {
		if l.holders[req.Holder] == nil {
			continue
		}
		if !slices.ContainsFunc(req.Wants, func(w Want) bool { return w.Customer == c }) {
			l.drop(req.Holder)
		}
	}
}

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
	a := l.settle(req.Holder, w, now, g.timing)
	l.complete = l.complete || !g.recovering(now)
	s := l.grant(req.Holder, lim, w, !l.complete, now, g.timing)
	a.add(outstanding{seq: req.Seq, Share: s, expires: now.Add(g.timing.TTL + g.timing.Margin)})
	l.recount(a, now, g.timing)
	return s, true
}

// Tick forgets what no longer counts. It is due about once per Timing.TTL.
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

// Committed gives the part of a customer's limit that holders may be using, for
// operators.
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
