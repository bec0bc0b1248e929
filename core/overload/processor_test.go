package overload

import (
	"container/heap"
	"time"
)

// processor simulates a process with one thread: what is ready runs in turn, a new goroutine before the
// others, and the network is polled when nothing is ready.
type processor struct {
	now time.Time
	// supply is how the process gets processor time.
	supply supply
	// next is the goroutine that was started last, ready the others in their order.
	next  func()
	ready []func()
	// network holds what happens outside, in the order of time.
	network events
	seq     int
}

// supply returns when a process that starts to use processor time for cost at now is done.
type supply interface {
	done(now time.Time, cost time.Duration) time.Time
}

// quota is a part of each period; the process is suspended for the rest.
type quota struct {
	part, period time.Duration
	end          time.Time
	used         time.Duration
}

func (q *quota) done(now time.Time, cost time.Duration) time.Time {
	for {
		if !now.Before(q.end) {
			q.end, q.used = now.Truncate(q.period).Add(q.period), 0
		}
		left := min(q.part-q.used, q.end.Sub(now))
		if cost <= left {
			q.used += cost
			return now.Add(cost)
		}
		if left > 0 {
			q.used += left
			cost -= left
		}
		now = q.end
	}
}

// evenShare is a slice of time in turn with neighbours that always have work. A process that has
// not used its slice is served at once.
type evenShare struct {
	slice      time.Duration
	neighbours int
	used       time.Duration
	last       time.Time
}

func (e *evenShare) done(now time.Time, cost time.Duration) time.Time {
	wait := e.slice * time.Duration(e.neighbours)
	if idle := now.Sub(e.last); idle > 0 {
		e.used = max(0, e.used-idle/time.Duration(e.neighbours))
	}
	for cost > 0 {
		part := min(cost, e.slice-e.used)
		now, cost, e.used = now.Add(part), cost-part, e.used+part
		if e.used >= e.slice {
			now, e.used = now.Add(wait), 0
		}
	}
	e.last = now
	return now
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// after lets something happen outside, which the process learns of when it polls.
func (p *processor) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.network, event{p.now.Add(d), p.seq, do})
}

// use uses processor time.
func (p *processor) use(cost time.Duration) { p.now = p.supply.done(p.now, cost) }

// start starts a goroutine.
func (p *processor) start(do func()) {
	if p.next != nil {
		p.ready = append(p.ready, p.next)
	}
	p.next = do
}

// run runs the process until a time.
func (p *processor) run(until time.Time) {
	for p.now.Before(until) {
		switch {
		case p.next != nil:
			do := p.next
			p.next = nil
			do()
		case len(p.ready) > 0:
			do := p.ready[0]
			p.ready = p.ready[1:]
			do()
		default:
			p.poll(until)
		}
	}
}

// poll makes ready what has happened outside, or waits for it until a time.
func (p *processor) poll(until time.Time) {
	const batch = 128
	if len(p.network) == 0 || p.network[0].at.After(until) {
		p.now = until
		return
	}
	if p.network[0].at.After(p.now) {
		p.now = p.network[0].at
	}
	for range batch {
		if len(p.network) == 0 || p.network[0].at.After(p.now) {
			return
		}
		p.ready = append(p.ready, heap.Pop(&p.network).(event).do)
	}
}
