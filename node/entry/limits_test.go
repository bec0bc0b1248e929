package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/limit"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// network delivers messages between the Limits of several entries, unless it is
// cut.
type network struct {
	mu  sync.Mutex
	to  map[api.InstanceID]*Limits
	cut bool
}

func (n *network) Send(to api.InstanceID, m wire.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.to[to]; l != nil && !n.cut {
		time.AfterFunc(time.Millisecond, func() { l.Handle(m) })
	}
}

func (n *network) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

const limitsConfig = `
name: test
sites: [{id: s, region: r, zones: [a]}]
customers:
  - {id: c1, keys: [%q], max_concurrent: 20, tokens_per_second: 1000/s, burst_tokens: 2000}
`

// startSharing starts the Limits of two entries that share the limits of one
// customer.
func startSharing(c *qt.C) (net *network, entries []*Limits, cust *fleetconfig.Customer, stop func()) {
	f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, limitsConfig, fleetconfig.KeySum("key"))})
	c.Assert(err, qt.IsNil)
	live := &fleetconfig.Live{}
	live.Publish(fleetconfig.Compile(f).At(1, "s"))
	cust, _ = live.Load().Customer("c1")
	net = &network{to: make(map[api.InstanceID]*Limits)}
	ctx, cancel := context.WithCancel(context.Background())
	roster := FixedRoster{Entries: []api.InstanceID{"e1", "e2"}, Clock: time.Now}
	for _, id := range roster.Entries {
		l := NewLimits(LimitsConfig{Self: id, Incarnation: 1, Live: live, Roster: roster, Peers: net})
		net.to[id] = l
		entries = append(entries, l)
	}
	for _, l := range entries {
		go l.Run(ctx)
	}
	return net, entries, cust, cancel
}

// acquireUntilRefused acquires requests until one is refused. It returns how many
// were admitted, and the refusal.
func acquireUntilRefused(l *Limits, cust *fleetconfig.Customer) (n int, last *api.Error) {
	for ; ; n++ {
		if _, err := l.Acquire(cust, 0, time.Now()); err != nil {
			return n, err
		}
	}
}

// TestFirstLeaseOfAnOwnCustomerNeedsNoWait guards against refusing a customer's first request, with a
// limit that it has not reached, because the goroutine of Run got no processor time. The entry
// itself grants the leases of the customers that it owns.
func TestFirstLeaseOfAnOwnCustomerNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, limitsConfig, fleetconfig.KeySum("key"))})
		c.Assert(err, qt.IsNil)
		live := &fleetconfig.Live{}
		live.Publish(fleetconfig.Compile(f).At(1, "s"))
		cust, _ := live.Load().Customer("c1")
		roster := FixedRoster{Entries: []api.InstanceID{"e1"}, Clock: time.Now}
		l := NewLimits(LimitsConfig{Self: "e1", Incarnation: 1, Live: live, Roster: roster}) // Run is not called
		began := time.Now()
		var all sync.WaitGroup
		for range 15 {
			all.Go(func() {
				_, err := l.Acquire(cust, 0, time.Now())
				c.Check(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			})
		}
		all.Wait()
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

// A customer sends more requests to two entries than its limit allows. The first
// request at each entry must wait for a lease instead of being refused. Together,
// the entries must stay within the limit plus its slack, even while the network
// between them is cut.
func TestEntriesShareALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net, entries, cust, stop := startSharing(c)
		defer stop()
		synctest.Wait()
		time.Sleep(time.Second)
		total := 0
		for _, l := range entries {
			n, err := acquireUntilRefused(l, cust)
			c.Assert(n > 0, qt.IsTrue)
			c.Assert(err.Reason, qt.Equals, api.ReasonConcurrencyLimit)
			c.Assert(err.RetryAfter > 0, qt.IsTrue)
			total += n
		}
		for i := range 60 {
			net.setCut(i >= 20 && i < 40)
			time.Sleep(time.Second)
			for _, l := range entries {
				n, _ := acquireUntilRefused(l, cust)
				total += n
			}
			c.Assert(total <= 22, qt.IsTrue, qt.Commentf("after %d s: %d under way of 20", i, total))
		}
		c.Assert(total >= 20, qt.IsTrue, qt.Commentf("%d under way of 20", total))
	})
}

// Tokens are charged by estimate and corrected when the request is settled. The
// mean output of earlier answers must be part of the next estimate, and a refusal
// must state when to retry.
func TestTokensAreEstimatedAndSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, entries, cust, stop := startSharing(c)
		defer stop()
		synctest.Wait()
		time.Sleep(time.Second)
		l := entries[0]
		for range 50 {
			settle, err := l.Acquire(cust, 10, time.Now())
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			settle(110)
			time.Sleep(2 * time.Second)
		}
		got := l.meanOutputOf("c1").mean()
		c.Assert(got > 90 && got <= 100, qt.IsTrue, qt.Commentf("mean output %d", got))
		_, err := l.Acquire(cust, 1<<20, time.Now())
		c.Assert(err == nil, qt.IsTrue)
		_, err = l.Acquire(cust, 100, time.Now())
		c.Assert(err.Reason, qt.Equals, api.ReasonTokenRateLimit)
		c.Assert(err.RetryAfter > 10*time.Second, qt.IsTrue)
	})
}

func TestLimitMessagesCarryEverything(t *testing.T) {
	c := qt.New(t)
	req := limit.Request{Epoch: 1, Holder: "e1", Incarnation: 2, Seq: 3, Wants: []limit.Want{{
		Customer: "c1", Slots: 4, Rate: 5, InUse: 6, Held: limit.Share{Slots: 7, Rate: 8}, HeldSeq: 9, Remaining: 10,
	}}}
	c.Assert(wire.NewLimitRequest(req).Request(), qt.DeepEquals, req)
	g := limit.Grant{
		Epoch: 1, Grantor: "e2", Holder: "e1", Incarnation: 2, Seq: 3, TTL: 4,
		Leases: []limit.Lease{{Customer: "c1", Share: limit.Share{Slots: 5, Rate: 6}}},
	}
	c.Assert(wire.NewLimitGrant(g).Grant(), qt.DeepEquals, g)
}
