package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

// seeds of the random runs; one that showed a fault is added and stays.
var seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}

// job is a request of a random run with its true length.
type job struct {
	Request
	output  int
	done    int
	started time.Time
}

// site drives a controller as an agent would, one step of time after another,
// with an engine that runs whatever was started and preempts nothing.
type site struct {
	t    *testing.T
	c    *Controller
	rng  *rand.Rand
	now  time.Time
	wait map[api.RequestID]*job
	run  []*job
	ends []*job
	n    int
}

func newSite(t *testing.T, seed uint64, cfg Config) *site {
	return &site{
		t: t, c: newTest(cfg), rng: rand.New(rand.NewPCG(seed, 7)), now: epoch,
		wait: map[api.RequestID]*job{},
	}
}

// arrive offers a request of customer i.
func (s *site) arrive(i int) {
	s.n++
	j := &job{Request: note("r"+strconv.Itoa(s.n), api.CustomerID(strconv.Itoa(i)), 20+s.rng.IntN(200)), output: 150 + s.rng.IntN(100)}
	if s.rng.IntN(2) == 0 {
		j.Request, j.output = tag("r"+strconv.Itoa(s.n), j.Customer, 20+s.rng.IntN(50)), 5+s.rng.IntN(10)
	}
	if s.rng.IntN(3) == 0 {
		j.Prefix, j.PrefixTokens = 1+s.rng.Uint64N(3), 16
	}
	j.Arrived = s.now
	v := s.c.Offer(j.Request, s.now)
	if v.Queued {
		s.wait[j.ID] = j
		return
	}
	qt.Assert(s.t, v.RetryAfter > 0, qt.IsTrue)
}

// step starts what may start, checks the promise, and produces one token each.
func (s *site) step() {
	s.now = s.now.Add(20 * time.Millisecond)
	starts := s.c.Next(s.now)
	for _, st := range starts {
		j := s.wait[st.ID]
		delete(s.wait, st.ID)
		j.started = s.now
		s.run = append(s.run, j)
	}
	s.check(starts)
	for _, j := range slices.Clone(s.run) {
		j.done++
		s.c.Progress(j.ID, 1, j.done, s.now)
		if j.done == j.output {
			s.c.Done(j.ID, 1, j.done, s.now)
			s.ends = append(s.ends, j)
			s.run = slices.DeleteFunc(s.run, func(o *job) bool { return o == j })
		}
	}
}

// check asserts that what a start commits to stays under the capacity, with the
// whole margin free after a note and its part after a tag, and that the sums kept
// along the way are those of the running sequences.
func (s *site) check(starts []Start) {
	c := s.c
	margin := c.margin
	for _, st := range starts {
		if st.Priority == priorityTag {
			margin = c.margin * tagMargin
		}
	}
	if len(starts) > 0 && len(c.running) > 1 {
		qt.Assert(s.t, c.load.peak(margin) <= float64(c.cfg.Capacity)+0.001, qt.IsTrue)
	}
	prefill, preempted := 0, 0
	var sum forecast
	for _, p := range c.prefixes {
		sum.shift(float64(p.tokens))
	}
	for _, q := range c.running {
		sum.add(&q.part)
		if q.prefilling {
			prefill += q.uncached
		}
		if q.preempted {
			preempted++
		}
	}
	same := prefill == c.prefill && preempted == c.preempted && len(c.byID) == len(c.running)+c.queue.len
	for i := range points {
		same = same && math.Abs(sum.mean[i]-c.load.mean[i]) < 0.01
	}
	// One assertion a step: each costs more than the step itself.
	if !same {
		qt.Assert(s.t, []any{prefill, preempted, len(c.running) + c.queue.len, sum.mean}, qt.DeepEquals,
			[]any{c.prefill, c.preempted, len(c.byID), c.load.mean})
	}
}

// TestCommittedStaysUnderCapacity mixes offers, ends, cancels, preemptions,
// yields and bids: at no start does the predicted peak pass the capacity.
func TestCommittedStaysUnderCapacity(t *testing.T) {
	for _, seed := range seeds {
		s := newSite(t, seed, Config{Capacity: 3000, QueueLimit: 40, PrefillBudget: 400})
		for range 3000 {
			if s.rng.IntN(4) == 0 {
				s.arrive(s.rng.IntN(5))
			}
			s.disturb()
			s.step()
		}
		qt.Check(t, len(s.ends) > 100, qt.IsTrue)
	}
}

// disturb makes one random thing happen now and then.
func (s *site) disturb() {
	switch s.rng.IntN(40) {
	case 0:
		id := api.RequestID("r" + strconv.Itoa(s.rng.IntN(s.n+1)))
		_, waits := s.wait[id]
		qt.Assert(s.t, s.c.Cancel(id, 1, s.now), qt.Equals, waits)
		delete(s.wait, id)
		s.run = slices.DeleteFunc(s.run, func(j *job) bool { return j.ID == id })
	case 1:
		if len(s.run) > 0 {
			s.c.Preempted(s.run[s.rng.IntN(len(s.run))].ID, 1, s.now)
		}
	case 2:
		if id, ok := s.c.Yield(0); ok {
			i := slices.IndexFunc(s.run, func(j *job) bool { return j.ID == id })
			qt.Assert(s.t, s.run[i].done, qt.Equals, 0)
			s.wait[id] = s.run[i]
			s.run = slices.Delete(s.run, i, i+1)
		}
	case 3:
		s.c.Bid(note("bid"+strconv.Itoa(s.n), "b", 100), s.now)
	}
}

// TestNobodyStarves: one customer floods the target for two minutes, three
// others ask now and then. All that was accepted starts, the small customers'
// requests soon, and the flood's own order is kept.
func TestNobodyStarves(t *testing.T) {
	for _, seed := range seeds[:6] {
		s := newSite(t, seed, Config{Capacity: 3000, QueueLimit: 60, PrefillBudget: 400, AgeBound: 15 * time.Second})
		var worst time.Duration
		for i := range 6000 {
			if i%5 == 0 {
				s.arrive(0)
			}
			if i%150 == 0 {
				s.arrive(1 + s.rng.IntN(3))
			}
			s.step()
		}
		for range 3000 {
			s.step()
		}
		qt.Assert(t, s.wait, qt.HasLen, 0)
		for _, j := range s.ends {
			if j.Customer != "0" {
				worst = max(worst, j.started.Sub(j.Arrived))
			}
		}
		qt.Check(t, worst < 15*time.Second, qt.IsTrue, qt.Commentf("seed %d: %s", seed, worst))
	}
}

// TestFloodDoesNotTakeOthersShare: two customers with always something waiting,
// one with weight 3, are served in that proportion by tokens.
func TestFloodDoesNotTakeOthersShare(t *testing.T) {
	for _, seed := range seeds[:6] {
		s := newSite(t, seed, Config{Capacity: 3000, QueueLimit: 60, PrefillBudget: 400, AgeBound: time.Hour})
		for i := range 10_000 {
			for k := range 2 {
				s.n++
				r := note("w"+strconv.Itoa(s.n), api.CustomerID(strconv.Itoa(k)), 100)
				r.Weight = 1 + 2*k
				r.Arrived = s.now
				if v := s.c.Offer(r, s.now); v.Queued {
					s.wait[r.ID] = &job{Request: r, output: 150 + s.rng.IntN(100)}
				}
			}
			if i%10 == 0 {
				s.step()
			}
		}
		served := map[api.CustomerID]float64{}
		for _, j := range s.ends {
			served[j.Customer] += float64(j.Prompt + j.output)
		}
		part := served["1"] / served["0"]
		qt.Check(t, part > 2.5 && part < 3.5, qt.IsTrue, qt.Commentf("seed %d: %.2f", seed, part))
	}
}
