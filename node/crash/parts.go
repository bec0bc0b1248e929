package crash

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
)

// lostParts returns the parts of requests that were lost in a crash, each once. Left out are those on
// which this entry has seen a run write an answer recently: they do not crash targets.
func (q *Quarantine) lostParts(lost []Lost, now time.Time) []quarantine.LostPart {
	var out []quarantine.LostPart
	index := make(map[quarantine.Fingerprint]int)
	for _, l := range lost {
		for i, f := range l.PartFingerprints() {
			if at, known := index[f]; known {
				out[at].InProgress = max(out[at].InProgress, l.InProgress.Milliseconds())
				continue
			}
			if len(out) == quarantine.MaxParts || q.servedParts.hasPart(f, now) {
				continue
			}
			index[f] = len(out)
			out = append(out, quarantine.LostPart{
				Fingerprint: f, Part: quarantine.ShortPart(l.Parts[i]), Customer: l.Customer, InProgress: l.InProgress.Milliseconds(), Spread: 1,
			})
		}
	}
	q.addSpread(out, index)
	return out
}

// addSpread adds the targets at which other requests with the parts are in progress.
func (q *Quarantine) addSpread(list []quarantine.LostPart, index map[quarantine.Fingerprint]int) {
	if len(list) == 0 {
		return
	}
	q.requestsMu.Lock()
	defer q.requestsMu.Unlock()
	targets := make([]map[api.TargetID]struct{}, len(list))
	for id := range q.requests {
		t := id.target.Load()
		if t == nil {
			continue
		}
		for _, f := range id.PartFingerprints() {
			at, ok := index[f]
			if !ok {
				continue
			}
			if targets[at] == nil {
				targets[at] = make(map[api.TargetID]struct{})
			}
			targets[at][*t] = struct{}{}
		}
	}
	for i := range list {
		list[i].Spread = max(1, len(targets[i]))
	}
}

// Wrote records that a run of a request writes its answer, or has ended well, and reports the parts
// of its prompt that are suspected.
func (q *Quarantine) Wrote(id *Identity) {
	parts := id.PartFingerprints()
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	for _, f := range parts {
		q.servedParts.addPart(f, now)
	}
	if v := q.view.Load(); !v.hasParts || !slices.ContainsFunc(parts, v.has) {
		return
	}
	q.change(func() { q.reportParts(parts) })
}

func (v *quarantineView) has(f quarantine.Fingerprint) bool {
	_, ok := v.records[f]
	return ok
}

// reportServedParts reports those listed parts on which this entry has seen a run write an answer
// recently: the group may have listed them before it could know. The caller holds q.mu.
func (q *Quarantine) reportServedParts(list []quarantine.Record) {
	now := time.Now()
	var served []quarantine.Fingerprint
	for _, r := range list {
		if r.IsPart() && q.servedParts.hasPart(r.Fingerprint, now) {
			served = append(served, r.Fingerprint)
		}
	}
	q.reportParts(served)
}

// reportParts reports parts that do not crash targets, as far as they are listed and no such report is
// under way. The caller holds q.mu.
func (q *Quarantine) reportParts(parts []quarantine.Fingerprint) {
	var served []quarantine.Fingerprint
	for _, f := range parts {
		_, reporting := q.reporting[f]
		if !reporting && (listed(q.group, f) || q.own.Knows(f)) {
			q.reporting[f] = struct{}{}
			served = append(served, f)
		}
	}
	for list := range slices.Chunk(served, maxServedReport) {
		q.report(quarantine.Command{Served: list})
	}
}

// maxServedReport is the number of parts in one report.
const maxServedReport = 256

// refusesParts returns for how much longer requests with the parts of a request are refused, zero if
// they are not. A part on which this entry has seen a run write an answer recently is not refused.
func (q *Quarantine) refusesParts(id *Identity) time.Duration {
	v := q.view.Load()
	if !v.hasParts || len(id.Parts) == 0 {
		return 0
	}
	now := time.Now()
	left, parts := time.Duration(0), id.PartFingerprints()
	for _, f := range parts {
		r, ok := v.records[f]
		if !ok || !r.until.After(now) || !containsAll(parts, r.With) || q.servedParts.hasPart(f, now) {
			continue
		}
		left = max(left, r.until.Sub(now))
	}
	return left
}

func containsAll(list, all []quarantine.Fingerprint) bool {
	for _, f := range all {
		if !slices.Contains(list, f) {
			return false
		}
	}
	return true
}
