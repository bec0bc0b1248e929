package rollout

import (
	"time"

	"almondseam.dev/core/api"
)

const (
	// ConfirmationLifetime is how long before a request the control group may have been asked for the
	// newest configuration by which the request is refused. It bounds how often the group is asked
	// because of requests that match nothing, and is short against the time in which a change must be in
	// force.
	ConfirmationLifetime = 200 * time.Millisecond
	// MaxConfirmationWait is how long a request waits for the control group. A reply takes a round trip
	// to a majority; without a leader none comes before an election is over.
	MaxConfirmationWait = 500 * time.Millisecond
	// RetryUnconfirmed is the time after which a request that was refused without a reply of the group
	// may be sent again: most elections are over by then.
	RetryUnconfirmed = time.Second
)

// Freshness records until when a process knows that the configuration in force is the newest. It is
// not safe for concurrent use.
type Freshness struct {
	inForce   api.Revision
	confirmed api.Revision
	asked     time.Time
}

// PutInForce records the revision in force.
func (f *Freshness) PutInForce(rev api.Revision) { f.inForce = max(f.inForce, rev) }

// Confirm records that a majority, asked at the given time, reported rev as the highest accepted
// revision.
func (f *Freshness) Confirm(asked time.Time, rev api.Revision) {
	if asked.Before(f.asked) {
		return
	}
	f.asked, f.confirmed = asked, rev
}

// AskedSince reports whether a majority has answered a query that was sent at or after t.
func (f *Freshness) AskedSince(t time.Time) bool { return !f.asked.IsZero() && !f.asked.Before(t) }

// NewestSince reports whether every revision that was accepted before t is in force or was replaced
// by one that is.
func (f *Freshness) NewestSince(t time.Time) bool {
	return f.AskedSince(t) && f.inForce >= f.confirmed
}
