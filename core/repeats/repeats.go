// Package repeats is the budget for sending requests to a further target. All
// entries together may repeat a share of a service's requests and a little more in
// any window; each entry keeps to its part by itself, so that no message is needed
// when the fleet is in trouble. Not safe for concurrent use.
package repeats

import "time"

// Limits of the whole fleet.
type Limits struct {
	// Ratio is the share of a service's requests that may be repeated.
	Ratio float64
	// Slack is how many repeats are allowed in a window besides.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// headroom keeps an entry a little under its part: windows slide, and a repeat
// counts when it arrives, not when it is sent.
const headroom = 0.8

// Budget is one entry's budget for one service: a ring of buckets over a window.
type Budget struct {
	limits  Limits
	buckets [bucketCount]bucket
}

const bucketCount = 20

type bucket struct {
	number  int64
	firsts  int
	repeats int
}

// New makes a budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

func (b *Budget) at(now time.Time) *bucket {
	n := now.UnixNano() / int64(b.limits.Window/bucketCount)
	at := &b.buckets[n%bucketCount]
	if at.number != n {
		*at = bucket{number: n}
	}
	return at
}

// First counts a request's first send.
func (b *Budget) First(now time.Time) { b.at(now).firsts++ }

// Verdict tells whether a repeat was allowed, and by which figures.
type Verdict struct {
	OK bool
	// Used counts the repeats in the window before this one, Allowed is how many
	// there may be.
	Used    int
	Allowed float64
}

// Take takes one repeat if the budget allows it. parts is among how many entries
// the slack is shared.
func (b *Budget) Take(now time.Time, parts int) Verdict {
	at := b.at(now)
	firsts, repeats := 0, 0
	for _, x := range b.buckets {
		if at.number-x.number < bucketCount {
			firsts += x.firsts
			repeats += x.repeats
		}
	}
	v := Verdict{Used: repeats, Allowed: headroom * (b.limits.Ratio*float64(firsts) + b.limits.Slack/float64(max(parts, 1)))}
	v.OK = float64(repeats+1) <= v.Allowed
	if v.OK {
		at.repeats++
	}
	return v
}

// GiveBack returns a repeat, taken at a time, that was not sent after all.
func (b *Budget) GiveBack(taken time.Time) {
	if at := b.at(taken); at.repeats > 0 {
		at.repeats--
	}
}
