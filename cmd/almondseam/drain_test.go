package main

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"github.com/alecthomas/kingpin/v2"
)

// The time that a stop may take is that of the configuration in force when it
// begins, at an entry and at an agent; --drain goes before it, and holds before
// there is any.
func TestDrainFollowsTheConfiguration(t *testing.T) {
	publish := func(live *fleetconfig.Live, rev api.Revision, drain string) {
		f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, "name: t\nsites: [{id: s, region: r, zones: [a]}]\nlimits: {drain: %s}\n", drain)})
		if err != nil {
			t.Fatal(err)
		}
		live.Publish(fleetconfig.Compile(f).At(rev, "s"))
	}
	parse := func(args ...string) *settings {
		app := kingpin.New("t", "")
		set := &settings{}
		cmd := app.Command("run", "")
		set.flags(cmd)
		if _, err := app.Parse(append([]string{"run", "--role=agent", "--instance=i", "--zone=a"}, args...)); err != nil {
			t.Fatal(err)
		}
		return set
	}
	is := func(n *node, want time.Duration) {
		t.Helper()
		if got := n.drain(); got != want {
			t.Errorf("drain is %s, want %s", got, want)
		}
	}
	for _, n := range []*node{
		{set: parse(), live: &fleetconfig.Live{}},
		{set: parse(), agentLive: &fleetconfig.Live{}},
	} {
		live := n.live
		if live == nil {
			live = n.agentLive
		}
		is(n, 10*time.Minute)
		publish(live, 1, "7s")
		is(n, 7*time.Second)
		publish(live, 2, "0s")
		is(n, 0)
		n.set = parse("--drain=3s")
		is(n, 3*time.Second)
	}
}
