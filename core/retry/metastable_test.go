package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/api"
)

const (
	servers   = 4
	service   = 100 * time.Millisecond
	refusal   = 10 * time.Millisecond
	queueMost = 400 * time.Millisecond
	patience  = 5 * time.Second
)

// call is one attempt that is due.
type call struct {
	at time.Time
	a  Attempt
}

type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// crowd runs targets that do one request at a time, and for which even a
// refusal is work, under a load relative to what they can carry. It gives the
// requests done in each second, relative to what the targets can carry.
func crowd(p *Policy, load func(second int) float64, seconds int, rng *rand.Rand) []float64 {
	var queue calls
	capacity := float64(servers) / service.Seconds()
	for at := 0.0; at < float64(seconds); {
		at += rng.ExpFloat64() / (capacity * load(int(at)))
		when := t0.Add(time.Duration(at * float64(time.Second)))
		heap.Push(&queue, call{at: when, a: Attempt{Customer: "c", Number: 1, Deadline: when.Add(patience)}})
	}
	done := make([]float64, seconds+10)
	free := make([]time.Time, servers)
	for queue.Len() > 0 {
		c := heap.Pop(&queue).(call)
		if c.a.Number == 1 {
			p.First(c.a.Customer, c.at)
		}
		s := &free[rng.IntN(servers)]
		if s.Before(c.at) {
			*s = c.at
		}
		if s.Sub(c.at) <= queueMost {
			*s = s.Add(service)
			if n := int(s.Sub(t0) / time.Second); n < len(done) {
				done[n] += 1 / capacity
			}
			continue
		}
		*s = s.Add(refusal)
		err := api.NotRun(api.StepQueue, "", api.ReasonQueueFull, nil)
		if d := p.Next(c.a, err, 0, true, c.at, rng); d.Retry {
			c.at = c.at.Add(d.After)
			c.a.Number++
			heap.Push(&queue, c)
		}
	}
	return done[:seconds]
}

func mean(v []float64) float64 {
	var s float64
	for _, x := range v {
		s += x
	}
	return s / float64(len(v))
}

// Load rises to 1.3 for half a minute and falls back to 0.7. Refusing costs the
// targets a tenth of a request. Callers who are refused come back; without a
// budget their retries leave no time for requests, so that all are refused, and
// this goes on after the load has fallen (a metastable state).
func TestBudgetPreventsMetastableCollapse(t *testing.T) {
	load := func(s int) float64 {
		if s >= 10 && s < 40 {
			return 1.3
		}
		return 0.7
	}
	many := Options{MaxAttempts: 30, MaxBackoff: 100 * time.Millisecond}
	free := many
	free.Customer = BudgetOptions{PerRequest: 1000, Max: 1000}
	free.Overall = free.Customer
	for seed := range uint64(5) {
		with := crowd(New(many, counts{}), load, 90, rnd(seed))
		without := crowd(New(free, counts{}), load, 90, rnd(seed))
		t.Logf("seed %d: goodput at 1.3 and after: %.2f and %.2f with the budget, %.2f and %.2f without",
			seed, mean(with[20:40]), mean(with[60:90]), mean(without[20:40]), mean(without[60:90]))
		if mean(with[20:40]) < 0.85 || mean(with[60:90]) < 0.6 {
			t.Errorf("seed %d: goodput fell with the budget", seed)
		}
		if mean(without[20:40]) > 0.4 || mean(without[60:90]) > 0.4 {
			t.Errorf("seed %d: no collapse without the budget: the test shows nothing", seed)
		}
	}
}
