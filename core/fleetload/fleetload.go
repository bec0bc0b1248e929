// Package fleetload adds up what the entries have under way at each target. Each
// entry knows its own requests at once and those of the others a fraction of a
// second late; without the others' it would send a burst to the target that all of
// them take for the emptiest. Not safe for concurrent use; time comes in.
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
}

// Add gives the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens, Unread: l.Unread + o.Unread, Moving: l.Moving + o.Moving}
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

// Changes gives what differs between two whole lists, in the order of the names.
func Changes(from, to []TargetLoad) []TargetLoad {
	var out []TargetLoad
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].Target < to[0].Target:
			out, from = append(out, TargetLoad{Target: from[0].Target}), from[1:]
		case len(from) > 0 && from[0].Target == to[0].Target:
			if from[0].Load != to[0].Load {
				out = append(out, to[0])
			}
			from, to = from[1:], to[1:]
		default:
			out, to = append(out, to[0]), to[1:]
		}
	}
	return out
}

// Stale is after how long without a report an entry's load no longer counts: it
// reports every second, and one that was killed has nothing under way.
const Stale = 2500 * time.Millisecond

// Table holds the newest report of each entry.
type Table struct {
	reports map[api.InstanceID]report
}

type report struct {
	Report
	heard time.Time
}

// NewTable gives an empty table.
func NewTable() *Table { return &Table{reports: make(map[api.InstanceID]report)} }

// Put takes a report.
func (t *Table) Put(r Report, now time.Time) {
	known := t.reports[r.Entry]
	t.reports[r.Entry] = report{Report: known.Report.Merge(r), heard: now}
}

// Ahead gives the memory that entries before one have to move when a target
// leaves. Entries move the runs of a target one after the other, in an order that
// follows from the target's and the entries' names, so that all come to the same
// without a word.
func (t *Table) Ahead(one api.InstanceID) map[api.TargetID]int {
	ahead := make(map[api.TargetID]int)
	for id, r := range t.reports {
		if id == one {
			continue
		}
		for _, l := range r.List {
			if l.Load.Moving > 0 && before(l.Target, id, one) {
				ahead[l.Target] += l.Load.Moving
			}
		}
	}
	return ahead
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

// Sums gives the load of each target by all entries but one, and how many entries
// have reported of late, that one not counted.
func (t *Table) Sums(but api.InstanceID, now time.Time) (map[api.TargetID]Load, int) {
	sums := make(map[api.TargetID]Load)
	entries := 0
	for id, r := range t.reports {
		if now.Sub(r.heard) > Stale {
			delete(t.reports, id)
			continue
		}
		if id == but {
			continue
		}
		entries++
		for _, l := range r.List {
			sums[l.Target] = sums[l.Target].Add(l.Load)
		}
	}
	return sums, entries
}
