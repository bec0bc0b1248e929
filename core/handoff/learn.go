package handoff

import (
	"slices"
	"time"
)

// recentObservations is the number of recent observations by which notices and rates are
// estimated. It covers a few waves of reclaimed engines, so that a change is followed soon.
const recentObservations = 16

// ring holds the last observations of one kind.
type ring struct {
	values [recentObservations]float64
	count  int
	next   int
}

func (r *ring) add(v float64) {
	r.values[r.next] = v
	r.next = (r.next + 1) % recentObservations
	r.count = min(r.count+1, recentObservations)
}

// low returns the observation below which the given fraction of the others lies. There must be
// one.
func (r *ring) low(fraction float64) float64 {
	sorted := r.values
	list := sorted[:r.count]
	slices.Sort(list)
	return list[int(fraction*float64(r.count))]
}

const (
	// noticeLowEnd is the fraction of the recent notices that may be shorter than the one that
	// migrations rely on. A single engine that fails while it drains must not shorten the
	// notice of all others.
	noticeLowEnd = 0.125
	// stopMargin is the part of a notice that stopping the last run and continuing it elsewhere
	// take.
	stopMargin = 200 * time.Millisecond
	// minNotice and maxNotice bound what is learnt. With a shorter notice not even a small run
	// can be copied; engines that stay far longer than this after they have announced that they
	// drain say nothing about those that leave.
	minNotice = 100 * time.Millisecond
	maxNotice = 20 * time.Second
)

// NoticeEstimator learns how long engines work after they have announced that they drain. The
// zero value has seen none. It is not safe for concurrent use.
type NoticeEstimator struct {
	seen ring
}

// Ended records that an engine ended the given time after it announced its drain.
func (e *NoticeEstimator) Ended(after time.Duration) {
	if after > 0 {
		e.seen.add(float64(min(after, maxNotice)))
	}
}

// Lasted records that an engine still worked the given time after it announced its drain, and
// that nothing was seen of it afterwards. It is recorded only if that is longer than what
// migrations rely on.
func (e *NoticeEstimator) Lasted(atLeast time.Duration) {
	if atLeast > e.Notice()+stopMargin {
		e.Ended(atLeast)
	}
}

// Notice returns how long migrations may rely on an engine that drains: the lower end of the
// recent notices, less the time to stop the last run. Until one has been seen it is the constant
// Notice.
func (e *NoticeEstimator) Notice() time.Duration {
	if e.seen.count == 0 {
		return Notice
	}
	return max(time.Duration(e.seen.low(noticeLowEnd))-stopMargin, minNotice)
}

// rateLowEnd is the fraction of the recent copies that may be slower than the estimated rate: a
// run whose turn comes too early delays the last copies of the runs ahead of it, and one whose
// turn comes too late starts earlier by the reports.
const rateLowEnd = 0.25

// farShare is the prior of the rate between availability zones, as a fraction of the rate within
// one.
const farShare = 0.5

// CopyRates learns the rate of whole copies of runs, in tokens a second, by whether the two
// engines are in the same availability zone. The zero value has seen none. It is not safe for
// concurrent use.
type CopyRates struct {
	near, far ring
}

// Observe records a copy.
func (r *CopyRates) Observe(tokens int, took time.Duration, sameZone bool) {
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	if sameZone {
		r.near.add(rate)
	} else {
		r.far.add(rate)
	}
}

// Rate returns the rate on which a copy can rely. configured is the rate of the engines' links
// by the configuration, zero if unknown; it applies until a copy has been seen.
func (r *CopyRates) Rate(configured float64, sameZone bool) float64 {
	switch {
	case sameZone && r.near.count > 0:
		return r.near.low(rateLowEnd)
	case !sameZone && r.far.count > 0:
		return r.far.low(rateLowEnd)
	case sameZone:
		return configured
	case r.near.count > 0:
		return farShare * r.near.low(rateLowEnd)
	}
	return farShare * configured
}
