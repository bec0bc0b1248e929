// Package limit holds each customer to its concurrency and its token rate over
// all entries, without a hop to a central place on a request's path.
//
// Each entry runs a Holder, which answers requests from the share that it
// holds, and a Grantor, which hands out the shares of the customers that it
// owns. A share is a lease. docs/design/limits.md gives the ways weighed and
// the bound. Nothing here sends or waits: the caller carries Requests and
// Grants between entries, which may lose, repeat, delay or reorder them.
package limit

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
)

// Limit is what a customer may use over all entries. Zero in a field means
// that it isn't limited.
type Limit struct {
	// Slots is the number of requests under way at a time.
	Slots int64
	// Rate is in tokens a second, prompt and output together.
	Rate int64
	// Burst is the number of tokens that may be used at once after a quiet
	// time; zero means what Rate gives in two seconds.
	Burst int64
}

// saved is the time over which unused rate is kept.
func (l Limit) saved() time.Duration {
	if l.Burst == 0 || l.Rate == 0 {
		return defaultSaved
	}
	return time.Duration(float64(l.Burst) / float64(l.Rate) * float64(time.Second))
}

// share is the whole of the limit.
func (l Limit) share() Share { return Share{Slots: l.Slots, Rate: l.Rate} }

// Roster lists the entries that share the limits. The control group agrees on
// it; Epoch grows by one with each change.
type Roster struct {
	Epoch   uint64
	Entries []api.InstanceID
	// Age is how long the control group has had this roster in force, at the
	// least; zero is always safe.
	Age time.Duration
}

// Timing sets the leases; every entry must have the same values.
type Timing struct {
	// TTL is how long a lease is in force, counted by its holder from when it
	// sent the request.
	TTL time.Duration
	// Renew is the time between requests.
	Renew time.Duration
	// Margin covers the drift of two clocks over TTL.
	Margin time.Duration
	// Linger is how long after a silent holder's lease its slots stay taken:
	// requests that it started go on. A request that runs longer on an entry
	// that is cut off is beyond the bound.
	Linger time.Duration
	// Floor is how long an entry that has lost touch with the control group may
	// go on with its floor.
	Floor time.Duration
}

// recovery is how long the leases of a roster may outlast it: an owner that has
// not heard of the change grants for TTL, its last lease runs for another, and
// what was started under that lingers.
func (t Timing) recovery() time.Duration {
	return 2*(t.TTL+t.Margin) + t.Linger
}

// floorMargin covers the drift of two clocks over Floor, at the rate for which
// Margin covers it over TTL.
func (t Timing) floorMargin() time.Duration {
	return time.Duration(float64(t.Margin) * float64(t.Floor) / float64(t.TTL))
}

// DefaultTiming is what an entry uses unless its settings differ.
var DefaultTiming = Timing{
	TTL:    10 * time.Second,
	Renew:  2 * time.Second,
	Margin: time.Second,
	Linger: 30 * time.Second,
	Floor:  10 * time.Minute,
}

// Request tells a grantor what a holder has and wants: one message for all
// customers that the grantor owns. A customer that isn't listed is neither
// held nor used by the holder.
type Request struct {
	Epoch  uint64
	Holder api.InstanceID
	// Incarnation grows with each start of the holder.
	Incarnation api.Incarnation
	// Seq grows with each request of an incarnation, to whichever grantor.
	Seq   uint64
	Wants []Want
}

// Want is the state of one customer at a holder.
type Want struct {
	Customer api.CustomerID
	// Slots and Rate are what the holder could use.
	Slots int64
	Rate  int64
	// InUse is the number of requests under way.
	InUse int64
	// Held is the lease applied last and HeldSeq its number; it is in force for
	// Remaining, if that is above zero.
	Held      Share
	HeldSeq   uint64
	Remaining time.Duration
}

// Share is a part of a customer's limit.
type Share struct {
	Slots int64
	Rate  int64
}

// Grant answers a Request.
type Grant struct {
	Epoch       uint64
	Grantor     api.InstanceID
	Holder      api.InstanceID
	Incarnation api.Incarnation
	// Seq is that of the request.
	Seq    uint64
	TTL    time.Duration
	Leases []Lease
}

// Lease is the share of one customer, in force for the grant's TTL.
type Lease struct {
	Customer api.CustomerID
	Share
}

// ErrNoLease is the cause of a refusal by an entry that holds no lease of the
// customer: a request for one is due, and the caller may wait for its answer.
var ErrNoLease = errors.New("no lease of this customer's limit here")
