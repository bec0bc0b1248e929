package targetfault

import (
	"fmt"
	"slices"
	"time"
)

// Phase is how a target is used.
type Phase int

const (
	// Well: the target is used as usual.
	Well Phase = iota
	// Out: the target gets trials only.
	Out
	// Returning: the target gets a part of its usual share.
	Returning
)

// String returns the phase as it appears in logs.
func (p Phase) String() string {
	switch p {
	case Well:
		return "well"
	case Out:
		return "out"
	case Returning:
		return "returning"
	}
	return fmt.Sprintf("phase %d", int(p))
}

// state is one instance's view of one run of a target.
type state struct {
	phase Phase
	// since is when the phase began.
	since time.Time
	// seen is the sum of all instances at the last update, and base the least one since the phase
	// began: what is counted in it was seen before, or at a run before this one.
	seen Counts
	base mark
	// rises are those of the other instances at the last update (see Input), and ownRises the number
	// of times that this instance's own failures have grown.
	rises    []uint64
	ownRises uint64
	// goodRun is the number of good answers since the last failure, and recentBase the base of
	// the counts since it was last large.
	goodRun    int
	recentBase mark
	// lastMark is that of the last update.
	lastMark mark
	// heldAt is when at-most-once requests were first kept away, zero if there was a good answer
	// since.
	heldAt time.Time
	// own is what this instance reports of the target. While the target is out it does not fall,
	// so that an instance which starts meanwhile learns of the fault.
	own Counts
	// interval is the time to the next trial, from newsAt on: when the target was taken out or an
	// answer to a trial was last seen.
	interval time.Duration
	newsAt   time.Time
	// rank is the number of instances that send a trial before this one does.
	rank int
}

// mark is what was known of a target at some time, so that later failures can be told from earlier
// ones.
type mark struct {
	// counts is the least sum since then.
	counts Counts
	// rise is the highest of the other instances' rises, own the number of the instance's own.
	rise, own uint64
}

func (s *state) mark() mark {
	m := mark{counts: s.seen, own: s.ownRises}
	if len(s.rises) > 0 {
		m.rise = slices.Max(s.rises)
	}
	return m
}

// above returns the counts since a mark. An instance that has seen failures before it and after it
// counts.
func (s *state) above(m mark) Counts {
	c := s.seen.above(m.counts)
	c.Instances = 0
	for _, r := range s.rises {
		if r > m.rise {
			c.Instances++
		}
	}
	if s.own.Failed > 0 && s.ownRises > m.own {
		c.Instances++
	}
	return c
}

// begins reports whether a failure is the first one since the target was well and no instance
// reported one.
func (s *state) begins(own, others Counts) bool {
	return s.phase == Well && s.seen.Failed == 0 && own.Failed+others.Failed > 0
}

// reports returns what the instance reports, of its failures and good answers within Window. Good
// answers are left out while nobody reports a failure.
func (s *state) reports(c Counts) Counts {
	if s.phase == Out {
		c.Failed = max(c.Failed, s.own.Failed)
	}
	if s.phase == Well && c.Failed == 0 && s.seen.Failed == 0 {
		c.Answered = 0
	}
	if c.Failed > 0 {
		c.Instances = 1
	}
	if c.Failed > s.own.Failed {
		s.ownRises++
	}
	s.own = c
	return c
}

// observe records the sum of all instances, and returns what is new in it. Failures before many
// good answers in turn, and those after them, are no evidence of the same fault.
func (s *state) observe(sum Counts, rises []uint64, slots int, now time.Time) Counts {
	fresh := sum.above(s.seen)
	if fresh.Failed == 0 {
		s.goodRun += fresh.Answered
	} else {
		if s.phase == Well && s.goodRun >= max(separateAnswers, separateAnswersPerSlot*slots) {
			s.recentBase = s.lastMark
		}
		s.goodRun = 0
	}
	if fresh.Answered > 0 {
		s.heldAt = time.Time{}
	}
	s.seen, s.rises = sum, rises
	s.base.counts, s.recentBase.counts = s.base.counts.least(sum), s.recentBase.counts.least(sum)
	s.lastMark = s.mark()
	if s.phase == Out && fresh.Failed > 0 {
		if now.Sub(s.since) >= MinTrialInterval { // earlier ones were in progress when it was taken out
			s.interval = min(2*s.interval, MaxTrialInterval)
		}
		s.newsAt = now
	}
	return fresh
}

// evidence returns the counts since the phase began.
func (s *state) evidence() Counts { return s.above(s.base) }

// recent returns the counts since there were many good answers in turn.
func (s *state) recent() Counts { return s.above(s.recentBase) }

// isSilent reports whether at-most-once requests were kept away for holdTime without a good answer.
func (s *state) isSilent(now time.Time) bool {
	return s.phase == Well && !s.heldAt.IsZero() && now.Sub(s.heldAt) >= holdTime
}

// step applies the judgement and reports whether the phase has changed.
func (s *state) step(faulty bool, now time.Time) bool {
	switch s.phase {
	case Well:
		if faulty {
			if s.interval == 0 || now.Sub(s.since) > relapseTime {
				s.interval = MinTrialInterval
			} else {
				s.interval = min(2*s.interval, MaxTrialInterval)
			}
			return s.enter(Out, now)
		}
	case Out:
		if !faulty {
			return s.enter(Well, now)
		}
		if s.evidence().Answered > 0 {
			return s.enter(Returning, now)
		}
	case Returning:
		if faulty {
			s.interval = min(2*s.interval, MaxTrialInterval)
			return s.enter(Out, now)
		}
		if now.Sub(s.since) >= 3*ReturnStep {
			return s.enter(Well, now)
		}
	}
	return false
}

func (s *state) enter(p Phase, now time.Time) bool {
	s.phase, s.since, s.newsAt = p, now, now
	s.base = s.mark()
	s.recentBase = s.base
	s.goodRun, s.heldAt = 0, time.Time{}
	return true
}

// trialAt returns when this instance may send a trial.
//
// The instances that report failures take their turns in one order, which all of them know: each
// waits for news of a trial for successionTime longer than the one before it.
func (s *state) trialAt() time.Time {
	return s.newsAt.Add(s.interval + time.Duration(s.rank)*successionTime)
}

// Share returns the part of its usual share that a target gets which has been returning for the
// given time.
func Share(returning time.Duration) float64 {
	switch {
	case returning < ReturnStep:
		return 0.25
	case returning < 2*ReturnStep:
		return 0.5
	}
	return 1
}
