package claim

import "time"

// Window bounds how long after its grant a dispatch can still start, without
// comparing the clocks of two instances:
//
//   - The entry reads its own monotonic clock before it requests the grant, and does
//     not dispatch once Dispatch has passed since that reading.
//   - Every agent includes readings of its own monotonic clock in the messages that
//     it sends on a link. The entry takes the newest reading *before* it checks its
//     own clock, and the dispatch returns that reading to the agent. The agent does
//     not start a dispatch whose reading is older than Start.
//
// A dispatch must not run an hour later because a process was suspended or a link
// stalled while the dispatch was on its way. If that happens before the entry takes
// the reading, the check of the entry rejects the dispatch; if it happens later,
// the check of the agent does.
//
// The replicated clock advances only while there is a leader, and never faster than
// the leader's monotonic clock. Total, measured from the grant on the replicated
// clock, therefore ends no earlier than the real bound; Margin allows for clocks
// that run at different rates.
type Window struct {
	Dispatch time.Duration
	Start    time.Duration
	Margin   time.Duration
}

// DefaultWindow returns a window that suits short calls such as bookings. For a call
// that has waited for more than a minute, it is better if the caller sends it again.
func DefaultWindow() Window {
	return Window{Dispatch: 30 * time.Second, Start: 60 * time.Second, Margin: 10 * time.Second}
}

// Total returns the time after a grant, on the replicated clock, after which its
// dispatch can no longer start.
func (w Window) Total() time.Duration { return w.Dispatch + w.Start + w.Margin }

// MayDispatch reports whether an entry may still dispatch. requested and now are
// readings of its own monotonic clock, the first taken before it requested the
// grant and the second one just before the dispatch.
func (w Window) MayDispatch(requested, now time.Time) bool {
	return now.Sub(requested) <= w.Dispatch
}

// MayStart reports whether an agent may still start a call. echo is the reading that
// the dispatch carries and now the current one, both of the agent's own monotonic
// clock. An echo later than now comes from another incarnation and is rejected.
func (w Window) MayStart(echo, now time.Duration) bool {
	return echo <= now && now-echo <= w.Start
}
