package targetfault

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return t0.Add(d) }

func run(name string) Run { return Run{Target: api.TargetID(name), Born: 1} }

// Guards against a target that is taken out on the word of one entry, by chance, or at the rate at
// which all targets fail, and against one that stays although its failures cannot be chance.
func TestTargetsThatFailMoreThanOthersAreOut(t *testing.T) {
	quiet := Rest{Targets: 2, Answered: 80, Slots: 12}
	for _, tt := range []struct {
		name      string
		counts    Counts
		rest      Rest
		instances int
		want      bool
	}{
		{"five answers lost at five entries", Counts{5, 0, 5}, quiet, 30, true},
		{"five lost, as many good in progress as it runs at once", Counts{5, 6, 5}, quiet, 30, true},
		{"five lost at one entry", Counts{5, 0, 1}, quiet, 30, false},
		{"five lost at the only entry", Counts{5, 0, 1}, quiet, 1, true},
		{"one lost", Counts{1, 0, 1}, quiet, 1, false},
		{"two lost", Counts{2, 0, 2}, quiet, 30, false},
		{"five lost among thousands", Counts{5, 3000, 5}, quiet, 30, false},
		{"one in seven, others as well", Counts{20, 120, 12}, Rest{Targets: 2, Answered: 240, Failed: 40, Slots: 12}, 30, false},
		{"all, others one in seven", Counts{20, 0, 12}, Rest{Targets: 2, Answered: 240, Failed: 40, Slots: 12}, 30, true},
		{"nine in twenty, others none", Counts{9, 11, 6}, quiet, 30, true},
		{"nothing is known of the others", Counts{5, 0, 5}, Rest{Targets: 2, Slots: 12}, 30, false},
		{"an entry that sent nothing goes by what runs elsewhere", Counts{5, 0, 5}, Rest{Targets: 2, Running: 10, Slots: 12}, 30, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := []evidence{{counts: tt.counts, recent: tt.counts, slots: 6}}
			judge(list, tt.rest, tt.instances)
			qt.New(t).Assert(list[0].faulty, qt.Equals, tt.want)
		})
	}
}

// Guards against taking out more targets than the rest of a service can bear, and against a service
// of which nothing is tried any longer because all of it fails.
func TestWhatTheRestCannotBearStays(t *testing.T) {
	bad := evidence{counts: Counts{9, 0, 9}, recent: Counts{9, 0, 9}, slots: 6, running: 1}
	busy := bad
	busy.running = 12
	mixed := evidence{counts: Counts{30, 20, 9}, recent: Counts{30, 20, 9}, slots: 6, running: 1}
	for _, tt := range []struct {
		name string
		list []evidence
		rest Rest
		want []bool
	}{
		{"one of three", []evidence{bad}, Rest{Targets: 2, Answered: 200, Slots: 12, Running: 12}, []bool{true}},
		{"two of three", []evidence{bad, bad}, Rest{Targets: 1, Answered: 200, Slots: 6, Running: 1}, []bool{false, false}},
		{"all", []evidence{bad, bad, bad}, Rest{}, []bool{false, false, false}},
		{"the only one", []evidence{bad}, Rest{}, []bool{false}},
		{"one of two", []evidence{bad}, Rest{Targets: 1, Answered: 200, Slots: 6}, []bool{true}},
		{"three of seven", []evidence{bad, bad, bad}, Rest{Targets: 4, Answered: 9000, Slots: 24, Running: 24}, []bool{true, true, true}},
		{"three of seven, of which the rest bears two", []evidence{mixed, bad, bad}, Rest{Targets: 4, Answered: 9000, Slots: 24, Running: 46}, []bool{false, true, true}},
		{"the rest is full", []evidence{busy}, Rest{Targets: 2, Answered: 200, Slots: 12, Running: 24}, []bool{false}},
		{"the rest does not state its slots", []evidence{busy}, Rest{Targets: 2, Answered: 200, Running: 24, Unbounded: true}, []bool{true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			judge(tt.list, tt.rest, 30)
			var got []bool
			for _, e := range tt.list {
				got = append(got, e.faulty)
			}
			qt.New(t).Assert(got, qt.DeepEquals, tt.want)
		})
	}
}

// Guards against an entry that is cut off, or a customer whose own requests fail, and that take
// targets from others.
func TestFailuresOfTheEntryOrOfOneCustomerAreNotReported(t *testing.T) {
	type f struct{ target, customer string }
	for _, tt := range []struct {
		name     string
		failures []f
		used     int
		// failing is the number of targets of which the last answer was a failure.
		failing int
		want    map[Run]int
	}{
		{"one target of three", []f{{"t", "a"}, {"t", "b"}}, 3, 1, map[Run]int{run("t"): 2}},
		{"the only target that was used", []f{{"t", "a"}}, 1, 1, map[Run]int{run("t"): 1}},
		{"all three", []f{{"t", "a"}, {"u", "b"}, {"v", "c"}}, 3, 3, nil},
		{"two of three", []f{{"t", "a"}, {"u", "b"}}, 3, 2, nil},
		{"two of seven", []f{{"t", "a"}, {"u", "b"}}, 7, 2, map[Run]int{run("t"): 1, run("u"): 1}},
		{"two of three, one of which answers again", []f{{"t", "a"}, {"u", "b"}}, 3, 1, map[Run]int{run("t"): 1, run("u"): 1}},
		{"one customer everywhere", []f{{"t", "a"}, {"u", "a"}, {"v", "a"}, {"t", "b"}}, 3, 1, map[Run]int{run("t"): 1}},
		{"one customer, mostly at one target", []f{{"t", "a"}, {"t", "a"}, {"t", "a"}, {"u", "a"}}, 3, 1, map[Run]int{run("t"): 3}},
		{"requests of unknown customers", []f{{"t", ""}, {"u", ""}}, 3, 0, map[Run]int{run("t"): 1, run("u"): 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var l failureLog
			for _, f := range tt.failures {
				l.add(failure{run(f.target), api.CustomerID(f.customer), t0})
			}
			got := l.counted(tt.used, tt.failing, t0)
			c := qt.New(t)
			c.Assert(len(got), qt.Equals, len(tt.want))
			for r, n := range tt.want {
				c.Assert(got[r], qt.Equals, n)
			}
			// What was attributed to the instance does not count once it has recovered.
			c.Assert(len(l.counted(tt.used, 0, t0)), qt.Equals, len(tt.want))
			c.Assert(l.counted(tt.used, 0, at(Window+time.Millisecond)), qt.HasLen, 0)
		})
	}
}

// Guards against a failure that counts although its request has failed elsewhere as well, and against
// others that are withdrawn with it.
func TestWithdrawnFailureIsNotReported(t *testing.T) {
	c := qt.New(t)
	var s Service
	s.Fail(run("t"), "", t0)
	s.Fail(run("t"), "", at(time.Millisecond))
	c.Assert(step(&s, Counts{}, 0, 0, at(time.Millisecond)).Report, qt.Equals, Counts{Failed: 2, Instances: 1})
	for range 2 {
		s.Withdraw(run("t"), "", t0)
		c.Assert(step(&s, Counts{}, 0, 0, at(time.Millisecond)).Report, qt.Equals, Counts{Failed: 1, Instances: 1})
	}
	s.Withdraw(run("t"), "", at(time.Millisecond))
	c.Assert(step(&s, Counts{}, 0, 0, at(time.Millisecond)).Report, qt.Equals, Counts{})
}

// Guards against a log of failures that grows with their rate.
func TestFailuresKeptAreBounded(t *testing.T) {
	var l failureLog
	for i := range 10 * maxLog {
		l.add(failure{run(fmt.Sprint(i % 300)), "", t0})
	}
	qt.New(t).Assert(len(l.list), qt.Equals, maxLog)
}

// Guards against the tail of the distribution underflowing, or failing to end, for large counts.
func TestTail(t *testing.T) {
	c := qt.New(t)
	c.Assert(tail(0, 10, 0.1), qt.Equals, 1.0)
	c.Assert(tail(3, 3, 0), qt.Equals, 0.0)
	c.Assert(tail(1, 5, 1), qt.Equals, 1.0)
	near := func(got, want float64) {
		c.Helper()
		c.Assert(got > 0.99*want && got < 1.01*want, qt.IsTrue, qt.Commentf("%g, want %g", got, want))
	}
	near(tail(2, 2, 0.1), 0.01)
	near(tail(3, 5, 0.5), 0.5)
	near(tail(4, 5, 0.5), 6.0/32)
	near(tail(5, 8, 0.1), 0.000432)
	c.Assert(tail(MaxCount, 2*MaxCount, 0.01) < 1e-300, qt.IsTrue)
	c.Assert(tail(1000, 100_000, 0.009) > 1e-5, qt.IsTrue)
}

// Guards against answers that count longer, or shorter, than their window.
func TestRing(t *testing.T) {
	c := qt.New(t)
	r := NewRing(Window, t0)
	rng := rand.New(rand.NewPCG(7, 8))
	var good, failed []time.Time
	now := t0
	within := func(list []time.Time, d time.Duration) (n int) {
		for _, t := range list {
			if now.Sub(t) <= d {
				n++
			}
		}
		return n
	}
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		if rng.IntN(3) == 0 {
			r.Failed(now)
			failed = append(failed, now)
		} else {
			r.Good(now)
			good = append(good, now)
		}
		f, g := r.Count(now)
		const slack = Window / (ringBuckets - 1)
		c.Assert(f >= within(failed, Window) && f <= within(failed, Window+slack), qt.IsTrue)
		c.Assert(g >= within(good, Window) && g <= within(good, Window+slack), qt.IsTrue)
	}
	for range 3 * ringMax {
		r.Good(now)
	}
	_, g := r.Count(now)
	c.Assert(g >= ringMax && g < 2*ringMax, qt.IsTrue)
	r.Reset()
	f, g := r.Count(now)
	c.Assert(f+g, qt.Equals, 0)
	var none *Ring
	none.Good(now)
	f, g = none.Count(now)
	c.Assert(f+g, qt.Equals, 0)
}

// rises returns those of the given number of instances, of which each has failed once, in turn.
func rises(instances int) []uint64 {
	var out []uint64
	for i := range instances {
		out = append(out, uint64(i+1))
	}
	return out
}

// step is one update of a Service of which the target t is the only one that fails.
func step(s *Service, others Counts, before, answered int, now time.Time) Verdict {
	in := Input{Run: run("t"), Others: others, Rises: rises(others.Instances), Before: before, Answered: answered, Slots: 6}
	return s.Update([]Input{in}, Rest{Targets: 2, Answered: 200, Slots: 12}, 30, 7, now)[0]
}

// Guards against a target that is never tried again, tried by all entries at once, or given all of
// its share at its first good answer.
func TestTrialsAndReturn(t *testing.T) {
	c := qt.New(t)
	var s Service
	s.Fail(run("t"), "a", t0)
	v := step(&s, Counts{}, 0, 0, t0)
	c.Assert(v.Phase, qt.Equals, Well)
	c.Assert(v.Report, qt.Equals, Counts{Failed: 1, Instances: 1})

	v = step(&s, Counts{4, 0, 4}, 2, 0, t0)
	c.Assert(v.Changed, qt.IsTrue)
	c.Assert(v.Phase, qt.Equals, Out)
	// Two entries come before this one.
	c.Assert(v.TrialAt, qt.Equals, at(MinTrialInterval+2*successionTime))
	c.Assert(v.OnceAt, qt.Equals, v.TrialAt.Add(Window))
	// The failures are reported for as long as the target is out.
	v = step(&s, Counts{4, 0, 4}, 0, 0, at(time.Minute))
	c.Assert(v.Report, qt.Equals, Counts{Failed: 1, Instances: 1})
	c.Assert(v.TrialAt, qt.Equals, at(MinTrialInterval))

	// Each failed trial doubles the interval, up to the longest.
	now, interval := at(time.Minute), MinTrialInterval
	for i := range 5 {
		now = now.Add(time.Second)
		v = step(&s, Counts{5 + i, 0, 4}, 0, 0, now)
		interval = min(2*interval, MaxTrialInterval)
		c.Assert(v.TrialAt, qt.Equals, now.Add(interval))
	}
	// A failed trial of its own is reported, whenever its earlier failures were.
	s.Fail(run("t"), "a", now)
	v = step(&s, Counts{9, 0, 4}, 0, 0, now)
	c.Assert(v.Report, qt.Equals, Counts{Failed: 2, Instances: 1})

	now = now.Add(time.Second)
	v = step(&s, Counts{9, 1, 4}, 0, 0, now)
	c.Assert(v.Phase, qt.Equals, Returning)
	c.Assert(v.Since, qt.Equals, now)
	c.Assert(Share(0), qt.Equals, 0.25)
	c.Assert(Share(ReturnStep), qt.Equals, 0.5)
	c.Assert(Share(2*ReturnStep), qt.Equals, 1.0)
	// Old failures of others, still reported by some, do not count against it.
	v = step(&s, Counts{4, 1, 2}, 0, 1, now.Add(100*time.Millisecond))
	c.Assert(v.Phase, qt.Equals, Returning)
	c.Assert(v.Report.Failed, qt.Equals, 0)
	// One new failure does.
	failed := now.Add(200 * time.Millisecond)
	s.Fail(run("t"), "a", failed)
	v = step(&s, Counts{4, 1, 2}, 0, 1, failed)
	c.Assert(v.Phase, qt.Equals, Out)
	c.Assert(v.TrialAt, qt.Equals, failed.Add(MaxTrialInterval))

	v = step(&s, Counts{4, 2, 2}, 0, 2, failed.Add(time.Second))
	c.Assert(v.Phase, qt.Equals, Returning)
	v = step(&s, Counts{}, 0, 30, failed.Add(time.Second+3*ReturnStep))
	c.Assert(v.Phase, qt.Equals, Well)
	c.Assert(v.Done, qt.IsFalse)
	v = step(&s, Counts{}, 0, 30, failed.Add(time.Minute))
	c.Assert(v.Done, qt.IsTrue)
	c.Assert(v.Report, qt.Equals, Counts{})
	c.Assert(s.runs, qt.HasLen, 0)
}

// Guards against trials that end with the entry that sends them: if all entries that reported
// failures are gone, another one takes over.
func TestAnotherEntryTriesIfAllThatReportedAreGone(t *testing.T) {
	c := qt.New(t)
	var s Service
	v := step(&s, Counts{5, 0, 5}, 5, 0, t0)
	c.Assert(v.Phase, qt.Equals, Out)
	c.Assert(v.TrialAt, qt.Equals, at(MinTrialInterval+(5+5+7)*successionTime))
	v = step(&s, Counts{}, 0, 0, at(3*time.Second))
	c.Assert(v.Phase, qt.Equals, Out)
	c.Assert(v.TrialAt, qt.Equals, at(MinTrialInterval+7*successionTime))
}

// Guards against failures of entries that were paused one after the other, between which the target
// has answered well, as joint evidence, and against a fault that is not seen after such a pause.
func TestFailuresApartAreNoJointEvidence(t *testing.T) {
	c := qt.New(t)
	var s Service
	c.Assert(step(&s, Counts{3, 0, 1}, 0, 0, t0).Phase, qt.Equals, Well)
	for i := range 60 {
		c.Assert(step(&s, Counts{3, i + 1, 1}, 0, 0, at(time.Duration(i)*30*time.Millisecond)).Phase, qt.Equals, Well)
	}
	c.Assert(step(&s, Counts{9, 60, 2}, 0, 0, at(1900*time.Millisecond)).Phase, qt.Equals, Well)
	c.Assert(step(&s, Counts{11, 60, 4}, 0, 0, at(1950*time.Millisecond)).Phase, qt.Equals, Out)
}

// Guards against good answers from before a fault that hide it, where an instance still counts them
// because the target has returned lately.
func TestGoodAnswersBeforeTheFirstFailureAreNotCounted(t *testing.T) {
	c := qt.New(t)
	var s Service
	c.Assert(step(&s, Counts{5, 0, 5}, 0, 0, t0).Phase, qt.Equals, Out)
	c.Assert(step(&s, Counts{5, 1, 5}, 0, 0, at(time.Second)).Phase, qt.Equals, Returning)
	c.Assert(step(&s, Counts{}, 0, 20, at(time.Second+3*ReturnStep)).Phase, qt.Equals, Well)
	v := step(&s, Counts{}, 0, 40, at(4*time.Second))
	c.Assert(v.Done || v.Begins, qt.IsFalse)
	v = step(&s, Counts{1, 0, 1}, 0, 60, at(5*time.Second))
	c.Assert(v.Begins, qt.IsTrue)
	c.Assert(v.Report.Answered, qt.Equals, 0)
	v = step(&s, Counts{3, 0, 3}, 0, 0, at(5*time.Second))
	c.Assert(v.Begins, qt.IsFalse)
	c.Assert(v.Held, qt.IsTrue)
	c.Assert(step(&s, Counts{5, 0, 5}, 0, 0, at(5*time.Second)).Phase, qt.Equals, Out)
}

// Guards against a fault that an instance does not see for as long as failures of the same instances
// before it, between which the target has answered well, are still reported.
func TestInstanceThatFailsAgainCounts(t *testing.T) {
	c := qt.New(t)
	var s Service
	update := func(others Counts, now time.Time, rises ...uint64) Verdict {
		in := Input{Run: run("t"), Others: others, Rises: rises, Slots: 6}
		return s.Update([]Input{in}, Rest{Targets: 2, Answered: 200, Slots: 12}, 3, 0, now)[0]
	}
	c.Assert(update(Counts{2, 42, 2}, t0, 1, 2).Phase, qt.Equals, Well)
	c.Assert(update(Counts{2, 64, 2}, at(100*time.Millisecond), 1, 2).Phase, qt.Equals, Well)
	c.Assert(update(Counts{5, 64, 2}, at(110*time.Millisecond), 1, 5).Held, qt.IsFalse) // all of one instance
	c.Assert(update(Counts{6, 64, 2}, at(120*time.Millisecond), 6, 5).Held, qt.IsTrue)
	c.Assert(update(Counts{7, 64, 2}, at(130*time.Millisecond), 6, 7).Phase, qt.Equals, Out)
}

// Guards against a target that is taken out because the first failures of requests that fail
// everywhere were there, and against at-most-once requests that are sent there meanwhile.
func TestFewFailuresHoldAtMostOnceRequests(t *testing.T) {
	c := qt.New(t)
	var s Service
	v := step(&s, Counts{3, 0, 3}, 0, 0, t0)
	c.Assert(v.Phase, qt.Equals, Well)
	c.Assert(v.Held, qt.IsTrue)
	v = step(&s, Counts{4, 5, 3}, 0, 0, at(100*time.Millisecond))
	c.Assert(v.Held, qt.IsFalse)
	c.Assert(step(&s, Counts{4, 5, 3}, 0, 0, at(2*time.Second)).Phase, qt.Equals, Well)
	var silent Service
	c.Assert(step(&silent, Counts{3, 0, 3}, 0, 0, t0).Held, qt.IsTrue)
	c.Assert(step(&silent, Counts{3, 0, 3}, 0, 0, at(holdTime)).Phase, qt.Equals, Out)
}

// Guards against a run that is judged by the failures of the run before it, which the others report
// until they know of the new one.
func TestNewRunIsJudgedAnew(t *testing.T) {
	c := qt.New(t)
	var s Service
	c.Assert(step(&s, Counts{5, 0, 5}, 0, 0, t0).Phase, qt.Equals, Out)
	next := Run{Target: "t", Born: 2}
	s.Forget(run("t"))
	s.Begin(next, Counts{5, 0, 5}, rises(5), t0)
	update := func(others Counts) Verdict {
		in := Input{Run: next, Others: others, Rises: rises(others.Instances), Slots: 6}
		return s.Update([]Input{in}, Rest{Targets: 2, Answered: 200, Slots: 12}, 30, 7, at(time.Millisecond))[0]
	}
	c.Assert(update(Counts{5, 0, 5}).Phase, qt.Equals, Well)
	c.Assert(update(Counts{2, 0, 2}).Phase, qt.Equals, Well)
	// Five failures of the new run, beside the two that are still reported of the one before.
	c.Assert(update(Counts{7, 0, 7}).Phase, qt.Equals, Out)
}

// Guards against a service whose targets all fail and of which only some are used: those that are
// out come back.
func TestTargetsComeBackIfMostOfTheServiceFails(t *testing.T) {
	c := qt.New(t)
	var s Service
	input := func(name string, failed int) Input {
		return Input{Run: run(name), Others: Counts{failed, 0, failed}, Rises: rises(failed), Slots: 6}
	}
	rest := Rest{Targets: 2, Answered: 200, Slots: 12}
	c.Assert(s.Update([]Input{input("t", 6)}, rest, 30, 0, t0)[0].Phase, qt.Equals, Out)
	rest = Rest{Targets: 1, Answered: 200, Slots: 6}
	for _, v := range s.Update([]Input{input("t", 6), input("u", 9)}, rest, 30, 0, t0) {
		c.Assert(v.Phase, qt.Equals, Well)
	}
}

// Guards against judging at a cost that an entry, which has a tenth of a core, cannot bear while a
// target of a large service fails. It measures the judgement of the given number of targets that
// all fail now and then.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{1, 3, 7, 40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s Service
			list := make([]Input, n)
			for i := range list {
				list[i] = Input{Run: run(fmt.Sprint(i)), Answered: 20, LongAnswered: 200, Others: Counts{3, 20, 2}, Rises: rises(2), Running: 3, Slots: 6}
			}
			rest := Rest{Targets: 2 * n, Answered: 200 * n, Failed: 40 * n, Slots: 12 * n}
			for b.Loop() {
				s.Update(list, rest, 30, 0, t0)
			}
		})
	}
}
