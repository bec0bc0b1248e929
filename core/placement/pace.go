package placement

import "time"

// Pace describes a stream to the choice between engines of unequal pace. Without a Bound it has
// no effect.
type Pace struct {
	// Bound is the longest pause with which streams of the service are on time.
	Bound time.Duration
	// Duration is the expected duration of the stream, Typical that of the service's streams.
	Duration time.Duration
	Typical  time.Duration
	// Interval is the mean time until a stream pauses over the bound on an engine that does not
	// hold it. ReadInterval counts only the time in which the engine reads prompts.
	Interval     time.Duration
	ReadInterval time.Duration
	// Prompt is the length of the prompt that the engine has to read, in tokens, and Read the
	// time that this takes; zero if it has none to read.
	Prompt int
	Read   time.Duration
}

const (
	// slowPenalty is added to the score of an engine that does not hold the bound, multiplied by
	// the probability that the stream pauses over it there, up to maxSlowPenalty. The unit is
	// the load of a full engine.
	slowPenalty    = 1.5
	maxSlowPenalty = 1.0
	// shortPenalty is added to the score of an engine that holds the bound for the shortest
	// answers. They hardly pause anywhere, and leave such engines to long streams.
	shortPenalty = 0.5
	// readPenalty is added to the score of an engine that does not hold the bound for each
	// stream that generates there, multiplied by the probability that reading the prompt makes
	// it pause over the bound.
	readPenalty = 0.5
	// minSpread is the least ratio of the mean predicted pauses of engines that do not hold the
	// bound and of those that do. Predictions for equal engines may lie on both sides of the
	// bound, but not so far apart.
	minSpread = 1.5
)

// paceScores are the parts of scores that depend on the pace of engines. The zero value adds
// nothing.
type paceScores struct {
	bound time.Duration
	// holding is added for engines that hold the bound, slow for the others.
	holding, slow float64
	// read is added for each stream that generates on an engine that does not hold the bound.
	read   float64
	prompt int
}

// apply returns the scores for a stream, and scales the candidates' unprocessed prompts.
//
// Load pattern: a quarter of the engines generates at twice the pace of the others. The others
// pause over the bound when a slow spell meets a prompt that they read. By load alone they get
// more than half of the long streams, although long streams alone run long enough to meet such a
// pause, and fast engines free their memory sooner. Prompts of short answers go where they
// interrupt the fewest streams that could pause.
func (p *Pace) apply(list []Candidate) paceScores {
	if p.Bound <= 0 || !p.differ(list) {
		return paceScores{}
	}
	s := paceScores{bound: p.Bound, prompt: p.Prompt, slow: min(slowPenalty*chance(p.Duration, p.Interval), maxSlowPenalty)}
	if p.Duration < p.Typical {
		s.holding = shortPenalty * (1 - float64(p.Duration)/float64(p.Typical))
	}
	if p.Prompt > 0 {
		s.read = readPenalty * chance(p.Read, p.ReadInterval)
	}
	p.scaleUnread(list)
	return s
}

// of returns what is added to the score of a candidate.
func (s *paceScores) of(c *Candidate) float64 {
	if c.Pause <= s.bound || s.bound == 0 {
		return s.holding
	}
	if s.read == 0 {
		return s.slow
	}
	generating := max(float64(c.Running)-float64(c.Unread)/float64(s.prompt), 0)
	return s.slow + s.read*generating
}

// chance returns the probability that a pause falls into a time d if the mean time until one is
// interval.
func chance(d, interval time.Duration) float64 {
	if d <= 0 || interval <= 0 {
		return 0
	}
	return float64(d) / float64(d+interval)
}

// differ reports whether some of the candidates hold the bound, and others are so much slower
// that they do not.
func (p *Pace) differ(list []Candidate) bool {
	var holding, slow, pauses, slowPauses float64
	for i := range list {
		c := &list[i]
		switch {
		case c.Excluded || c.Pause == 0:
		case c.Pause > p.Bound:
			slow++
			slowPauses += float64(c.Pause)
		default:
			holding++
			pauses += float64(c.Pause)
		}
	}
	return holding > 0 && slow > 0 && slowPauses/slow >= minSpread*pauses/holding
}

// scaleUnread replaces the unprocessed prompt tokens of each candidate by those that an engine of
// mean pace would process in the same time, as an engine that generates slowly also reads prompts
// slowly. The difference for the stream's own prompt is included.
func (p *Pace) scaleUnread(list []Candidate) {
	pace, engines := 0.0, 0
	for i := range list {
		if c := &list[i]; !c.Excluded && c.Pause > 0 {
			pace += 1 / float64(c.Pause)
			engines++
		}
	}
	pace /= float64(engines)
	for i := range list {
		if c := &list[i]; c.Pause > 0 {
			c.Unread = max(int(float64(c.Unread+p.Prompt)*float64(c.Pause)*pace)-p.Prompt, 0)
		}
	}
}
