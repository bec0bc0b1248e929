package admission

import (
	"time"

	"almondseam.dev/core/api"
)

// findRunning returns the running sequence with the ID and the attempt, or nil. A
// report about another attempt of the same request is outdated and must not
// affect the running one.
func (c *Controller) findRunning(id api.RequestID, a api.Attempt) *sequence {
	s, ok := c.byID[id]
	if !ok || !s.running || s.Attempt != a {
		return nil
	}
	return s
}

// Progress records that a running sequence has produced n tokens in total. It
// ignores unknown IDs, other attempts and counts that are not above the last one:
// they come from a stream that was cancelled or reattached.
func (c *Controller) Progress(id api.RequestID, a api.Attempt, n int, _ time.Time) {
	s := c.findRunning(id, a)
	if s == nil || n <= s.produced {
		return
	}
	if s.prefilling {
		s.prefilling = false
		c.prefillTokens -= s.uncached
	}
	if s.preempted {
		s.preempted = false
		c.preempted--
	}
	c.lengths.Observe(keyOf(s.Request), s.produced, n, false)
	c.tokensSinceRefresh += n - s.produced
	c.decodeRate.tokens += n - s.produced
	s.produced = n
}

// Done records that a running sequence ended after n tokens in total. It ignores
// an ID or attempt that is not running on this target.
func (c *Controller) Done(id api.RequestID, a api.Attempt, n int, now time.Time) {
	s := c.findRunning(id, a)
	if s == nil {
		return
	}
	c.Progress(id, a, n, now)
	// The length at which an output was cut off by its own token limit does not
	// show where it would have ended.
	cut := s.MaxTokens > 0 && s.produced >= s.MaxTokens
	if !cut {
		c.lengths.Observe(keyOf(s.Request), s.produced, s.produced, true)
	}
	c.stop(s)
}

// Failed records that a running sequence was cut short. Its end is not added to
// the learned lengths, since it does not show where the output would have ended.
func (c *Controller) Failed(id api.RequestID, a api.Attempt) {
	if s := c.findRunning(id, a); s != nil {
		c.stop(s)
	}
}

// Cancel withdraws a request. It returns true only if the request was waiting in
// the queue, so that it will never start. It returns false for a running request,
// which the caller must also cancel at the engine, and for an unknown ID or
// attempt, about which the controller knows nothing.
func (c *Controller) Cancel(id api.RequestID, a api.Attempt, _ time.Time) (neverStarted bool) {
	s, ok := c.byID[id]
	if !ok || s.Attempt != a {
		return false
	}
	if s.running {
		c.stop(s)
		return false
	}
	c.queue.remove(s)
	delete(c.byID, id)
	return true
}

// Preempted records that the engine preempted a sequence and took its memory. It
// raises the margin, at most once per MarginEvery, and no sequence starts until
// the preempted one produces tokens again: a new sequence would take the memory
// that it waits for. For an engine that only counts preemptions the caller passes
// an empty ID, which affects only the margin.
func (c *Controller) Preempted(id api.RequestID, a api.Attempt, now time.Time) {
	c.preemptions++
	// Preemptions come in bursts with one cause. If each preemption of a burst
	// raised the margin, the engine would run half empty for minutes.
	if now.Sub(c.marginRaisedAt) >= c.cfg.MarginEvery {
		c.margin = min(maxMargin, c.margin+c.cfg.MarginStep)
		c.marginRaisedAt = now
	}
	s := c.findRunning(id, a)
	if s == nil || s.preempted {
		return
	}
	s.preempted = true
	c.preempted++
}

// maxMargin is the upper limit of the margin. Without it, a series of preemptions
// that the forecast cannot explain would leave the engine empty.
const maxMargin = 6

// Yield returns the sequence to withdraw when the engine is about to run out of
// memory; free is the engine's free memory in tokens. It chooses the most recently
// started sequence that has produced no token and is not preempted, and puts it
// back at the front of its queue. The caller must cancel that sequence at the
// engine. ok is false if there is enough free memory, if fewer than two sequences
// run, or if there is no such sequence; the engine then preempts by priority when
// its memory runs out.
func (c *Controller) Yield(free int) (id api.RequestID, ok bool) {
	if free > yieldSteps*len(c.running) || len(c.running) < 2 {
		return "", false
	}
	for i := len(c.running) - 1; i >= 0; i-- {
		s := c.running[i]
		if !s.prefilling || s.preempted {
			continue
		}
		c.requeue(s)
		return s.ID, true
	}
	return "", false
}

// yieldSteps is a number of engine steps, each of one token per running sequence.
// Yield withdraws a sequence unless more memory is free than these steps use.
const yieldSteps = 4

// requeue moves a running sequence that has produced no token back to the front of
// its customer's queue and refunds its charge.
func (c *Controller) requeue(s *sequence) {
	c.queue.charge(s.cust, -s.charged)
	s.charged = 0
	c.detach(s)
	s.cust = c.queue.getOrCreate(s.Customer, s.Weight)
	c.queue.push(s, true)
}

// stop removes a running sequence and corrects the charge of its customer from
// the expected to the actual number of tokens.
func (c *Controller) stop(s *sequence) {
	c.queue.charge(s.cust, float64(s.Prompt+s.produced)-s.charged)
	c.detach(s)
	delete(c.byID, s.ID)
}

// detach removes s from the running sequences and from predictedLoad.
func (c *Controller) detach(s *sequence) {
	for i, o := range c.running {
		if o == s {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	c.predictedLoad.sub(&s.predicted)
	c.releasePrefix(s)
	if s.prefilling {
		c.prefillTokens -= s.uncached
	}
	if s.preempted {
		c.preempted--
	}
	s.running, s.prefilling, s.preempted = false, false, false
	s.cust.running--
	c.queue.removeIdle(s.cust)
}

// Counts returns the numbers of running and waiting sequences, and the memory in
// tokens that stays free at the predicted peak including the margin.
func (c *Controller) Counts() (running, waiting, free int) {
	free = max(0, c.cfg.Capacity-int(c.predictedLoad.peak(c.margin)))
	return len(c.running), c.queue.len, free
}

// Snapshot returns the state for a load report.
func (c *Controller) Snapshot(now time.Time) Snapshot {
	running, waiting, free := c.Counts()
	s := Snapshot{
		Running:     running,
		Waiting:     waiting,
		Free:        free,
		Capacity:    c.cfg.Capacity,
		Preemptions: c.preemptions,
		Margin:      c.margin,
		WaitNote:    c.queueDelay(ClassNote, nil),
		WaitTag:     c.queueDelay(ClassTag, nil),
	}
	for class := range Class(classes) {
		if o := c.queue.oldest(class); o != nil {
			s.OldestWait = max(s.OldestWait, now.Sub(o.Arrived))
		}
	}
	return s
}
