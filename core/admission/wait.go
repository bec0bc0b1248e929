package admission

import (
	"math"
	"time"

	"almondseam.dev/core/api"
)

// Limits of RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// maxReservations is the maximum number of reservations; further bids are answered
// without one.
const maxReservations = 32

// reservation is the memory that a bid sets aside for its request for a short
// time, so that two entry processes asking at the same time are not both promised
// the same memory. Reservations increase the waits that Bid and Offer return and
// so may cause refusals, but they hold back no queued sequence.
type reservation struct {
	id             api.RequestID
	class          Class
	expectedOutput float64
	predicted      forecast
	until          time.Time
}

// decodeRate measures how fast the running sequences produce tokens.
type decodeRate struct {
	// secondsPerToken is the smoothed time between two tokens of one sequence.
	secondsPerToken float64
	// tokens is the number of tokens that all sequences have produced since the
	// current measurement began, and since is when it began.
	tokens int
	since  time.Time
}

// A measurement of the decode rate covers at least rateInterval; rateSmoothing is
// the weight of a new measurement in the exponential average.
const (
	rateInterval  = 500 * time.Millisecond
	rateSmoothing = 0.3
)

// update adds a measurement once rateInterval has passed since the last one.
func (p *decodeRate) update(now time.Time, running int) {
	if p.since.IsZero() {
		p.since = now
	}
	took := now.Sub(p.since)
	if took < rateInterval {
		return
	}
	if p.tokens > 0 && running > 0 {
		secondsPerToken := took.Seconds() * float64(running) / float64(p.tokens)
		p.secondsPerToken += rateSmoothing * (secondsPerToken - p.secondsPerToken)
	}
	p.tokens = 0
	p.since = now
}

// tokensPerSecond returns the rate at which n sequences together produce tokens;
// it counts n below 1 as 1.
func (p *decodeRate) tokensPerSecond(n int) float64 { return float64(max(n, 1)) / p.secondsPerToken }

// Bid returns the expected time until the first token of r, and reserves memory for
// r for ReservationTTL unless r would be refused or there are maxReservations
// already. A new bid for the same request replaces its reservation.
func (c *Controller) Bid(r Request, now time.Time) Bid {
	if _, known := c.byID[r.ID]; known {
		return Bid{Refuse: api.ReasonDuplicate}
	}
	c.Release(r.ID)
	c.expireReservations(now)
	s := c.sequence(r)
	expectedWait := c.expectedWait(s, now)
	bid := Bid{Wait: expectedWait + c.prefillTime(s), Cached: r.Prompt - c.uncomputedTokens(s)}
	bid.Refuse = c.refusal(s, expectedWait, now)
	if bid.Refuse != "" {
		bid.RetryAfter = c.retryAfter(s, bid.Refuse, expectedWait, now)
		return bid
	}
	if len(c.reservations) < maxReservations {
		c.reservations = append(c.reservations, reservation{id: r.ID, class: r.Class, expectedOutput: s.expectedOutput, predicted: s.predicted, until: now.Add(c.cfg.ReservationTTL)})
	}
	return bid
}

// Release drops the reservation of a request, if there is one.
func (c *Controller) Release(id api.RequestID) {
	for i := range c.reservations {
		if c.reservations[i].id == id {
			c.reservations = append(c.reservations[:i], c.reservations[i+1:]...)
			return
		}
	}
}

func (c *Controller) expireReservations(now time.Time) {
	kept := c.reservations[:0]
	for i := range c.reservations {
		if c.reservations[i].until.After(now) {
			kept = append(kept, c.reservations[i])
		}
	}
	c.reservations = kept
}

// expectedWait returns the expected time until s starts.
func (c *Controller) expectedWait(s *sequence, now time.Time) time.Duration {
	c.expireReservations(now)
	c.refresh()
	if c.queue.len == 0 && c.preempted == 0 && c.fitsWithReservations(s) {
		return 0
	}
	return c.queueDelay(s.Class, s)
}

// fitsWithReservations reports whether s fits into memory besides the running
// sequences and the reservations. Unlike fits, it requires the whole margin for
// tags too and ignores the prefill budget.
func (c *Controller) fitsWithReservations(s *sequence) bool {
	if len(c.running) == 0 && len(c.reservations) == 0 {
		return true
	}
	sum := c.predictedLoad
	for i := range c.reservations {
		sum.add(&c.reservations[i].predicted)
	}
	return len(c.running) < c.cfg.MaxRunning &&
		sum.peakWith(&s.predicted, c.margin)+c.newPrefixTokens(s) <= float64(c.cfg.Capacity)
}

// queueDelay returns the expected time until the work ahead of s, a sequence that
// is not queued yet, is done. The work is measured in tokens of expected output,
// and it is done as fast as the running sequences produce tokens, since they free
// memory at that rate. The work consists of half of the output of s, the
// reservations of its class, for a note all queued tags, and the queued sequences
// of its class. Of the latter, another customer's queue counts only up to the work
// that the customer of s has queued including s, but at least with its first
// sequence, since the fair queue alternates between customers. A nil s stands for
// an empty sequence of a customer with none waiting.
func (c *Controller) queueDelay(class Class, s *sequence) time.Duration {
	own, work := 0.0, 0.0
	if s != nil {
		work = s.expectedOutput / 2
		own = s.expectedOutput
		if cust, ok := c.queue.customers[s.Customer]; ok {
			own += cust.queued[class]
		}
	}
	for _, cust := range c.queue.active {
		work += min(cust.queued[class], max(own, cust.headOutput(class)))
		if class == ClassNote {
			work += cust.queued[ClassTag]
		}
	}
	for i := range c.reservations {
		if c.reservations[i].class == class {
			work += c.reservations[i].expectedOutput
		}
	}
	return seconds(work / c.decodeRate.tokensPerSecond(len(c.running)))
}

// headOutput returns the expected output of the next sequence of a class, or 0.
func (c *customer) headOutput(class Class) float64 {
	if s := c.head(class); s != nil {
		return s.expectedOutput
	}
	return 0
}

// prefillTime returns the expected time to compute the prompts that are being
// computed now and that of s.
func (c *Controller) prefillTime(s *sequence) time.Duration {
	return seconds(float64(c.prefillTokens+c.uncomputedTokens(s)) / c.cfg.PrefillRate)
}

// retryAfter returns the time after which a refused request may be accepted: when
// the expected wait has dropped to half of the time left to its deadline, or when
// a quarter of the queue has been processed. It is zero if asking again does not
// help. When the wait only had to drop to the whole time left, the callers that
// retried on time were again close to their deadline, and half of them were
// refused once more.
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
