package entry

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/retry"
	"almondseam.dev/core/routing"
	qt "github.com/frankban/quicktest"
)

// nopMeter is a retry.Meter that counts nothing.
type nopMeter struct{}

func (nopMeter) Retried(api.Reason)  {}
func (nopMeter) Denied(retry.Denial) {}

// publish puts a configuration with the given policy in force.
func publish(c *qt.C, live *fleetconfig.Live, rev api.Revision, policy string) {
	f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, "name: t\nsites: [{id: s, region: r, zones: [a, b]}]\npolicy: {%s}\n", policy)})
	c.Assert(err, qt.IsNil)
	c.Assert(live.Publish(fleetconfig.Compile(f).At(rev, "s")), qt.IsTrue)
}

// An operator changes the policy while the entry runs. The next choice and the next
// failed attempt must use it without a restart. The defaults apply until the first
// configuration is in force.
func TestPolicyInForceIsFollowed(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	live := &fleetconfig.Live{}
	p := NewTablePlacer(routing.Options{})
	p.Follow(live)
	r := NewRetries(retry.Options{}, nopMeter{})
	r.Follow(live)
	for i := range 8 {
		zone := api.Zone([]string{"a", "b"}[i%2])
		p.Announce(routing.Target{ID: api.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Zone: zone, Models: []api.ModelID{"m"}, Reported: now})
	}
	choose := func() []routing.Candidate { return p.Choose(routing.Query{Model: "m", Zone: "a"}, now) }
	again := func(number api.Attempt) bool {
		ok, _ := r.Next(retry.Attempt{Customer: "c", Number: number}, api.NotRun(api.StepQueue, "", api.ReasonQueueFull, nil), true, now)
		return ok
	}
	c.Assert(choose(), qt.HasLen, 2)
	c.Assert(again(2), qt.IsTrue)
	c.Assert(again(3), qt.IsFalse)

	publish(c, live, 1, "bid_fan_out: 6, retry_attempts: 1, zone_slack: 70ms")
	got := choose()
	c.Assert(got, qt.HasLen, 6)
	for _, cand := range got {
		c.Assert(cand.ZoneWait == 70*time.Millisecond, qt.Equals, !cand.Own)
	}
	c.Assert(again(1), qt.IsFalse)

	publish(c, live, 2, "bid_fan_out: 6, retry_attempts: 9, prefer_zone: false")
	c.Assert(again(8), qt.IsTrue)
	for _, cand := range choose() {
		c.Assert(cand.ZoneWait, qt.Equals, time.Duration(0))
	}

	publish(c, live, 3, "bid_fan_out: 1, retry_attempts: 9, retry_budget: 0, affinity_bound: 3, zone_slack: 0s")
	c.Assert(choose(), qt.HasLen, 1)
	c.Assert(again(1), qt.IsFalse)
	c.Assert(routingOptions(live.Load().Policy()), qt.DeepEquals, routing.Options{Ask: 1, Bound: 3, ZoneWait: -1})
}
