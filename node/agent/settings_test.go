package agent

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

func publish(c *qt.C, live *fleetconfig.Live, rev api.Revision, more string) {
	f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, "name: t\nsites: [{id: s, region: r, zones: [a]}]\n%s\n", more)})
	c.Assert(err, qt.IsNil)
	c.Assert(live.Publish(fleetconfig.Compile(f).At(rev, "s")), qt.IsTrue)
}

// An operator lowers the queue limit while the agent runs, then sets a wait limit
// instead, then neither. Each configuration must apply to the next offer, and the
// requests that are already queued must stay queued.
func TestConfigurationInForceIsFollowed(t *testing.T) {
	live := &fleetconfig.Live{}
	withHarness(t, Config{Live: live}, 1, func(b *harness) {
		for i := range 4 {
			b.send(newOffer(api.RequestID(fmt.Sprint("r", i))))
		}
		b.c.Assert(receiveAll[*wire.Accepted](b.link), qt.HasLen, 4)

		publish(b.c, live, 1, "policy: {overflow: 0.1587, shed: {queue_length: 3}}")
		b.advance(time.Second)
		b.send(newOffer("r4"))
		b.c.Assert(receiveOne[*wire.Refused](b.c, b.link).Reason, qt.Equals, api.ReasonQueueFull)
		b.c.Assert(math.Round(100*b.admit.Snapshot(time.Now()).Margin), qt.Equals, 100.0)
		b.c.Assert(b.admit.Snapshot(time.Now()).Waiting, qt.Equals, 3)

		publish(b.c, live, 2, "policy: {shed: {queue_wait: 100ms}}")
		b.advance(time.Second)
		b.send(newOffer("r5"))
		b.c.Assert(receiveOne[*wire.Refused](b.c, b.link).Reason, qt.Equals, api.ReasonQueueFull)

		publish(b.c, live, 3, "limits: {replay_bytes: 4KiB, replay_time: 1m}")
		b.advance(time.Second)
		b.send(newOffer("r6"))
		b.c.Assert(receiveOne[*wire.Accepted](b.c, b.link).Key, qt.Equals, key("r6"))
	})
}

// An operator reduces the replay window and then the replay time. A caller that
// resumes from outside the new window, or after the new time, must be told that
// the items or the request are gone.
func TestReplayFollowsTheConfiguration(t *testing.T) {
	live := &fleetconfig.Live{}
	withHarness(t, Config{Live: live}, 8, func(b *harness) {
		item := strings.Repeat("x", 1000)
		answer := func(r api.RequestID, run int) {
			b.send(newOffer(r))
			b.target.run(run).send(item, item, item, item, item, item, item, item)
			receiveAll[*wire.Data](b.link)
			b.send(&wire.Ack{Key: key(r), Offset: 8})
			close(b.target.run(run).items)
			receiveAll[*wire.Final](b.link)
		}
		resume := func(r api.RequestID) api.Reason {
			b.send(&wire.Resume{Key: key(r), Customer: "c1"})
			return receiveOne[*wire.ResumeRefused](b.c, b.link).Reason
		}
		publish(b.c, live, 1, "limits: {replay_bytes: 64KiB}")
		b.advance(time.Second)
		answer("wide", 0)
		b.send(&wire.Resume{Key: key("wide"), Customer: "c1"})
		b.c.Assert(joinItems(b.c, receiveAll[*wire.Data](b.link)), qt.Equals, strings.Repeat(item, 8))

		publish(b.c, live, 2, "limits: {replay_bytes: 4KiB}")
		b.advance(time.Second)
		answer("tight", 1)
		b.c.Assert(resume("tight"), qt.Equals, api.ReasonReplayWindowPassed)

		publish(b.c, live, 3, "limits: {replay_time: 5s}")
		b.advance(10 * time.Second)
		b.c.Assert(resume("wide"), qt.Equals, api.ReasonTargetGone)
	})
}
