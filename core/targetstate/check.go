package targetstate

import (
	"fmt"
	"time"
)

// Use is what an instance wants to send to a target.
type Use int

const (
	// UseNew is a request that the target has not begun, or a reservation for one.
	UseNew Use = iota
	// UseHeld is a request or call about a run of which the target holds the memory.
	UseHeld
	// UseOnce is a request like UseNew that must not run twice.
	UseOnce
	// UseLast is a request like UseOnce where the instance has lost an answer at each target.
	UseLast
	// UseTrial is the request that finds out whether a faulty target answers again.
	UseTrial
)

// IsNew reports whether the target has not begun what is to be sent.
func (u Use) IsNew() bool { return u != UseHeld }

// Obstacle is why nothing may be sent to a target.
type Obstacle int

const (
	// None: it may be sent.
	None Obstacle = iota
	// Draining: the target takes no new requests.
	Draining
	// Backoff: the target accepts nothing from this instance at present.
	Backoff
	// Faulty: the target is judged faulty and gets trials only.
	Faulty
	// Lost: the instance has lost an answer of the target and sends it no request that must not
	// run twice.
	Lost
)

// String returns the obstacle as it appears in logs.
func (o Obstacle) String() string {
	switch o {
	case Draining:
		return "the target is draining"
	case Backoff:
		return "the target asked for no requests"
	case Faulty:
		return "the target is faulty"
	case Lost:
		return "the target's last answer was lost"
	case None:
		return "none"
	}
	return fmt.Sprintf("obstacle %d", int(o))
}

// Check decides whether something may be sent to the target at the time now. It applies to
// everything that is sent, and must be made again immediately before the first byte: what was
// decided earlier may have waited for a permit, for room or for a connection.
//
// A backoff applies to every use, because the target counts calls as requests.
func (s *Status) Check(use Use, now time.Time) Obstacle {
	switch {
	case now.Before(s.BackoffUntil):
		return Backoff
	case use == UseHeld:
		return None
	case s.IsDraining():
		return Draining
	case s.Fault.Out && use != UseTrial:
		return Faulty
	case use == UseOnce && s.Fault.IsHeld(now):
		return Lost
	}
	return None
}

// UnavailableFor returns how long the target takes no new request for reasons that end by
// themselves: a backoff, or a grant that was refused. It returns zero if there is none.
func (s *Status) UnavailableFor(now time.Time) time.Duration {
	return max(0, later(s.BackoffUntil, s.RefusedUntil).Sub(now))
}

// IsDraining reports whether the target takes no new requests until its end.
func (s *Status) IsDraining() bool { return !s.DrainingSince.IsZero() }

// IsCold reports whether the target is cold, or must be treated as cold because the evacuation of
// its availability zone ended less than coldFor ago: it may have been restarted meanwhile, and its
// next announcement is up to a second away.
func (s *Status) IsCold(now time.Time, coldFor time.Duration) bool {
	if now.Before(s.ColdUntil) {
		return true
	}
	return !s.EvacuationEnded.IsZero() && now.Sub(s.EvacuationEnded) < coldFor
}

// IsAvoided reports whether the target is the last choice after failures.
func (s *Status) IsAvoided(now time.Time) bool { return now.Before(s.AvoidUntil) }

// IsFull reports whether the target has recently refused a reservation.
func (s *Status) IsFull(now time.Time) bool { return now.Before(s.FullUntil) }

// IsRefused reports whether the control group has recently refused a grant for a request to the
// target.
func (s *Status) IsRefused(now time.Time) bool { return now.Before(s.RefusedUntil) }
