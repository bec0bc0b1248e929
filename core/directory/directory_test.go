package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

func rec(id string, born int64, seq uint64, s State) Record {
	return Record{Target: api.TargetID(id), Service: "s", Address: "10.0.0.1:80", Born: born, Sequence: seq, State: s}
}

// Announcements arrive late, repeated, out of order, and from runs that have ended.
// Whatever the order of two of them, the more recent one must win: otherwise
// requests would be sent to a target that has left, or a new run would get none.
func TestLaterNewsHolds(t *testing.T) {
	for _, tt := range []struct {
		name  string
		one   Record
		other Record
		want  State
	}{
		{"a higher sequence", rec("t", 1, 4, StateLeaving), rec("t", 1, 3, StateReady), StateLeaving},
		{"leaving and ready in one announcement's number", rec("t", 1, 4, StateLeaving), rec("t", 1, 4, StateReady), StateLeaving},
		{"missing is taken back by a later word", rec("t", 1, 4, StateMissing), rec("t", 1, 5, StateReady), StateReady},
		{"gone stays gone for its run", rec("t", 1, 4, StateGone), rec("t", 1, 9, StateReady), StateGone},
		{"a later run is not gone with the one before", rec("t", 1, 9, StateGone), rec("t", 2, 1, StateReady), StateReady},
		{"a late word of an earlier run", rec("t", 2, 1, StateReady), rec("t", 1, 99, StateLeaving), StateReady},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, order := range [][]Record{{tt.one, tt.other}, {tt.other, tt.one}} {
				c := qt.New(t)
				d := New()
				for _, r := range order {
					d.Merge(r, time.Unix(0, 0))
				}
				got, ok := d.Get("t")
				c.Assert(ok, qt.IsTrue)
				c.Assert(got.State, qt.Equals, tt.want)
			}
		})
	}
}

// A new target takes over the address of an earlier one, which never announced its
// departure. The earlier target must be marked as gone.
func TestAddressBelongsToItsLatestRun(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	d := New()
	d.Announce(rec("old", 1, 5, StateReady), now)
	next := rec("new", 2, 1, StateReady)
	next.Service = "other"
	d.Announce(next, now)
	old, _ := d.Get("old")
	c.Assert(old.State, qt.Equals, StateGone)
	d.Announce(rec("old", 1, 6, StateReady), now)
	got, _ := d.Get("new")
	c.Assert(got.State, qt.Equals, StateReady)
}

// TestReturnedRecordsTellEveryChange guards against a target that a process continues to use because
// the directory has changed its state without returning the record: a process that applies the
// returned records must hold the same states.
func TestReturnedRecordsTellEveryChange(t *testing.T) {
	for seed := range uint64(50) {
		c, rng, d := qt.New(t), rand.New(rand.NewPCG(seed, 0)), New()
		now, told := time.Unix(0, 0), make(map[api.TargetID]State)
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			r := Record{
				Target: api.TargetID(fmt.Sprint("t", rng.IntN(12))), Service: "s", Address: fmt.Sprint("a", rng.IntN(5)),
				Born: int64(rng.IntN(6)), Sequence: uint64(rng.IntN(40)), State: State(1 + rng.IntN(4)),
			}
			var changed []Record
			switch rng.IntN(4) {
			case 0:
				changed = d.Leave(r.Target, r.Born, now)
			case 1:
				changed = d.Merge(r, now)
			case 2:
				changed = d.Expire(now, time.Second)
			default:
				changed = d.Announce(r, now)
			}
			for _, r := range changed {
				told[r.Target] = r.State
			}
			for id, e := range d.targets {
				c.Assert(told[id], qt.Equals, e.record.State, qt.Commentf("seed %d, %s", seed, id))
			}
		}
	}
}

// Only the process that a target announces itself to may conclude from silence that
// the target is missing. When a target starts announcing itself to another process,
// the former process must be told.
func TestSilenceIsNoticedWhereTheTargetReports(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	a, b := New(), New()
	b.Merge(a.Announce(rec("t", 1, 1, StateReady), start)[0], start)
	c.Assert(b.Expire(start.Add(time.Hour), time.Second), qt.HasLen, 0)

	moved := b.Announce(rec("t", 1, 2, StateReady), start)
	c.Assert(moved, qt.HasLen, 1)
	a.Merge(moved[0], start)
	c.Assert(a.Expire(start.Add(2*time.Second), time.Second), qt.HasLen, 0)
	gone := b.Expire(start.Add(2*time.Second), time.Second)
	c.Assert(gone, qt.HasLen, 1)
	c.Assert(gone[0].State, qt.Equals, StateMissing)
}

// The departure of a target that did not announce it in advance must reach all
// processes, even through a process that does not know the target.
func TestLeaveOfAnUnknownTargetIsKept(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	d := New()
	left := d.Leave("t", 0, now)
	c.Assert(left, qt.HasLen, 1)
	c.Assert(left[0].State, qt.Equals, StateGone)
	c.Assert(d.Merge(rec("t", 1, 1, StateReady), now), qt.HasLen, 0)
	d.Expire(now.Add(2*tombstoneTTL), time.Second)
	c.Assert(d.Records(now.Add(2*tombstoneTTL)), qt.HasLen, 0)
}

// TestRestartAfterALeaveWithoutARun guards against a target that an entry never uses again, because it started again under
// its name after a departure that was told to a process which did not know it and did not state its run.
func TestRestartAfterALeaveWithoutARun(t *testing.T) {
	start := time.Unix(0, 0)
	left := New().Leave("t", 0, start)[0]
	for name, known := range map[string][]Record{"known run": {rec("t", 5, 3, StateReady)}, "unknown run": nil} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			entry := New()
			for _, r := range append(known, left, rec("t", 5, 4, StateReady)) {
				entry.Merge(r, start)
			}
			got, _ := entry.Get("t")
			c.Assert(got.State, qt.Equals, StateGone, qt.Commentf("an announcement that was delayed"))
			next := rec("t", 9, 1, StateReady)
			if len(known) == 0 {
				entry.Merge(next, start.Add(tombstoneTTL))
				got, _ = entry.Get("t")
				c.Assert(got.State, qt.Equals, StateGone, qt.Commentf("it may have been delayed as well"))
			}
			c.Assert(entry.Merge(next, start.Add(tombstoneTTL+time.Millisecond)), qt.DeepEquals, []Record{next})
		})
	}
}

// TestAddressesAreIndexedAsTheyAre guards against an address index that differs from the records.
// Requests for a target that is still listed at an address which another target has taken would
// be sent to that other target.
func TestAddressesAreIndexedAsTheyAre(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(8, 9))
	d, now := New(), time.Unix(0, 0)
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
		r := Record{
			Target: api.TargetID(fmt.Sprint("t", rng.IntN(12))), Service: "s", Address: fmt.Sprint("a", rng.IntN(5)),
			Born: int64(rng.IntN(6)), Sequence: uint64(rng.IntN(40)), State: State(1 + rng.IntN(4)),
		}
		switch rng.IntN(4) {
		case 0:
			d.Leave(r.Target, r.Born, now)
		case 1:
			d.Merge(r, now)
		case 2:
			d.Expire(now, time.Second)
		default:
			d.Announce(r, now)
		}
		want := map[string]int{}
		for id, e := range d.targets {
			if e.record.State != StateGone && e.record.Address != "" {
				want[e.record.Address]++
				c.Assert(slices.Contains(d.byAddress[e.record.Address], id), qt.IsTrue)
			}
		}
		for address, list := range d.byAddress {
			c.Assert(list, qt.HasLen, want[address])
		}
	}
}

// TestTargetThatBecomesColdAgainIsNews guards against a target that becomes cold while it runs
// when only the process that it announces itself to learns of that.
func TestTargetThatBecomesColdAgainIsNews(t *testing.T) {
	t0 := time.Unix(100, 0)
	for _, tt := range []struct {
		name  string
		known time.Duration // Cold of the first announcement
		next  time.Duration
		after time.Duration
		news  bool
	}{
		{"warm and warm", 0, 0, time.Second, false},
		{"cold, and less so", 3 * time.Second, 2 * time.Second, time.Second, false},
		{"cold, and a little late", 3 * time.Second, 2*time.Second + coldTolerance, time.Second, false},
		{"warm, and cold again", 0, time.Second, time.Second, true},
		{"cold over, and cold again", time.Second, time.Second, 2 * time.Second, true},
		{"cold, and cold anew", 3 * time.Second, 3 * time.Second, time.Second, true},
		{"cold, and warm sooner", 3 * time.Second, 0, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			here, there := New(), New()
			first, next := rec("t", 1, 1, StateReady), rec("t", 1, 2, StateReady)
			first.Cold, next.Cold = tt.known, tt.next
			here.Announce(first, t0)
			there.Merge(first, t0)
			at := t0.Add(tt.after)
			c.Assert(len(here.Announce(next, at)) > 0, qt.Equals, tt.news)
			c.Assert(len(there.Merge(next, at)) > 0, qt.Equals, tt.news)
			c.Assert(here.Records(at)[0].Cold, qt.Equals, tt.next)
			c.Assert(here.Records(at.Add(time.Hour))[0].Cold, qt.Equals, time.Duration(0))
		})
	}
}
