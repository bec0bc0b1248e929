package main

import (
	"context"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
)

// The guaranteed bounds on a target that fails requests while it announces itself as ready.
const (
	// faultLosses is the number of failures in the whole fleet after which no at-most-once call is
	// sent to the target any longer, and faultLatitude the time that the news of them may take.
	faultLosses   = 5
	faultLatitude = 500 * time.Millisecond
	// lossInterval is the time within which an entry that loses answers at a target by itself sends
	// it one at-most-once call, and lossSlack the number of calls beyond that, which were in
	// progress at the first loss.
	lossInterval = 2 * time.Second
	lossSlack    = 3
	// othersSettleTime is the time after which other entries must still use a target that fails the
	// requests of one entry.
	othersSettleTime = time.Second
	// faultReturnTime is the time after the end of a fault within which the target is used again.
	faultReturnTime = 5 * time.Second
)

const (
	serviceFaulty = api.ServiceID("app-f")
	// faultyTargets is the number of targets of serviceFaulty. None of them is replaced or
	// evacuated.
	faultyTargets = 3
	// meanFaultyPause is the mean pause after faultReturnTime before the next target fails.
	meanFaultyPause = time.Second
	// minFaultyTime and maxFaultyTime bound how long it does.
	minFaultyTime = 2 * time.Second
	maxFaultyTime = 4 * time.Second
)

// faultyKinds are the kinds of requests to the targets that fail.
var faultyKinds = []requestKind{
	{path: "/probe/x", services: []api.ServiceID{serviceFaulty}},
	{path: "/charge/x", atMostOnce: true, services: []api.ServiceID{serviceFaulty}},
}

// failRequests makes one random target after another fail requests: those of all entries, or of one
// of them. It continues during faults until phase ends.
func failRequests(phase context.Context, slots []*targetSlot, entries []string, check *checker, rng *rand.Rand) {
	for phase.Err() == nil {
		sleep(phase, time.Duration(rng.ExpFloat64()*float64(meanFaultyPause)))
		entry := ""
		if rng.IntN(3) == 0 {
			entry = entries[rng.IntN(len(entries))]
		}
		kind := []standin.Failure{standin.FailReset, standin.FailError}[rng.IntN(2)]
		duration := minFaultyTime + time.Duration(rng.Int64N(int64(maxFaultyTime-minFaultyTime)))
		if kind == standin.FailReset && duration.Microseconds()%2 == 0 {
			kind = standin.FailEndless // without a draw, so that a seed's other faults stay
		}
		if entry != "" {
			duration = maxFaultyTime // long enough to see whether the others go on
		}
		_, id := slots[rng.IntN(len(slots))].running()
		check.Failing(id, kind, entry)
		sleep(phase, duration)
		check.Recovered()
		sleep(phase, faultReturnTime)
	}
}

// faults holds the periods in which targets fail requests, one at a time. The checker's mutex
// guards it.
type faults struct {
	periods []faultPeriod
	// checked counts the periods that were checked, lostOnce the at-most-once calls that failed in
	// any.
	checked, lostOnce int
}

// faultPeriod is a period in which a target fails the requests of one entry, or of all if entry is
// empty. to is zero until it ends.
type faultPeriod struct {
	target   api.TargetID
	kind     standin.Failure
	entry    string
	from, to time.Time
	// calm is set if the fleet was calm from the beginning to the end.
	calm     bool
	failures []faultFailure
	// others counts the calls of other entries that the target served before and after
	// othersSettleTime.
	others [2]int
	// after is set if a call reached the target after the period.
	after bool
}

// faultFailure is a request that a target failed.
type faultFailure struct {
	at, sent time.Time
	entry    string
	once     bool
}

// failingAt reports whether a target failed requests at the given time, or did so less than
// faultReturnTime before it.
func (f *faults) failingAt(at time.Time) bool {
	for _, p := range f.periods {
		if !at.Before(p.from.Add(-callerTimeout)) && (p.to.IsZero() || at.Before(p.to.Add(faultReturnTime))) {
			return true
		}
	}
	return false
}

// Failing records that a target fails requests from now on.
func (k *checker) Failing(t api.TargetID, kind standin.Failure, entry string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.faults.periods = append(k.faults.periods, faultPeriod{target: t, kind: kind, entry: entry, from: now, calm: k.calmAt(now)})
}

// Recovered records that the target fails no requests any longer.
func (k *checker) Recovered() {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := &k.faults.periods[len(k.faults.periods)-1]
	p.to = time.Now()
	p.calm = p.calm && k.calmAt(p.to)
}

// Fails decides how a target fails a run, and records it.
func (k *checker) Fails(r standin.Run) standin.Failure {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.calls[r.Request]
	if len(k.faults.periods) == 0 || c == nil {
		return standin.FailNone
	}
	p := &k.faults.periods[len(k.faults.periods)-1]
	if p.target != r.Target {
		return standin.FailNone
	}
	if !p.to.IsZero() {
		p.after = true
		return standin.FailNone
	}
	if p.entry != "" && p.entry != c.entry {
		part := 0
		if r.Began.Sub(p.from) > othersSettleTime {
			part = 1
		}
		p.others[part]++
		return standin.FailNone
	}
	p.failures = append(p.failures, faultFailure{at: time.Now(), sent: c.sent, entry: c.entry, once: c.kind.atMostOnce})
	if c.kind.atMostOnce {
		k.faults.lostOnce++
	}
	return p.kind
}

// checkFaults checks how many at-most-once calls each faulty target has lost, that no other entry
// ceases to use a target that fails one entry, and that it is used again afterwards. The caller must
// hold k.mu.
func (k *checker) checkFaults() {
	for i := range k.faults.periods {
		p := &k.faults.periods[i]
		if p.to.IsZero() {
			continue
		}
		k.checkLossesByEntry(p)
		if !p.calm {
			continue
		}
		k.faults.checked++
		switch {
		case p.entry == "":
			k.checkLosses(p)
		case p.to.Sub(p.from) >= maxFaultyTime && p.others[0] > 0 && p.others[1] == 0: // not cut short by the end of the run
			k.recordViolation("%s failed requests of %s from %s on and got none of other entries any longer", p.target, p.entry, p.from.Format("15:04:05.000"))
		}
		if !p.after && len(p.failures) > 0 && k.calmAt(p.to.Add(faultReturnTime)) && time.Since(p.to) > faultReturnTime {
			k.recordViolation("%s fails nothing from %s on and got no call in %v", p.target, p.to.Format("15:04:05.000"), faultReturnTime)
		}
	}
}

// checkLosses checks that no at-most-once call was sent to the target once the whole fleet knew of
// its failures.
func (k *checker) checkLosses(p *faultPeriod) {
	if len(p.failures) < faultLosses {
		return
	}
	known := p.failures[faultLosses-1].at.Add(faultLatitude)
	late := 0
	for _, f := range p.failures {
		if f.once && f.sent.After(known) {
			late++
		}
	}
	if late > 0 {
		k.recordViolation("%s got %d at-most-once calls sent later than %v after its fifth failure at %s", p.target, late, faultLatitude, p.failures[faultLosses-1].at.Format("15:04:05.000"))
	}
}

// checkLossesByEntry checks, also while the entries do not hear of each other, how many at-most-once
// calls each of them has lost at a target that gives no answer.
func (k *checker) checkLossesByEntry(p *faultPeriod) {
	if p.kind == standin.FailError {
		return
	}
	lost := make(map[string]int)
	for _, f := range p.failures {
		if f.once {
			lost[f.entry]++
		}
	}
	allowed := 1 + lossSlack + int(p.to.Sub(p.from)/lossInterval)
	for entry, n := range lost {
		if n > allowed && !k.excused(link{entry, p.target}, p.from, p.to) {
			k.recordViolation("%s lost %d at-most-once calls of %s in %v", p.target, n, entry, p.to.Sub(p.from))
		}
	}
}
