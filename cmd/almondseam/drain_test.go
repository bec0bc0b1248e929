package main

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"github.com/alecthomas/kingpin/v2"
)

// The drain timeout of an entry or an agent must be that of the configuration in force
// when the stop begins. --drain overrides it, and the default of --drain applies while no
// configuration is in force.
func TestDrainFollowsTheConfiguration(t *testing.T) {
	publish := func(live *fleetconfig.Live, rev api.Revision, drainTimeout string) {
		f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, "name: t\nsites: [{id: s, region: r, zones: [a]}]\nlimits: {drain: %s}\n", drainTimeout)})
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
	checkDrain := func(n *node, want time.Duration) {
		t.Helper()
		if got := n.drainTimeout(); got != want {
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
		checkDrain(n, 10*time.Minute)
		publish(live, 1, "7s")
		checkDrain(n, 7*time.Second)
		publish(live, 2, "0s")
		checkDrain(n, 0)
		n.set = parse("--drain=3s")
		checkDrain(n, 3*time.Second)
	}
}
