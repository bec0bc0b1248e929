package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
)

// The stated bounds of what memberCheck checks.
const (
	// inForce is the time within which a confirmed version is in force at all entries that have been calm
	// for calmTime: no fault of the entry or of a member.
	inForce  = 2 * time.Second
	calmTime = 3 * time.Second
	// calmAfterStop takes the place of calmTime after most members were stopped.
	calmAfterStop = 2 * calmTime
	// rollbackSlack is the time after a target saw the effect of a version from which the entry goes by no
	// older one.
	rollbackSlack = 250 * time.Millisecond
	// recoveryTime is the time after the last fault within which the system serves again, and
	// minRecovered the part of the requests that it serves from then on.
	recoveryTime = 12 * time.Second
	minRecovered = 0.25
	// minChecked is the least number of probes of each entry that must be checked.
	minChecked = 20
	// maxPrinted is how many broken promises of one kind are printed.
	maxPrinted = 6
)

// probe is a request whose outcome shows which version an entry goes by.
type probe struct {
	entry, prefix, key string
	kind               change
	sent               time.Time
	boot               int
	done               bool
}

// entryState is what is known of an entry.
type entryState struct {
	boot      int
	disturbed time.Time
	// seen holds the versions whose effect targets saw since the entry started.
	seen []seenVersion
	// checked counts the probes that an older version would have handled differently.
	checked [changeKinds]int
	// late and lateServed count the probes sent later than recoveryTime after the last fault.
	late, lateServed int
	// served is when the last probe was served.
	served time.Time
}

type seenVersion struct {
	number uint64
	at     time.Time
}

// memberCheck checks what operators, callers and targets observe while control members are replaced.
// Its methods may be called concurrently.
type memberCheck struct {
	mu       sync.Mutex
	rng      *rand.Rand
	versions []*version // by number, the first one not proposed
	probes   map[api.RequestID]*probe
	entries  map[string]*entryState
	// disturbed is when a member was last stopped or started, stopped when most of them were last started
	// after a stop; down is set while most are stopped.
	disturbed, stopped time.Time
	down               bool
	confirmed, reads   int
	broken             map[string][]string
	now                func() time.Time
	logf               func(string, ...any)
}

func newMemberCheck(entries []string, rng *rand.Rand) *memberCheck {
	k := &memberCheck{
		rng: rng, versions: []*version{firstVersion()}, probes: make(map[api.RequestID]*probe),
		entries: make(map[string]*entryState), broken: make(map[string][]string), now: time.Now, logf: func(string, ...any) {},
	}
	for _, e := range entries {
		k.entries[e] = &entryState{}
	}
	return k
}

// violated records a broken promise. k.mu must be held.
func (k *memberCheck) violated(promise, format string, args ...any) {
	text := k.now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	k.broken[promise] = append(k.broken[promise], text)
	k.logf("BROKEN %s: %s", promise, text)
}

// Violated records a broken promise that others have found.
func (k *memberCheck) Violated(promise, format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.violated(promise, format, args...)
}

// Propose returns a new version, which is about to be sent.
func (k *memberCheck) Propose() *version {
	k.mu.Lock()
	defer k.mu.Unlock()
	last := k.versions[len(k.versions)-1]
	const maxStep = 3
	v := last.next(last.number+1+k.rng.Uint64N(maxStep), k.rng)
	k.versions = append(k.versions, v)
	return v
}

// Confirmed records the confirmation of a version.
func (k *memberCheck) Confirmed(v *version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v.confirmed.IsZero() {
		v.confirmed = k.now()
		k.confirmed++
		k.logf("version %d is confirmed", v.number)
	}
}

// newestConfirmed returns the newest version confirmed before t. k.mu must be held.
func (k *memberCheck) newestConfirmed(t time.Time) *version {
	for _, v := range slices.Backward(k.versions) {
		if !v.confirmed.IsZero() && v.confirmed.Before(t) {
			return v
		}
	}
	return k.versions[0]
}

// Newest returns the newest confirmed version.
func (k *memberCheck) Newest() *version {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestConfirmed(k.now())
}

// Read checks what a member returned for an operator's read sent at the given time.
func (k *memberCheck) Read(member string, number uint64, document []byte, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	i, ok := slices.BinarySearchFunc(k.versions, number, func(v *version, n uint64) int { return int(v.number) - int(n) })
	if newest := k.newestConfirmed(sent); number < newest.number {
		k.violated("old read", "%s gave version %d, %d was confirmed %v before", member, number, newest.number, sent.Sub(newest.confirmed))
	}
	if !ok {
		k.violated("foreign content", "%s gave version %d, which nobody sent", member, number)
		return
	}
	if c := k.versions[i].configuration(); !c.Describes(document) {
		k.violated("foreign content", "%s gave other content as version %d", member, number)
	}
}

// EntryDisturbed records that an entry is stopped or has been started.
func (k *memberCheck) EntryDisturbed(entry string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[entry]
	e.boot++
	e.disturbed, e.seen = k.now(), nil
}

// GroupDisturbed records that members are stopped or were started; down is set if most are stopped now.
func (k *memberCheck) GroupDisturbed(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.disturbed = k.now()
	if k.down && !down {
		k.stopped = k.now()
	}
	k.down = down
}

// lastFault returns when an entry or a member was last disturbed. k.mu must be held.
func (k *memberCheck) lastFault() time.Time {
	last := k.disturbed
	for _, e := range k.entries {
		if e.disturbed.After(last) {
			last = e.disturbed
		}
	}
	return last
}

// LastFault returns when an entry or a member was last disturbed.
func (k *memberCheck) LastFault() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastFault()
}

// ServedSince reports whether an entry has served a probe since t.
func (k *memberCheck) ServedSince(entry string, t time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.entries[entry].served.After(t)
}

// calm reports whether confirmed versions must be in force at an entry for a request sent at t. k.mu must be held.
func (k *memberCheck) calm(e *entryState, t time.Time) bool {
	return !k.down && t.Sub(k.disturbed) > calmTime && t.Sub(e.disturbed) > calmTime && t.Sub(k.stopped) > calmAfterStop
}

// Sent records a probe that is about to be sent.
func (k *memberCheck) Sent(id api.RequestID, entry, prefix, key string, kind change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.probes[id] = &probe{entry: entry, prefix: prefix, key: key, kind: kind, sent: k.now(), boot: k.entries[entry].boot}
}

// Ran records a target's report that it runs a probe.
func (k *memberCheck) Ran(r standin.Run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.probes[r.Request]
	if p == nil {
		k.violated("unknown request", "%s ran %q, which nobody sent", r.Target, r.Request)
		return
	}
	k.judge(r.Request, p, r.Service)
}

// Answered records the response to a probe.
func (k *memberCheck) Answered(id api.RequestID, a standin.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.probes[id]
	switch {
	case a.Status == http.StatusNotFound, a.Status == http.StatusUnauthorized, a.Status == http.StatusForbidden:
		k.judge(id, p, refusedAsUnknown)
	case a.Status/100 == 3, a.Status/100 == 4 && !a.NotRun():
		k.violated("refused", "%s at %s got status %d", id, p.entry, a.Status)
	}
	k.countLate(p, a)
}

// countLate counts a probe sent later than recoveryTime after the last fault, if no version that may be in
// force refuses it. k.mu must be held.
func (k *memberCheck) countLate(p *probe, a standin.Answer) {
	e := k.entries[p.entry]
	served := a.Status == http.StatusOK
	if served {
		e.served = k.now()
	}
	if k.down || p.sent.Sub(k.lastFault()) <= recoveryTime || k.admits(k.newestConfirmed(p.sent).number, p, refusedAsUnknown) {
		return
	}
	e.late++
	if served {
		e.lateServed++
	}
}

// admits reports whether some version from floor on has the outcome. k.mu must be held.
func (k *memberCheck) admits(floor uint64, p *probe, outcome api.ServiceID) bool {
	return k.least(floor, p, outcome) != nil
}

// least returns the lowest version from floor on that has the outcome, nil if there is none. k.mu must be held.
func (k *memberCheck) least(floor uint64, p *probe, outcome api.ServiceID) *version {
	for _, v := range k.versions[1:] {
		if v.number >= floor && v.outcome(p.prefix, p.key) == outcome {
			return v
		}
	}
	return nil
}

// judge checks what came of a probe: the service that ran it, or refusedAsUnknown. k.mu must be held.
func (k *memberCheck) judge(id api.RequestID, p *probe, outcome api.ServiceID) {
	e := k.entries[p.entry]
	first := !p.done
	p.done = true
	if !k.admits(0, p, outcome) {
		k.violated("no version", "%s at %s: %s with %q by %q, which no version allows", id, p.entry, p.prefix, p.key, outcome)
		return
	}
	if p.boot != e.boot {
		return
	}
	if k.calm(e, p.sent) {
		newest := k.newestConfirmed(p.sent.Add(-inForce))
		if first && k.olderDiffers(newest.number, p) {
			e.checked[p.kind]++
		}
		if !k.admits(newest.number, p, outcome) {
			k.violated("stale", "%s at %s: %s with %q by %q, version %d was confirmed %v before", id, p.entry, p.prefix, p.key, outcome, newest.number, p.sent.Sub(newest.confirmed))
			return
		}
	}
	seen := e.newestSeen(p.sent.Add(-rollbackSlack))
	if !k.admits(seen, p, outcome) {
		k.violated("back", "%s at %s: %s with %q by %q, the effect of version %d was seen before", id, p.entry, p.prefix, p.key, outcome, seen)
		return
	}
	if v := k.least(seen, p, outcome); outcome != refusedAsUnknown && v.number > seen {
		e.seen = append(e.seen, seenVersion{v.number, k.now()})
	}
}

// newestSeen returns the newest version whose effect was seen before t, zero for none.
func (e *entryState) newestSeen(t time.Time) uint64 {
	newest := uint64(0)
	for _, s := range e.seen {
		if s.at.Before(t) {
			newest = max(newest, s.number)
		}
	}
	return newest
}

// olderDiffers reports whether a version older than number has an outcome that no version from number on
// has. k.mu must be held.
func (k *memberCheck) olderDiffers(number uint64, p *probe) bool {
	allowed := make(map[api.ServiceID]bool)
	for _, v := range slices.Backward(k.versions[1:]) {
		outcome := v.outcome(p.prefix, p.key)
		if v.number >= number {
			allowed[outcome] = true
		} else if !allowed[outcome] {
			return true
		}
	}
	return false
}

// evaluate returns a summary and all broken promises.
func (k *memberCheck) evaluate() (string, []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var sum [changeKinds]int
	var broken []string
	for name, e := range k.entries {
		total := 0
		for kind, n := range e.checked {
			sum[kind] += n
			total += n
		}
		if total < minChecked {
			broken = append(broken, fmt.Sprintf("not checked: only %d probes of %s", total, name))
		}
		if e.late > 0 && float64(e.lateServed) < minRecovered*float64(e.late) {
			k.violated("not recovered", "%s served %d of %d probes later than %v after the last fault", name, e.lateServed, e.late, recoveryTime)
		}
	}
	total := 0
	text := fmt.Sprintf("%d probes, checked:", len(k.probes))
	for kind, n := range sum {
		text += fmt.Sprintf(" %d %v,", n, change(kind))
		total += n
	}
	for _, promise := range slices.Sorted(maps.Keys(k.broken)) {
		list := k.broken[promise]
		broken = append(broken, fmt.Sprintf("%s, %d times:", promise, len(list)))
		broken = append(broken, list[:min(len(list), maxPrinted)]...)
	}
	return fmt.Sprintf("%s %d in all, %d versions proposed, %d confirmed, %d reads", text, total, len(k.versions)-1, k.confirmed, k.reads), broken
}
