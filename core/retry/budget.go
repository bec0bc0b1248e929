package retry

import (
	"sync"
	"time"

	"almondseam.dev/core/api"
)

// BudgetOptions sets one budget: how many retries go with how many first tries.
type BudgetOptions struct {
	// PerRequest is what a first try adds; 0.1 allows one retry for ten.
	PerRequest float64
	// PerSecond is added by time alone: a customer with few requests may retry
	// too.
	PerSecond float64
	// Max bounds what is saved up, so that a quiet hour does not pay for a
	// burst of retries in the crowded one.
	Max float64
}

// bucket is a budget under way. Its lock is held for a few instructions.
type bucket struct {
	mu    sync.Mutex
	level float64
	at    time.Time
}

// fill adds what time gives; the first call fills up to Max.
func (b *bucket) fill(r BudgetOptions, now time.Time) {
	if b.at.IsZero() {
		b.level, b.at = r.Max, now
		return
	}
	if d := now.Sub(b.at); d > 0 {
		b.level += r.PerSecond * d.Seconds()
		b.at = now
	}
	// Max may have been lowered since.
	b.level = min(r.Max, b.level)
}

func (b *bucket) deposit(r BudgetOptions, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(r, now)
	b.level = min(r.Max, b.level+r.PerRequest)
}

func (b *bucket) withdraw(r BudgetOptions, cost float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(r, now)
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

func (b *bucket) refund(cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level += cost
}

// budgets holds the bucket of each customer and the one over all.
type budgets struct {
	all  bucket
	each sync.Map // api.CustomerID to *bucket
}

func (b *budgets) of(c api.CustomerID) *bucket {
	if v, ok := b.each.Load(c); ok {
		return v.(*bucket)
	}
	v, _ := b.each.LoadOrStore(c, &bucket{})
	return v.(*bucket)
}

func (b *budgets) first(o *Options, c api.CustomerID, now time.Time) {
	b.of(c).deposit(o.Customer, now)
	b.all.deposit(o.Overall, now)
}

// take pays for one retry from both budgets or from none.
func (b *budgets) take(o *Options, c api.CustomerID, cost float64, now time.Time) bool {
	own := b.of(c)
	if !own.withdraw(o.Customer, cost, now) {
		return false
	}
	if !b.all.withdraw(o.Overall, cost, now) {
		own.refund(cost)
		return false
	}
	return true
}
