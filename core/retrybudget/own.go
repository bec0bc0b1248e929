package retrybudget

import "time"

// ownShare is the part of the ratio that entries use by themselves. Requests of the
// last window pay for a retry. In a window that is judged, they come from that one and
// the one before, and the bound goes by the larger of the two: at a half the sum holds
// for any change of load.
const ownShare = 0.5

const (
	bucketsPerWindow = 20
	// bucketCount is one more, so that retries of a whole window are counted at any
	// moment of a bucket.
	bucketCount = bucketsPerWindow + 1
)

// LocalBudget is an entry's own part of the budget of one service: a ring of buckets over a
// window. It needs no message, so that it also serves an entry that reaches no control
// member.
type LocalBudget struct {
	limits  Limits
	started time.Time
	buckets [bucketCount]bucket
}

type bucket struct {
	number  int64
	began   time.Time
	firsts  int
	retries int
}

// NewLocalBudget makes a budget without requests.
func NewLocalBudget(l Limits, now time.Time) *LocalBudget {
	o := &LocalBudget{limits: l, started: now}
	for i := range o.buckets {
		o.buckets[i].number = -1
	}
	return o
}

// number gives the bucket of a time by the steady clock: the time of day may jump back,
// and what was spent since would be forgotten.
func (o *LocalBudget) number(now time.Time) int64 {
	return int64(now.Sub(o.started) / (o.limits.Window / bucketsPerWindow))
}

func (o *LocalBudget) at(now time.Time) *bucket {
	n := o.number(now)
	at := &o.buckets[n%bucketCount]
	if at.number != n {
		*at = bucket{number: n, began: now}
	}
	return at
}

// First counts a request's first send.
func (o *LocalBudget) First(now time.Time) { o.at(now).firsts++ }

// Verdict tells whether a retry was allowed, and by which figures.
type Verdict struct {
	OK bool
	// Used counts the retries in the window before this one, Allowed is how many there
	// may be.
	Used    int
	Allowed float64
}

// Take takes one retry if the entry's own requests pay for it.
func (o *LocalBudget) Take(now time.Time) Verdict {
	at := o.at(now)
	firsts, retries := 0, 0
	for i := range o.buckets {
		b := &o.buckets[i]
		if b.number < 0 || at.number-b.number >= bucketCount {
			continue
		}
		retries += b.retries
		// Requests from before a suspension of the machine are too old by the time of day.
		if at.number-b.number < bucketsPerWindow && within(b.began, now, o.limits.Window) {
			firsts += b.firsts
		}
	}
	v := Verdict{Used: retries, Allowed: ownShare * o.limits.Ratio * float64(firsts)}
	v.OK = float64(retries+1) <= v.Allowed
	if v.OK {
		at.retries++
	}
	return v
}

// GiveBack returns a retry, taken at a time, that was not sent.
func (o *LocalBudget) GiveBack(taken time.Time) {
	n := o.number(taken)
	if at := &o.buckets[n%bucketCount]; at.number == n && at.retries > 0 {
		at.retries--
	}
}
