package claim

import "time"

// Window bounds how long after its grant a dispatch can still start, without
// any two clocks being compared:
//
//   - The entry counts from before it asked for the grant, on its own monotonic
//     clock, and doesn't dispatch after Dispatch has passed.
//   - Every agent puts its own monotonic clock into what it sends on a link. The
//     entry remembers the newest reading *before* it checks its own time, and
//     the dispatch carries that reading back. The agent doesn't start what
//     carries a reading older than Start.
//
// A process that was stopped, or a link that stalled, with the dispatch under way must not let
// it run an hour later: a stop before the reading is caught by the entry's own count, and one
// after it by the agent's.
//
// The replicated clock runs only while a leader lives and never faster than its
// leader's monotonic clock, so Total, counted there from the grant, ends no
// earlier than the real bound; Margin covers clocks that differ in rate.
type Window struct {
	Dispatch time.Duration
	Start    time.Duration
	Margin   time.Duration
}

// DefaultWindow suits bookings, which are short: a call that waited for over a
// minute is better asked again.
func DefaultWindow() Window {
	return Window{Dispatch: 30 * time.Second, Start: 60 * time.Second, Margin: 10 * time.Second}
}

// Total is the longest time after a grant in which its dispatch may start.
func (w Window) Total() time.Duration { return w.Dispatch + w.Start + w.Margin }

// MayDispatch is the entry's check: asked and now are readings of its own
// monotonic clock, asked taken before the grant was asked for.
func (w Window) MayDispatch(asked, now time.Time) bool {
	return now.Sub(asked) <= w.Dispatch
}

// MayStart is the agent's check, made at the moment it hands the call to its
// target: echo is the reading that the dispatch carried and now the present
// one, both of the agent's own monotonic clock. A reading from the future is
// from another incarnation, and refused.
func (w Window) MayStart(echo, now time.Duration) bool {
	return echo <= now && now-echo <= w.Start
}
