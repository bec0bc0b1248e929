package relay

import (
	"sync"

	"almondseam.dev/core/api"
)

// maxRecentCosts is the number of recent costs that are kept for each service, enough to rank a
// cost to within a few percent.
const maxRecentCosts = 64

// costRanks ranks the expected cost of a generation among the recent generations of its
// service. It is safe for concurrent use.
type costRanks struct {
	mu     sync.Mutex
	recent map[api.ServiceID]*ring
}

type ring struct {
	values []int
	next   int
}

func newCostRanks() *costRanks { return &costRanks{recent: make(map[api.ServiceID]*ring)} }

// prefillPerOutputToken is the number of prompt tokens that an engine processes, besides running
// streams, in the time in which it generates one token: about seven prompt tokens per
// millisecond, against one generated token in twelve milliseconds.
const prefillPerOutputToken = 80

// cost returns the expected cost of a generation to an engine: the KV cache that it occupies,
// in tokens, multiplied by its duration in units of the time of one generated token. The
// duration follows from the caller's estimate of the output length.
func cost(a *Ask, tokens int) int {
	return tokens * (a.LikelyTokens + a.PromptTokens/prefillPerOutputToken)
}

// rank adds a cost to the recent ones of a service and returns its rank among them, from 0 for
// the lowest to 1. It returns 0.5 if there is no recent cost to compare it with. A cost of zero
// is unknown: it has rank 0.5 and is not added.
func (l *costRanks) rank(s api.ServiceID, cost int) float64 {
	if cost <= 0 {
		return 0.5
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recent[s]
	if r == nil {
		r = &ring{}
		l.recent[s] = r
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
	if len(r.values) < maxRecentCosts {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % maxRecentCosts
}
