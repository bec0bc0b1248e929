package targetstate

import (
	"time"

	"almondseam.dev/core/targetfault"
)

// Fault is the judgement on a target's answers, by this instance and with the others (see
// core/targetfault).
type Fault struct {
	// Out is set while the target is faulty, OutSince is when it was taken out of use.
	Out      bool
	OutSince time.Time
	// TrialAt is from when this instance may send a repeatable request as the trial, OnceAt from
	// when any request.
	TrialAt, OnceAt time.Time
	// TrialSince is when the trial in progress was begun; zero if there is none.
	TrialSince time.Time
	// ReturningSince is when the target began to return; zero if it does not.
	ReturningSince time.Time
	// LostUntil is until when requests that must not run twice are kept away, because this
	// instance has lost an answer; it ends earlier with the target's next answer.
	LostUntil time.Time
}

const (
	// lostTime is the longest time for which the target is kept free of requests that must not run
	// twice after a lost answer. Where all requests are of that kind, no other would ever show that
	// the target answers again.
	lostTime = targetfault.MaxTrialInterval
	// trialTime is the time after which a trial that was begun and has not ended is given up. It is
	// longer than the timeouts of routes usually are.
	trialTime = time.Minute
)

// IsHeld reports whether the target gets no requests that must not run twice, because an answer was
// lost.
func (f *Fault) IsHeld(now time.Time) bool { return !f.LostUntil.IsZero() && now.Before(f.LostUntil) }

// Share returns the part of its usual share that the target gets at present.
func (f *Fault) Share(now time.Time) float64 {
	if f.ReturningSince.IsZero() {
		return 1
	}
	return targetfault.Share(now.Sub(f.ReturningSince))
}

// Judge returns the status after a verdict.
func (s Status) Judge(v targetfault.Verdict) Status {
	f := s.Fault
	f = Fault{TrialSince: f.TrialSince, LostUntil: f.LostUntil}
	switch v.Phase {
	case targetfault.Out:
		f.Out, f.OutSince, f.TrialAt, f.OnceAt = true, v.Since, v.TrialAt, v.OnceAt
	case targetfault.Returning:
		f.ReturningSince, f.TrialSince = v.Since, time.Time{}
	case targetfault.Well:
		f.TrialSince = time.Time{}
	}
	s.Fault = f
	return s
}

// BeginTrial returns the status in which a trial is in progress, or false if none may be sent now.
// once is set for a request of which the answer would be lost with the trial.
func (s Status) BeginTrial(once bool, now time.Time) (Status, bool) {
	f := &s.Fault
	from := f.TrialAt
	if once {
		from = f.OnceAt
	}
	if !f.Out || now.Before(from) || !f.TrialSince.IsZero() && now.Sub(f.TrialSince) < trialTime {
		return s, false
	}
	f.TrialSince = now
	return s, true
}

// EndTrial returns the status after a trial, or after one that could not be sent.
func (s Status) EndTrial(now time.Time) Status {
	f := &s.Fault
	if f.TrialSince.IsZero() {
		return s
	}
	f.TrialSince = time.Time{}
	f.TrialAt = later(f.TrialAt, now.Add(targetfault.MinTrialInterval))
	f.OnceAt = later(f.OnceAt, f.TrialAt)
	return s
}

// Lose returns the status after an answer of the target was lost.
func (s Status) Lose(now time.Time) Status {
	s.Fault.LostUntil = later(now.Add(lostTime), s.AvoidUntil)
	return s
}

// OthersAnswered returns the status after the target has answered another instance. A target that
// this instance alone cannot reach, and so avoids, is tried again only when that time is over.
func (s Status) OthersAnswered(now time.Time) Status {
	if !s.IsAvoided(now) {
		s.Fault.LostUntil = time.Time{}
	}
	return s
}
