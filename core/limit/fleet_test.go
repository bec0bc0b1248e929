package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondseam.dev/core/api"
)

// fleet runs entries in virtual time over links that lose, repeat, delay and
// reorder, with cuts, restarts and changes of roster.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	limits  map[api.CustomerID]Limit
	roster  Roster
	since   time.Time
	entries []*entry
	mail    []mail
	// lossy and late are the parts of messages that get lost and that come up
	// to 25 s late.
	lossy float64
	late  float64
}

type entry struct {
	id     api.InstanceID
	inc    api.Incarnation
	skew   time.Duration
	drift  float64
	cut    bool
	holder *Holder
	grant  *Grantor
	runs   []run
}

type run struct {
	p    *Permit
	ends time.Time
}

type mail struct {
	at   time.Time
	to   *entry
	inc  api.Incarnation
	req  *Request
	g    *Grant
	ros  *Roster
	sent time.Time
}

// clock is the entry's own: it starts elsewhere and runs up to 3% off.
func (e *entry) clock(now time.Time) time.Time {
	return now.Add(e.skew + time.Duration(e.drift*float64(now.Sub(t0))))
}

func newFleet(t *testing.T, seed uint64, n int, l Limit) *fleet {
	f := &fleet{t: t, since: t0, rng: rand.New(rand.NewPCG(seed, 7)), now: t0, limits: map[api.CustomerID]Limit{cust: l}}
	for i := range n {
		e := &entry{
			id:    api.InstanceID(fmt.Sprintf("e%d", i)),
			skew:  time.Duration(f.rng.Int64N(int64(time.Hour))),
			drift: (f.rng.Float64() - 0.5) * 0.06,
		}
		f.entries = append(f.entries, e)
		f.roster.Entries = append(f.roster.Entries, e.id)
		f.start(e)
	}
	f.roster.Epoch = 1
	return f
}

func (f *fleet) start(e *entry) {
	e.inc++
	e.runs = nil
	timing := DefaultTiming
	timing.Floor = time.Minute
	e.holder = NewHolder(e.id, e.inc, timing)
	e.grant = NewGrantor(e.id, timing)
	e.holder.SetLimits(f.limits, e.clock(f.now))
	e.grant.SetLimits(f.limits)
}

func (f *fleet) post(from *entry, m mail) {
	if from.cut != m.to.cut || f.rng.Float64() < f.lossy {
		return
	}
	m.inc = m.to.inc
	for range 1 + f.rng.IntN(10)/9 {
		delay := time.Duration(f.rng.Int64N(int64(20 * time.Millisecond)))
		if f.rng.Float64() < f.late {
			delay = time.Duration(f.rng.Int64N(int64(25 * time.Second)))
		}
		m.at = f.now.Add(delay)
		f.mail = append(f.mail, m)
	}
}

// step moves time on, delivers what is due, ends and starts requests, and
// checks the bound.
func (f *fleet) step(d time.Duration, want []int) {
	f.now = f.now.Add(d)
	due := f.mail
	f.mail = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.mail = append(f.mail, m)
		} else if m.inc == m.to.inc {
			f.deliver(m)
		}
	}
	for i, e := range f.entries {
		e.runs = slices.DeleteFunc(e.runs, func(r run) bool {
			if r.ends.After(f.now) {
				return false
			}
			r.p.Release(0, e.clock(f.now))
			return true
		})
		f.call(e, want[i])
	}
	f.check()
}

func (f *fleet) deliver(m mail) {
	now := m.to.clock(f.now)
	switch {
	case m.req != nil:
		if g, ok := m.to.grant.Step(*m.req, now); ok {
			f.post(m.to, mail{to: f.byID(g.Holder), g: &g})
		}
	case m.g != nil:
		m.to.holder.Step(*m.g, now)
	case m.ros != nil:
		m.to.holder.SetRoster(*m.ros, m.sent, now)
		m.to.grant.SetRoster(*m.ros, m.sent, now)
	}
}

func (f *fleet) byID(id api.InstanceID) *entry {
	i := slices.IndexFunc(f.entries, func(e *entry) bool { return e.id == id })
	return f.entries[i]
}

// call tops the entry up to n requests of up to 20 s each.
func (f *fleet) call(e *entry, n int) {
	for len(e.runs) < n {
		p, err := e.holder.Acquire(cust, 0, e.clock(f.now))
		if err != nil {
			return
		}
		e.runs = append(e.runs, run{p, f.now.Add(time.Duration(f.rng.Int64N(int64(20 * time.Second))))})
	}
}

// talk is one round of requests and of questions to the control group, which
// the entries that are cut off don't reach.
func (f *fleet) talk() {
	for _, e := range f.entries {
		if !e.cut {
			r := f.roster
			r.Age = f.now.Sub(f.since)
			f.post(e, mail{to: e, ros: &r, sent: e.clock(f.now)})
		}
		reqs := e.holder.Tick(e.clock(f.now))
		for _, to := range f.entries {
			if req, ok := reqs[to.id]; ok {
				f.post(e, mail{to: to, req: &req})
			}
		}
		e.grant.Tick(e.clock(f.now))
	}
}

func (f *fleet) check() {
	f.t.Helper()
	l := f.limits[cust]
	var slots, rate int64
	var floors Share
	for _, e := range f.entries {
		now := e.clock(f.now)
		slots += int64(len(e.runs))
		cu := (*e.holder.customers.Load())[cust]
		rate += cu.part(now).Rate
		if now.UnixNano() < e.holder.floorEnds.Load() {
			fl := cu.share.Load().floor.at(now)
			floors.Slots += fl.Slots
			floors.Rate += fl.Rate
		}
	}
	if s := Slack(l); slots > l.Slots+s.Slots || rate > l.Rate+s.Rate {
		f.t.Fatalf("%v: %d slots and rate %d in use of %+v", f.now.Sub(t0), slots, rate, l)
	} else if floors.Slots > s.Slots || floors.Rate > s.Rate {
		f.t.Fatalf("%v: floors %+v pass the slack %+v", f.now.Sub(t0), floors, s)
	}
}

// Callers of a customer press on all entries while links lose and repeat
// messages, entries are cut off, restart and are struck from the roster, alone
// or together. However late a lease or its loss becomes known, the requests
// under way in the fleet must not pass the limit by more than the floors.
func TestTotalStaysWithinLimit(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 3+int(seed%4), Limit{Slots: 40, Rate: 10_000})
			f.lossy, f.late = 0.5*f.rng.Float64(), 0.4*f.rng.Float64()
			period := 30 + f.rng.IntN(300)
			want := make([]int, len(f.entries))
			for i := range 4000 {
				if i%20 == 0 {
					f.talk()
				}
				if i%period == 0 {
					f.disturb(want)
				}
				f.step(100*time.Millisecond, want)
			}
			f.calm(want)
		})
	}
}

// calm ends all faults; the shares must come back to nearly the whole limit.
func (f *fleet) calm(want []int) {
	f.t.Helper()
	f.lossy, f.late = 0, 0
	for i, e := range f.entries {
		e.cut = false
		want[i] = 40
	}
	for i := range 1200 {
		if i%20 == 0 {
			f.talk()
		}
		f.step(100*time.Millisecond, want)
	}
	var running int
	for _, e := range f.entries {
		running += len(e.runs)
	}
	if running < 38 {
		f.t.Fatalf("%d of 40 slots in use after the faults, roster %+v", running, f.roster)
	}
}

func (f *fleet) disturb(want []int) {
	for i := range want {
		want[i] = f.rng.IntN(40)
	}
	e := f.entries[f.rng.IntN(len(f.entries))]
	switch f.rng.IntN(5) {
	case 0:
		e.cut = true
	case 1, 2:
		e.cut = false
	case 3:
		f.start(e)
	case 4:
		f.roster = Roster{Epoch: f.roster.Epoch + 1, Entries: f.members(e)}
		f.since = f.now
	}
}

// members takes e out of the roster, or puts it back.
func (f *fleet) members(e *entry) []api.InstanceID {
	out := slices.Clone(f.roster.Entries)
	if i := slices.Index(out, e.id); i >= 0 && len(out) > 1 {
		return slices.Delete(out, i, i+1)
	} else if i >= 0 {
		return out
	}
	return append(out, e.id)
}

// Demand moves from one entry to another: within a few renewals the share must
// follow it, or the customer is refused with most of its limit idle.
func TestShareFollowsDemand(t *testing.T) {
	f := newFleet(t, 1, 3, Limit{Slots: 40, Rate: 10_000})
	run := func(seconds int, want []int) int {
		for i := range seconds * 10 {
			if i%20 == 0 {
				f.talk()
			}
			f.step(100*time.Millisecond, want)
		}
		return len(f.entries[slices.Index(want, 40)].runs)
	}
	for _, want := range [][]int{{40, 0, 0}, {0, 40, 0}, {0, 0, 40}} {
		if got := run(40, want); got < 30 {
			t.Fatalf("%d of 40 slots with demand %v", got, want)
		}
	}
}
