package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/api"
)

const (
	targets        = 4
	serviceTime    = 100 * time.Millisecond
	refusalTime    = 10 * time.Millisecond
	maxQueueWait   = 400 * time.Millisecond
	callerDeadline = 5 * time.Second
)

// arrival is one attempt and the time at which it reaches a target.
type arrival struct {
	at      time.Time
	attempt Attempt
}

// arrivalHeap is a min-heap of arrivals by time.
type arrivalHeap []arrival

func (h arrivalHeap) Len() int           { return len(h) }
func (h arrivalHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h arrivalHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *arrivalHeap) Push(x any)        { *h = append(*h, x.(arrival)) }
func (h *arrivalHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulateGoodput simulates targets that serve one request at a time and spend
// time on refusals too. load is the arrival rate of new requests relative to the
// capacity of the targets. It returns the requests served in each second, relative
// to that capacity.
func simulateGoodput(p *Policy, load func(second int) float64, seconds int, rng *rand.Rand) []float64 {
	var queue arrivalHeap
	capacity := float64(targets) / serviceTime.Seconds()
	for at := 0.0; at < float64(seconds); {
		at += rng.ExpFloat64() / (capacity * load(int(at)))
		when := t0.Add(time.Duration(at * float64(time.Second)))
		heap.Push(&queue, arrival{at: when, attempt: Attempt{Customer: "c", Number: 1, Deadline: when.Add(callerDeadline)}})
	}
	served := make([]float64, seconds+10)
	freeAt := make([]time.Time, targets)
	for queue.Len() > 0 {
		next := heap.Pop(&queue).(arrival)
		if next.attempt.Number == 1 {
			p.First(next.attempt.Customer, next.at)
		}
		target := &freeAt[rng.IntN(targets)]
		if target.Before(next.at) {
			*target = next.at
		}
		if target.Sub(next.at) <= maxQueueWait {
			*target = target.Add(serviceTime)
			if n := int(target.Sub(t0) / time.Second); n < len(served) {
				served[n] += 1 / capacity
			}
			continue
		}
		*target = target.Add(refusalTime)
		err := api.NotRun(api.StepQueue, "", api.ReasonQueueFull, nil)
		if d := p.Next(next.attempt, err, 0, true, next.at, rng); d.Retry {
			next.at = next.at.Add(d.After)
			next.attempt.Number++
			heap.Push(&queue, next)
		}
	}
	return served[:seconds]
}

func mean(v []float64) float64 {
	var s float64
	for _, x := range v {
		s += x
	}
	return s / float64(len(v))
}

// Guards against metastable collapse. The load rises to 1.3 of the capacity for
// half a minute and falls back to 0.7. A refusal costs a target a tenth of the
// time that a request takes, and refused requests are retried. Without a budget
// the retries leave the targets no time to serve requests, so that nearly all are
// refused, and this goes on after the load has fallen.
func TestBudgetPreventsMetastableCollapse(t *testing.T) {
	load := func(s int) float64 {
		if s >= 10 && s < 40 {
			return 1.3
		}
		return 0.7
	}
	budgeted := Options{MaxAttempts: 30, MaxBackoff: 100 * time.Millisecond}
	unbudgeted := budgeted
	unbudgeted.Customer = BudgetOptions{PerRequest: 1000, Max: 1000}
	unbudgeted.Overall = unbudgeted.Customer
	for seed := range uint64(5) {
		with := simulateGoodput(New(budgeted, fakeMeter{}), load, 90, newRand(seed))
		without := simulateGoodput(New(unbudgeted, fakeMeter{}), load, 90, newRand(seed))
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
