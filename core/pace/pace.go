// Package pace learns how fast the engines of a service generate, and predicts the longest
// pause between two events of a stream on each of them. It is pure: gaps and times are passed
// in. Its types are not safe for concurrent use, except Model, which is immutable.
//
// Load pattern: some engines of a service are slower than others, every engine is slower while
// it reads a prompt, and now and then an engine is several times as slow for a fraction of a
// second. One or two of these together keep within the pause that callers accept, all of them
// do not. The longest pause of a stream therefore depends on its engine, although most gaps
// are short on all engines.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Condition states what an engine did besides generating during a gap.
type Condition uint8

// The conditions.
const (
	// Mixed: the engine read prompts for a part of the gap, or it is not known whether it did.
	Mixed Condition = iota
	// Quiet: the engine had no prompt to read.
	Quiet
	// Reading: the engine had prompts to read during the whole gap.
	Reading
)

// Gap is the time between two consecutive events of a stream on one engine.
type Gap struct {
	Length    time.Duration
	End       time.Time
	Condition Condition
	// Late is set if the stream had a gap above its bound before.
	Late bool
}

const (
	// MaxWeight bounds the weight of the gaps of an engine, so that a changed pace is learnt
	// within some dozens of gaps.
	MaxWeight = 32
	// MaxGap is the longest gap that is learnt. A longer one is an outage, not a pace.
	MaxGap = 10 * time.Second
	// minWeight is the number of gaps from which on a mean is used. A slow spell has fewer, so
	// that an engine is not judged by a single one.
	minWeight = 16
	// minClipped is the number of gaps from which on further ones are bounded by clip.
	minClipped = 4
	// clip bounds a gap to this multiple of the mean, and to its inverse. A slow spell of a few
	// gaps thus moves the mean little, and a lasting change still moves it fully.
	clip = 1.5
	// Lifetime is how long the gaps of an engine are used after the last one. It covers the
	// time for which an engine that is avoided for its pace gets no stream.
	Lifetime = 15 * time.Second
	// overTime is how long a gap above the bound is predicted for its engine, whatever the mean
	// predicts: several times the length of a slow spell.
	overTime = 5 * time.Second
)

// mean is a robust mean of gaps in milliseconds.
type mean struct {
	ms     float64
	weight float64
}

func (m *mean) add(ms float64) {
	if m.weight >= minClipped {
		ms = min(max(ms, m.ms/clip), m.ms*clip)
	}
	m.weight = min(m.weight+1, MaxWeight)
	m.ms += (ms - m.ms) / m.weight
}

// Engine is what one entry has learnt of the pace of one run of an engine. The zero value has
// learnt nothing.
type Engine struct {
	quiet, reading mean
	// learntTo is the end of the last gap that was learnt, over the last gap above the bound.
	learntTo time.Time
	over     Over
}

// Over is a gap above the bound of its stream. Until the time Until it is predicted for the
// engine if nothing longer is.
type Over struct {
	Length time.Duration
	Until  time.Time
}

// AtLeast returns the longer one of a predicted pause and the gap.
func (o Over) AtLeast(pause time.Duration, now time.Time) time.Duration {
	if now.Before(o.Until) {
		return max(pause, o.Length)
	}
	return pause
}

// Observe learns a gap of a stream whose route bounds gaps to bound. s is the learner of the
// engine's service, fleet what all entries know of the engine.
//
// Streams that run side by side on an engine see the same slow spell. Of overlapping gaps only
// the first to end is learnt, so that a spell has the weight of its duration, however many
// streams see it.
func (e *Engine) Observe(s *Service, g Gap, bound time.Duration, fleet Sum) {
	if g.Length < 0 || g.Length > MaxGap {
		return
	}
	s.age(g.End)
	if s.model.Pause(fleet) > bound {
		s.observeTime(g, bound)
	}
	if g.Length > bound {
		e.over = Over{Length: g.Length, Until: g.End.Add(overTime)}
	}
	if g.Condition != Mixed && !g.End.Add(-g.Length).Before(e.learntTo) {
		e.learn(s, g, fleet)
	}
	s.publish()
}

// learn adds a gap to the engine's means, and its ratios to those of the service. The ratios
// are to the gap that all entries know of the engine: one entry sees too few gaps of each engine
// to learn them within the first seconds.
func (e *Engine) learn(s *Service, g Gap, fleet Sum) {
	if g.End.Sub(e.learntTo) > Lifetime {
		e.quiet, e.reading = mean{}, mean{}
	}
	e.learntTo = g.End
	ms := float64(g.Length) / float64(time.Millisecond)
	s.gap.add(ms)
	if quiet := fleet.Gap(); quiet > 0 {
		s.observeRatio(ms/quiet, g.Condition)
	}
	if g.Condition == Reading {
		e.reading.add(ms)
	} else {
		e.quiet.add(ms)
	}
}

// Over returns the engine's last gap above the bound, the zero value if it has shown none.
func (e *Engine) Over() Over { return e.over }

// Sum returns the weighted sum of the engine's gaps as quiet ones: what the engine shows while
// it reads is divided by the ratio of the service.
func (e *Engine) Sum(m *Model) Sum {
	weight, total := 0.0, 0.0
	if e.quiet.weight >= minClipped {
		weight, total = e.quiet.weight, e.quiet.weight*e.quiet.ms
	}
	if e.reading.weight >= minClipped && m.knowsReading {
		weight, total = weight+e.reading.weight, total+e.reading.weight*e.reading.ms/m.Reading
	}
	if weight > MaxWeight {
		weight, total = MaxWeight, total*MaxWeight/weight
	}
	return Sum{Weight: int(weight), Milliseconds: int(math.Round(total))}
}

// Sum is the pace of an engine in the form in which entries share it: the number of gaps
// observed lately, and their sum in milliseconds. Sums of several entries are added.
type Sum struct {
	Weight       int
	Milliseconds int
}

// Gap returns the mean gap in milliseconds, zero if it is not known from enough gaps.
func (s Sum) Gap() float64 {
	if s.Weight < minWeight {
		return 0
	}
	return s.mean()
}

func (s Sum) mean() float64 {
	if s.Weight <= 0 || s.Milliseconds <= 0 {
		return 0
	}
	return float64(s.Milliseconds) / float64(s.Weight)
}

// Or returns s, or other if s knows no pace.
func (s Sum) Or(other Sum) Sum {
	if s.Gap() == 0 {
		return other
	}
	return s
}

// shareStep is the relative change of the mean from which on it is shared again.
const shareStep = 1.0 / 8

// Differs reports whether next has to be shared in place of s: the mean has changed by more
// than shareStep, or next has at least twice the weight.
func (s Sum) Differs(next Sum) bool {
	before, after := s.mean(), next.mean()
	if before == 0 || after == 0 {
		return next != s
	}
	return math.Abs(after-before) > shareStep*before || next.Weight >= 2*s.Weight
}

// Median returns the sum with the median gap of those that know one; the zero value if none
// does. It reorders list.
func Median(list []Sum) Sum {
	known := slices.DeleteFunc(list, func(s Sum) bool { return s.Gap() == 0 })
	if len(known) == 0 {
		return Sum{}
	}
	slices.SortFunc(known, func(a, b Sum) int { return cmp.Compare(a.Gap(), b.Gap()) })
	return known[len(known)/2]
}
