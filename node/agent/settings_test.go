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

// An operator shortens the queue and then the replay while the agent runs: the
// next offers are refused by the new bounds, what had been taken stays, and an
// ended request is kept for a caller that comes back by the new window and time.
func TestConfigurationInForceIsFollowed(t *testing.T) {
	live := &fleetconfig.Live{}
	inBench(t, Config{Live: live}, 1, func(b *bench) {
		for i := range 4 {
			b.say(offerOf(api.RequestID(fmt.Sprint("r", i))))
		}
		b.c.Assert(heard[*wire.Accepted](b.link), qt.HasLen, 4)

		publish(b.c, live, 1, "policy: {overflow: 0.1587, shed: {queue_length: 3}}")
		b.pass(time.Second)
		b.say(offerOf("r4"))
		b.c.Assert(one[*wire.Refused](b.c, b.link).Reason, qt.Equals, api.ReasonQueueFull)
		b.c.Assert(math.Round(100*b.admit.Snapshot(time.Now()).Margin), qt.Equals, 100.0)
		b.c.Assert(b.admit.Snapshot(time.Now()).Waiting, qt.Equals, 3)

		publish(b.c, live, 2, "policy: {shed: {queue_wait: 100ms}}")
		b.pass(time.Second)
		b.say(offerOf("r5"))
		b.c.Assert(one[*wire.Refused](b.c, b.link).Reason, qt.Equals, api.ReasonQueueFull)

		publish(b.c, live, 3, "limits: {replay_bytes: 4KiB, replay_time: 1m}")
		b.pass(time.Second)
		b.say(offerOf("r6"))
		b.c.Assert(one[*wire.Accepted](b.c, b.link).Key, qt.Equals, key("r6"))
	})
}

// The replay is shortened: a caller that comes back after the new time, or for
// what is beyond the new window, is told that it is gone.
func TestReplayFollowsTheConfiguration(t *testing.T) {
	live := &fleetconfig.Live{}
	inBench(t, Config{Live: live}, 8, func(b *bench) {
		item := strings.Repeat("x", 1000)
		answer := func(r api.RequestID, run int) {
			b.say(offerOf(r))
			b.target.run(run).say(item, item, item, item, item, item, item, item)
			heard[*wire.Data](b.link)
			b.say(&wire.Ack{Key: key(r), Offset: 8})
			close(b.target.run(run).items)
			heard[*wire.Final](b.link)
		}
		resume := func(r api.RequestID) api.Reason {
			b.say(&wire.Resume{Key: key(r), Customer: "c1"})
			return one[*wire.ResumeRefused](b.c, b.link).Reason
		}
		publish(b.c, live, 1, "limits: {replay_bytes: 64KiB}")
		b.pass(time.Second)
		answer("wide", 0)
		b.say(&wire.Resume{Key: key("wide"), Customer: "c1"})
		b.c.Assert(text(b.c, heard[*wire.Data](b.link)), qt.Equals, strings.Repeat(item, 8))

		publish(b.c, live, 2, "limits: {replay_bytes: 4KiB}")
		b.pass(time.Second)
		answer("tight", 1)
		b.c.Assert(resume("tight"), qt.Equals, api.ReasonReplayWindowPassed)

		publish(b.c, live, 3, "limits: {replay_time: 5s}")
		b.pass(10 * time.Second)
		b.c.Assert(resume("wide"), qt.Equals, api.ReasonTargetGone)
	})
}
