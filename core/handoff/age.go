package handoff

import (
	"math"
	"time"
)

const (
	// ageBins is the number of ranges of age. The first one ends at firstAge, each further one
	// at the square root of two times the one before; the last one has no end.
	ageBins  = 25
	firstAge = time.Second
	// maxLeft bounds the departures that are counted; when it is reached all counts are halved,
	// so that recent ones weigh more.
	maxLeft = 512
)

// An age counts as one at which engines are much more likely to leave if at least minLeft of
// them left at it, ageRatio times as many as at the mean rate, and so many more than chance
// explains: ageDeviations standard deviations of a Poisson distribution. The test is made for
// each age once a second, so that chance must be excluded with certainty.
const (
	minLeft       = 8
	ageRatio      = 2
	ageDeviations = 5
)

// ageEnds holds the end of each range of age in seconds.
var ageEnds = func() (ends [ageBins]float64) {
	for b := range ends {
		ends[b] = firstAge.Seconds() * math.Pow(2, float64(b)/2)
	}
	ends[ageBins-1] = math.Inf(1)
	return ends
}()

// AgeEstimator learns at which ages engines announce that they leave. The zero value has seen
// none. It is not safe for concurrent use.
type AgeEstimator struct {
	ages   ageCounts
	leaves float64
}

// ageCounts holds, by range of age, the time that engines spent in it, in seconds, and the number
// of them that left in it.
type ageCounts struct {
	time, left [ageBins]float64
}

// lived adds the time that an engine spent in each range, and returns the last one.
func (c *ageCounts) lived(age time.Duration) int {
	seconds, from := max(age, 0).Seconds(), 0.0
	for b, end := range ageEnds {
		c.time[b] += min(seconds, end) - from
		if seconds <= end {
			return b
		}
		from = end
	}
	return ageBins - 1
}

// Left records that an engine left at an age.
func (e *AgeEstimator) Left(age time.Duration) {
	e.ages.left[e.ages.lived(age)]++
	if e.leaves++; e.leaves < maxLeft {
		return
	}
	e.leaves /= 2
	for b := range ageBins {
		e.ages.time[b] /= 2
		e.ages.left[b] /= 2
	}
}

// Ages returns how the departures of engines depend on their age, given the ages of those that
// have not left; nil if they do not.
func (e *AgeEstimator) Ages(alive []time.Duration) *Ages {
	if e.leaves < minLeft {
		return nil
	}
	c := e.ages
	for _, age := range alive {
		c.lived(age)
	}
	total := 0.0
	for _, t := range c.time {
		total += t
	}
	mean := e.leaves / total
	var high [ageBins]bool
	restTime, restLeft, any := 0.0, 0.0, false
	for b := range ageBins {
		expected := mean * c.time[b]
		high[b] = c.left[b] >= minLeft && c.left[b] > ageRatio*expected && c.left[b] > expected+ageDeviations*math.Sqrt(expected)
		any = any || high[b]
		if !high[b] {
			restTime += c.time[b]
			restLeft += c.left[b]
		}
	}
	if !any {
		return nil
	}
	var a Ages
	for b := range ageBins {
		switch {
		case high[b]:
			a.rate[b] = c.left[b] / c.time[b]
		case restTime > 0:
			a.rate[b] = restLeft / restTime
		}
	}
	return &a
}

// Ages is how likely engines are to leave at each age. It is immutable.
type Ages struct {
	// rate is the number of departures a second in each range of age.
	rate [ageBins]float64
}

// LeavesWithin returns the probability that an engine of the given age leaves within the time d.
//
// Load pattern: engines live for some twenty seconds, and a long stream lasts eight. Where the
// age of an engine shows that its end is near, each long stream that is placed there has to be
// migrated, and the runs of an engine hardly fit through its link within the notice.
func (a *Ages) LeavesWithin(age, d time.Duration) float64 {
	from, until := max(age, 0).Seconds(), (max(age, 0) + max(d, 0)).Seconds()
	sum, begin := 0.0, 0.0
	for b, end := range ageEnds {
		if overlap := min(until, end) - max(from, begin); overlap > 0 {
			sum += overlap * a.rate[b]
		}
		begin = end
	}
	return 1 - math.Exp(-sum)
}
