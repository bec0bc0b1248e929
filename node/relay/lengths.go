package relay

import (
	"sync"

	"almondseam.dev/core/api"
)

// lengthsKept is how many costs a ranking holds: enough for a rank to a few parts in
// a hundred.
const lengthsKept = 64

// lengths ranks what generations are likely to cost, by their callers' guesses of
// their lengths, among those of late on each service. It is safe for concurrent use.
type lengths struct {
	mu   sync.Mutex
	late map[api.ServiceID]*ring
}

type ring struct {
	values []int
	next   int
}

func newLengths() *lengths { return &lengths{late: make(map[api.ServiceID]*ring)} }

// readWeight is how many tokens of a prompt an engine reads, beside running streams,
// while it makes one: some seven a millisecond against one in twelve.
const readWeight = 80

// cost is what a generation takes of an engine, in tokens of memory times the time
// of one token.
func cost(a *Ask, tokens int) int {
	return tokens * (a.LikelyTokens + a.PromptTokens/readWeight)
}

// rank takes a cost and gives its rank, 0 for the lowest to 1; without one, or others
// to compare it with, the middle.
func (l *lengths) rank(s api.ServiceID, cost int) float64 {
	if cost <= 0 {
		return 0.5
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.late[s]
	if r == nil {
		r = &ring{}
		l.late[s] = r
	}
	below := 0
	for _, v := range r.values {
		if v < cost {
			below++
		}
	}
	n := len(r.values)
	r.put(cost)
	return (float64(below) + 0.5) / float64(n+1)
}

func (r *ring) put(v int) {
	if len(r.values) < lengthsKept {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % lengthsKept
}
