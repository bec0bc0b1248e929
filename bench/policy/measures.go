package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stallAfter is the gap between two tokens of a started answer from which on
// the whole gap counts as stall time.
const stallAfter = 500 * time.Millisecond

// measures is what one run gave.
type measures struct {
	gaps        *hdrhistogram.Histogram
	first       *hdrhistogram.Histogram
	firstTag    *hdrhistogram.Histogram
	stall       time.Duration
	preemptions int
	yields      int
	// told counts calls that came back when told to, taken those of them that
	// were accepted.
	told, taken int
	redone      int
	wasted      int
	goodTokens  int
	good        int
	calls       int
	starts      int
	reasons     map[string]int
	// asked and served are tokens per customer.
	asked, served []float64
	// bounds counts answers asked for and within the 90% bound, per kind, at
	// the start and after 100 tokens.
	bounds map[string][2]ratio
	// waits compares the predicted wait with the real one.
	waits []waitPair
	// goodAt is the tokens of completed answers by the second of their end.
	goodAt map[int]int
}

type ratio struct{ held, asked int }

type waitPair struct{ said, real float64 }

func newMeasures(customers int) *measures {
	return &measures{
		gaps:     hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		first:    hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
		firstTag: hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
		reasons:  map[string]int{},
		asked:    make([]float64, customers),
		served:   make([]float64, customers),
		bounds:   map[string][2]ratio{},
		goodAt:   map[int]int{},
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A gap beyond the histogram's range counts as its largest value.
	v := min(d.Microseconds(), h.HighestTrackableValue())
	_ = h.RecordValue(max(v, 1))
}

func (m *measures) offered(c *call) {
	m.calls++
	m.asked[c.customer] += float64(c.prompt + c.output)
}

func (m *measures) started(c *call) {
	m.starts++
	if c.bound90 > 0 {
		m.waits = append(m.waits, waitPair{c.waitSaid.Seconds(), (c.started - c.offered).Seconds()})
	}
}

// token notes one delivered token.
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

// stalledOut counts the gap of a caller that left in the middle of it.
func (m *measures) stalledOut(c *call, now time.Duration) {
	m.stall += now - c.last
	record(m.gaps, now-c.last)
}

func (m *measures) completed(c *call) {
	m.good++
	m.goodTokens += c.delivered
	m.goodAt[int(c.last/time.Second)] += c.delivered
	m.served[c.customer] += float64(c.prompt + c.output)
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

func (r *ratio) count(held bool) {
	r.asked++
	if held {
		r.held++
	}
}

func (m *measures) failed(c *call, reason string) { m.reasons[reason]++ }

// fairness is Jain's index over customers of what each was served relative to
// its max-min fair part of all that was served; 1 is best.
func (m *measures) fairness() float64 {
	total := 0.0
	for _, s := range m.served {
		total += s
	}
	fair := maxMin(m.asked, total)
	var sum, squares float64
	for i, s := range m.served {
		x := 1.0
		if fair[i] > 0 {
			x = s / fair[i]
		}
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(m.served)) * squares)
}

// maxMin gives each demand its max-min fair part of total.
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
