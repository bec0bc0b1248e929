// Package retrybudget bounds how many requests all entries together send to a further
// target in any window: a share of a service's requests, and so many more. Out of the same
// pool it bounds how many they send to one target that is cold, and at what pace to one that
// names a limit.
//
// An entry pays a retry from its Own part, which follows from the requests that it has
// sent itself, or from the Pool, which the control group keeps as a part of its
// replicated state and hands out one retry at a time. The sum holds without any
// knowledge of how many entries there are: both parts are counted where they are
// granted. Nothing here sends or waits, and no type is safe for concurrent use.
package retrybudget

import (
	"time"

	"almondseam.dev/core/api"
)

// Limits of the whole fleet for one service.
type Limits struct {
	// Ratio is the share of a service's requests that may be retried.
	Ratio float64 `cbor:"1,keyasint,omitempty"`
	// Slack is how many retries are allowed in a window besides.
	Slack float64 `cbor:"2,keyasint,omitempty"`
	// Window is the span over which both are counted.
	Window time.Duration `cbor:"3,keyasint,omitempty"`
}

const (
	// LeaseTime is how long a granted retry may be used, counted by the entry from
	// when it asked.
	LeaseTime = 500 * time.Millisecond
	// sendTime bounds how long after the use of a lease the request reaches its target:
	// the time in which a connection is opened.
	sendTime = 400 * time.Millisecond
	// driftShare is the part by which the clocks of two processes may differ.
	driftShare = 0.01
)

// hold is how long a grant counts against a window. It covers the window itself and
// the time from the grant until the request arrives, so that retries that arrive in
// one window are counted at the same time.
func (l Limits) hold() time.Duration {
	return time.Duration(float64(l.Window+LeaseTime+sendTime) * (1 + driftShare))
}

// Purpose says what a retry is for.
type Purpose uint8

// The purposes.
const (
	// PurposeResume continues a run whose caller has been given a part of its answer.
	PurposeResume Purpose = iota + 1
	// PurposeRetry repeats a request of which its caller has nothing yet.
	PurposeRetry
	// PurposeColdStart sends a request, the first time or again, to a target that is cold.
	PurposeColdStart
	// PurposeLimited sends a request, the first time or again, to a target that names a limit.
	PurposeLimited
)

// PaceLimits are the limits of a target that names a limit: its pace bounds the grants, and
// they are remembered for a while.
func PaceLimits() Limits { return Limits{Window: replay} }

// ColdWindow is the span over which requests to a cold target are counted.
const ColdWindow = time.Second

// ColdLimits are the limits of a cold target that bears so many requests a second; at least
// one in a window is allowed.
func ColdLimits(rate float64) Limits {
	return Limits{Slack: max(rate, 1), Window: ColdWindow}
}

// resumeShare is the part of the slack that only PurposeResume may use. A request that
// is not retried can be refused, and its caller comes back; a stream that is not
// continued is lost with all that its caller has read.
const resumeShare = 0.25

// Lease is the right to send one retry.
type Lease struct {
	asked time.Time
}

// NewLease gives the lease of a grant that was asked for at a time.
func NewLease(asked time.Time) Lease { return Lease{asked: asked} }

// Valid tells whether the lease may still be used. It goes by the steady clock and by
// the time of day: the steady clock stands still while a machine is suspended.
func (l Lease) Valid(now time.Time) bool {
	return within(l.asked, now, LeaseTime)
}

// within tells whether less than limit has passed, by both clocks.
func within(from, now time.Time, limit time.Duration) bool {
	return bothWithin(now.Sub(from), now.Round(0).Sub(from.Round(0)), limit)
}

func bothWithin(steady, wall, limit time.Duration) bool {
	return steady >= 0 && steady < limit && wall >= 0 && wall < limit
}

// Ask asks the pool for one retry, or returns one that was not sent.
type Ask struct {
	// ID names the ask; asked again, it gets its first answer.
	ID      string        `cbor:"1,keyasint"`
	Service api.ServiceID `cbor:"2,keyasint"`
	Purpose Purpose       `cbor:"3,keyasint"`
	// Target is the target of PurposeColdStart and PurposeLimited, and Rate how many requests a
	// second it bears by the configuration, or takes by its own word; both are empty with other
	// purposes.
	Target api.TargetID `cbor:"6,keyasint,omitempty"`
	Rate   float64      `cbor:"7,keyasint,omitempty"`
	// Return gives the retry of an earlier ask back.
	Return bool `cbor:"4,keyasint,omitempty"`
	// Limits are those of the member that proposes the ask, whatever the asker says.
	Limits Limits `cbor:"5,keyasint"`
}

// LimitsOf gives the limits that the ask goes by, of which fleet are those of retries.
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
	// Reason says why not.
	Reason api.Reason `cbor:"2,keyasint,omitempty"`
	// Used counts the retries of the service that are granted, Allowed is how many may
	// be for this purpose.
	Used    int     `cbor:"3,keyasint,omitempty"`
	Allowed float64 `cbor:"4,keyasint,omitempty"`
	// RetryAfter tells when one becomes free, zero where that is unknown.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
}
