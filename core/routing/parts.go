package routing

import (
	"time"
)

const (
	// halfTrustAge is the age at which a report has half its weight: loads change
	// within a few seconds, and a target whose old report shows no load would
	// attract all requests.
	halfTrustAge = 2 * time.Second
	// maxReportAge is the age of a report above which its target counts as unhealthy.
	maxReportAge = 15 * time.Second
	// zonePenalty is the cost of a target outside of the entry's zone, in mean
	// loads: requests spill over to another zone once the load of the best
	// target in the own zone is higher by this much.
	zonePenalty = 0.5
	// prefixBonus is the benefit of a cached prefix, in mean loads.
	prefixBonus = 0.5
	// memoryKnee is the fraction of engine memory up to which memory use has no
	// cost; above it the engine may have to preempt sequences.
	memoryKnee = 0.75
	// memoryWeight is the cost of a full engine, in mean loads.
	memoryWeight = 2.0
	// agePenalty is the cost of a report of halfTrustAge, in mean loads.
	agePenalty = 0.1
)

// snapshot returns t as a candidate, with its state at this moment.
func (c *choice) snapshot(t *target) Candidate {
	r := t.report.Load()
	age := max(0, c.now.Sub(r.Reported))
	sequences, tokens := t.pending(clampReported(r.Reported, c.now))
	out := Candidate{
		ID:          t.info.ID,
		Incarnation: t.info.Incarnation,
		Zone:        t.info.Zone,
		Load:        discountedLoad(float64(r.Running+r.Waiting), c.mean, age) + float64(max(0, sequences)),
		Mean:        c.mean,
		Fill:        fill(r, tokens+int64(c.s.q.Prompt)),
		Age:         age,
		Own:         t.info.Zone == c.s.q.Zone,
		Unhealthy:   t.ejected(c.now) || age > maxReportAge,
	}
	if !out.Own {
		out.ZoneWait = c.o.ZoneWait
	}
	return out
}

// clampReported limits the time of a report to the period that the rings cover.
func clampReported(reported, now time.Time) time.Time {
	earliest := now.Add(-(ringSlots - 1) * slotWidth)
	if reported.Before(earliest) {
		return earliest
	}
	return reported
}

// discountedLoad moves a reported load towards the mean as the report ages; at
// halfTrustAge the report has half its weight.
func discountedLoad(load, mean float64, age time.Duration) float64 {
	trust := float64(halfTrustAge) / float64(halfTrustAge+age)
	return trust*load + (1-trust)*mean
}

// fill returns the fraction of memory in use with more tokens added.
func fill(r *Load, more int64) float64 {
	if r.Capacity <= 0 {
		return 0
	}
	used := int64(r.Capacity-r.Free) + max(0, more)
	return float64(used) / float64(r.Capacity)
}

// NotAvoided drops the targets that have already refused or failed this request.
type NotAvoided struct{}

// Keep implements Filter.
func (NotAvoided) Keep(q *Query, c *Candidate) bool { return !avoided(q, c.ID) }

// Healthy drops the targets that failed or refused recently or whose report is too old.
type Healthy struct{}

// Keep implements Filter.
func (Healthy) Keep(_ *Query, c *Candidate) bool { return !c.Unhealthy }

// ByLoad scores a target by its load relative to the mean.
type ByLoad struct{}

// Score implements Scorer.
func (ByLoad) Score(_ *Query, c *Candidate) float64 { return c.Load / max(1, c.Mean) }

// ByMemory penalises a target whose engine memory use is above memoryKnee.
type ByMemory struct{}

// Score implements Scorer.
func (ByMemory) Score(_ *Query, c *Candidate) float64 {
	return memoryWeight * max(0, c.Fill-memoryKnee) / (1 - memoryKnee)
}

// ByZone penalises a target outside of the entry's availability zone.
type ByZone struct{}

// Score implements Scorer.
func (ByZone) Score(_ *Query, c *Candidate) float64 {
	if c.Own {
		return 0
	}
	return zonePenalty
}

// ByPrefix favours the target that the prefix hashes to.
type ByPrefix struct{}

// Score implements Scorer.
func (ByPrefix) Score(_ *Query, c *Candidate) float64 {
	if c.Affinity {
		return -prefixBonus
	}
	return 0
}

// ByAge penalises a target in proportion to the age of its report.
type ByAge struct{}

// Score implements Scorer.
func (ByAge) Score(_ *Query, c *Candidate) float64 {
	return agePenalty * float64(c.Age) / float64(halfTrustAge)
}
