package targetfault

import (
	"time"

	"almondseam.dev/core/api"
)

// Service holds one instance's judgement of the targets of one service at which a failure was
// seen.
type Service struct {
	log  failureLog
	runs map[Run]*state
}

// Input is what an instance knows of a target at which it or another instance has seen a failure.
type Input struct {
	Run Run
	// Answered is the number of the instance's own good answers since the target was first given
	// to Update, or Update last set Verdict.Begins, within Window.
	Answered int
	// Used is set if the instance has had an answer of the target within Window, good or failed,
	// and Failing if the last one was a failure.
	Used    bool
	Failing bool
	// LongFailed and LongAnswered are the instance's own answers within LongWindow.
	LongFailed   int
	LongAnswered int
	// Others is what the other instances report, and Before the number of those among them that
	// report a failure and come before this one in the order of the trials.
	Others Counts
	Before int
	// Rises holds a number for each of the other instances that report a failure. It grows, above
	// the numbers of all others, when the instance reports a further one.
	Rises []uint64
	// Running is the number of requests in progress, from all instances; Slots the number that the
	// target runs at once, zero if unknown.
	Running int
	Slots   int
}

// Verdict is what an instance concludes of a target.
type Verdict struct {
	// Report is what the instance reports to the others.
	Report Counts
	Phase  Phase
	// Changed is set if the phase has changed. Total is the evidence for the change.
	Changed bool
	Total   Counts
	// Since is when the phase began.
	Since time.Time
	// TrialAt is from when the instance may send a repeatable request as the trial, and OnceAt from
	// when any request; both only while the target is out.
	TrialAt, OnceAt time.Time
	// Begins is set at the first failure, after a time in which no instance has reported one. Good
	// answers are counted from then on: those before would hide a target that has just begun to
	// fail. They are not counted in this verdict.
	Begins bool
	// OthersAnswered is set if another instance has had a good answer since the last call.
	OthersAnswered bool
	// Held is set if new failures do not suffice to take the target out, but it gets no
	// at-most-once requests until it has answered.
	Held bool
	// Done is set if nothing is known of the target any longer.
	Done bool
}

// Fail counts a failure. The customer is that of the request, empty if unknown.
func (s *Service) Fail(run Run, customer api.CustomerID, now time.Time) {
	s.log.add(failure{run, customer, now})
	if st := s.runs[run]; st != nil && st.phase == Out {
		st.own.Failed = min(st.own.Failed+1, MaxCount)
	}
}

// Withdraw withdraws a failure that Fail has counted at the given time: its request has failed at
// another target as well, so that the request is probably the cause. What a target that is out has
// failed stays.
func (s *Service) Withdraw(run Run, customer api.CustomerID, at time.Time) {
	s.log.remove(failure{run, customer, at})
}

// Begin begins the judgement of a run that follows another one of its target. What the others
// report of the target by then, with the given rises (see Input), concerns the run before.
func (s *Service) Begin(run Run, others Counts, rises []uint64, now time.Time) {
	st := s.state(run, now)
	st.seen, st.rises = others, rises
	st.base = st.mark()
	st.recentBase, st.lastMark = st.base, st.base
}

// Forget forgets a run that has ended.
func (s *Service) Forget(run Run) {
	s.log.forget(run)
	delete(s.runs, run)
}

// Update judges the targets at which a failure was seen. rest sums up the other targets of the
// service that take new requests, instances is the number of instances and order the place of this
// one, from 0 on, in the order of the trials if no instance reports a failure.
func (s *Service) Update(list []Input, rest Rest, instances, order int, now time.Time) []Verdict {
	counted := s.ownFailures(list, rest, now)
	evidences := make([]evidence, len(list))
	verdicts := make([]Verdict, len(list))
	states := make([]*state, len(list))
	for i, in := range list {
		st, own := s.state(in.Run, now), Counts{Failed: counted[in.Run], Answered: min(in.Answered, MaxCount)}
		states[i] = st
		if st.begins(own, in.Others) {
			verdicts[i].Begins, own.Answered = true, 0
		}
		verdicts[i].Report = st.reports(own)
		fresh := st.observe(verdicts[i].Report.Add(in.Others), in.Rises, in.Slots, now)
		verdicts[i].OthersAnswered = fresh.Answered > 0
		verdicts[i].Held = fresh.Failed > 0
		st.rank = in.Before
		if verdicts[i].Report.Instances == 0 {
			st.rank += in.Others.Instances + order
		}
		evidences[i] = evidence{counts: st.evidence(), recent: st.recent(), silent: st.isSilent(now), phase: st.phase, ownFailed: in.LongFailed, ownAnswered: in.LongAnswered, running: in.Running, slots: in.Slots}
	}
	judge(evidences, rest, instances)
	for i, st := range states {
		verdicts[i].Held = verdicts[i].Held && !evidences[i].faulty && evidences[i].isHeld(instances)
		if verdicts[i].Held && st.heldAt.IsZero() {
			st.heldAt = now
		}
		s.conclude(&verdicts[i], list[i].Run, st, evidences[i].faulty, now)
	}
	return verdicts
}

// conclude completes a verdict with the target's next state.
func (s *Service) conclude(v *Verdict, run Run, st *state, faulty bool, now time.Time) {
	v.Total = st.evidence()
	v.Changed = st.step(faulty, now)
	if v.Changed && st.phase == Returning {
		s.log.forget(run) // what is reported from now on is of the target that answers again
	}
	v.Phase, v.Since = st.phase, st.since
	if st.phase == Out {
		v.TrialAt = st.trialAt()
		v.OnceAt = v.TrialAt.Add(Window)
	}
	relapse := st.interval > 0 && now.Sub(st.since) <= relapseTime
	if st.phase == Well && st.seen.Failed == 0 && st.seen.Instances == 0 && !relapse {
		v.Done = true
		s.Forget(run)
	}
}

// ownFailures returns the failures that the instance counts, by run.
func (s *Service) ownFailures(list []Input, rest Rest, now time.Time) map[Run]int {
	used, failing := rest.Used, 0
	for i := range list {
		in := &list[i]
		if st := s.runs[in.Run]; !in.Used || st != nil && st.phase == Out {
			continue
		}
		used++
		if in.Failing {
			failing++
		}
	}
	return s.log.counted(used, failing, now)
}

func (s *Service) state(run Run, now time.Time) *state {
	st := s.runs[run]
	if st == nil {
		if s.runs == nil {
			s.runs = make(map[Run]*state)
		}
		st = &state{since: now}
		s.runs[run] = st
	}
	return st
}
