package admission

import (
	"math"
	"time"

	"almondseam.dev/core/api"
)

// Bounds of a RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// maxHolds bounds the bids that keep a place; more are answered without one.
const maxHolds = 32

// hold is the place that a bid keeps for a short time, so that two entries that
// ask at once are not both promised the same memory.
type hold struct {
	id     api.RequestID
	class  Class
	expect float64
	part   forecast
	until  time.Time
}

// pace measures how fast sequences produce.
type pace struct {
	// gap is the time between one sequence's tokens in seconds.
	gap    float64
	tokens int
	since  time.Time
}

// Pace is measured over paceEvery and smoothed by paceGain.
const (
	paceEvery = 500 * time.Millisecond
	paceGain  = 0.3
)

// update takes a measurement once enough time has passed.
func (p *pace) update(now time.Time, running int) {
	if p.since.IsZero() {
		p.since = now
	}
	took := now.Sub(p.since)
	if took < paceEvery {
		return
	}
	if p.tokens > 0 && running > 0 {
		gap := took.Seconds() * float64(running) / float64(p.tokens)
		p.gap += paceGain * (gap - p.gap)
	}
	p.tokens = 0
	p.since = now
}

// rate is the tokens per second of n sequences.
func (p *pace) rate(n int) float64 { return float64(max(n, 1)) / p.gap }

// Bid answers when r could start, and keeps its place for HoldFor.
func (c *Controller) Bid(r Request, now time.Time) Bid {
	if _, known := c.byID[r.ID]; known {
		return Bid{Refuse: api.ReasonDuplicate}
	}
	c.Release(r.ID)
	c.dropHolds(now)
	s := c.sequence(r)
	wait := c.wait(s, now)
	bid := Bid{Wait: wait + c.prefillTime(s), Cached: r.Prompt - c.toCompute(s)}
	bid.Refuse = c.refusal(s, wait, now)
	if bid.Refuse != "" {
		bid.RetryAfter = c.retryAfter(s, bid.Refuse, wait, now)
		return bid
	}
	if len(c.holds) < maxHolds {
		c.holds = append(c.holds, hold{id: r.ID, class: r.Class, expect: s.expect, part: s.part, until: now.Add(c.cfg.HoldFor)})
	}
	return bid
}

// Release gives up the place that a bid kept.
func (c *Controller) Release(id api.RequestID) {
	for i := range c.holds {
		if c.holds[i].id == id {
			c.holds = append(c.holds[:i], c.holds[i+1:]...)
			return
		}
	}
}

func (c *Controller) dropHolds(now time.Time) {
	kept := c.holds[:0]
	for i := range c.holds {
		if c.holds[i].until.After(now) {
			kept = append(kept, c.holds[i])
		}
	}
	c.holds = kept
}

// wait is the expected time until s starts.
func (c *Controller) wait(s *sequence, now time.Time) time.Duration {
	c.dropHolds(now)
	c.refresh()
	if c.queue.len == 0 && c.preempted == 0 && c.fitsBesideHolds(s) {
		return 0
	}
	return c.behind(s.Class, s)
}

// fitsBesideHolds is fits with the memory promised to bids.
func (c *Controller) fitsBesideHolds(s *sequence) bool {
	if len(c.running) == 0 && len(c.holds) == 0 {
		return true
	}
	sum := c.load
	for i := range c.holds {
		sum.add(&c.holds[i].part)
	}
	return len(c.running) < c.cfg.MaxRunning &&
		sum.peakWith(&s.part, c.margin)+c.newPrefix(s) <= float64(c.cfg.Capacity)
}

// behind is the time that the work ahead of a sequence takes: the memory that a
// started sequence holds comes back as fast as tokens are produced. Customers
// take turns, so of each customer's queue only as much is ahead as the
// sequence's own customer has there. s may be nil: a customer with none waiting.
func (c *Controller) behind(class Class, s *sequence) time.Duration {
	own, work := 0.0, 0.0
	if s != nil {
		work = s.expect / 2
		own = s.expect
		if cust, ok := c.queue.customers[s.Customer]; ok {
			own += cust.queued[class]
		}
	}
	for _, cust := range c.queue.active {
		work += min(cust.queued[class], max(own, cust.headExpect(class)))
		if class == ClassNote {
			work += cust.queued[ClassTag]
		}
	}
	for i := range c.holds {
		if c.holds[i].class == class {
			work += c.holds[i].expect
		}
	}
	return seconds(work / c.pace.rate(len(c.running)))
}

func (c *customer) headExpect(class Class) float64 {
	if s := c.head(class); s != nil {
		return s.expect
	}
	return 0
}

func (c *Controller) prefillTime(s *sequence) time.Duration {
	return seconds(float64(c.prefill+c.toCompute(s)) / c.cfg.PrefillRate)
}

// retryAfter is when a refused request could be taken: once the wait has shrunk
// to half of what its deadline allows, or a quarter of the queue has gone. With
// the whole deadline a caller that came back as told stood at the edge again, and
// half of them were refused once more.
func (c *Controller) retryAfter(s *sequence, reason api.Reason, wait time.Duration, now time.Time) time.Duration {
	switch reason {
	case api.ReasonNeverFits, api.ReasonDuplicate:
		return 0
	case api.ReasonDeadlineHopeless:
		wait -= s.Deadline.Sub(now) / 2
	default:
		wait /= 4
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
