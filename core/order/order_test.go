package order

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

func load(id string, bytes int64) Command {
	return Command{Op: OpSubmit, ID: id, Spec: Spec{Target: "t", Action: ActionLoadModel, Model: api.ModelID(id), Bytes: bytes}}
}

func take(inc api.Incarnation) Command { return Command{Op: OpTake, Target: "t", Incarnation: inc} }

func TestOneOrderInFlight(t *testing.T) {
	l := DefaultLimits()
	afterLease := (l.Lease + l.Margin).Milliseconds() + 1
	for _, tc := range []struct {
		name string
		do   Command
		at   int64
		want error
	}{
		{"next order while one is in flight", take(2), 0, ErrBusy},
		{"next order before the margin has passed", take(2), l.Lease.Milliseconds() + 1, ErrBusy},
		{"next order after lease and margin", take(2), afterLease, nil},
		{"same incarnation takes again", take(1), 0, nil},
		{"finished", Command{Op: OpFinish, Target: "t", Fence: 1, Incarnation: 1}, 0, nil},
		{"finished by another incarnation", Command{Op: OpFinish, Target: "t", Fence: 1, Incarnation: 2}, 0, ErrStale},
		{"finished with an old fence", Command{Op: OpFinish, Target: "t", Fence: 9, Incarnation: 1}, 0, ErrStale},
		{"renewed after its lease", Command{Op: OpRenew, Target: "t", Fence: 1, Incarnation: 1}, afterLease, ErrStale},
		{"ID reused for another order", load("a", 7), 0, ErrInvalid},
		{"missing action", Command{Op: OpSubmit, ID: "x", Spec: Spec{Target: "t"}}, 0, ErrInvalid},
		{"nothing queued", Command{Op: OpTake, Target: "other", Incarnation: 1}, 0, ErrNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable(l)
			for i, cmd := range []Command{load("a", 1), load("b", 1), take(1)} {
				_, err := table.Apply(api.Fence(i+1), 0, cmd)
				c.Assert(err, qt.IsNil)
			}
			_, err := table.Apply(5, tc.at, tc.do)
			if tc.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorIs, tc.want)
		})
	}
}

// Two entry instances take the same order for one agent, the second 20 s later,
// and only the second copy arrives. The agent counts the lease from then on, so the
// table must do the same.
func TestOrderTakenAgainHasItsLeaseAnew(t *testing.T) {
	c := qt.New(t)
	l := DefaultLimits()
	table := NewTable(l)
	for i, cmd := range []Command{load("a", 1), load("b", 1), take(1)} {
		_, err := table.Apply(api.Fence(i+1), 0, cmd)
		c.Assert(err, qt.IsNil)
	}
	later := 20 * time.Second
	_, err := table.Apply(4, later.Milliseconds(), take(1))
	c.Assert(err, qt.IsNil)
	_, err = table.Apply(5, (later + l.Lease).Milliseconds(), take(2))
	c.Assert(err, qt.ErrorIs, ErrBusy)
}

// Three targets are ordered to load while the weight store allows two loads at a
// time and 100 bytes a second. The second load is refused with the time until the
// bucket holds enough tokens and stays queued; the third waits until a load ends.
func TestLoadsArePaced(t *testing.T) {
	c := qt.New(t)
	l := DefaultLimits()
	l.LoadBytesPerSecond, l.LoadBurst, l.MaxLoads = 100, 1000, 2
	table := NewTable(l)
	for i := range 3 {
		cmd := load(fmt.Sprint(i), 800)
		cmd.Spec.Target = api.TargetID(fmt.Sprint(i))
		_, err := table.Apply(api.Fence(i+1), 0, cmd)
		c.Assert(err, qt.IsNil)
	}
	from := func(target string, at int64) error {
		_, err := table.Apply(9, at, Command{Op: OpTake, Target: api.TargetID(target), Incarnation: 1})
		return err
	}
	c.Assert(from("0", 0), qt.IsNil)
	err := from("1", 0)
	c.Assert(err, qt.ErrorIs, ErrPaced)
	c.Assert(api.AsError(err).RetryAfter, qt.Equals, 6*time.Second)
	c.Assert(from("1", 6000), qt.IsNil)
	c.Assert(from("2", 20_000), qt.ErrorIs, ErrPaced)
	_, err = table.Apply(10, 20_000, Command{Op: OpFinish, Target: "0", Fence: 1, Incarnation: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(from("2", 20_000), qt.IsNil)
}

// A duplicate of an order arrives after its successor, or after the agent has
// restarted, because a link stalled. The target does not check fences, so the gate
// has to reject the duplicate.
func TestGateRefusesWhatComesLate(t *testing.T) {
	c := qt.New(t)
	g := NewGate(3)
	start := time.Unix(0, 0)
	at := func(fence api.Fence, inc api.Incarnation) Order { return Order{Fence: fence, Incarnation: inc} }
	c.Assert(g.Begin(at(5, 3), start, time.Second), qt.IsNil)
	c.Assert(errors.Is(g.Begin(at(6, 3), start, time.Second), ErrBusy), qt.IsTrue)
	c.Assert(g.MaySend(5, start), qt.IsTrue)
	c.Assert(g.MaySend(5, start.Add(time.Second)), qt.IsFalse)
	g.RenewLease(5, start.Add(time.Second), time.Second)
	c.Assert(g.MaySend(5, start.Add(time.Second)), qt.IsTrue)
	g.End(5)
	c.Assert(g.MaySend(5, start), qt.IsFalse)
	c.Assert(g.Begin(at(6, 3), start, time.Second), qt.IsNil)
	g.End(6)
	c.Assert(errors.Is(g.Begin(at(5, 3), start, time.Second), ErrStale), qt.IsTrue)
	restarted := NewGate(4)
	c.Assert(api.AsError(restarted.Begin(at(5, 3), start, time.Second)).Reason, qt.Equals, api.ReasonIncarnation)
	c.Assert(restarted.Begin(at(7, 4), start, time.Second), qt.IsNil)
	c.Assert(restarted.Begin(at(8, 4), start.Add(time.Second), time.Second), qt.IsNil)
}

// Applies random commands for three targets. At each step a target must have at
// most one order in flight, the fences of issued orders must not decrease, the
// loads must stay within their bound, and a table restored from a snapshot must
// give the same answer.
func TestRandomRuns(t *testing.T) {
	l := DefaultLimits()
	l.MaxLoads, l.MaxEnded, l.MaxQueued = 2, 5, 3
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		table := NewTable(l)
		issued := map[api.TargetID]api.Fence{}
		now := int64(0)
		for fence := api.Fence(1); fence < 200; fence++ {
			now += r.Int64N(15_000)
			cmd := randomCommand(r, fence, issued)
			restored := Restore(l, table.Snapshot())
			got, err := table.Apply(fence, now, cmd)
			restoredGot, restoredErr := restored.Apply(fence, now, cmd)
			if got != restoredGot || fmt.Sprint(err) != fmt.Sprint(restoredErr) {
				t.Fatalf("seed %d, fence %d: %v %v, but after a snapshot %v %v", seed, fence, got, err, restoredGot, restoredErr)
			}
			if cmd.Op == OpTake && err == nil {
				if got.Fence < issued[got.Spec.Target] {
					t.Fatalf("seed %d: fence %d issued after %d", seed, got.Fence, issued[got.Spec.Target])
				}
				issued[got.Spec.Target] = got.Fence
			}
			checkInFlight(t, seed, table, l)
		}
	}
}

func randomCommand(r *rand.Rand, fence api.Fence, issued map[api.TargetID]api.Fence) Command {
	target := api.TargetID([]string{"a", "b", "c"}[r.IntN(3)])
	inc := api.Incarnation(r.IntN(2))
	switch r.IntN(4) {
	case 0:
		return Command{Op: OpSubmit, ID: fmt.Sprint(fence), Spec: Spec{Target: target, Action: ActionLoadModel, Bytes: 1}}
	case 1:
		return Command{Op: OpTake, Target: target, Incarnation: inc}
	case 2:
		return Command{Op: OpRenew, Target: target, Incarnation: inc, Fence: issued[target]}
	}
	return Command{Op: OpFinish, Target: target, Incarnation: inc, Fence: issued[target], Failed: r.IntN(2) == 0}
}

func checkInFlight(t *testing.T, seed uint64, table *Table, l Limits) {
	inFlight := map[api.TargetID]int{}
	total := 0
	for _, o := range table.List() {
		if o.State == StateIssued {
			inFlight[o.Spec.Target]++
			total++
		}
		if inFlight[o.Spec.Target] > 1 {
			t.Fatalf("seed %d: two orders to %s in flight", seed, o.Spec.Target)
		}
	}
	if total > l.MaxLoads || total != table.loads {
		t.Fatalf("seed %d: %d loads in flight, %d counted, %d allowed", seed, total, table.loads, l.MaxLoads)
	}
}

// The rate of the weight store is changed while loads wait for the token bucket.
// Tokens accrued at the old rate are kept, and later ones accrue at the new rate.
func TestPaceChangesWhileLoadsWait(t *testing.T) {
	c := qt.New(t)
	l := DefaultLimits()
	l.LoadBytesPerSecond, l.LoadBurst = 100, 1000
	table := NewTable(l)
	for i := range 2 {
		cmd := load(fmt.Sprint(i), 1000)
		cmd.Spec.Target = api.TargetID(fmt.Sprint(i))
		_, err := table.Apply(api.Fence(i+1), 0, cmd)
		c.Assert(err, qt.IsNil)
	}
	from := func(table *Table, target string, at int64) error {
		_, err := table.Apply(9, at, Command{Op: OpTake, Target: api.TargetID(target), Incarnation: 1})
		return err
	}
	c.Assert(from(table, "0", 0), qt.IsNil)
	table.SetPace(5000, Pace{MaxLoads: 2, LoadBytesPerSecond: 50})
	table.SetPace(5000, Pace{})
	for _, table := range []*Table{table, Restore(l, table.Snapshot())} {
		err := from(table, "1", 5000)
		c.Assert(err, qt.ErrorIs, ErrPaced)
		c.Assert(api.AsError(err).RetryAfter, qt.Equals, 10*time.Second)
		c.Assert(from(table, "1", 14_000), qt.ErrorIs, ErrPaced)
	}
	c.Assert(from(table, "1", 15_000), qt.IsNil)
}
