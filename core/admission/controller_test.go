package admission

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
)

var epoch = time.Unix(1_000_000, 0)

// newTest returns a controller that has learned output lengths of about 200 tokens
// for notes and about 10 tokens for tags.
func newTest(cfg Config) *Controller {
	e := estimate.New(estimate.Config{})
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		e.Observe(estimate.Key{Kind: "note"}, 0, 150+rng.IntN(100), true)
		e.Observe(estimate.Key{Kind: "tag"}, 0, 5+rng.IntN(10), true)
	}
	return New(cfg, e)
}

func note(id string, customer api.CustomerID, prompt int) Request {
	return Request{ID: api.RequestID(id), Attempt: 1, Customer: customer, Kind: "note", Prompt: prompt, Arrived: epoch}
}

func tag(id string, customer api.CustomerID, prompt int) Request {
	r := note(id, customer, prompt)
	r.Kind, r.Class = "tag", ClassTag
	return r
}

func ids(starts []Start) []string {
	var out []string
	for _, s := range starts {
		out = append(out, string(s.ID))
	}
	return out
}

// offer queues all requests of the list and fails the test if one is refused.
func offer(t *testing.T, c *Controller, now time.Time, list ...Request) {
	t.Helper()
	for _, r := range list {
		v := c.Offer(r, now)
		qt.Assert(t, v.Refuse, qt.Equals, api.Reason(""))
		qt.Assert(t, v.Queued, qt.IsTrue)
	}
}

// finish ends the running sequence id after n tokens and returns the IDs of the
// sequences that start next.
func finish(c *Controller, id string, n int, now time.Time) []string {
	c.Done(api.RequestID(id), 1, n, now)
	return ids(c.Next(now))
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name  string
		queue int
		r     Request
		want  api.Reason
		retry bool
	}{
		{"prompt larger than memory", 0, note("x", "a", 5000), api.ReasonNeverFits, false},
		{"same request again", 1, note("q0", "a", 10), api.ReasonDuplicate, false},
		{"same request, later attempt", 1, Request{ID: "q0", Attempt: 2, Prompt: 10}, api.ReasonDuplicate, false},
		{"queue full", 8, note("x", "c", 10), api.ReasonQueueFull, true},
		{"customer's half of the queue full", 4, note("x", "a", 10), api.ReasonQueueFull, true},
		{"deadline before its turn", 4, Request{
			ID: "x", Attempt: 1, Customer: "c", Kind: "note", Prompt: 900, Arrived: epoch, Deadline: epoch.Add(time.Millisecond),
		}, api.ReasonDeadlineHopeless, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctl := newTest(Config{Capacity: 1000, QueueLimit: 8})
			for i := range c.queue {
				customer := api.CustomerID("a")
				if i >= 4 {
					customer = "b"
				}
				offer(t, ctl, epoch, note("q"+strconv.Itoa(i), customer, 900))
			}
			v := ctl.Offer(c.r, epoch)
			qt.Check(t, v.Queued, qt.IsFalse)
			qt.Check(t, v.Refuse, qt.Equals, c.want)
			qt.Check(t, v.RetryAfter > 0, qt.Equals, c.retry)
			if c.want != api.ReasonDuplicate {
				qt.Check(t, ctl.Bid(c.r, epoch).Refuse, qt.Equals, c.want)
			}
		})
	}
}

// TestLateWords guards against reports that arrive late, from a cancelled stream
// or from an attempt that was moved to another target. They must change nothing. A
// Done that ended the wrong attempt would count memory as free that is in use.
func TestLateWords(t *testing.T) {
	cases := []struct {
		name   string
		report func(c *Controller)
	}{
		{"done for an unknown sequence", func(c *Controller) { c.Done("none", 1, 5, epoch) }},
		{"done for another attempt", func(c *Controller) { c.Done("run", 2, 5, epoch) }},
		{"done for a queued one", func(c *Controller) { c.Done("wait", 1, 5, epoch) }},
		{"progress for another attempt", func(c *Controller) { c.Progress("run", 2, 50, epoch) }},
		{"progress with a smaller count", func(c *Controller) { c.Progress("run", 1, 3, epoch) }},
		{"preempted while queued", func(c *Controller) { c.Preempted("wait", 1, epoch) }},
		{"failed for an unknown sequence", func(c *Controller) { c.Failed("none", 1) }},
		{"cancel of an unknown request", func(c *Controller) {
			if c.Cancel("none", 1, epoch) {
				panic("Cancel returned true for an unknown request")
			}
		}},
		{"cancel of another attempt", func(c *Controller) {
			if c.Cancel("wait", 2, epoch) {
				panic("Cancel returned true for an attempt that is not queued")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctl := newTest(Config{Capacity: 1000})
			offer(t, ctl, epoch, note("run", "a", 800), note("wait", "a", 800))
			qt.Assert(t, ids(ctl.Next(epoch)), qt.DeepEquals, []string{"run"})
			ctl.Progress("run", 1, 5, epoch)
			before := ctl.predictedLoad
			c.report(ctl)
			qt.Check(t, ctl.predictedLoad, qt.Equals, before)
			qt.Check(t, ctl.byID["run"].produced, qt.Equals, 5)
			qt.Check(t, ctl.preempted, qt.Equals, 0)
			running, waiting, _ := ctl.Counts()
			qt.Check(t, []int{running, waiting}, qt.DeepEquals, []int{1, 1})
		})
	}
}

// TestCancelProvesOnlyTheQueued checks that Cancel returns true, which lets the
// caller be told "not run", only for a request that it removed from the queue. A
// started request may already be running in the engine.
func TestCancelProvesOnlyTheQueued(t *testing.T) {
	c := newTest(Config{Capacity: 1000})
	offer(t, c, epoch, note("run", "a", 800), note("wait", "a", 800))
	c.Next(epoch)
	qt.Check(t, c.Cancel("wait", 1, epoch), qt.IsTrue)
	qt.Check(t, c.Cancel("wait", 1, epoch), qt.IsFalse)
	qt.Check(t, c.Cancel("run", 1, epoch), qt.IsFalse)
	running, waiting, free := c.Counts()
	qt.Check(t, []int{running, waiting, free}, qt.DeepEquals, []int{0, 0, 1000})
}

func TestExpiredAreTakenOut(t *testing.T) {
	c := newTest(Config{Capacity: 1000})
	late := tag("late", "a", 800)
	late.Deadline = epoch.Add(5 * time.Second)
	offer(t, c, epoch, note("run", "a", 800), late)
	qt.Assert(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"late"})
	offer(t, c, epoch, Request{ID: "x", Attempt: 3, Customer: "b", Kind: "tag", Class: ClassTag, Prompt: 800, Deadline: epoch.Add(5 * time.Second)})
	qt.Check(t, c.Expired(epoch.Add(4*time.Second)), qt.HasLen, 0)
	qt.Check(t, c.Expired(epoch.Add(6*time.Second)), qt.DeepEquals, []Start{{ID: "x", Attempt: 3}})
	qt.Check(t, c.Cancel("x", 3, epoch), qt.IsFalse)
}

// TestPreemptedMidDecode preempts a running sequence while another one waits. If
// the waiting one started, it would take the memory that the preempted sequence
// needs to resume, and the caller of the latter would wait even longer.
func TestPreemptedMidDecode(t *testing.T) {
	c := newTest(Config{Capacity: 2000})
	offer(t, c, epoch, note("a", "a", 100))
	c.Next(epoch)
	c.Progress("a", 1, 40, epoch)
	margin := c.margin
	c.Preempted("a", 1, epoch)
	offer(t, c, epoch, note("b", "b", 100))
	qt.Check(t, ids(c.Next(epoch)), qt.HasLen, 0)
	qt.Check(t, c.margin > margin, qt.IsTrue)
	c.Progress("a", 1, 41, epoch)
	qt.Check(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"b"})
}

func TestBurstRaisesMarginOnce(t *testing.T) {
	c := newTest(Config{Capacity: 2000, Margin: 1, MarginStep: 0.5, MarginEvery: 10 * time.Second})
	for i := range 12 {
		c.Preempted("", 0, epoch.Add(time.Duration(i)*100*time.Millisecond))
	}
	qt.Check(t, c.margin, qt.Equals, 1.5)
	c.Preempted("", 0, epoch.Add(20*time.Second))
	qt.Check(t, c.margin, qt.Equals, 2.0)
}

func TestTagsPassNotesUpToTheirShare(t *testing.T) {
	c := newTest(Config{Capacity: 600, TagShare: 0.5})
	offer(t, c, epoch, note("run", "z", 400))
	c.Next(epoch)
	offer(t, c, epoch, note("n1", "a", 400))
	for i := range 10 {
		offer(t, c, epoch, tag("t"+strconv.Itoa(i), "b", 400))
	}
	got := finish(c, "run", 200, epoch)
	for len(got) > 0 && got[len(got)-1] != "n1" {
		got = append(got, finish(c, got[len(got)-1], 10, epoch)...)
	}
	qt.Check(t, got, qt.DeepEquals, []string{"t0", "t1", "n1"})
}

// TestShortWorkIsNotStuck checks that a tag that fits starts although a note that
// does not fit was queued before it.
func TestShortWorkIsNotStuck(t *testing.T) {
	c := newTest(Config{Capacity: 1000, PrefillBudget: 10_000})
	offer(t, c, epoch, note("run", "a", 500), note("big", "a", 450), tag("small", "b", 20))
	qt.Check(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"small", "run"})
}

// TestTagUsesPartOfTheMargin checks that the margin prevents a note from starting
// but not a tag with a prompt of the same length, which ends before the memory of
// the margin is needed.
func TestTagUsesPartOfTheMargin(t *testing.T) {
	c := newTest(Config{Capacity: 1000, PrefillBudget: 10_000})
	offer(t, c, epoch, note("run", "a", 300))
	c.Next(epoch)
	c.margin = 1000
	offer(t, c, epoch, note("n", "a", 100))
	qt.Check(t, ids(c.Next(epoch)), qt.HasLen, 0)
	c.margin = c.predictedLoad.margin(float64(c.cfg.Capacity)) * 1.2
	offer(t, c, epoch, tag("t", "a", 100))
	qt.Check(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"t"})
}

// margin returns the largest margin, in steps of 0.01, at which the peak of f is
// within the capacity.
func (f *forecast) margin(capacity float64) float64 {
	m := 0.0
	for f.peak(m+0.01) <= capacity {
		m += 0.01
	}
	return m
}

// TestAgeGoesFirst checks that a request past the age bound is the next to start,
// and that smaller requests do not overtake it, even if its customer has been
// served far more than its share and would otherwise come after all others.
func TestAgeGoesFirst(t *testing.T) {
	c := newTest(Config{Capacity: 1000, AgeBound: 10 * time.Second})
	offer(t, c, epoch, note("run", "z", 500))
	c.Next(epoch)
	offer(t, c, epoch, note("old", "heavy", 700))
	c.queue.customers["heavy"].served = 1e9
	later := epoch.Add(11 * time.Second)
	young := note("young", "light", 20)
	young.Arrived = later
	offer(t, c, later, young)
	qt.Check(t, ids(c.Next(later)), qt.HasLen, 0)
	qt.Check(t, finish(c, "run", 200, later), qt.DeepEquals, []string{"old"})
}

func TestPromptsAreComputedOneAfterAnother(t *testing.T) {
	c := newTest(Config{Capacity: 10_000, PrefillBudget: 300})
	offer(t, c, epoch, note("a", "a", 200), note("b", "a", 200), note("c", "a", 100))
	qt.Check(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"a"})
	c.Progress("a", 1, 1, epoch)
	qt.Check(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"b", "c"})
}

func TestSharedPrefixCountsOnce(t *testing.T) {
	shared := func(id string) Request {
		r := note(id, "a", 600)
		r.Prefix, r.PrefixTokens = 7, 560
		return r
	}
	c := newTest(Config{Capacity: 1600, PrefillBudget: 10_000})
	offer(t, c, epoch, shared("a"), shared("b"), shared("c"))
	qt.Check(t, ids(c.Next(epoch)), qt.DeepEquals, []string{"a", "b", "c"})
	for _, id := range []string{"a", "b", "c"} {
		finish(c, id, 10, epoch)
	}
	_, _, free := c.Counts()
	qt.Check(t, free, qt.Equals, 1600)
}

// TestYield checks that, when memory is about to run out, only the sequence that
// has produced no token goes back to the queue, where it can be cancelled as never
// started. A sequence that has produced tokens keeps running.
func TestYield(t *testing.T) {
	c := newTest(Config{Capacity: 10_000, PrefillBudget: 10_000})
	offer(t, c, epoch, note("a", "a", 100), note("b", "a", 100))
	c.Next(epoch)
	c.Progress("a", 1, 10, epoch)
	_, ok := c.Yield(1000)
	qt.Check(t, ok, qt.IsFalse)
	id, ok := c.Yield(0)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, id, qt.Equals, api.RequestID("b"))
	_, ok = c.Yield(0)
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, c.Cancel("b", 1, epoch), qt.IsTrue)
}

// TestBidKeepsItsPlace simulates two entry processes that ask at the same time for
// memory in which only one of their requests fits. The second one is told to wait
// until the reservation of the first bid is released or has expired.
func TestBidKeepsItsPlace(t *testing.T) {
	c := newTest(Config{Capacity: 1000})
	qt.Check(t, c.Bid(note("a", "a", 600), epoch).Wait < time.Second/5, qt.IsTrue)
	crowded := c.Bid(note("b", "b", 600), epoch).Wait
	c.Release("a")
	c.Release("b")
	alone := c.Bid(note("b", "b", 600), epoch).Wait
	qt.Check(t, crowded > alone, qt.IsTrue)
	qt.Check(t, c.Bid(note("c", "c", 600), epoch.Add(time.Second)).Wait, qt.Equals, alone)
}

func BenchmarkBid(b *testing.B) {
	c := newTest(Config{Capacity: 200_000, PrefillBudget: 1_000_000, QueueLimit: 1000})
	for i := range 400 {
		c.Offer(note(strconv.Itoa(i), api.CustomerID(strconv.Itoa(i%10)), 300), epoch)
	}
	starts := c.Next(epoch)
	n := 0
	for b.Loop() {
		n++
		c.Progress(starts[n%len(starts)].ID, 1, n/len(starts)+1, epoch)
		c.Bid(note("x", "c", 300), epoch)
	}
	b.ReportMetric(float64(len(starts)), "running")
}

// TestRetryAfterLeavesRoom guards against callers that retry on time and are
// refused again because the wait is still close to their deadline. RetryAfter must
// be long enough for the wait to drop to half of the time left to the deadline.
func TestRetryAfterLeavesRoom(t *testing.T) {
	c := newTest(Config{Capacity: 1000, QueueLimit: 1000})
	for i := range 100 {
		offer(t, c, epoch, note("q"+strconv.Itoa(i), api.CustomerID(strconv.Itoa(i)), 900))
	}
	late := note("x", "x", 900)
	late.Deadline = epoch.Add(10 * time.Second)
	v := c.Offer(late, epoch)
	qt.Assert(t, v.Refuse, qt.Equals, api.ReasonDeadlineHopeless)
	qt.Check(t, v.RetryAfter, qt.Equals, min(v.Wait-5*time.Second, time.Minute))
}
