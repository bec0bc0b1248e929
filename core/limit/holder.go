package limit

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// sentKept is the number of requests whose send time is kept. A grant that answers
// an older request is dropped.
const sentKept = 32

// Holder admits an entry's requests within the shares that the entry holds. It is
// safe for concurrent use. Acquire and Permit.Release are on the request path and
// touch only the state of one customer.
type Holder struct {
	self        api.InstanceID
	incarnation api.Incarnation
	timing      Timing
	customers   atomic.Pointer[map[api.CustomerID]*customer]
	// floorEnds is when the floors expire unless the roster is confirmed again,
	// in Unix nanoseconds.
	floorEnds atomic.Int64

	mu     sync.Mutex
	roster Roster
	// floorsFrom is when increases of the floors under this roster take effect.
	floorsFrom time.Time
	seq        uint64
	sent       [sentKept]sentAt
	// reportTo holds the grantors that get the next request even if it lists no
	// customer: they may have leases of this holder on record, or may not have
	// received a request from it in this epoch.
	reportTo map[api.InstanceID]bool
}

// sentAt records when the requests numbered seq were sent.
type sentAt struct {
	seq uint64
	at  time.Time
}

// NewHolder returns a holder without customers. It refuses all requests as
// forbidden until SetLimits is called.
func NewHolder(self api.InstanceID, inc api.Incarnation, t Timing) *Holder {
	h := &Holder{self: self, incarnation: inc, timing: t, reportTo: make(map[api.InstanceID]bool)}
	h.customers.Store(&map[api.CustomerID]*customer{})
	return h
}

// SetLimits replaces the limits of all customers. Requests in progress continue.
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
		h.applyLimit(cu, l, now)
		next[id] = cu
	}
	h.customers.Store(&next)
}

// SetRoster applies the roster that is in force at the control group; confirmed is
// when this entry sent the query for it. An earlier roster is ignored, and the
// present one only extends the floors. Leases in force stay in force, but grants of
// earlier epochs are no longer accepted.
//
// A partitioned entry goes on using its floor under the roster that it knows. The
// other entries' floors increase only after that floor has expired, so that the
// sum of all floors never exceeds the slack.
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
	h.floorsFrom = now.Add(h.timing.Floor + h.timing.floorMargin() - r.Age)
	if r.Epoch == 1 {
		h.floorsFrom = now
	}
	h.roster = r
	clear(h.reportTo)
	for _, e := range r.Entries {
		h.reportTo[e] = true
	}
	for _, cu := range *h.customers.Load() {
		h.applyLimit(cu, cu.limit(), now)
	}
}

// applyLimit sets a customer's limit, and its floor under the present roster.
func (h *Holder) applyLimit(cu *customer, l Limit, now time.Time) {
	old := cu.share.Load()
	next := h.roster.floor(cu.id, h.self, l)
	cu.setLimit(l, old.floor.changed(next, h.floorsFrom, now))
}

// Acquire admits a request of an estimated est tokens for a customer. Otherwise it
// returns a refusal with the outcome not_run and, unless the customer is unknown,
// the time after which a retry may succeed. The cause of the refusal is ErrNoLease
// if this entry holds no lease for the customer.
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

// Release ends the request and accounts for the tokens that it actually used, zero
// if it didn't run. Calls after the first have no effect.
func (p *Permit) Release(tokens int64, now time.Time) {
	if !p.done.Swap(true) {
		p.cu.release(p.est, tokens, now.Sub(p.start), now)
	}
}

// Tick returns the requests to send, keyed by the grantor that each is for. It must
// be called every Timing.Renew, and may be called earlier if a request was refused
// for lack of a lease.
func (h *Holder) Tick(now time.Time) map[api.InstanceID]Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.roster.Entries) == 0 {
		return nil
	}
	out := make(map[api.InstanceID]Request)
	for owner := range h.reportTo {
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
	h.stamp(out, now)
	return out
}

// stamp sets the sender and the epoch of the requests, gives all of them the same
// sequence number, sorts their wants by customer, and records when they were sent.
func (h *Holder) stamp(out map[api.InstanceID]Request, now time.Time) {
	h.seq++
	h.sent[h.seq%sentKept] = sentAt{h.seq, now}
	for owner, req := range out {
		req.Epoch, req.Holder = h.roster.Epoch, h.self
		req.Incarnation, req.Seq = h.incarnation, h.seq
		slices.SortFunc(req.Wants, func(a, b Want) int { return compareIDs(a.Customer, b.Customer) })
		out[owner] = req
		h.reportTo[owner] = true
	}
}

// Step applies a grant. A lease is in force from when its request was sent, which
// is before the grantor granted it, so that it expires at the holder first however
// long the messages were delayed. A grant that arrives expired, twice or after a later
// one changes no lease.
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
		// The grantor knows that this holder has no leases for its customers.
		delete(h.reportTo, g.Grantor)
	}
	customers := *h.customers.Load()
	for _, l := range g.Leases {
		if cu := customers[l.Customer]; cu != nil {
			cu.apply(l.Share, g.Seq, s.at.Add(g.TTL), now)
		}
	}
}

// Waiting reports whether a request was refused for lack of a lease since the last
// Tick, in which case the next Tick is worth calling early.
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
