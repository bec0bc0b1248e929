package admission

import (
	"time"

	"almondseam.dev/core/api"
)

const classes = 2

// customer is the queue and the account of one customer on the target.
type customer struct {
	id     api.CustomerID
	weight float64
	// served is the number of tokens charged so far, divided by the weight.
	served float64
	// queue holds the waiting sequences per class in the order in which they
	// start, and queued the sum of their expected output tokens.
	queue  [classes][]*sequence
	queued [classes]float64
	// running is the number of running sequences.
	running int
}

// head returns the next waiting sequence of a class, or nil.
func (c *customer) head(class Class) *sequence {
	if len(c.queue[class]) == 0 {
		return nil
	}
	return c.queue[class][0]
}

func (c *customer) waiting() int { return len(c.queue[ClassNote]) + len(c.queue[ClassTag]) }

// fairQueue is a weighted fair queue over customers: the customer with the fewest
// served tokens per weight goes first. A customer that returns after a pause
// starts from the current virtual time, so that it gets no compensation for the
// time in which it had no requests.
type fairQueue struct {
	customers map[api.CustomerID]*customer
	// active holds the customers with waiting sequences, in no particular order.
	active []*customer
	// virtualTime is the highest served value that a customer had when one of
	// its sequences started, before that sequence was charged.
	virtualTime float64
	// len is the number of waiting sequences, class that of each class.
	len   int
	class [classes]int
}

// getOrCreate returns the customer with the ID, creating it if necessary, and
// sets its weight.
func (q *fairQueue) getOrCreate(id api.CustomerID, weight int) *customer {
	c, ok := q.customers[id]
	if !ok {
		c = &customer{id: id, served: q.virtualTime}
		q.customers[id] = c
	}
	c.weight = float64(max(weight, 1))
	return c
}

// push adds s to the queue of its customer, at the front or at the end.
func (q *fairQueue) push(s *sequence, front bool) {
	c := s.cust
	if c.waiting() == 0 {
		q.active = append(q.active, c)
		if c.running == 0 {
			c.served = max(c.served, q.virtualTime)
		}
	}
	list := append(c.queue[s.Class], s)
	if front {
		copy(list[1:], list)
		list[0] = s
	}
	c.queue[s.Class] = list
	c.queued[s.Class] += s.expectedOutput
	q.len++
	q.class[s.Class]++
}

// remove removes a waiting sequence from the queue of its customer.
func (q *fairQueue) remove(s *sequence) {
	c := s.cust
	list := c.queue[s.Class]
	for i, o := range list {
		if o == s {
			c.queue[s.Class] = append(list[:i], list[i+1:]...)
			break
		}
	}
	c.queued[s.Class] -= s.expectedOutput
	q.len--
	q.class[s.Class]--
	if c.waiting() > 0 {
		return
	}
	for i, o := range q.active {
		if o == c {
			q.active[i] = q.active[len(q.active)-1]
			q.active = q.active[:len(q.active)-1]
			break
		}
	}
	q.removeIdle(c)
}

// charge adds tokens, divided by the customer's weight, to what c was served.
// Negative tokens are a refund.
func (q *fairQueue) charge(c *customer, tokens float64) {
	c.served += tokens / c.weight
}

// removeIdle deletes the record of c if c has no waiting and no running
// sequences. While other customers wait, it keeps the record of a customer that
// was served beyond the virtual time, so that this still counts when the customer
// returns.
func (q *fairQueue) removeIdle(c *customer) {
	if c.waiting() == 0 && c.running == 0 && (c.served <= q.virtualTime || len(q.active) == 0) {
		delete(q.customers, c.id)
	}
}

// leastServed returns the customer that comes first in the order of lessServed
// among those with waiting sequences of a class. If after is not nil, only the
// customers that come later than after are considered. It returns nil when there
// is none.
func (q *fairQueue) leastServed(class Class, after *customer) *customer {
	var best *customer
	for _, c := range q.active {
		if len(c.queue[class]) == 0 || (after != nil && !after.lessServed(c)) {
			continue
		}
		if best == nil || c.lessServed(best) {
			best = c
		}
	}
	return best
}

// lessServed reports whether c was served fewer tokens per weight than o. The ID
// breaks ties, so that the order is deterministic.
func (c *customer) lessServed(o *customer) bool {
	if c.served != o.served {
		return c.served < o.served
	}
	return c.id < o.id
}

// oldest returns the earliest offered sequence among the heads of a class, or nil.
func (q *fairQueue) oldest(class Class) *sequence {
	var best *sequence
	for _, c := range q.active {
		s := c.head(class)
		if s != nil && (best == nil || s.order < best.order) {
			best = s
		}
	}
	return best
}

// expired removes and returns the waiting sequences whose deadline has passed.
func (q *fairQueue) expired(now time.Time) []*sequence {
	var out []*sequence
	for _, c := range q.active {
		for class := range c.queue {
			for _, s := range c.queue[class] {
				if !s.Deadline.IsZero() && s.Deadline.Before(now) {
					out = append(out, s)
				}
			}
		}
	}
	for _, s := range out {
		q.remove(s)
	}
	return out
}
