// Package fleetload adds up the load reports of the entries by target. An entry knows its
// own requests at once and those of the others some milliseconds late. Without the others'
// reports all entries would choose the same least loaded target in a burst. Not safe for
// concurrent use; time is passed in.
package fleetload

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// Load is what requests under way ask of a target.
type Load struct {
	// Running counts requests, Tokens the memory that they are expected to take.
	Running int `cbor:"1,keyasint,omitempty"`
	Tokens  int `cbor:"2,keyasint,omitempty"`
	// Unread is the part of prompts, in tokens, of requests that have not begun to
	// answer.
	Unread int `cbor:"3,keyasint,omitempty"`
	// Moving is the memory, in tokens, of streams that no other engine has a copy
	// of: what would have to be moved if the target left now.
	Moving int `cbor:"4,keyasint,omitempty"`
	// MovingRuns is how many streams those are.
	MovingRuns int `cbor:"5,keyasint,omitempty"`
}

// Add gives the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens, Unread: l.Unread + o.Unread, Moving: l.Moving + o.Moving, MovingRuns: l.MovingRuns + o.MovingRuns}
}

// TargetLoad is one entry's load on one target.
type TargetLoad struct {
	Target api.TargetID `cbor:"1,keyasint"`
	Load   Load         `cbor:"2,keyasint"`
}

// Report is what one entry has under way: all of it, or what has changed.
type Report struct {
	Entry api.InstanceID `cbor:"1,keyasint"`
	// List is in the order of the targets' names.
	List []TargetLoad `cbor:"2,keyasint,omitempty"`
	// Whole tells that List is all; else targets that are not in it are as before,
	// and those with no load have none any more.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// Merge gives what a report and a later one of the same entry say together.
func (r Report) Merge(later Report) Report {
	if later.Whole {
		return later
	}
	out := Report{Entry: r.Entry, Whole: r.Whole, List: make([]TargetLoad, 0, len(r.List)+len(later.List))}
	old, changed := r.List, later.List
	for len(old) > 0 || len(changed) > 0 {
		switch {
		case len(changed) == 0 || len(old) > 0 && old[0].Target < changed[0].Target:
			out.List, old = append(out.List, old[0]), old[1:]
		case len(old) > 0 && old[0].Target == changed[0].Target:
			out.List, old, changed = append(out.List, changed[0]), old[1:], changed[1:]
		default:
			out.List, changed = append(out.List, changed[0]), changed[1:]
		}
	}
	if out.Whole {
		out.List = slices.DeleteFunc(out.List, func(l TargetLoad) bool { return l.Load == (Load{}) })
	}
	return out
}

// Stale is after how long without a report an entry's load no longer counts: it
// reports every second, and one that was killed has nothing under way.
const Stale = 2500 * time.Millisecond

// Sum is what the entries but one have under way at a target.
type Sum struct {
	Target api.TargetID
	Load   Load
	// Ahead is what entries before the one have to move when the target drains. Entries move the runs of a target one after the other, in an order that
	// follows from the target's and the entries' names, so that all come to the same
	// order without coordination.
	Ahead Backlog
}

// Backlog is what has to be moved from a target.
type Backlog struct {
	// Tokens is the memory of the runs.
	Tokens int
	Runs   int
}

// Table adds up what other entries report, for one entry. A report costs as much as it
// holds changes, however many entries and targets there are.
type Table struct {
	self    api.InstanceID
	reports map[api.InstanceID]*report
	sums    map[api.TargetID]*Sum
	// changed are the targets whose sums have changed since they were last taken.
	changed map[api.TargetID]struct{}
}

// report is the load of one entry.
type report struct {
	loads map[api.TargetID]Load
	heard time.Time
}

// NewTable gives the empty table of an entry.
func NewTable(self api.InstanceID) *Table {
	return &Table{
		self: self, reports: make(map[api.InstanceID]*report),
		sums: make(map[api.TargetID]*Sum), changed: make(map[api.TargetID]struct{}),
	}
}

// Put takes a report. The entry's own changes nothing.
func (t *Table) Put(r Report, now time.Time) {
	if r.Entry == t.self {
		return
	}
	known := t.reports[r.Entry]
	if known == nil {
		known = &report{loads: make(map[api.TargetID]Load)}
		t.reports[r.Entry] = known
	}
	known.heard = now
	if r.Whole {
		t.dropUnlisted(r, known)
	}
	for _, l := range r.List {
		t.set(r.Entry, known, l.Target, l.Load)
	}
}

// dropUnlisted takes back the loads that a whole report does not list.
func (t *Table) dropUnlisted(r Report, known *report) {
	listed := make(map[api.TargetID]struct{}, len(r.List))
	for _, l := range r.List {
		listed[l.Target] = struct{}{}
	}
	for id := range known.loads {
		if _, ok := listed[id]; !ok {
			t.set(r.Entry, known, id, Load{})
		}
	}
}

// set replaces the load of an entry on a target.
func (t *Table) set(entry api.InstanceID, known *report, id api.TargetID, l Load) {
	old := known.loads[id]
	if old == l {
		return
	}
	if l == (Load{}) {
		delete(known.loads, id)
	} else {
		known.loads[id] = l
	}
	sum := t.sums[id]
	if sum == nil {
		sum = &Sum{Target: id}
		t.sums[id] = sum
	}
	sum.Load = sum.Load.Add(l).sub(old)
	moves := old.Moving != l.Moving || old.MovingRuns != l.MovingRuns
	if moves && before(id, entry, t.self) {
		sum.Ahead.Tokens += l.Moving - old.Moving
		sum.Ahead.Runs += l.MovingRuns - old.MovingRuns
	}
	t.changed[id] = struct{}{}
}

func (l Load) sub(o Load) Load {
	return l.Add(Load{Running: -o.Running, Tokens: -o.Tokens, Unread: -o.Unread, Moving: -o.Moving, MovingRuns: -o.MovingRuns})
}

// before tells whether entry a comes before entry b at a target.
func before(t api.TargetID, a, b api.InstanceID) bool {
	x, y := place(t, a), place(t, b)
	if x != y {
		return x < y
	}
	return a < b
}

func place(t api.TargetID, e api.InstanceID) uint64 {
	return xxhash.Sum64String(string(t) + "/" + string(e))
}

// Take gives the sums that have changed since the last call, in no order, and how many
// other entries have reported of late.
func (t *Table) Take(now time.Time) ([]Sum, int) {
	for id, r := range t.reports {
		if now.Sub(r.heard) > Stale {
			t.dropUnlisted(Report{Entry: id}, r)
			delete(t.reports, id)
		}
	}
	out := make([]Sum, 0, len(t.changed))
	for id := range t.changed {
		sum := t.sums[id]
		out = append(out, *sum)
		if sum.Load == (Load{}) && sum.Ahead == (Backlog{}) {
			delete(t.sums, id)
		}
	}
	clear(t.changed)
	return out, len(t.reports)
}
