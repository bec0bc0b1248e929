// Package targetstate tracks what one instance knows of the condition of a target, and decides
// what the instance may send to it.
//
// Everything that a target says of itself, in announcements and in responses to any kind of
// request, and everything that the instance concludes from failures or learns from the control
// group, is part of one Status. Check is the decision for all of them. The package does no I/O,
// reads no clock and holds no global state. Times are compared by their monotonic clock reading
// if they have one, so that a step of the time of day ends no period early.
package targetstate

import (
	"time"

	"almondseam.dev/core/targetlimit"
)

// Status is what one instance knows of a target. The zero value is a target about which nothing
// is known. Methods that change it return the changed value.
type Status struct {
	// DrainingSince is when the instance learned that the target drains; zero if it does not.
	DrainingSince time.Time
	// BackoffUntil is until when the target accepts nothing from this instance.
	BackoffUntil time.Time
	// BackoffAskedAt is when a response that asked for a backoff was last received.
	BackoffAskedAt time.Time
	// RefusedUntil is until when the instance asks the control group for no grant for a request
	// to the target, because the group has refused one.
	RefusedUntil time.Time
	// ColdUntil is until when the target is cold, EvacuationEnded when the evacuation of its
	// availability zone ended; zero for never.
	ColdUntil       time.Time
	EvacuationEnded time.Time
	// AvoidUntil is until when the target is the last choice after Failures consecutive failures,
	// FullUntil until when it counts as full after it has refused a reservation.
	AvoidUntil time.Time
	Failures   int
	FullUntil  time.Time
	// Limit is the rate limit that the target states.
	Limit targetlimit.View
	// Fault is the judgement on the target's answers.
	Fault Fault
}

// Statement is what one response of a target states of the target.
type Statement struct {
	// Backoff is the time for which the target accepts nothing from this instance; zero if it
	// states none.
	Backoff time.Duration
	// Leaving is set if the target states that it is leaving.
	Leaving bool
	// Limit is what the response states of the rate limit, nil if that is unknown.
	Limit *targetlimit.Statement
}

const (
	// MaxBackoff is the longest time without requests that a target may ask for. The target's
	// next run is not bound by what this one asked for.
	MaxBackoff = time.Hour
	// backoffSpread is the fraction of a backoff by which it is extended at most, so that
	// instances that were asked at the same time do not return at the same time.
	backoffSpread = 0.1
	// maxBackoffSpread bounds that extension.
	maxBackoffSpread = time.Second
)

// Apply returns the status after a response that was received at the time now. spread, a random
// number uniform in [0,1), extends a backoff.
//
// A backoff is never shortened: responses overtake each other, and a target that accepts one
// request while it rejects others has not withdrawn what it asked for.
func (s Status) Apply(st Statement, now time.Time, spread float64) Status {
	if st.Backoff > 0 {
		d := min(st.Backoff, MaxBackoff)
		d += time.Duration(spread * float64(min(time.Duration(backoffSpread*float64(d)), maxBackoffSpread)))
		s.BackoffUntil, s.BackoffAskedAt = later(s.BackoffUntil, now.Add(d)), now
	}
	if st.Leaving {
		s = s.Drain(now)
	}
	if st.Limit != nil {
		return s.withLimit(s.Limit.ApplyStatement(*st.Limit))
	}
	return s
}

const (
	// RunOverlap is for how long before an instance learns of a target's next run that run may
	// already have answered in place of the one before. Announcements may be seconds late.
	RunOverlap = 5 * time.Second
	// maxInheritedBackoff bounds a backoff of which it is not known which run asked for it.
	maxInheritedBackoff = 10 * time.Second
)

// Inherit returns the status of a run that has taken the address of another one, of which the
// instance knows prev. Responses do not identify the run that made them, so a recent backoff may
// be the new run's.
func (s Status) Inherit(prev *Status, now time.Time) Status {
	if prev.BackoffAskedAt.IsZero() || now.Sub(prev.BackoffAskedAt) >= RunOverlap {
		return s
	}
	until := prev.BackoffUntil
	if longest := now.Add(maxInheritedBackoff); until.After(longest) {
		until = longest
	}
	s.BackoffUntil, s.BackoffAskedAt = later(s.BackoffUntil, until), later(s.BackoffAskedAt, prev.BackoffAskedAt)
	return s
}

// ApplyGroupLimit returns the status after a rate limit was received from the control group.
func (s Status) ApplyGroupLimit(k targetlimit.Known, now time.Time) Status {
	return s.withLimit(s.Limit.ApplyGroup(k, now))
}

// withLimit returns the status with another view of the rate limit. If that allows more, a grant
// that was refused under the stricter limit may be requested again.
func (s Status) withLimit(v targetlimit.View) Status {
	if s.Limit.Current.Stricter(v.Current.Limit) {
		s.RefusedUntil = time.Time{}
	}
	s.Limit = v
	return s
}

// Drain returns the status of a target that drains. It does not change the time at which the
// target began to.
func (s Status) Drain(now time.Time) Status {
	if s.DrainingSince.IsZero() {
		s.DrainingSince = now
	}
	return s
}

// Cool returns the status of a target that is cold until the given time. It never shortens an
// earlier period.
func (s Status) Cool(until time.Time) Status {
	s.ColdUntil = later(s.ColdUntil, until)
	return s
}

// EndEvacuation returns the status after the evacuation of the target's availability zone.
func (s Status) EndEvacuation(now time.Time) Status {
	s.EvacuationEnded = now
	return s
}

// Refuse returns the status after the control group has refused a grant for a request to the
// target.
func (s Status) Refuse(until time.Time) Status {
	s.RefusedUntil = until
	return s
}

// Fill returns the status of a target that has refused a reservation.
func (s Status) Fill(until time.Time) Status {
	s.FullUntil = until
	return s
}

const (
	// avoidMin is how long a target is avoided after its first failure. The time doubles with
	// each consecutive failure, up to avoidMax.
	avoidMin = 250 * time.Millisecond
	avoidMax = 4 * time.Second
	// avoidDoublings is the number of doublings from avoidMin to avoidMax.
	avoidDoublings = 4
)

// Fail returns the status after a failure of the target.
func (s Status) Fail(now time.Time) Status {
	s.AvoidUntil = now.Add(min(avoidMin<<min(s.Failures, avoidDoublings), avoidMax))
	s.Failures++
	return s
}

// Succeed returns the status after a request that the target answered, which ends the effect of
// earlier failures.
func (s Status) Succeed() Status {
	s.Failures, s.AvoidUntil = 0, time.Time{}
	s.Fault.LostUntil = time.Time{}
	return s
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
