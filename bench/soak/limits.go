package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"almondseam.dev/core/api"
)

// The users' bound on what a target that names a limit gets from all entries.
const (
	limitSpan   = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	limitSettle = 3 * time.Second
	// limitEnds is how soon a target that names no limit any more gets all again.
	limitEnds = 5 * time.Second
)

const (
	// limitEvery is the mean pause before the next target names a limit.
	limitEvery = 2 * time.Second
	// limitLeast and limitMost bound how long it names one rate.
	limitLeast = 4 * time.Second
	limitMost  = 10 * time.Second
	// rateLeast and rateMost bound the rate, in requests a second.
	rateLeast = 1.0
	rateMost  = 8.0
)

// limitTargets lets targets name limits, lower or raise them, and name none again, whatever
// the faults.
func limitTargets(ctx context.Context, places []*place, check *checker, rng *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(rng.ExpFloat64()*float64(limitEvery)))
		p := places[rng.IntN(len(places))]
		p.mu.Lock()
		t, id := p.target, p.id()
		p.mu.Unlock()
		for range 2 + rng.IntN(2) {
			rate := rateLeast + rng.Float64()*(rateMost-rateLeast)
			t.SetLimit(rate)
			check.Limited(id, p.service, rate)
			pause(ctx, limitLeast+time.Duration(rng.Int64N(int64(limitMost-limitLeast))))
		}
		t.ClearLimit()
		check.Unlimited(id)
	}
}

// limits are what targets name and what has reached them. It is used under the checker's
// lock.
type limits struct {
	// spans are the limits of each target in the order of their times.
	spans   map[api.TargetID][]limitSpanOf
	arrived map[api.TargetID][]time.Time
	// excused are the times in which what reaches an address was sent long before.
	excused map[string][]excuse
}

// limitSpanOf is one rate that a target names; to is zero while it does.
type limitSpanOf struct {
	service  api.ServiceID
	rate     float64
	from, to time.Time
}

type excuse struct{ from, to time.Time }

func newLimits() limits {
	return limits{spans: make(map[api.TargetID][]limitSpanOf), arrived: make(map[api.TargetID][]time.Time), excused: make(map[string][]excuse)}
}

// Limited notes that a target names a limit from now on, Unlimited that it names none.
func (k *checker) Limited(t api.TargetID, s api.ServiceID, rate float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.limits.end(t, now)
	k.limits.spans[t] = append(k.limits.spans[t], limitSpanOf{service: s, rate: rate, from: now})
}

// Unlimited ends what Limited began.
func (k *checker) Unlimited(t api.TargetID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limits.end(t, time.Now())
}

// Excuse notes that what reaches a target now and for a while was held up on its way.
func (k *checker) Excuse(t api.TargetID, lasts time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.limits.excused[string(t)] = append(k.limits.excused[string(t)], excuse{now, now.Add(lasts + limitSpan)})
}

func (l *limits) end(t api.TargetID, now time.Time) {
	if list := l.spans[t]; len(list) > 0 && list[len(list)-1].to.IsZero() {
		list[len(list)-1].to = now
	}
}

// binds tells whether a target of a service named a limit at a time or shortly before.
func (l *limits) binds(s api.ServiceID, at time.Time) bool {
	for _, list := range l.spans {
		for _, span := range list {
			if span.service == s && !at.Before(span.from) && (span.to.IsZero() || at.Before(span.to.Add(limitEnds))) {
				return true
			}
		}
	}
	return false
}

// checkLimits holds what reached targets against the limits that they named, whatever the
// faults. The lock is held.
func (k *checker) checkLimits() {
	for target, list := range k.limits.spans {
		arrived := k.limits.arrived[target]
		slices.SortFunc(arrived, time.Time.Compare)
		for _, from := range arrived {
			to := from.Add(limitSpan)
			rate, counts := mostNamed(list, from, to)
			if !counts || k.limits.heldUp(target, from, to) {
				continue
			}
			got, bound := within(arrived, from, to), limitOver*rate*limitSpan.Seconds()+limitSlack
			if float64(got) > bound {
				k.fail("%s, which names a limit of %.2f a second, got %d requests in %v from %s, of %.1f", target, rate, got, limitSpan, from.Format("15:04:05.000"), bound)
				break
			}
		}
	}
}

// mostNamed gives the highest rate that was named in a span; false unless one was named all
// the while and for limitSettle before.
func mostNamed(list []limitSpanOf, from, to time.Time) (rate float64, counts bool) {
	covered := from.Add(-limitSettle)
	for _, s := range list {
		if !s.to.IsZero() && !s.to.After(covered) {
			continue
		}
		if s.from.After(covered) {
			return 0, false
		}
		rate = max(rate, s.rate)
		if s.to.IsZero() || !s.to.Before(to) {
			return rate, true
		}
		covered = s.to
	}
	return 0, false
}

// heldUp tells whether requests to the target were held up on their way in a span.
func (l *limits) heldUp(t api.TargetID, from, to time.Time) bool {
	return slices.ContainsFunc(l.excused[string(t)], func(e excuse) bool { return e.from.Before(to) && from.Before(e.to) })
}
