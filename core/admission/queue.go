package admission

import (
	"time"

	"almondseam.dev/core/api"
)

const classes = 2

// customer is one customer's share of the target.
type customer struct {
	id     api.CustomerID
	weight float64
	// served is the tokens charged so far, divided by the weight.
	served float64
	// queue holds the waiting sequences per class in order of arrival, and
	// queued their expected tokens.
	queue   [classes][]*sequence
	queued  [classes]float64
	running int
}

// head is the next waiting sequence of a class.
func (c *customer) head(class Class) *sequence {
	if len(c.queue[class]) == 0 {
		return nil
	}
	return c.queue[class][0]
}

func (c *customer) waiting() int { return len(c.queue[ClassNote]) + len(c.queue[ClassTag]) }

// fairQueue shares starts between customers: the one with the fewest tokens
// served for its weight goes first. A customer that returns after a pause starts
// from the level of those now served, so that it cannot claim the past.
type fairQueue struct {
	customers map[api.CustomerID]*customer
	// active are the customers that wait, in no order.
	active []*customer
	// level is the served value of the customer last charged.
	level float64
	len   int
	class [classes]int
}

// get finds or makes a customer.
func (q *fairQueue) get(id api.CustomerID, weight int) *customer {
	c, ok := q.customers[id]
	if !ok {
		c = &customer{id: id, served: q.level}
		q.customers[id] = c
	}
	c.weight = float64(max(weight, 1))
	return c
}

// push adds s at the end of its customer's queue, or at its front.
func (q *fairQueue) push(s *sequence, front bool) {
	c := s.cust
	if c.waiting() == 0 {
		q.active = append(q.active, c)
		if c.running == 0 {
			c.served = max(c.served, q.level)
		}
	}
	list := append(c.queue[s.Class], s)
	if front {
		copy(list[1:], list)
		list[0] = s
	}
	c.queue[s.Class] = list
	c.queued[s.Class] += s.expect
	q.len++
	q.class[s.Class]++
}

// remove takes a waiting sequence out.
func (q *fairQueue) remove(s *sequence) {
	c := s.cust
	list := c.queue[s.Class]
	for i, o := range list {
		if o == s {
			c.queue[s.Class] = append(list[:i], list[i+1:]...)
			break
		}
	}
	c.queued[s.Class] -= s.expect
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
	q.forget(c)
}

// charge adds tokens to what c was served.
func (q *fairQueue) charge(c *customer, tokens float64) {
	c.served += tokens / c.weight
}

// forget drops a customer that neither waits nor runs and is owed nothing; one
// that is ahead of its share stays until the others have caught up.
func (q *fairQueue) forget(c *customer) {
	if c.waiting() == 0 && c.running == 0 && (c.served <= q.level || len(q.active) == 0) {
		delete(q.customers, c.id)
	}
}

// least is the waiting customer of a class with the fewest tokens served among
// those after the pair (served, id) of `after`; nil at the end.
func (q *fairQueue) least(class Class, after *customer) *customer {
	var best *customer
	for _, c := range q.active {
		if len(c.queue[class]) == 0 || (after != nil && !after.ahead(c)) {
			continue
		}
		if best == nil || c.ahead(best) {
			best = c
		}
	}
	return best
}

// ahead orders customers by what they were served; the name settles ties, so
// that every run chooses alike.
func (c *customer) ahead(o *customer) bool {
	if c.served != o.served {
		return c.served < o.served
	}
	return c.id < o.id
}

// oldest is the head of a class that has waited longest.
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
