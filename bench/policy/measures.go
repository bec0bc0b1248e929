package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stallAfter is the longest gap between two tokens of an answer that is not a
// stall. A longer gap counts as stall time as a whole.
const stallAfter = 500 * time.Millisecond

// measures holds the results of one run.
type measures struct {
	gaps        *hdrhistogram.Histogram
	first       *hdrhistogram.Histogram
	firstTag    *hdrhistogram.Histogram
	stall       time.Duration
	preemptions int
	yields      int
	// timedRetry counts the calls that are retries after a delay given with a
	// refusal; timedAccepted counts those of them that were accepted.
	timedRetry, timedAccepted int
	recomputedTokens          int
	discardedTokens           int
	goodTokens                int
	completions               int
	calls                     int
	starts                    int
	reasons                   map[string]int
	// requestedTokens and servedTokens are the tokens of each customer.
	requestedTokens, servedTokens []float64
	// bounds counts, for each kind, the completed answers and those of them within
	// the 90% length bound, as predicted at the start and after 100 tokens.
	bounds map[string][2]ratio
	// waits holds, for each start of a call by a controllerGate, the wait predicted
	// at the offer and the actual one.
	waits []waitPair
	// goodTokensBySecond counts the tokens of completed answers by the second in
	// which the answer ended.
	goodTokensBySecond map[int]int
}

type ratio struct{ within, total int }

type waitPair struct{ predicted, actual float64 }

func newMeasures(customers int) *measures {
	return &measures{
		gaps:               hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		first:              hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
		firstTag:           hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
		reasons:            map[string]int{},
		requestedTokens:    make([]float64, customers),
		servedTokens:       make([]float64, customers),
		bounds:             map[string][2]ratio{},
		goodTokensBySecond: map[int]int{},
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A gap beyond the histogram's range counts as its largest value.
	v := min(d.Microseconds(), h.HighestTrackableValue())
	_ = h.RecordValue(max(v, 1))
}

func (m *measures) offered(c *call) {
	m.calls++
	m.requestedTokens[c.customer] += float64(c.prompt + c.output)
}

func (m *measures) started(c *call) {
	m.starts++
	if c.bound90 > 0 {
		m.waits = append(m.waits, waitPair{c.predictedWait.Seconds(), (c.started - c.offered).Seconds()})
	}
}

// token records one delivered token.
func (m *measures) token(c *call, now time.Duration) {
	if c.delivered == 0 {
		c.first = now
		record(m.first, now-c.arrived)
		if c.spec.class != 0 {
			record(m.firstTag, now-c.arrived)
		}
	} else {
		gap := now - c.last
		record(m.gaps, gap)
		if gap > stallAfter {
			m.stall += gap
		}
	}
	c.delivered++
	c.last = now
}

// stallAbandoned records the open gap of a caller that leaves during a stall.
func (m *measures) stallAbandoned(c *call, now time.Duration) {
	m.stall += now - c.last
	record(m.gaps, now-c.last)
}

func (m *measures) completed(c *call) {
	m.completions++
	m.goodTokens += c.delivered
	m.goodTokensBySecond[int(c.last/time.Second)] += c.delivered
	m.servedTokens[c.customer] += float64(c.prompt + c.output)
	if c.bound90 == 0 {
		return
	}
	b := m.bounds[c.spec.name]
	b[0].count(c.output <= c.bound90)
	if c.bound100 > 0 {
		b[1].count(c.output <= c.bound100)
	}
	m.bounds[c.spec.name] = b
}

func (r *ratio) count(within bool) {
	r.total++
	if within {
		r.within++
	}
}

func (m *measures) failed(c *call, reason string) { m.reasons[reason]++ }

// fairness returns Jain's index over the customers, computed on the ratio of the
// tokens served to the customer's max-min fair share of all tokens served; 1 is
// best.
func (m *measures) fairness() float64 {
	total := 0.0
	for _, s := range m.servedTokens {
		total += s
	}
	fair := maxMin(m.requestedTokens, total)
	var sum, squares float64
	for i, s := range m.servedTokens {
		x := 1.0
		if fair[i] > 0 {
			x = s / fair[i]
		}
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(m.servedTokens)) * squares)
}

// maxMin returns the max-min fair share of total for each demand.
func maxMin(demand []float64, total float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demand[a] < demand[b] {
			return -1
		}
		return 1
	})
	out := make([]float64, len(demand))
	for k, i := range order {
		out[i] = min(demand[i], total/float64(len(order)-k))
		total -= out[i]
	}
	return out
}

func sortCalls(list []*call) {
	slices.SortFunc(list, func(a, b *call) int {
		if len(a.id) != len(b.id) {
			return len(a.id) - len(b.id)
		}
		if a.id < b.id {
			return -1
		}
		return 1
	})
}
