// Package limit enforces each customer's concurrency limit and token rate across
// all entries, without a call to a central service on the request path.
//
// Each entry runs a Holder, which admits requests from the shares that it holds,
// and a Grantor, which grants shares of the limits of the customers that its
// entry owns. A share is granted as a lease. docs/design/limits.md compares the
// alternatives and derives the bound. The package does no I/O and never blocks:
// the caller carries Requests and Grants between entries over a network that may
// lose, duplicate, delay or reorder them.
package limit

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
)

// Limit is what a customer may use across all entries. A zero Slots or Rate
// means that it isn't limited.
type Limit struct {
	// Slots is the number of concurrent requests.
	Slots int64
	// Rate is in tokens per second, prompt and output together.
	Rate int64
	// Burst is the number of tokens that may be used at once after an idle
	// period; zero means what accrues at Rate in two seconds.
	Burst int64
}

// burstWindow returns the time over which unused rate accumulates.
func (l Limit) burstWindow() time.Duration {
	if l.Burst == 0 || l.Rate == 0 {
		return defaultBurstWindow
	}
	return time.Duration(float64(l.Burst) / float64(l.Rate) * float64(time.Second))
}

// share returns the whole limit as a share.
func (l Limit) share() Share { return Share{Slots: l.Slots, Rate: l.Rate} }

// Roster lists the entries that share the limits. The control group decides it;
// Epoch increases by one with each change.
type Roster struct {
	Epoch   uint64
	Entries []api.InstanceID
	// Age is a lower bound of the time for which this roster has been in force
	// at the control group; zero is always safe.
	Age time.Duration
}

// Timing holds the durations of the lease protocol. Every entry must use the
// same values.
type Timing struct {
	// TTL is how long a lease is in force. Its holder counts it from when it
	// sent the request that the lease answers.
	TTL time.Duration
	// Renew is the time between a holder's requests to a grantor.
	Renew time.Duration
	// Margin covers the drift between two clocks over TTL.
	Margin time.Duration
	// Linger is how long the slots of a holder that no longer renews stay committed
	// after its lease has expired, because customer requests that it started may
	// still run. A request that runs longer than that on a partitioned entry isn't
	// covered by the bound.
	Linger time.Duration
	// Floor is how long an entry without contact to the control group may go on
	// using its floor, the part of a limit that needs no lease.
	Floor time.Duration
}

// recovery returns how long leases granted under a roster may have an effect
// after the roster was replaced: an owner that doesn't know of the change goes on
// granting for TTL, its last lease is in force for another TTL, and requests
// started under that lease run for up to Linger.
func (t Timing) recovery() time.Duration {
	return 2*(t.TTL+t.Margin) + t.Linger
}

// floorMargin returns the allowance for the drift between two clocks over Floor,
// at the drift rate that Margin allows for over TTL.
func (t Timing) floorMargin() time.Duration {
	return time.Duration(float64(t.Margin) * float64(t.Floor) / float64(t.TTL))
}

// DefaultTiming is used by an entry whose settings give no other timing.
var DefaultTiming = Timing{
	TTL:    10 * time.Second,
	Renew:  2 * time.Second,
	Margin: time.Second,
	Linger: 30 * time.Second,
	Floor:  10 * time.Minute,
}

// Request reports to a grantor what a holder has and wants, in one message for
// all customers that the grantor owns. For a customer that isn't listed the
// holder has no lease and no request in progress.
type Request struct {
	Epoch  uint64
	Holder api.InstanceID
	// Incarnation increases with each start of the holder.
	Incarnation api.Incarnation
	// Seq increases with each round of requests of an incarnation; requests to
	// different grantors in one round share it.
	Seq   uint64
	Wants []Want
}

// Want is the state of one customer at a holder, with its demand.
type Want struct {
	Customer api.CustomerID
	// Slots and Rate are the holder's demand.
	Slots int64
	Rate  int64
	// InUse is the number of requests in progress.
	InUse int64
	// Held is the share of the lease that the holder applied last, and HeldSeq
	// the Seq of the request that it answered. The lease is in force for
	// Remaining; it has expired if Remaining is zero.
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
	// Seq is the Seq of the answered request.
	Seq    uint64
	TTL    time.Duration
	Leases []Lease
}

// Lease is a share of one customer's limit, in force for the grant's TTL.
type Lease struct {
	Customer api.CustomerID
	Share
}

// ErrNoLease is the cause of a refusal by an entry that holds no lease for the
// customer. A request for a lease is due, and the caller may wait for the grant.
var ErrNoLease = errors.New("no lease of this customer's limit here")
