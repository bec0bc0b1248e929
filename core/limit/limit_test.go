package limit

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const cust = api.CustomerID("sur-sangat")

// leased returns a customer with its whole limit leased and a full bucket.
func leased(l Limit) *customer {
	cu := &customer{id: cust, floorEnds: new(atomic.Int64), filled: t0, primed: true, level: float64(l.Rate) * l.burstWindow().Seconds()}
	cu.setLimit(l, floor{})
	cu.apply(l.share(), 1, t0.Add(time.Minute), t0)
	return cu
}

func TestAcquire(t *testing.T) {
	tests := []struct {
		name   string
		limit  Limit
		ests   []int64
		reason api.Reason
		after  time.Duration
	}{
		{"within", Limit{Slots: 2, Rate: 1000}, []int64{1000, 1000}, "", 0},
		{"concurrency", Limit{Slots: 2}, []int64{1, 1, 1}, api.ReasonConcurrencyLimit, minRetry},
		{"rate", Limit{Rate: 1000}, []int64{1500, 1500}, api.ReasonTokenRateLimit, time.Second},
		{"more than the bucket holds, when full", Limit{Rate: 1000}, []int64{5000}, "", 0},
		{"more than the bucket holds is owed", Limit{Rate: 1000}, []int64{5000, 500}, api.ReasonTokenRateLimit, 3500 * time.Millisecond},
		{"configured burst", Limit{Rate: 1000, Burst: 500}, []int64{400, 200}, api.ReasonTokenRateLimit, minRetry},
		{"no limit", Limit{}, []int64{1 << 40, 1 << 40}, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			cu := leased(tt.limit)
			var err *api.Error
			for _, est := range tt.ests {
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				err = cu.acquire(est, t0)
			}
			if tt.reason == "" {
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			c.Assert(err.Reason, qt.Equals, tt.reason)
			c.Assert(err.Outcome, qt.Equals, api.OutcomeNotRun)
			c.Assert(err.RetryAfter, qt.Equals, tt.after)
			c.Assert(cu.inUse.Load(), qt.Equals, int64(len(tt.ests)-1))
		})
	}
}

func TestReleaseSettlesOnce(t *testing.T) {
	c := qt.New(t)
	cu := leased(Limit{Slots: 1, Rate: 1000})
	c.Assert(cu.acquire(800, t0) == nil, qt.IsTrue)
	p := &Permit{cu: cu, est: 800, start: t0}
	p.Release(300, t0)
	p.Release(300, t0)
	c.Assert(cu.level, qt.Equals, 1700.0)
	c.Assert(cu.inUse.Load(), qt.Equals, int64(0))
}

// The first request of a customer at an entry finds no lease and an empty floor. Its
// refusal must be distinguishable from that of an exhausted limit, and the entry must
// request a lease.
func TestFirstRequestAsksForALease(t *testing.T) {
	c := qt.New(t)
	limits := map[api.CustomerID]Limit{cust: {Slots: 8, Rate: 1000}}
	r := Roster{Epoch: 1, Entries: []api.InstanceID{"e0", "e1"}}
	owner := r.Owner(cust)
	self := r.Entries[0]
	if r.floor(cust, self, limits[cust]).Slots > 0 {
		self = r.Entries[1]
	}
	h, g := NewHolder(self, 1, DefaultTiming), NewGrantor(owner, DefaultTiming)
	h.SetLimits(limits, t0)
	g.SetLimits(limits)
	h.SetRoster(r, t0, t0)
	g.SetRoster(r, t0, t0)
	_, err := h.Acquire(cust, 10, t0)
	c.Assert(errors.Is(err, ErrNoLease), qt.IsTrue)
	c.Assert(err.RetryAfter, qt.Equals, noLeaseRetry)
	c.Assert(h.Waiting(), qt.IsTrue)
	for _, e := range r.Entries {
		if e != self {
			_, ok := g.Step(Request{Epoch: 1, Holder: e, Incarnation: 1, Seq: 1}, t0)
			c.Assert(ok, qt.IsTrue)
		}
	}
	grant, ok := g.Step(h.Tick(t0)[owner], t0)
	c.Assert(ok, qt.IsTrue)
	h.Step(grant, t0)
	_, err = h.Acquire(cust, 10, t0)
	c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
	_, err = h.Acquire("stranger", 10, t0)
	c.Assert(err.Reason, qt.Equals, api.ReasonForbidden)
}

func TestDivide(t *testing.T) {
	tests := []struct {
		name  string
		total int64
		wants []int64
		parts []int64
	}{
		{"enough for all", 100, []int64{10, 30}, []int64{32, 53}},
		{"max-min", 100, []int64{10, 200, 300}, []int64{10, 45, 45}},
		{"remainder is not lost", 10, []int64{9, 9, 9}, []int64{3, 3, 4}},
		{"fewer units than holders", 1, []int64{5, 5, 5}, []int64{0, 0, 1}},
		{"idle holders share what is left, less a reserve", 40, []int64{0, 0}, []int64{15, 15}},
		{"negative total", -3, []int64{5}, []int64{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var ds demands
			for i, w := range tt.wants {
				ds.set(demand{holder: api.InstanceID(rune('a' + i)), want: 99})
				ds.set(demand{holder: api.InstanceID(rune('a' + i)), want: w, rank: uint64(i)})
			}
			for i, p := range tt.parts {
				c.Assert(ds.fairShare(tt.total, api.InstanceID(rune('a'+i)), true), qt.Equals, p)
			}
		})
	}
}

func TestCap(t *testing.T) {
	c := qt.New(t)
	bytes := NewCap(100, api.ReasonConnectionLimit, time.Second)
	c.Assert(bytes.Acquire(60) == nil, qt.IsTrue)
	err := bytes.Acquire(60)
	c.Assert(err.Reason, qt.Equals, api.ReasonConnectionLimit)
	c.Assert(err.RetryAfter, qt.Equals, time.Second)
	bytes.Release(60)
	c.Assert(bytes.Acquire(100) == nil, qt.IsTrue)
	c.Assert(bytes.Used(), qt.Equals, int64(100))
}
