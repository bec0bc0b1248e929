package pace

import (
	"math"
	"time"
)

const (
	// spellQuantile is the quantile of the gaps, each divided by the typical gap of its engine,
	// that a prediction covers. Slow spells are longer than most gaps, so they are a smaller
	// part of the gaps than of the time.
	spellQuantile = 0.99
	// minRatios is the number of ratios from which on a prediction uses them.
	minRatios = 32
	// The ratios are counted in buckets of equal width in the logarithm, from lowestRatio on.
	ratioBuckets = 64
	bucketWidth  = 0.05
	lowestRatio  = 0.5
	// Counts are halved each halvingTime, and when there are maxRatios, so that old
	// observations lose weight.
	halvingTime = 30 * time.Second
	maxRatios   = 4096
	// lengthGain is the weight of the length of one stream.
	lengthGain = 1.0 / 64
	// priorInterval is the mean time between two pauses on an engine that does not hold the
	// bound, until more has been observed. It has the weight of one pause.
	priorInterval = 10 * time.Second
	// publishEvery is the number of observations after which the model is derived again.
	publishEvery = 16
)

// Service learns what the engines of one service have in common. NewService returns one.
type Service struct {
	model *Model
	// spells counts gaps by their ratio to the typical gap of their engine in the same
	// condition, reading counts gaps while an engine reads prompts by their ratio to its
	// typical quiet gap.
	spells   ratios
	reading  ratios
	halvedAt time.Time
	// slowTime is how long streams were observed on engines that do not hold their bound, until
	// their first gap above it. readTime is the part in which the engine read prompts, pauses
	// the number of these gaps.
	slowTime time.Duration
	readTime time.Duration
	pauses   float64
	// logEvents is the mean logarithm of the expected number of events of streams, of streams
	// observations.
	logEvents float64
	streams   int
	// gap is the mean gap of all streams.
	gap mean
	// unpublished counts the observations since model was derived.
	unpublished int
}

// NewService returns a learner without observations.
func NewService() *Service {
	return &Service{model: &Model{Reading: 1, Spell: 1, Interval: priorInterval, ReadInterval: priorInterval}}
}

// Model returns what has been learnt. Another one takes its place when that changes.
func (s *Service) Model() *Model { return s.model }

func (s *Service) publish() {
	if s.unpublished++; s.unpublished < publishEvery {
		return
	}
	s.unpublished = 0
	m := &Model{Reading: 1, Spell: 1, knowsReading: s.reading.total >= minRatios, Gap: time.Duration(s.gap.ms * float64(time.Millisecond))}
	if m.knowsReading {
		m.Reading = max(s.reading.quantile(0.5), 1)
	}
	if s.spells.total >= minRatios {
		m.Spell = max(s.spells.quantile(spellQuantile), 1)
	}
	if s.streams > 0 {
		m.Events = math.Exp(s.logEvents)
	}
	m.Interval = time.Duration(float64(s.slowTime+priorInterval) / (s.pauses + 1))
	m.ReadInterval = time.Duration(float64(s.readTime+priorInterval) / (s.pauses + 1))
	s.model = m
}

// observeRatio counts the ratio of a gap to the typical quiet gap of its engine.
func (s *Service) observeRatio(ratio float64, c Condition) {
	if c != Reading {
		s.spells.add(ratio)
		return
	}
	s.reading.add(ratio)
	if s.model.knowsReading {
		s.spells.add(ratio / s.model.Reading)
	}
}

// age halves the counts if that is due.
func (s *Service) age(now time.Time) {
	if s.halvedAt.IsZero() {
		s.halvedAt = now
	}
	if now.Sub(s.halvedAt) <= halvingTime && s.spells.total < maxRatios {
		return
	}
	s.spells.halve()
	s.reading.halve()
	s.slowTime /= 2
	s.readTime /= 2
	s.pauses /= 2
	s.halvedAt = now
}

// observeTime counts a gap on an engine that does not hold the bound, until the stream's first
// gap above it.
func (s *Service) observeTime(g Gap, bound time.Duration) {
	if g.Late {
		return
	}
	s.slowTime += g.Length
	if g.Condition != Quiet {
		s.readTime += g.Length
	}
	if g.Length > bound {
		s.pauses++
	}
}

// ObserveStream counts a stream that is to be placed, by its expected number of events; zero
// if that is not known.
func (s *Service) ObserveStream(events int) {
	if events <= 0 {
		return
	}
	s.streams++
	s.logEvents += (math.Log(float64(events)) - s.logEvents) * max(lengthGain, 1/float64(s.streams))
}

// Model is what has been learnt of the engines of one service at some time. It is immutable.
type Model struct {
	// Reading is the ratio of the gaps of an engine that reads prompts to its quiet ones.
	Reading float64
	// Spell is the ratio of the longest gaps of an engine to its typical ones in the same
	// condition.
	Spell float64
	// Interval is the mean time until the first pause of a stream on an engine that does not
	// hold its bound. ReadInterval counts only the time in which the engine reads prompts.
	Interval     time.Duration
	ReadInterval time.Duration
	// Events is the geometric mean of the expected numbers of events of the service's streams,
	// zero if unknown.
	Events float64
	// Gap is the mean gap of all streams, zero if unknown.
	Gap time.Duration

	knowsReading bool
}

// Pause returns the longest pause to expect on an engine with the given gaps; zero if nothing
// is known of them. It allows for a shared mean that is too low by shareStep.
func (m *Model) Pause(s Sum) time.Duration {
	return time.Duration(s.Gap() * (1 + shareStep) * m.Reading * m.Spell * float64(time.Millisecond))
}

// Duration returns the expected duration of a stream with the given number of events, of a
// typical one if the number is zero.
func (m *Model) Duration(events int) time.Duration {
	if events <= 0 {
		return m.Typical()
	}
	return time.Duration(events) * m.Gap
}

// Typical returns the duration of a typical stream, zero if unknown.
func (m *Model) Typical() time.Duration { return time.Duration(m.Events * float64(m.Gap)) }

// ratios counts ratios of gaps.
type ratios struct {
	buckets [ratioBuckets]float64
	total   float64
}

func (r *ratios) add(ratio float64) {
	b := 0
	if ratio > lowestRatio {
		b = min(int(math.Log(ratio/lowestRatio)/bucketWidth), ratioBuckets-1)
	}
	r.buckets[b]++
	r.total++
}

func (r *ratios) halve() {
	for i := range r.buckets {
		r.buckets[i] /= 2
	}
	r.total /= 2
}

// quantile returns the ratio that the fraction q of the gaps does not exceed.
func (r *ratios) quantile(q float64) float64 {
	above := (1 - q) * r.total
	for b := ratioBuckets - 1; b >= 0; b-- {
		if above < r.buckets[b] {
			return lowestRatio * math.Exp((float64(b)+1-above/r.buckets[b])*bucketWidth)
		}
		above -= r.buckets[b]
	}
	return 1
}
