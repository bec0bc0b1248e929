package retrybudget

import "time"

// localShare is the fraction of the ratio that entries use without asking the pool. A retry
// is allowed by the requests of the window that ends with it. The retries of any one window
// are thus allowed by requests of that window and of the one before it, and the bound is
// computed from the larger of the two: with one half it holds however the load changes.
const localShare = 0.5

const (
	bucketsPerWindow = 20
	// bucketCount is one more than bucketsPerWindow, so that the retries of a whole window are
	// counted wherever in a bucket the window begins.
	bucketCount = bucketsPerWindow + 1
)

// LocalBudget is the part of a service's budget that one entry uses by itself: a ring of
// buckets over a window. It needs no messages, so it also serves an entry that reaches no
// member of the control group.
type LocalBudget struct {
	limits  Limits
	started time.Time
	buckets [bucketCount]bucket
}

// bucket counts the requests and the retries of one interval.
type bucket struct {
	// index is the number of intervals since the budget was created, -1 for an empty bucket.
	index    int64
	began    time.Time
	requests int
	retries  int
}

// NewLocalBudget returns a budget without requests.
func NewLocalBudget(l Limits, now time.Time) *LocalBudget {
	lb := &LocalBudget{limits: l, started: now}
	for i := range lb.buckets {
		lb.buckets[i].index = -1
	}
	return lb
}

// index returns the bucket index of a time. It uses the monotonic clock, because retries already
// taken would no longer be counted after the wall clock was set back.
func (lb *LocalBudget) index(now time.Time) int64 {
	return int64(now.Sub(lb.started) / (lb.limits.Window / bucketsPerWindow))
}

// current returns the bucket for now, which it clears if it is of an earlier turn of the ring.
func (lb *LocalBudget) current(now time.Time) *bucket {
	n := lb.index(now)
	current := &lb.buckets[n%bucketCount]
	if current.index != n {
		*current = bucket{index: n, began: now}
	}
	return current
}

// First counts a request that is sent for the first time.
func (lb *LocalBudget) First(now time.Time) { lb.current(now).requests++ }

// Verdict is the decision on a retry, with the figures that it is based on.
type Verdict struct {
	OK bool
	// Used is the number of earlier retries in the window, Allowed the number allowed in it.
	Used    int
	Allowed float64
}

// Take takes one retry if the entry's own requests allow it.
func (lb *LocalBudget) Take(now time.Time) Verdict {
	current := lb.current(now)
	requests, retries := 0, 0
	for i := range lb.buckets {
		b := &lb.buckets[i]
		if b.index < 0 || current.index-b.index >= bucketCount {
			continue
		}
		retries += b.retries
		// After the machine was suspended, only the wall clock shows how old requests are.
		if current.index-b.index < bucketsPerWindow && within(b.began, now, lb.limits.Window) {
			requests += b.requests
		}
	}
	v := Verdict{Used: retries, Allowed: localShare * lb.limits.Ratio * float64(requests)}
	v.OK = float64(retries+1) <= v.Allowed
	if v.OK {
		current.retries++
	}
	return v
}

// GiveBack returns a retry that was not sent; taken is when it was taken.
func (lb *LocalBudget) GiveBack(taken time.Time) {
	n := lb.index(taken)
	if at := &lb.buckets[n%bucketCount]; at.index == n && at.retries > 0 {
		at.retries--
	}
}
