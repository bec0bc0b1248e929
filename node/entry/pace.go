package entry

import (
	"time"

	"almondseam.dev/node/wire"
)

// Load reports cost the entry bytes and time for each linked target. With a fixed
// interval, the reports of a large fleet would exceed the budget of the whole node,
// and those of a small fleet would be older than necessary. The entry knows how
// many targets report to it and therefore sets the interval, between minPace and
// maxPace, so that all reports together stay within about reportBytesPerSecond.
const (
	// reportBytesPerSecond is the share of a node's budget of 5 KB per second that
	// load reports may use.
	reportBytesPerSecond = 2 << 10
	// reportSize is the size in bytes of one report with its framing, measured by
	// bench/slopes.
	reportSize = 40
	minPace    = 250 * time.Millisecond
	maxPace    = 30 * time.Second
	// minPaceRatio is the ratio of two intervals up to which a change is not sent
	// to the agents, so that a single link more or less does not cause a message to
	// every agent.
	minPaceRatio = 1.5
)

// reportInterval returns the interval of load reports for a number of linked
// targets.
func reportInterval(links int) time.Duration {
	every := time.Duration(links) * time.Second * reportSize / reportBytesPerSecond
	return min(max(every, minPace), maxPace)
}

// updatePace sends the agents a new interval if it has changed by more than
// minPaceRatio. Otherwise it sends the current one to newLink, unless newLink is
// nil.
func (e *Entry) updatePace(newLink sender) {
	interval := reportInterval(len(e.peers.all()))
	current := time.Duration(e.pace.Load())
	changed := float64(interval) > float64(current)*minPaceRatio || float64(interval)*minPaceRatio < float64(current)
	if !changed {
		if newLink != nil {
			_ = newLink.Send(&wire.Pace{Every: max(current, minPace)})
		}
		return
	}
	if !e.pace.CompareAndSwap(int64(current), int64(interval)) {
		return // another goroutine is sending an interval to all agents
	}
	for _, p := range e.peers.all() {
		_ = p.link.Send(&wire.Pace{Every: interval})
	}
}
