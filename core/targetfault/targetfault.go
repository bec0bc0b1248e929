// Package targetfault decides which targets of a service are faulty, from the answers that all
// instances have lost or received there lately, when a faulty target is tried again, and how it
// returns.
//
// Load pattern: a target resets each connection, or answers each request with an error, while its
// health check succeeds. It looks idle, because it answers at once, and gets more than its share.
// If each of the instances goes by its own failures, each loses several answers, and tries the
// target again while others have just failed there.
//
// An instance counts its own failures in a Service, reports them to the others as Counts and gets
// back, for the sums of all instances, a Verdict for each target. There is no leader: all
// instances apply the same rules to nearly the same sums. The package does no I/O and reads no
// clock. Only Ring is safe for concurrent use.
package targetfault

import (
	"math"
	"slices"
	"time"

	"almondseam.dev/core/api"
)

const (
	// Window is the time for which a failure counts. It is longer than MaxTrialInterval, so that
	// the failure of one trial still counts at the next.
	Window = 3 * time.Second
	// MinTrialInterval is the time from the moment at which a target is taken out to the first
	// trial. Each failed trial doubles it, up to MaxTrialInterval.
	MinTrialInterval = 250 * time.Millisecond
	MaxTrialInterval = 2 * time.Second
	// ReturnStep is the time for which a returning target gets a quarter, and then half, of its
	// usual share. A failure in the time of a third step still counts against its return.
	ReturnStep = 500 * time.Millisecond

	// successionTime is the time without news of a trial after which the next instance sends one:
	// an instance that is gone no longer counts after that time (fleetload.Stale).
	successionTime = 2500 * time.Millisecond
	// relapseTime is the time after a return within which another fault of the target goes on
	// from the trial interval of the last one. It spares trials at a target that answers some
	// requests and fails others.
	relapseTime = 10 * time.Second
)

const (
	// minFailures and minInstances are the failures, and the instances that report them, without
	// which no target is taken out. One instance alone may be the cause itself.
	// Fewer failures are too often at one target by chance when requests fail everywhere.
	minFailures  = 5
	minInstances = 2
	// maxChance is the probability from which on the failures of a target may be chance. The
	// failures are judged again with each change, so it is far below that of a single test.
	maxChance = 1e-4
	// returnChance is the same for a target that returns and of which a fault is known.
	returnChance = 0.05
	// rateDeviations is the number of standard deviations that are added to the number of failures
	// of the other targets, and rateFloor the number of failures that is assumed in any case: both
	// the true rate may exceed the one seen, and no failure seen is not a rate of zero.
	rateDeviations = 3
	rateFloor      = 0.5
	// holdFailures is the number of failures from which on a target gets no at-most-once requests
	// until it has answered. It is two below minFailures, so that an instance which has missed a
	// report does not send the next one there. If there was no good answer for holdTime after them,
	// the target is faulty: a service without repeatable requests yields no further failures.
	holdFailures = 3
	holdTime     = 1500 * time.Millisecond
	// clearFailures is the number of failures, more than the good answers, from which on a target
	// is left out of the rate of the others.
	clearFailures = 5
	// separateAnswers is the number of good answers between two failures, as a minimum and as a
	// multiple of the slots, from which on the earlier failure has another cause: fewer may have
	// been in progress when the target began to fail.
	separateAnswers        = 16
	separateAnswersPerSlot = 2
	// queued is the number of requests in progress, as a multiple of the slots, that the remaining
	// targets can bear: as many that wait as run.
	queued = 2
	// MaxCount bounds the counts of one instance.
	MaxCount = 1 << 16
)

// Run is one run of a target, from its start to its end.
type Run struct {
	Target api.TargetID
	// Born is the target's start time. A target that has restarted is judged anew.
	Born int64
}

// Counts is what one or more instances have seen at a target within Window.
type Counts struct {
	// Failed is the number of answers that were lost or were errors of the target, Answered the
	// number of good answers in the same time.
	Failed   int
	Answered int
	// Instances is the number of instances that have seen a failure.
	Instances int
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{Failed: c.Failed + o.Failed, Answered: c.Answered + o.Answered, Instances: c.Instances + o.Instances}
}

// least returns the lesser of two counts, field by field.
func (c Counts) least(o Counts) Counts {
	return Counts{Failed: min(c.Failed, o.Failed), Answered: min(c.Answered, o.Answered), Instances: min(c.Instances, o.Instances)}
}

// above returns by how much c exceeds o, field by field.
func (c Counts) above(o Counts) Counts {
	return Counts{Failed: max(0, c.Failed-o.Failed), Answered: max(0, c.Answered-o.Answered), Instances: max(0, c.Instances-o.Instances)}
}

// Rest sums up the targets of a service at which no instance has seen a failure lately.
type Rest struct {
	Targets int
	// Failed and Answered are this instance's own answers there over a longer time (LongWindow).
	Failed   int
	Answered int
	// Used is the number of the targets from which this instance has had an answer within Window.
	Used int
	// Running is the number of requests in progress there, from all instances, and Slots the
	// number that they run at once. Unbounded is set if a target does not state that.
	Running   int
	Slots     int
	Unbounded bool
}

// evidence is what is known of one target at which a failure was seen.
type evidence struct {
	counts Counts
	// recent is the part of counts since there were many good answers in turn.
	recent Counts
	// silent is set if there was no answer for holdTime after the failures.
	silent bool
	phase  Phase
	// ownFailed and ownAnswered are this instance's own answers over LongWindow.
	ownFailed   int
	ownAnswered int
	running     int
	slots       int
	faulty      bool
}

// answers returns the failures and all answers of a target that count towards the rate of the
// others. Those of a target that is out do not.
func (e *evidence) answers() (failed, total int) {
	if e.phase == Out {
		return 0, 0
	}
	return max(e.counts.Failed, e.ownFailed), max(e.counts.Failed+e.counts.Answered, e.ownFailed+e.ownAnswered)
}

// isSound reports whether the failures of a target may be chance or have the cause of those of the
// others.
func (e *evidence) isSound() bool {
	return e.phase != Out && (e.counts.Failed < clearFailures || e.counts.Failed <= e.counts.Answered)
}

// rateMeanwhile returns a high estimate of the rate of failures of the given number of other
// targets since this one began to fail, if each has answered as often as this one. A cause that
// begins now, such as requests that fail everywhere, does not show in the rate of the others over
// a longer time, and its first failures may by chance be at one target.
func (e *evidence) rateMeanwhile(others, failed int) float64 {
	if e.phase != Well {
		return 0
	}
	return rate(failed, others*(e.counts.Failed+e.counts.Answered))
}

// isHeld reports whether a target that is not judged faulty gets no at-most-once requests until it
// has answered.
func (e *evidence) isHeld(instances int) bool {
	c := e.recent
	return e.phase == Well && c.Failed >= holdFailures && c.Failed > c.Answered && c.Instances >= min(minInstances, max(instances, 1))
}

// rate returns a high estimate of the rate of failures, given those seen.
func rate(failed, total int) float64 {
	high := float64(failed) + rateDeviations*math.Sqrt(float64(failed)) + rateFloor
	return min(1, high/float64(total+1))
}

// judge sets faulty for the targets that are not to be used, among those already out.
func judge(list []evidence, rest Rest, instances int) {
	allFailed, all := rest.Failed, rest.Failed+rest.Answered+rest.Running
	sound, soundFailed := rest.Targets, 0
	for i := range list {
		e := &list[i]
		f, n := e.answers()
		allFailed, all = allFailed+f, all+n
		if e.isSound() {
			sound++
			soundFailed += e.counts.Failed
		}
	}
	faulty := 0
	for i := range list {
		e := &list[i]
		f, n := e.answers()
		others, othersFailed := sound, soundFailed
		if e.isSound() {
			others--
			othersFailed -= e.counts.Failed
		}
		p := max(rate(allFailed-f, all-n), e.rateMeanwhile(others, othersFailed))
		e.faulty = e.phase == Out || e.fails(p, instances)
		if e.faulty {
			faulty++
		}
	}
	// If most of a service fails, the cause is not in its targets, and no other is left to use.
	if 2*faulty > rest.Targets+len(list) {
		for i := range list {
			list[i].faulty = false
		}
		return
	}
	keepRoom(list, rest)
}

// fails reports whether the failures of a target cannot be chance at the given rate.
func (e *evidence) fails(p float64, instances int) bool {
	c := e.counts
	if e.phase == Returning {
		return c.Failed > 0 && tail(c.Failed, c.Failed+c.Answered, p) < returnChance
	}
	if e.silent {
		return e.isHeld(instances)
	}
	return c.exceeds(p, instances) && e.recent.exceeds(p, instances)
}

// exceeds reports whether failures suffice to take a target out and cannot be chance at the given
// rate.
func (c Counts) exceeds(p float64, instances int) bool {
	if c.Failed < minFailures || c.Instances < min(minInstances, max(instances, 1)) {
		return false
	}
	// Good answers are counted from the first failure on, so that failure itself proves nothing.
	return tail(c.Failed-1, c.Failed-1+c.Answered, p) < maxChance
}

// keepRoom withdraws the judgement on targets, those with the most good answers first, until the
// remaining ones have room for all requests in progress, and at least one remains.
func keepRoom(list []evidence, rest Rest) {
	running, slots, unbounded, remaining := rest.Running, rest.Slots, rest.Unbounded, rest.Targets
	var out []*evidence
	for i := range list {
		e := &list[i]
		running += e.running
		if e.faulty {
			out = append(out, e)
			continue
		}
		remaining++
		slots += e.slots
		unbounded = unbounded || e.slots == 0
	}
	slices.SortStableFunc(out, func(a, b *evidence) int { return a.counts.Answered - b.counts.Answered })
	for len(out) > 0 && (remaining == 0 || !unbounded && running > queued*slots) {
		last := out[len(out)-1]
		out = out[:len(out)-1]
		last.faulty = false
		remaining++
		slots += last.slots
		unbounded = unbounded || last.slots == 0
	}
}

// tail returns the probability of at least hits among total events that each occur with
// probability p.
func tail(hits, total int, p float64) float64 {
	switch {
	case hits <= 0 || p >= 1 || float64(hits) <= p*float64(total):
		return 1 // near or above a half, and never below a threshold
	case p <= 0:
		return 0
	}
	n, _ := math.Lgamma(float64(total + 1))
	k, _ := math.Lgamma(float64(hits + 1))
	rest, _ := math.Lgamma(float64(total - hits + 1))
	term := math.Exp(n - k - rest + float64(hits)*math.Log(p) + float64(total-hits)*math.Log1p(-p))
	sum := 0.0
	for i := hits; i <= total && term > sum*1e-9; i++ {
		sum += term
		term *= p / (1 - p) * float64(total-i) / float64(i+1)
	}
	return sum
}
