package entry

import (
	"time"

	"almondseam.dev/node/wire"
)

// Load reports cost the entry bytes and time for each linked target. With a fixed
// interval a large fleet's reports would pass the budget of the whole node, and a
// small one's would be staler than need be. The receiver knows how many targets
// report to it, so it sets the pace: all reports together stay within
// reportBytes a second.
const (
	// reportBytes is the share of a node's 5 KB a second for load reports.
	reportBytes = 2 << 10
	// reportSize is the size of one report with its framing, measured by
	// bench/slopes.
	reportSize = 40
	minPace    = 250 * time.Millisecond
	maxPace    = 30 * time.Second
	// paceChange is the least change, as a ratio, that agents are told of: a
	// link more or less must not set off a message to every agent.
	paceChange = 1.5
)

// paceFor gives the interval of load reports for a number of linked targets.
func paceFor(links int) time.Duration {
	every := time.Duration(links) * time.Second * reportSize / reportBytes
	return min(max(every, minPace), maxPace)
}

// repace tells the agents a new pace if it has changed by enough. The new link is
// told in any case.
func (e *Entry) repace(fresh sender) {
	want := paceFor(len(e.peers.all()))
	told := time.Duration(e.pace.Load())
	changed := float64(want) > float64(told)*paceChange || float64(want)*paceChange < float64(told)
	if !changed {
		if fresh != nil {
			_ = fresh.Send(&wire.Pace{Every: max(told, minPace)})
		}
		return
	}
	if !e.pace.CompareAndSwap(int64(told), int64(want)) {
		return // another link's reader is telling all of them
	}
	for _, p := range e.peers.all() {
		_ = p.to.Send(&wire.Pace{Every: want})
	}
}
