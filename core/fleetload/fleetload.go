// Package fleetload sums the load reports of the entries by target. An entry knows its own
// requests at once and those of the other entries some milliseconds late. Without the
// reports of the others, all entries would choose the same least loaded target in a burst.
// The package is not safe for concurrent use; the current time is passed in.
package fleetload

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// Load is the load of active requests on a target.
type Load struct {
	// Running is the number of requests; Tokens is the memory, in tokens, that they are
	// expected to use.
	Running int `cbor:"1,keyasint,omitempty"`
	Tokens  int `cbor:"2,keyasint,omitempty"`
	// Unread is the number of prompt tokens that the target has yet to process for
	// requests whose answers have not started.
	Unread int `cbor:"3,keyasint,omitempty"`
	// Moving is the memory, in tokens, of streams that no other engine has a copy
	// of: the memory that would have to be migrated if the target drained now.
	Moving int `cbor:"4,keyasint,omitempty"`
	// MovingRuns is the number of the streams that Moving counts, without those whose
	// migration has given up its turn because no receiver had room.
	MovingRuns int `cbor:"5,keyasint,omitempty"`
	// PaceWeight is the number of gaps between events that were lately observed on an engine,
	// PaceSum their sum as gaps without a prompt to read, in milliseconds (see core/pace).
	PaceWeight int `cbor:"6,keyasint,omitempty"`
	PaceSum    int `cbor:"7,keyasint,omitempty"`
	// Incoming is the memory, in tokens, of runs that are being copied to the target from
	// draining engines.
	Incoming int `cbor:"11,keyasint,omitempty"`
	// Failed is the number of answers of the target that were lost or were errors of its own
	// lately, Answered the number of good answers in the same time, and FailingEntries is one if
	// the entry has seen a failure there. All are zero while nobody sees a failure. See
	// core/targetfault.
	Failed         int `cbor:"8,keyasint,omitempty"`
	Answered       int `cbor:"9,keyasint,omitempty"`
	FailingEntries int `cbor:"10,keyasint,omitempty"`
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens, Unread: l.Unread + o.Unread, Moving: l.Moving + o.Moving, MovingRuns: l.MovingRuns + o.MovingRuns,
		PaceWeight: l.PaceWeight + o.PaceWeight, PaceSum: l.PaceSum + o.PaceSum, Incoming: l.Incoming + o.Incoming,
		Failed: l.Failed + o.Failed, Answered: l.Answered + o.Answered, FailingEntries: l.FailingEntries + o.FailingEntries,
	}
}

// TargetLoad is one entry's load on one target.
type TargetLoad struct {
	Target api.TargetID `cbor:"1,keyasint"`
	Load   Load         `cbor:"2,keyasint"`
}

// Report is the load of one entry's active requests: either its load on all targets or only
// the changes since its previous report.
type Report struct {
	Entry api.InstanceID `cbor:"1,keyasint"`
	// List is sorted by target name.
	List []TargetLoad `cbor:"2,keyasint,omitempty"`
	// Whole is set if List holds the entry's whole load. Otherwise targets that are not
	// listed are unchanged, and a target listed with a zero load has none any more.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// Merge returns the report that has the same effect as r followed by a later report of the
// same entry.
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

// Stale is the time without a report after which the load of an entry is no longer
// counted. Entries report every second, and an entry that was killed has no active
// requests.
const Stale = 2500 * time.Millisecond

// Sum is the load on a target by all entries except the owner of the Table.
type Sum struct {
	Target api.TargetID
	Load   Load
	// Ahead is the backlog of the entries that migrate their runs before the owner of
	// the Table when the target drains. Entries migrate the runs of a target one after
	// the other, in an order that is derived from the names of the target and of the
	// entries, so that all entries agree on it without coordination.
	Ahead Backlog
	// FailingBefore is the number of FailingEntries that come before the owner of the Table in the
	// order in which entries try the target again, which is that of the migrations.
	FailingBefore int
	// Rises holds, for each entry that reports a failure, the number of the report in which its Failed
	// last grew. Later reports of the same target have higher numbers.
	Rises []uint64
}

// targetSum is a sum as a Table keeps it.
type targetSum struct {
	Sum
	// failing holds the entries that report a failure.
	failing []failingEntry
}

// failingEntry is an entry that reports a failure, with its number in Sum.Rises.
type failingEntry struct {
	entry api.InstanceID
	rise  uint64
}

// setFailed records that an entry reports another number of failures than before, in the report with
// the given number.
func (s *targetSum) setFailed(entry api.InstanceID, before, failed int, number uint64) {
	i := slices.IndexFunc(s.failing, func(f failingEntry) bool { return f.entry == entry })
	switch {
	case failed <= 0 && i >= 0:
		s.failing = slices.Delete(s.failing, i, i+1)
	case failed > before && i >= 0:
		s.failing[i].rise = number
	case failed > 0 && i < 0:
		s.failing = append(s.failing, failingEntry{entry, number})
	}
}

// take returns the sum with a copy of the numbers of its failing entries.
func (s *targetSum) take() Sum {
	out := s.Sum
	for _, f := range s.failing {
		out.Rises = append(out.Rises, f.rise)
	}
	return out
}

// Backlog is the amount of work to migrate runs from a target.
type Backlog struct {
	// Tokens is the memory of the runs, in tokens.
	Tokens int
	Runs   int
}

// Table sums the reports of all other entries, for the one entry that owns it. The cost of
// applying a report depends only on the loads that it lists and, for a whole report, on the
// previous loads of its entry. It does not depend on the number of entries and targets.
type Table struct {
	self    api.InstanceID
	reports map[api.InstanceID]*report
	sums    map[api.TargetID]*targetSum
	// changed holds the targets whose sums have changed since the last call of Take.
	changed map[api.TargetID]struct{}
	// changes counts the changes of loads.
	changes uint64
	// badPaces counts the paces that boundPace has dropped.
	badPaces int
	// dropped counts loads that are not plausible.
	dropped uint64
	// rejected counts the loads whose failures were not counted, because no entry sends such.
	rejected int
}

// report is the load of one entry, as of its last report.
type report struct {
	loads      map[api.TargetID]Load
	reportedAt time.Time
}

// NewTable returns an empty table that is owned by the entry self.
func NewTable(self api.InstanceID) *Table {
	return &Table{
		self: self, reports: make(map[api.InstanceID]*report),
		sums: make(map[api.TargetID]*targetSum), changed: make(map[api.TargetID]struct{}),
	}
}

// Put applies a report. It ignores reports of the entry that owns the table.
func (t *Table) Put(r Report, now time.Time) {
	if r.Entry == t.self {
		return
	}
	known := t.reports[r.Entry]
	if known == nil {
		known = &report{loads: make(map[api.TargetID]Load)}
		t.reports[r.Entry] = known
	}
	known.reportedAt = now
	if r.Whole {
		t.dropUnlisted(r, known)
	}
	for _, l := range r.List {
		if !l.Load.plausible() {
			t.dropped++
			continue
		}
		t.set(r.Entry, known, l.Target, t.boundPace(l.Load))
	}
}

// maxMoving bounds the memory, in tokens, and the number of runs that one entry may report as
// being migrated from or to a target. Sums of such loads cannot overflow.
const maxMoving = 1 << 30

// plausible reports whether what a load says of migrations can be true. One wrong number would
// otherwise make all other entries wait for migrations that do not exist, or for none.
func (l Load) plausible() bool {
	for _, v := range [...]int{l.Moving, l.MovingRuns, l.Incoming} {
		if v < 0 || v > maxMoving {
			return false
		}
	}
	return true
}

// Dropped returns the number of loads that were not applied because they are not plausible. The
// last load of the same entry on the same target stays until its next report, or until it is
// stale.
func (t *Table) Dropped() uint64 { return t.dropped }

// dropUnlisted removes the loads of an entry that are not listed in its report.
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

// set replaces the load of an entry on a target and updates the target's sum.
func (t *Table) set(entry api.InstanceID, known *report, id api.TargetID, l Load) {
	if !l.hasValidFailures() {
		l.Failed, l.Answered, l.FailingEntries = 0, 0, 0
		t.rejected++
	}
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
		sum = &targetSum{Sum: Sum{Target: id}}
		t.sums[id] = sum
	}
	sum.Load = sum.Load.Add(l).sub(old)
	movingChanged := old.Moving != l.Moving || old.MovingRuns != l.MovingRuns
	if movingChanged && migratesBefore(id, entry, t.self) {
		sum.Ahead.Tokens += l.Moving - old.Moving
		sum.Ahead.Runs += l.MovingRuns - old.MovingRuns
	}
	t.changes++
	if old.Failed != l.Failed {
		sum.setFailed(entry, old.Failed, l.Failed, t.changes)
	}
	if old.FailingEntries != l.FailingEntries && migratesBefore(id, entry, t.self) {
		sum.FailingBefore += l.FailingEntries - old.FailingEntries
	}
	t.changed[id] = struct{}{}
}

// maxAnswers bounds the failures, and the good answers, that one entry reports of one target.
const maxAnswers = 1 << 16

// hasValidFailures reports whether the failures of a load are such as one entry reports.
func (l Load) hasValidFailures() bool {
	return l.Failed >= 0 && l.Failed <= maxAnswers && l.Answered >= 0 && l.Answered <= maxAnswers &&
		(l.FailingEntries == 0 || l.FailingEntries == 1 && l.Failed > 0)
}

// Rejected returns the number of loads whose failures were not counted because they were negative
// or too large.
func (t *Table) Rejected() int { return t.rejected }

func (l Load) sub(o Load) Load {
	return l.Add(Load{
		Running: -o.Running, Tokens: -o.Tokens, Unread: -o.Unread, Moving: -o.Moving, MovingRuns: -o.MovingRuns,
		PaceWeight: -o.PaceWeight, PaceSum: -o.PaceSum, Incoming: -o.Incoming,
		Failed: -o.Failed, Answered: -o.Answered, FailingEntries: -o.FailingEntries,
	})
}

// migratesBefore reports whether entry a migrates its runs from a target before entry b.
func migratesBefore(t api.TargetID, a, b api.InstanceID) bool {
	x, y := migrationOrder(t, a), migrationOrder(t, b)
	if x != y {
		return x < y
	}
	return a < b
}

func migrationOrder(t api.TargetID, e api.InstanceID) uint64 {
	return xxhash.Sum64String(string(t) + "/" + string(e))
}

// Take removes the load of entries that have not reported for longer than Stale. It returns
// the sums that have changed since the last call, in no particular order, and the number of
// other entries that have reported within that time.
func (t *Table) Take(now time.Time) ([]Sum, int) {
	for id, r := range t.reports {
		if now.Sub(r.reportedAt) > Stale {
			t.dropUnlisted(Report{Entry: id}, r)
			delete(t.reports, id)
		}
	}
	out := make([]Sum, 0, len(t.changed))
	for id := range t.changed {
		sum := t.sums[id]
		out = append(out, sum.take())
		if sum.Load == (Load{}) && sum.Ahead == (Backlog{}) {
			delete(t.sums, id)
		}
	}
	clear(t.changed)
	return out, len(t.reports)
}
