package limit

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// sentKept is the number of requests whose time of sending is remembered; a
// grant for an older one is dropped.
const sentKept = 32

// Holder answers an entry's requests from the shares that it holds. Acquire and
// Permit.Release are on the request's path and touch one customer's state only;
// the other methods may be called from any goroutine beside them.
type Holder struct {
	self        api.InstanceID
	incarnation api.Incarnation
	timing      Timing
	customers   atomic.Pointer[map[api.CustomerID]*customer]
	// floorEnds is when the floors end unless the roster is confirmed again.
	floorEnds atomic.Int64

	mu     sync.Mutex
	roster Roster
	// grows is when the floors of this roster are in force.
	grows time.Time
	seq   uint64
	sent  [sentKept]sentAt
	// told holds the owners that have something of ours on their books, or
	// haven't heard from us under this epoch.
	told map[api.InstanceID]bool
}

type sentAt struct {
	seq uint64
	at  time.Time
}

// NewHolder gives a holder without customers: all are refused as forbidden
// until SetLimits.
func NewHolder(self api.InstanceID, inc api.Incarnation, t Timing) *Holder {
	h := &Holder{self: self, incarnation: inc, timing: t, told: make(map[api.InstanceID]bool)}
	h.customers.Store(&map[api.CustomerID]*customer{})
	return h
}

// SetLimits replaces the limits of all customers; what is under way goes on.
func (h *Holder) SetLimits(limits map[api.CustomerID]Limit, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := *h.customers.Load()
	next := make(map[api.CustomerID]*customer, len(limits))
	for id, l := range limits {
		cu := old[id]
		if cu == nil {
			cu = &customer{id: id, floorEnds: &h.floorEnds}
			cu.setLimit(l, floor{})
		}
		h.place(cu, l, now)
		next[id] = cu
	}
	h.customers.Store(&next)
}

// SetRoster takes a later roster; confirmed is when the question to which it is
// the answer was sent. The same roster again prolongs the floors. Leases in
// force stay in force; grants of earlier epochs are not taken any more.
//
// An entry that is cut off goes on with its floor under the roster that it
// knows. The others' floors grow only once that has ended, so that the sum of
// all floors never passes the slack.
func (h *Holder) SetRoster(r Roster, confirmed, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Epoch < h.roster.Epoch {
		return
	}
	ends := confirmed.Add(h.timing.Floor).UnixNano()
	h.floorEnds.Store(max(h.floorEnds.Load(), ends))
	if r.Epoch == h.roster.Epoch {
		return
	}
	h.grows = now.Add(h.timing.Floor + h.timing.floorMargin() - r.Age)
	if r.Epoch == 1 {
		h.grows = now
	}
	h.roster = r
	clear(h.told)
	for _, e := range r.Entries {
		h.told[e] = true
	}
	for _, cu := range *h.customers.Load() {
		h.place(cu, cu.limit(), now)
	}
}

// place gives a customer its limit and its floor under the present roster.
func (h *Holder) place(cu *customer, l Limit, now time.Time) {
	old := cu.share.Load()
	next := h.roster.floor(cu.id, h.self, l)
	cu.setLimit(l, old.floor.to(next, h.grows, now))
}

// Acquire starts a request of est tokens for a customer, or says why not: the
// outcome is not_run and RetryAfter is when asking again may help. The cause is
// ErrNoLease when no lease is here yet.
func (h *Holder) Acquire(c api.CustomerID, est int64, now time.Time) (*Permit, *api.Error) {
	cu := (*h.customers.Load())[c]
	if cu == nil {
		return nil, api.NotRun(api.StepLimit, string(c), api.ReasonForbidden, nil)
	}
	if err := cu.acquire(est, now); err != nil {
		return nil, err
	}
	return &Permit{cu: cu, est: est, start: now}, nil
}

// Permit is the right to run one request.
type Permit struct {
	cu    *customer
	est   int64
	start time.Time
	done  atomic.Bool
}

// Release ends the request and settles the tokens that it used in fact; zero
// when it didn't run. Only the first call counts.
func (p *Permit) Release(tokens int64, now time.Time) {
	if !p.done.Swap(true) {
		p.cu.release(p.est, tokens, now.Sub(p.start), now)
	}
}

// Tick gives the requests to send, by the grantor they go to. It is due every
// Timing.Renew, and may be called sooner when a customer without a lease asks.
func (h *Holder) Tick(now time.Time) map[api.InstanceID]Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.roster.Entries) == 0 {
		return nil
	}
	out := make(map[api.InstanceID]Request)
	for owner := range h.told {
		out[owner] = Request{}
	}
	for id, cu := range *h.customers.Load() {
		w, active := cu.want(h.seq+1, now, h.timing)
		if !active {
			continue
		}
		owner := h.roster.Owner(id)
		req := out[owner]
		req.Wants = append(req.Wants, w)
		out[owner] = req
	}
	h.number(out, now)
	return out
}

// number stamps the requests, all with one sequence number, and remembers when
// they were sent.
func (h *Holder) number(out map[api.InstanceID]Request, now time.Time) {
	h.seq++
	h.sent[h.seq%sentKept] = sentAt{h.seq, now}
	for owner, req := range out {
		req.Epoch, req.Holder = h.roster.Epoch, h.self
		req.Incarnation, req.Seq = h.incarnation, h.seq
		slices.SortFunc(req.Wants, func(a, b Want) int { return compareIDs(a.Customer, b.Customer) })
		out[owner] = req
		h.told[owner] = true
	}
}

// Step applies a grant. The lease counts from when its request was sent, which
// is before the grantor made it: the holder's time runs out first whatever the
// delay. A grant that came late, twice or after a later one changes nothing.
func (h *Holder) Step(g Grant, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.Holder != h.self || g.Incarnation != h.incarnation || g.Epoch != h.roster.Epoch {
		return
	}
	s := h.sent[g.Seq%sentKept]
	if s.seq != g.Seq || g.Seq == 0 {
		return
	}
	if len(g.Leases) == 0 && g.Seq == h.seq {
		// The grantor has heard that we hold nothing of its customers.
		delete(h.told, g.Grantor)
	}
	customers := *h.customers.Load()
	for _, l := range g.Leases {
		if cu := customers[l.Customer]; cu != nil {
			cu.apply(l.Share, g.Seq, s.at.Add(g.TTL), now)
		}
	}
}

// Waiting tells whether a customer was refused for want of a lease since the
// last Tick, so that the next one is worth calling early.
func (h *Holder) Waiting() bool {
	for cu := range maps.Values(*h.customers.Load()) {
		if cu.waiting.Load() {
			return true
		}
	}
	return false
}

func compareIDs(a, b api.CustomerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
