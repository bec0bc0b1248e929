package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/targetlimit"
	qt "github.com/frankban/quicktest"
)

const (
	// maxTransit is the maximum time from sending a request until it reaches its target.
	maxTransit = 400 * time.Millisecond
	// awareDelay and settleTime come from the requirements: the requests of an entry instance
	// count against the limit from half a second after an answer stated one, and the limit
	// applies from three seconds after the target first named it.
	awareDelay = 500 * time.Millisecond
	settleTime = 3 * time.Second
	window     = 4 * time.Second
)

var epoch = time.UnixMilli(1_000_000)

// fleet simulates entry instances, the control group and one target in virtual time. Messages
// are lost, duplicated and delayed; leaders change; entry instances restart or are partitioned
// from the group; the target names a limit, changes it, withdraws it, and is replaced.
type fleet struct {
	t   *testing.T
	rng *rand.Rand
	now time.Time
	// faultless disables lost, duplicated and very late messages.
	faultless bool
	demand    float64 // requests per second of all entry instances together

	log             *log
	replicated      int64
	clockBase       int64
	leaderSince     time.Time
	leaderlessUntil time.Time

	entries []*entry
	events  []event
	ids     int

	target   limitedTarget
	arrivals []arrival
	refused  int
}

// limitedTarget is the true state of the target. since is when it began to name limits, zero
// while it names none.
type limitedTarget struct {
	born    int64
	limited bool
	rate    float64
	since   time.Time
	history []limitChange
}

// limitChange is the target's limit from a time on.
type limitChange struct {
	at      time.Time
	limited bool
	rate    float64
	since   time.Time
}

type arrival struct {
	at    time.Time
	aware bool
}

// event is a function scheduled for a time.
type event struct {
	at time.Time
	do func()
}

// entry is one entry instance. awareSince is when an answer first stated a limit to it.
type entry struct {
	run         int
	partitioned bool
	born        int64
	view        targetlimit.View
	askAgainAt  time.Time
	awareSince  time.Time
	listIndex   uint64
}

func newFleet(t *testing.T, seed uint64, entries int, demand float64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: epoch, demand: demand, log: newLog(t), leaderSince: epoch}
	f.target.born = 1
	for range entries {
		f.entries = append(f.entries, &entry{born: 1})
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now.Add(d), do})
}

// delay draws the delay of one message.
func (f *fleet) delay() time.Duration {
	if !f.faultless && f.rng.IntN(20) == 0 {
		return time.Duration(f.rng.Int64N(int64(2 * time.Second)))
	}
	return time.Millisecond + time.Duration(f.rng.Int64N(int64(15*time.Millisecond)))
}

// propose sends a command to the group and its result back to the entry instance, unless
// either is lost.
func (f *fleet) propose(e *entry, c Command, done func(Result)) {
	dropped := func() bool { return e.partitioned || !f.faultless && f.rng.IntN(20) == 0 }
	if dropped() {
		return
	}
	copies := 1
	if !f.faultless && f.rng.IntN(20) == 0 {
		copies = 2
	}
	run := e.run
	for range copies {
		f.after(f.delay(), func() {
			if f.now.Before(f.leaderlessUntil) {
				return
			}
			r := f.commit(c)
			f.after(f.delay(), func() {
				if !dropped() && e.run == run {
					done(r)
				}
			})
		})
	}
}

func (f *fleet) commit(c Command) Result {
	f.replicated = max(f.replicated, f.clockBase+f.now.Sub(f.leaderSince).Milliseconds())
	c.Now = f.replicated
	if c.Limit != nil {
		if known, changes := f.log.s.LimitChanges(c.Now, *c.Limit); !changes {
			return known
		}
	}
	before := f.log.s.LimitsIndex()
	r := f.log.apply(c)
	if f.log.s.LimitsIndex() != before {
		list := f.log.s.TargetLimits()
		for _, e := range f.entries {
			f.push(e, list)
		}
	}
	return r
}

// push sends the list to an entry instance. Lists that arrive out of order are dropped, as
// over a link that preserves order.
func (f *fleet) push(e *entry, list TargetLimits) {
	if e.partitioned {
		return
	}
	run := e.run
	f.after(f.delay(), func() {
		if e.run != run || list.Index < e.listIndex {
			return
		}
		e.listIndex = list.Index
		for _, l := range list.List {
			if l.Born == e.born {
				e.view = e.view.ApplyGroup(l.Known(), f.now)
			}
		}
	})
}

func (f *fleet) changeLeader() {
	f.leaderlessUntil = f.now.Add(time.Duration(f.rng.Int64N(int64(1500 * time.Millisecond))))
	f.log.reload()
	f.clockBase, f.leaderSince = f.replicated, f.leaderlessUntil
}

// request handles one request at an entry instance.
func (f *fleet) request(e *entry) {
	if f.now.Before(e.askAgainAt) {
		f.refused++
		return
	}
	if !e.view.Current.Limited {
		f.send(e)
		return
	}
	f.ids++
	asked, run, believed := f.now, e.run, e.view.Current
	ask := retrybudget.Ask{ID: fmt.Sprint(f.ids), Service: "s", Target: "t", Purpose: retrybudget.PurposeLimited, Rate: believed.Rate, Limits: retrybudget.PaceLimits()}
	answered := false
	f.propose(e, Command{Retry: &ask}, func(r Result) {
		if answered {
			return
		}
		answered = true
		switch {
		case r.Retry.Granted && retrybudget.NewLease(asked).Valid(f.now):
			f.send(e)
		case !r.Retry.Granted:
			f.refused++
			e.askAgainAt = f.now.Add(targetlimit.RetryDelay(believed.Rate, len(f.entries), r.Retry.RetryAfter, f.rng.Float64()))
		}
	})
	f.after(300*time.Millisecond, func() {
		if !answered && e.run == run {
			answered = true
			e.askAgainAt = f.now.Add(targetlimit.RetryDelay(believed.Rate, len(f.entries), 0, f.rng.Float64()))
		}
	})
}

// send sends a request to the target and the answer back to the entry instance.
func (f *fleet) send(e *entry) {
	sent, run, born, seen := f.now, e.run, e.born, e.view.Group.Index
	transit := 2 * time.Millisecond
	if f.rng.IntN(10) == 0 {
		transit = time.Duration(f.rng.Int64N(int64(maxTransit)))
	}
	f.after(transit, func() {
		if born != f.target.born {
			return // another process has the address now and rejects the request
		}
		aware := !e.awareSince.IsZero() && e.run == run && sent.Sub(e.awareSince) >= awareDelay
		f.arrivals = append(f.arrivals, arrival{f.now, aware})
		statement := targetlimit.Statement{Limit: targetlimit.Limit{Limited: f.target.limited, Rate: f.target.rate}, Sent: sent, Seen: seen}
		work := 5*time.Millisecond + time.Duration(f.rng.Int64N(int64(50*time.Millisecond)))
		if f.rng.IntN(20) == 0 {
			work = time.Duration(f.rng.Int64N(int64(2 * time.Second)))
		}
		f.after(work, func() {
			if e.run != run || e.born != born {
				return
			}
			statement.Received = f.now
			f.handleAnswer(e, statement)
		})
	})
}

// handleAnswer applies the limit stated in an answer to the entry instance's view.
func (f *fleet) handleAnswer(e *entry, statement targetlimit.Statement) {
	if statement.Limited && e.awareSince.IsZero() {
		e.awareSince = f.now
	}
	before := e.view.Current
	e.view = e.view.ApplyStatement(statement)
	if before.Limit != e.view.Current.Limit || e.view.ReportDue(f.now, LimitRestateInterval) {
		f.sendStatement(e, 0)
	}
}

// sendStatement proposes the limit that an entry instance uses, and repeats the proposal up to
// 20 times until it is answered.
func (f *fleet) sendStatement(e *entry, tries int) {
	b, run, born, done := e.view.Current, e.run, e.born, false
	f.propose(e, Command{Limit: &LimitStatement{Target: "t", Born: born, Limited: b.Limited, Rate: b.Rate, Seen: b.Seen}}, func(r Result) {
		done = true
		if e.born == born {
			e.view = e.view.ApplyGroup(r.Limit.Known(), f.now)
		}
	})
	f.after(400*time.Millisecond, func() {
		if !done && e.run == run && tries < 20 {
			f.sendStatement(e, tries+1)
		}
	})
}

// step advances the virtual time, runs the events that are due and generates requests.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	due := f.events
	f.events = nil
	for _, e := range due {
		if e.at.After(f.now) {
			f.events = append(f.events, e)
		} else {
			e.do()
		}
	}
	for _, e := range f.entries {
		if f.rng.Float64() < f.demand/float64(len(f.entries))*d.Seconds() {
			f.request(e)
		}
	}
}

func (f *fleet) setLimit(limited bool, rate float64) {
	t := &f.target
	if limited && !t.limited {
		t.since = f.now
	}
	t.limited, t.rate = limited, rate
	if !limited {
		t.rate, t.since = 0, time.Time{}
	}
	t.history = append(t.history, limitChange{f.now, t.limited, t.rate, t.since})
}

// replace starts a new process of the target under the same name and address.
func (f *fleet) replace() {
	f.target.born++
	f.setLimit(false, 0)
	born := f.target.born
	for _, e := range f.entries {
		f.after(f.delay(), func() {
			if e.born < born {
				*e = entry{run: e.run, partitioned: e.partitioned, listIndex: e.listIndex, born: born}
			}
		})
	}
}

func (f *fleet) restart(e *entry) {
	*e = entry{run: e.run + 1, born: f.target.born}
	list := f.log.s.TargetLimits()
	if list.Index > 0 {
		f.push(e, list)
	}
}

func (f *fleet) injectFaults() {
	for range 1 + len(f.entries)/10 {
		e := f.entries[f.rng.IntN(len(f.entries))]
		switch f.rng.IntN(4) {
		case 0:
			f.restart(e)
		case 1:
			e.partitioned = true
		case 2:
			e.partitioned = false
			if list := f.log.s.TargetLimits(); list.Index > 0 {
				f.push(e, list)
			}
		}
	}
	if f.rng.IntN(3) == 0 {
		f.changeLeader()
	}
}

// highestLimit returns the highest limit that the target named between two times, and reports
// whether it named one throughout and had begun at least settleTime before from.
func (f *fleet) highestLimit(from, to time.Time) (rate float64, settled bool) {
	for i, n := range f.target.history {
		end := to
		if i+1 < len(f.target.history) {
			end = f.target.history[i+1].at
		}
		if !end.After(from) || n.at.After(to) {
			continue
		}
		if !n.limited || from.Sub(n.since) < settleTime {
			return 0, false
		}
		rate, settled = max(rate, n.rate), true
	}
	return rate, settled
}

// check compares the arrivals from entry instances that were aware of the limit with the
// required bound, in a window that starts at each arrival. If the limit changed in the window
// or within awareDelay before it, the highest value counts.
func (f *fleet) check(c *qt.C) (windows int) {
	slices.SortFunc(f.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for i := range f.arrivals {
		from := f.arrivals[i].at
		to := from.Add(window)
		rate, settled := f.highestLimit(from.Add(-awareDelay), to)
		if !settled {
			continue
		}
		windows++
		got := 0
		for _, a := range f.arrivals[i:] {
			if a.at.Before(to) && a.aware {
				got++
			}
		}
		bound := 1.5*rate*window.Seconds() + 5
		c.Assert(float64(got) <= bound, qt.IsTrue, qt.Commentf("%d of %.1f from %v, limit %.2f", got, bound, from.Sub(epoch), rate))
	}
	return windows
}

// TestLimitOfATargetHoldsInAllHistories guards against all entry instances together exceeding
// the limit that a target names while messages are lost, delayed or duplicated and instances
// restart or are partitioned.
func TestLimitOfATargetHoldsInAllHistories(t *testing.T) {
	const histories, step = 200, 10 * time.Millisecond
	windows, arrived := 0, 0
	for seed := range uint64(histories) {
		entries := 1 + int(seed%40)
		if seed%50 == 49 {
			entries = 320
		}
		f := newFleet(t, seed, entries, 20+float64(seed%5)*30)
		for i := range int(24 * time.Second / step) {
			if i%int(2*time.Second/step) == 0 {
				f.injectFaults()
				switch f.rng.IntN(16) {
				case 0:
					f.setLimit(false, 0)
				case 1:
					f.replace()
				case 2, 3, 4, 5, 6:
					f.setLimit(true, f.rng.Float64()*10)
				}
			}
			f.step(step)
		}
		windows += f.check(qt.New(t))
		arrived += len(f.arrivals)
	}
	t.Logf("%d histories, %d arrivals, %d windows", histories, arrived, windows)
	qt.New(t).Assert(windows > histories*10, qt.IsTrue)
}

// TestLimitedTargetIsNotStarved guards against a target that receives far fewer requests than
// its limit allows while requests for it are waiting.
func TestLimitedTargetIsNotStarved(t *testing.T) {
	const lasts, step = 30 * time.Second, 5 * time.Millisecond
	for _, entries := range []int{1, 5, 30, 320} {
		for _, rate := range []float64{0.5, 2.3, 20} {
			t.Run(fmt.Sprintf("%d entries, %.1f a second", entries, rate), func(t *testing.T) {
				f := newFleet(t, uint64(entries), entries, max(4*rate, 3*float64(entries)))
				f.faultless = true
				f.setLimit(true, rate)
				for range int(settleTime / step) {
					f.step(step)
				}
				f.arrivals = nil
				for range int(lasts / step) {
					f.step(step)
				}
				got := float64(len(f.arrivals)) / lasts.Seconds()
				t.Logf("%.2f a second of %.1f", got, rate)
				qt.New(t).Assert(got >= 0.8*rate, qt.IsTrue, qt.Commentf("%.2f a second", got))
				qt.New(t).Assert(got <= 1.1*rate+0.1, qt.IsTrue, qt.Commentf("%.2f a second", got))
			})
		}
	}
}

// TestLimitEndsAtAllEntries guards against entry instances that still apply a limit long after
// the target has stopped naming one.
func TestLimitEndsAtAllEntries(t *testing.T) {
	const step, within = 5 * time.Millisecond, 5 * time.Second
	for _, entries := range []int{1, 5, 30, 320} {
		for _, rate := range []float64{0, 0.5, 2.3, 20} {
			t.Run(fmt.Sprintf("%d entries, %.1f a second", entries, rate), func(t *testing.T) {
				f := newFleet(t, uint64(entries), entries, 40)
				f.faultless = true
				f.setLimit(true, rate)
				for range int(10 * time.Second / step) {
					f.step(step)
				}
				f.setLimit(false, 0)
				for range int(within / step) {
					f.step(step)
				}
				for _, e := range f.entries {
					qt.New(t).Assert(e.view.Current.Limited, qt.IsFalse)
				}
			})
		}
	}
}
