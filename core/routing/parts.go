package routing

import (
	"time"
)

const (
	// staleAfter is the age at which a report counts half: loads change within
	// a few seconds, and a target that looked empty then draws everyone.
	staleAfter = 2 * time.Second
	// silentAfter is the age at which a target counts as set aside.
	silentAfter = 15 * time.Second
	// zonePenalty is what a target outside of the entry's zone costs, in mean
	// loads: work spills over once the own zone's best target carries this
	// much more than the other.
	zonePenalty = 0.5
	// prefixBonus is what a kept prefix is worth, in mean loads.
	prefixBonus = 0.5
	// memoryKnee is the part of engine memory up to which filling costs
	// nothing; above it the engine may have to preempt.
	memoryKnee = 0.75
	// memoryWeight is the cost of a full engine, in mean loads.
	memoryWeight = 2.0
	// agePenalty is the cost of a report that counts half.
	agePenalty = 0.1
)

// snapshot judges t once.
func (c *choice) snapshot(t *target) Candidate {
	r := t.report.Load()
	age := max(0, c.now.Sub(r.Reported))
	sequences, tokens := t.pending(clampReported(r.Reported, c.now))
	out := Candidate{
		ID:          t.info.ID,
		Incarnation: t.info.Incarnation,
		Zone:        t.info.Zone,
		Load:        discounted(float64(r.Running+r.Waiting), c.mean, age) + float64(max(0, sequences)),
		Mean:        c.mean,
		Fill:        fill(r, tokens+int64(c.s.q.Prompt)),
		Age:         age,
		Own:         t.info.Zone == c.s.q.Zone,
		Aside:       t.aside(c.now) || age > silentAfter,
	}
	if !out.Own {
		out.ZoneWait = c.o.ZoneWait
	}
	return out
}

// clampReported keeps the time of a report within what the rings remember.
func clampReported(reported, now time.Time) time.Time {
	earliest := now.Add(-(slots - 1) * slotWidth)
	if reported.Before(earliest) {
		return earliest
	}
	return reported
}

// discounted draws a reported load towards the mean as the report ages; at
// staleAfter it counts half.
func discounted(load, mean float64, age time.Duration) float64 {
	trust := float64(staleAfter) / float64(staleAfter+age)
	return trust*load + (1-trust)*mean
}

// fill gives the part of memory in use with more tokens on top.
func fill(r *Load, more int64) float64 {
	if r.Capacity <= 0 {
		return 0
	}
	used := int64(r.Capacity-r.Free) + max(0, more)
	return float64(used) / float64(r.Capacity)
}

// NotAvoided drops the targets that refused or failed this request before.
type NotAvoided struct{}

// Keep implements Filter.
func (NotAvoided) Keep(q *Query, c *Candidate) bool { return !avoided(q, c.ID) }

// NotAside drops the targets that failed or refused lately or are silent.
type NotAside struct{}

// Keep implements Filter.
func (NotAside) Keep(_ *Query, c *Candidate) bool { return !c.Aside }

// ByLoad costs a target's load relative to the mean.
type ByLoad struct{}

// Score implements Scorer.
func (ByLoad) Score(_ *Query, c *Candidate) float64 { return c.Load / max(1, c.Mean) }

// ByMemory costs a target whose engine memory is filling.
type ByMemory struct{}

// Score implements Scorer.
func (ByMemory) Score(_ *Query, c *Candidate) float64 {
	return memoryWeight * max(0, c.Fill-memoryKnee) / (1 - memoryKnee)
}

// ByZone costs a target outside of the entry's availability zone.
type ByZone struct{}

// Score implements Scorer.
func (ByZone) Score(_ *Query, c *Candidate) float64 {
	if c.Own {
		return 0
	}
	return zonePenalty
}

// ByPrefix favours the target that prefix hashing leads to.
type ByPrefix struct{}

// Score implements Scorer.
func (ByPrefix) Score(_ *Query, c *Candidate) float64 {
	if c.Affinity {
		return -prefixBonus
	}
	return 0
}

// ByAge costs an old report.
type ByAge struct{}

// Score implements Scorer.
func (ByAge) Score(_ *Query, c *Candidate) float64 {
	return agePenalty * float64(c.Age) / float64(staleAfter)
}
