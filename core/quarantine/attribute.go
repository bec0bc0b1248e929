package quarantine

import (
	"bytes"
	"cmp"
	"slices"
)

// attribute quarantines the requests that crash targets.
//
// Other requests are in progress at the same crashes. The request that was in progress at the
// most of them, and for the shortest time, is taken first, and its crashes are then no evidence
// against others. What remains must be improbable: a long stream, or any request while targets
// crash often, meets several crashes by chance.
//
// Parts of prompts are suspects like requests. A request goes before a part that was in progress at as
// many crashes, because other requests with the part are not known to crash targets. The part meets
// more crashes than each of its requests if it causes them.
func (t *Table) attribute() {
	explained := make(map[crashID]struct{})
	for _, r := range t.suspects() {
		open := slices.DeleteFunc(slices.Clone(r.Runs), func(run Run) bool {
			_, ok := explained[run.id()]
			return ok
		})
		culprit := len(open) >= t.needed(r)
		switch {
		case r.Quarantined() && !culprit:
			r.Until, r.With = 0, nil
			r.Times--
		case !r.Quarantined() && culprit:
			if culprit = t.needed(r) < minCrashes || t.improbable(r, open, explained); culprit {
				r.Times++
				r.Until = t.now + duration(r.Times)
			}
		}
		if !culprit {
			continue
		}
		if r.IsPart() {
			r.With = t.inseparable(r)
		}
		for _, run := range r.Runs {
			explained[run.id()] = struct{}{}
		}
	}
}

// inseparable returns the other parts that were in progress at the same crashes as a part, in the order
// of fingerprints.
func (t *Table) inseparable(r *Record) []Fingerprint {
	var with []Fingerprint
	for f, other := range t.records {
		if other != r && other.IsPart() && sameCrashes(r.Runs, other.Runs) {
			with = append(with, f)
		}
	}
	slices.SortFunc(with, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return with
}

// sameCrashes reports whether two lists of runs, in the order of the crashes, are of the same crashes.
func sameCrashes(a, b []Run) bool {
	if len(a) != len(b) {
		return false
	}
	for _, run := range a {
		if !slices.ContainsFunc(b, func(other Run) bool { return run.id() == other.id() }) {
			return false
		}
	}
	return true
}

// suspects returns the records with enough crashes for a quarantine, in the order in which crashes
// are attributed to them.
func (t *Table) suspects() []*Record {
	var list []*Record
	for _, r := range t.records {
		if len(r.Runs) >= t.needed(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(
			cmp.Compare(len(b.Runs), len(a.Runs)),
			compareTrueFirst(!a.IsPart(), !b.IsPart()),
			cmp.Compare(a.inProgress(a.Runs), b.inProgress(b.Runs)),
			bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]),
		)
	})
	return list
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// improbable reports whether the runs of a request met as many crashes as they did other than by
// chance: while it was in progress at a small share of the targets, a large share of all crashes
// met it.
func (t *Table) improbable(r *Record, runs []Run, explained map[crashID]struct{}) bool {
	from, to := runs[0].At, runs[0].At
	for _, run := range runs {
		from, to = min(from, run.At-run.InProgress), max(to, run.At)
	}
	total, targets := 0, 1
	for _, c := range t.crashes {
		if _, ok := explained[crashID{c.Target, c.Born}]; ok || c.Service != r.Service || c.At < from || c.At > to {
			continue
		}
		total++
		targets = max(targets, c.Targets)
	}
	share := max(float64(r.inProgress(runs))/float64((to-from)*int64(targets)), r.spread(runs))
	return chance(len(runs), max(total, len(runs)), share) < maxChance
}
