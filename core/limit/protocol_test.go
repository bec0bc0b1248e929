package limit

import (
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

var all = Limit{Slots: 40, Rate: 4000}

// grantorTest drives a grantor with handwritten requests of two holders, h1 and h2.
type grantorTest struct {
	g   *Grantor
	now time.Time
}

func newGrantorTest() *grantorTest {
	limits := map[api.CustomerID]Limit{cust: all}
	r := Roster{Epoch: 1, Entries: []api.InstanceID{"h1", "h2"}}
	p := &grantorTest{g: NewGrantor(r.Owner(cust), DefaultTiming), now: t0}
	p.g.SetLimits(limits)
	p.g.SetRoster(r, t0, t0)
	return p
}

// request advances the clock, sends a request of one holder and returns the leased
// share, or Share{-1, -1} if there is none.
func (p *grantorTest) request(h api.InstanceID, seq uint64, after time.Duration, w Want) Share {
	p.now = p.now.Add(after)
	p.g.SetRoster(p.g.roster, p.now, p.now)
	w.Customer = cust
	out, ok := p.g.Step(Request{Epoch: p.g.roster.Epoch, Holder: h, Incarnation: 1, Seq: seq, Wants: []Want{w}}, p.now)
	if !ok || len(out.Leases) == 0 {
		return Share{-1, -1}
	}
	return out.Leases[0].Share
}

var (
	greedy  = Want{Slots: 100, Rate: 10_000}
	whole   = all.share()
	half    = Share{20, 2000}
	nothing = Share{}
)

// holding returns a greedy want of a holder with a lease in force.
func holding(s Share, seq uint64, inUse int64) Want {
	return Want{Slots: 100, Rate: 10_000, InUse: inUse, Held: s, HeldSeq: seq, Remaining: 8 * time.Second}
}

func TestGrantor(t *testing.T) {
	t1 := DefaultTiming
	tests := []struct {
		name string
		run  func(c *qt.C, p *grantorTest)
	}{
		{"previous lease counts until the lowered one is confirmed", func(c *qt.C, p *grantorTest) {
			c.Assert(p.request("h2", 2, 0, greedy), qt.Equals, nothing)
			c.Assert(p.request("h1", 2, time.Second, holding(whole, 1, 0)), qt.Equals, half)
			// That grant may have been lost: h1 may still use the whole limit.
			c.Assert(p.request("h2", 3, time.Second, greedy), qt.Equals, nothing)
			p.request("h1", 3, time.Second, holding(half, 2, 0))
			c.Assert(p.request("h2", 4, time.Second, greedy), qt.Equals, half)
		}},
		{"requests in progress count after the lease is lowered", func(c *qt.C, p *grantorTest) {
			p.request("h2", 2, 0, greedy)
			p.request("h1", 2, time.Second, holding(whole, 1, 30))
			p.request("h1", 3, time.Second, holding(half, 2, 30))
			c.Assert(p.request("h2", 3, time.Second, greedy), qt.Equals, Share{10, 2000})
		}},
		{"silent holder: its rate is free when the lease expires, its slots after Linger", func(c *qt.C, p *grantorTest) {
			c.Assert(p.request("h2", 2, t1.TTL, greedy), qt.Equals, nothing)
			c.Assert(p.request("h2", 3, t1.Margin, greedy), qt.Equals, Share{0, 2000})
			p.request("h2", 4, t1.Linger-time.Second, greedy)
			c.Assert(p.request("h2", 5, time.Second, greedy).Slots, qt.Equals, int64(20))
		}},
		{"request sent before a grant arrived: the grant still counts", func(c *qt.C, p *grantorTest) {
			// h1 sent request 2 before grant 1 reached it, and then started 40 requests.
			p.request("h1", 2, t1.TTL+t1.Margin, Want{})
			c.Assert(p.request("h2", 2, time.Second, greedy).Slots, qt.Equals, int64(0))
		}},
		{"late and repeated requests are dropped", func(c *qt.C, p *grantorTest) {
			c.Assert(p.request("h1", 1, time.Second, Want{}), qt.Equals, Share{-1, -1})
			c.Assert(p.request("h2", 2, 0, greedy), qt.Equals, nothing)
		}},
		{"restart of a holder frees what it held", func(c *qt.C, p *grantorTest) {
			_, ok := p.g.Step(Request{Epoch: 1, Holder: "h1", Incarnation: 2, Seq: 1}, p.now)
			c.Assert(ok, qt.IsTrue)
			c.Assert(p.request("h2", 2, 0, greedy), qt.Equals, whole)
		}},
		{"missed roster: another entry may have granted under it", func(c *qt.C, p *grantorTest) {
			p.g.Step(Request{Epoch: 1, Holder: "h1", Incarnation: 1, Seq: 2}, p.now)
			p.g.SetRoster(Roster{Epoch: 3, Entries: p.g.roster.Entries}, p.now, p.now)
			c.Assert(p.request("h2", 2, time.Second, greedy), qt.Equals, nothing)
		}},
		{"nothing is granted after the authority has expired", func(c *qt.C, p *grantorTest) {
			_, ok := p.g.Step(Request{Epoch: 1, Holder: "h1", Incarnation: 1, Seq: 2}, p.now.Add(t1.TTL))
			c.Assert(ok, qt.IsFalse)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := newGrantorTest()
			// The grantor learns that both hold nothing, then h1 gets the whole limit.
			p.g.Step(Request{Epoch: 1, Holder: "h2", Incarnation: 1, Seq: 1}, p.now)
			c.Assert(p.request("h1", 1, 0, greedy), qt.Equals, whole)
			tt.run(c, p)
		})
	}
}

// An owner fails and the next one knows no leases. Holders must be able to renew what
// they have, and none may get more until all entries have reported or all leases of
// the failed owner have expired.
func TestNewOwnerRecovers(t *testing.T) {
	c := qt.New(t)
	p := newGrantorTest()
	first := p.g.roster
	next := Roster{Epoch: 2, Entries: []api.InstanceID{"h1", "h2"}}
	p.g = NewGrantor(next.Owner(cust), DefaultTiming)
	p.g.SetLimits(map[api.CustomerID]Limit{cust: all})
	first.Entries = append(first.Entries, "lost")
	p.g.SetRoster(first, p.now, p.now)
	p.g.SetRoster(next, p.now, p.now)
	have := Share{25, 2500}
	c.Assert(p.request("h1", 1, 0, holding(have, 0, 0)), qt.Equals, have)
	c.Assert(p.request("h2", 1, 0, greedy), qt.Equals, nothing)
	p.request("h1", 2, DefaultTiming.recovery()-time.Second, holding(have, 1, 0))
	c.Assert(p.request("h2", 2, time.Second, greedy), qt.Equals, Share{15, 1500})
}

// A new owner to which all entries have reported need not wait, but a lease granted by
// the previous owner counts until its holder has confirmed a lower one.
func TestNewOwnerCountsLeasesOfTheLast(t *testing.T) {
	c := qt.New(t)
	p := newGrantorTest()
	p.request("h2", 1, 0, greedy)
	c.Assert(p.request("h1", 7, 0, holding(whole, 6, 0)), qt.Equals, half)
	c.Assert(p.request("h2", 2, time.Second, greedy), qt.Equals, nothing)
	p.request("h1", 8, time.Second, holding(half, 7, 0))
	c.Assert(p.request("h2", 3, time.Second, greedy), qt.Equals, half)
}

func TestHolderTakesOnlyTheLatestGrant(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *Holder, g *Grant) time.Duration
		held   int64
	}{
		{"arrives in time", func(*Holder, *Grant) time.Duration { return time.Second }, 40},
		{"expires counted from the request", func(*Holder, *Grant) time.Duration { return DefaultTiming.TTL }, 0},
		{"earlier epoch", func(h *Holder, _ *Grant) time.Duration {
			h.SetRoster(Roster{Epoch: 2, Entries: []api.InstanceID{"h1", "h2"}}, t0, t0)
			return 0
		}, 0},
		{"earlier incarnation", func(_ *Holder, g *Grant) time.Duration { g.Incarnation--; return 0 }, 0},
		{"for another holder", func(_ *Holder, g *Grant) time.Duration { g.Holder = "h2"; return 0 }, 0},
		{"for a request never sent", func(_ *Holder, g *Grant) time.Duration { g.Seq += 5; return 0 }, 0},
		{"after a request that listed nothing", func(h *Holder, _ *Grant) time.Duration {
			h.Tick(t0.Add(9 * time.Second))
			return 9 * time.Second
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			h := NewHolder("h1", 3, DefaultTiming)
			h.SetLimits(map[api.CustomerID]Limit{cust: all}, t0)
			h.SetRoster(Roster{Epoch: 1, Entries: []api.InstanceID{"h1", "h2"}}, t0, t0)
			_, _ = h.Acquire(cust, 1, t0)
			cu := (*h.customers.Load())[cust]
			cu.inUse.Store(0)
			h.Tick(t0)
			cu.wantedSlots, cu.wantedRate, cu.peak = 0, 0, 0
			g := Grant{Epoch: 1, Holder: "h1", Incarnation: 3, Seq: 1, TTL: DefaultTiming.TTL, Leases: []Lease{{cust, whole}}}
			h.Step(g, t0.Add(tt.change(h, &g)))
			c.Assert(cu.share.Load().lease.Slots, qt.Equals, tt.held)
		})
	}
}
