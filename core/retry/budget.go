package retry

import (
	"sync"
	"time"

	"almondseam.dev/core/api"
)

// BudgetOptions configures one retry budget, a token bucket. A retry after a
// refusal costs one token.
type BudgetOptions struct {
	// PerRequest is the number of tokens that each request's first attempt adds;
	// 0.1 allows one retry per ten requests.
	PerRequest float64
	// PerSecond is the number of tokens added per second regardless of traffic,
	// so that a customer with few requests can retry too.
	PerSecond float64
	// Max is the capacity of the bucket, so that tokens collected in a quiet hour
	// do not pay for a burst of retries under overload.
	Max float64
}

// bucket is the token bucket of one budget. Its lock is held only for a few
// instructions.
type bucket struct {
	mu       sync.Mutex
	tokens   float64
	filledAt time.Time
}

// fill adds the tokens for the time since the last call. The first call fills
// the bucket to Max.
func (b *bucket) fill(r BudgetOptions, now time.Time) {
	if b.filledAt.IsZero() {
		b.tokens, b.filledAt = r.Max, now
		return
	}
	if d := now.Sub(b.filledAt); d > 0 {
		b.tokens += r.PerSecond * d.Seconds()
		b.filledAt = now
	}
	// Max may have been lowered since the last call.
	b.tokens = min(r.Max, b.tokens)
}

func (b *bucket) deposit(r BudgetOptions, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(r, now)
	b.tokens = min(r.Max, b.tokens+r.PerRequest)
}

func (b *bucket) withdraw(r BudgetOptions, cost float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(r, now)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

func (b *bucket) refund(cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += cost
}

// budgets holds one bucket per customer and one shared by all customers.
type budgets struct {
	overall     bucket
	perCustomer sync.Map // api.CustomerID to *bucket
}

func (b *budgets) customer(c api.CustomerID) *bucket {
	if v, ok := b.perCustomer.Load(c); ok {
		return v.(*bucket)
	}
	v, _ := b.perCustomer.LoadOrStore(c, &bucket{})
	return v.(*bucket)
}

func (b *budgets) depositBoth(o *Options, c api.CustomerID, now time.Time) {
	b.customer(c).deposit(o.Customer, now)
	b.overall.deposit(o.Overall, now)
}

// withdrawBoth takes the cost of one retry from both the customer's and the overall
// bucket, or from neither.
func (b *budgets) withdrawBoth(o *Options, c api.CustomerID, cost float64, now time.Time) bool {
	own := b.customer(c)
	if !own.withdraw(o.Customer, cost, now) {
		return false
	}
	if !b.overall.withdraw(o.Overall, cost, now) {
		own.refund(cost)
		return false
	}
	return true
}
