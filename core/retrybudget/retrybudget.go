// Package retrybudget bounds how many retries all entries together send in any window: a
// ratio of the service's requests plus a fixed slack. A retry is a request sent again, to
// another target. The same pool also bounds how many requests the entries together send to
// a cold target, and at what rate they send to a target that states a limit.
//
// An entry takes a retry from its LocalBudget, which allows a ratio of the requests that the
// entry has sent itself, or from the Pool, which the control group holds in its replicated state
// and which grants one retry at a time. The bound holds for any number of entries, because each
// part is counted where it is granted. The package does no I/O and never blocks, and no type
// is safe for concurrent use.
package retrybudget

import (
	"time"

	"almondseam.dev/core/api"
)

// Limits are the limits of the whole fleet for the retries of one service, or for the requests
// to one target (see ColdLimits and PaceLimits).
type Limits struct {
	// Ratio is the number of retries allowed per request of the service.
	Ratio float64 `cbor:"1,keyasint,omitempty"`
	// Slack is the number of retries allowed in a window in addition.
	Slack float64 `cbor:"2,keyasint,omitempty"`
	// Window is the time over which requests and retries are counted.
	Window time.Duration `cbor:"3,keyasint,omitempty"`
}

const (
	// LeaseTime is how long a granted retry may be used. The entry counts it from when
	// it asked for the grant.
	LeaseTime = 500 * time.Millisecond
	// sendTime bounds the time from the use of a lease until the request reaches its
	// target, which includes opening a connection.
	sendTime = 400 * time.Millisecond
	// driftShare is the fraction by which the clock rates of two processes may differ.
	driftShare = 0.01
)

// holdTime returns how long a grant counts against the limits. It covers the window and the
// time from the grant until the request arrives, so that all retries that arrive within one
// window are counted at the same time.
func (l Limits) holdTime() time.Duration {
	return time.Duration(float64(l.Window+LeaseTime+sendTime) * (1 + driftShare))
}

// Purpose is the purpose for which a grant is requested.
type Purpose uint8

// The purposes.
const (
	// PurposeResume continues a request whose caller has already received part of the answer.
	PurposeResume Purpose = iota + 1
	// PurposeRetry repeats a request whose caller has received nothing yet.
	PurposeRetry
	// PurposeColdStart sends a request, or sends one again, to a cold target.
	PurposeColdStart
	// PurposeLimited sends a request, or sends one again, to a target that states a limit.
	PurposeLimited
)

// PaceLimits returns the limits for PurposeLimited. They only set how long grants are
// remembered; the grants are bounded by the target's rate.
func PaceLimits() Limits { return Limits{Window: paceWindow} }

// ColdWindow is the time over which requests to a cold target are counted.
const ColdWindow = time.Second

// ColdLimits returns the limits of a cold target that can take rate requests per second. At
// least one request per window is allowed.
func ColdLimits(rate float64) Limits {
	return Limits{Slack: max(rate, 1), Window: ColdWindow}
}

// resumeShare is the fraction of the slack that PurposeRetry may not use. A request that is
// not retried can be refused, and its caller can send it again; a stream that is not resumed
// is lost, including everything that its caller has already read.
const resumeShare = 0.25

// Lease is the right to send one retry.
type Lease struct {
	asked time.Time
}

// NewLease returns the lease of a grant; asked is when the entry asked for it.
func NewLease(asked time.Time) Lease { return Lease{asked: asked} }

// Valid reports whether the lease may still be used. It checks both the monotonic clock and
// the wall clock, because the monotonic clock stops while a machine is suspended.
func (l Lease) Valid(now time.Time) bool {
	return within(l.asked, now, LeaseTime)
}

// within reports whether less than limit has passed since from by both the monotonic and the
// wall clock, neither of them negative.
func within(from, now time.Time, limit time.Duration) bool {
	return bothWithin(now.Sub(from), now.Round(0).Sub(from.Round(0)), limit)
}

func bothWithin(monotonic, wall, limit time.Duration) bool {
	return monotonic >= 0 && monotonic < limit && wall >= 0 && wall < limit
}

// Ask is a request to the pool for one grant, or the return of a grant that was not used.
type Ask struct {
	// ID identifies the ask. An ask that is repeated after it was granted gets the same grant,
	// not another one.
	ID      string        `cbor:"1,keyasint"`
	Service api.ServiceID `cbor:"2,keyasint"`
	Purpose Purpose       `cbor:"3,keyasint"`
	// Target and Rate are set only for PurposeColdStart and PurposeLimited. Rate is the
	// number of requests per second that the target can take, by the configuration for
	// PurposeColdStart and by the target's own statement for PurposeLimited.
	Target api.TargetID `cbor:"6,keyasint,omitempty"`
	Rate   float64      `cbor:"7,keyasint,omitempty"`
	// Return returns the grant of the earlier ask with the same ID.
	Return bool `cbor:"4,keyasint,omitempty"`
	// Limits are set by the control group member that proposes the ask, whatever the entry
	// has sent.
	Limits Limits `cbor:"5,keyasint"`
}

// LimitsOf returns the limits that apply to the ask; fleet holds the limits for retries.
func (a *Ask) LimitsOf(fleet Limits) Limits {
	switch a.Purpose {
	case PurposeColdStart:
		return ColdLimits(a.Rate)
	case PurposeLimited:
		return PaceLimits()
	}
	return fleet
}

// Answer is the pool's decision.
type Answer struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// Reason is why the grant was refused.
	Reason api.Reason `cbor:"2,keyasint,omitempty"`
	// Used is the number of grants in force for the service or the target, and Allowed the
	// number allowed for the purpose, or the rate in requests per second for
	// PurposeLimited. In the answer to a repeated ask, Used is zero, and so is Allowed for
	// PurposeLimited.
	Used    int     `cbor:"3,keyasint,omitempty"`
	Allowed float64 `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the time until a grant becomes free, zero if unknown.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
}
