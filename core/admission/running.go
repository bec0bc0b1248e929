package admission

import (
	"time"

	"almondseam.dev/core/api"
)

// find returns the running sequence of an ID and attempt; nil when there is
// none. Word of another attempt is late and must not touch this one.
func (c *Controller) find(id api.RequestID, a api.Attempt) *sequence {
	s, ok := c.byID[id]
	if !ok || !s.running || s.Attempt != a {
		return nil
	}
	return s
}

// Progress notes that a running sequence has produced n tokens in all. Unknown
// IDs, other attempts and counts that went backwards are ignored: they come from
// a stream that was cancelled or attached again.
func (c *Controller) Progress(id api.RequestID, a api.Attempt, n int, _ time.Time) {
	s := c.find(id, a)
	if s == nil || n <= s.produced {
		return
	}
	if s.prefilling {
		s.prefilling = false
		c.prefill -= s.uncached
	}
	if s.preempted {
		s.preempted = false
		c.preempted--
	}
	c.lengths.Observe(keyOf(s.Request), s.produced, n, false)
	c.stale += n - s.produced
	c.pace.tokens += n - s.produced
	s.produced = n
}

// Done notes that a running sequence ended after n tokens in all. An ID or an
// attempt that is not running here is ignored.
func (c *Controller) Done(id api.RequestID, a api.Attempt, n int, now time.Time) {
	s := c.find(id, a)
	if s == nil {
		return
	}
	c.Progress(id, a, n, now)
	// An answer that its own bound cut tells nothing of where it would end.
	cut := s.MaxTokens > 0 && s.produced >= s.MaxTokens
	if !cut {
		c.lengths.Observe(keyOf(s.Request), s.produced, s.produced, true)
	}
	c.stop(s)
}

// Failed notes that a running sequence was cut: its length tells nothing of
// where it would have ended.
func (c *Controller) Failed(id api.RequestID, a api.Attempt) {
	if s := c.find(id, a); s != nil {
		c.stop(s)
	}
}

// Cancel withdraws a request. It is true only when the request was queued and
// never started, and now never will be; false for a running one, which the
// caller has to cancel at the engine, and for an ID or an attempt unknown here,
// of which nothing is proved.
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

// Preempted notes that the engine took a sequence's memory. The margin grows,
// and nothing starts until the sequence produces again: a start would take the
// memory that it waits for. An engine that only counts preemptions passes an
// empty ID, which moves the margin alone.
func (c *Controller) Preempted(id api.RequestID, a api.Attempt, now time.Time) {
	c.preemptions++
	// Preemptions come in bursts of one cause. Counted one by one a burst would
	// raise the margin so far that the engine ran half empty for minutes.
	if now.Sub(c.raised) >= c.cfg.MarginEvery {
		c.margin = min(maxMargin, c.margin+c.cfg.MarginStep)
		c.raised = now
	}
	s := c.find(id, a)
	if s == nil || s.preempted {
		return
	}
	s.preempted = true
	c.preempted++
}

// maxMargin bounds the margin: beyond it a run of preemptions that prediction
// does not explain would leave the engine empty.
const maxMargin = 6

// Yield chooses the sequence that gives way when the engine is about to run out
// of memory: free is the tokens that the engine has left. Only one that has
// delivered nothing is returned, the latest first: it is queued again in front,
// and the caller cancels it at the engine before it was preempted with others.
// When all have delivered, ok is false and the engine preempts by priority.
func (c *Controller) Yield(free int) (id api.RequestID, ok bool) {
	if free > yieldSteps*len(c.running) || len(c.running) < 2 {
		return "", false
	}
	for i := len(c.running) - 1; i >= 0; i-- {
		s := c.running[i]
		if !s.prefilling || s.preempted {
			continue
		}
		c.unstart(s)
		return s.ID, true
	}
	return "", false
}

// yieldSteps is the number of steps of growth that must be free.
const yieldSteps = 4

// unstart puts a sequence that has delivered nothing back in front of its queue.
func (c *Controller) unstart(s *sequence) {
	c.queue.charge(s.cust, -s.charged)
	s.charged = 0
	c.detach(s)
	s.cust = c.queue.get(s.Customer, s.Weight)
	c.queue.push(s, true)
}

// stop removes a running sequence for good and settles its customer's account.
func (c *Controller) stop(s *sequence) {
	c.queue.charge(s.cust, float64(s.Prompt+s.produced)-s.charged)
	c.detach(s)
	delete(c.byID, s.ID)
}

// detach takes s out of the running ones and of the forecast.
func (c *Controller) detach(s *sequence) {
	for i, o := range c.running {
		if o == s {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	c.load.sub(&s.part)
	c.dropPrefix(s)
	if s.prefilling {
		c.prefill -= s.uncached
	}
	if s.preempted {
		c.preempted--
	}
	s.running, s.prefilling, s.preempted = false, false, false
	s.cust.running--
	c.queue.forget(s.cust)
}

// Counts gives the running and the waiting sequences, and the memory in tokens
// that is free at the predicted peak.
func (c *Controller) Counts() (running, waiting, free int) {
	free = max(0, c.cfg.Capacity-int(c.load.peak(c.margin)))
	return len(c.running), c.queue.len, free
}

// Snapshot is the state for a load report.
func (c *Controller) Snapshot(now time.Time) Snapshot {
	running, waiting, free := c.Counts()
	s := Snapshot{
		Running:     running,
		Waiting:     waiting,
		Free:        free,
		Capacity:    c.cfg.Capacity,
		Preemptions: c.preemptions,
		Margin:      c.margin,
		WaitNote:    c.behind(ClassNote, nil),
		WaitTag:     c.behind(ClassTag, nil),
	}
	for class := range Class(classes) {
		if o := c.queue.oldest(class); o != nil {
			s.OldestWait = max(s.OldestWait, now.Sub(o.Arrived))
		}
	}
	return s
}
