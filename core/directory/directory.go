// Package directory keeps the list of targets that announce themselves: which
// service each of them serves, at which address, and whether it is leaving.
// Processes merge each other's records; which of two records of a target wins does
// not depend on the order in which they arrive. The package reads no clock: the
// caller passes in the time. A Directory is not safe for concurrent use.
package directory

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
)

// State is the state that a target last announced, or that a process concluded for
// it.
type State uint8

// The states, in the order in which one run of a target passes through them. The
// process that a target announces itself to sets StateMissing when the
// announcements stop; a later announcement replaces it. StateLost is concluded when no control
// member hears of the target any longer; a later announcement replaces it as well.
const (
	StateReady State = iota + 1
	StateMissing
	StateLeaving
	StateGone
	StateLost
)

// Ended reports whether a target in this state must not be used.
func (s State) Ended() bool { return s == StateGone || s == StateLost }

// String returns the name of the state as it appears in logs.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateMissing:
		return "missing"
	case StateLeaving:
		return "leaving"
	case StateGone:
		return "gone"
	case StateLost:
		return "lost"
	}
	return "unknown"
}

// Record is what is known about one run of one target.
type Record struct {
	Target  api.TargetID  `cbor:"1,keyasint"`
	Service api.ServiceID `cbor:"2,keyasint,omitempty"`
	// Address is HOST:PORT.
	Address string   `cbor:"3,keyasint,omitempty"`
	Zone    api.Zone `cbor:"4,keyasint,omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Born is the start of this run in Unix milliseconds by the target's own clock,
	// or zero if the target does not state it. It distinguishes two runs under the
	// same name.
	Born int64 `cbor:"6,keyasint,omitempty"`
	// Sequence increases with each announcement of one run.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
	State    State  `cbor:"8,keyasint"`
	// Cold is how much longer the target stays cold, that is, bears only a reduced rate of
	// requests. It counts from the arrival of the record at this process.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
	// Software is the version of the target's software. A run does not change it.
	Software api.SoftwareVersion `cbor:"10,keyasint,omitempty"`
	// Unheard is for how long the sender of a whole list has not known the target to announce itself to
	// any member. It counts from the arrival of the list.
	Unheard time.Duration `cbor:"11,keyasint,omitempty"`
}

// tombstoneTTL is how long a target that is gone is remembered, so that a delayed
// announcement does not list it again. Reports are delayed by seconds, so a minute
// is ample. It is also the time within which a target that is up announces itself.
const tombstoneTTL = time.Minute

// trackedTarget is the record of one target with the state that this process keeps
// about it.
type trackedTarget struct {
	record Record
	// lastHeard is when the target last announced itself to this process, or its
	// record was last stored or marked as gone.
	lastHeard time.Time
	// coldUntil is the time at which the target stops being cold.
	coldUntil time.Time
	// own is set while the target announces itself to this process.
	own bool
	presence
}

// Directory is the copy of the list that one process holds.
type Directory struct {
	targets map[api.TargetID]*trackedTarget
	// byAddress lists the targets at each address, without those that are gone or lost.
	byAddress map[string][]api.TargetID
	// departures holds departures whose tombstones have expired.
	departures departures
	// sources holds the open links, home the one to the home, zero for none.
	sources map[Source]struct{}
	home    Source
	// coveredSince is described at SetCoverage, and coverageKnown is when this process learnt of it; both are zero
	// without coverage.
	coveredSince, coverageKnown time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{targets: make(map[api.TargetID]*trackedTarget), byAddress: make(map[string][]api.TargetID), sources: make(map[Source]struct{})}
}

// supersedes reports whether next replaces known, another record of the same target.
//
// An announcement may arrive after its sender has restarted under the same name, so a later run
// always wins. Within a run, or if the start of the known run is not stated, a record of a target
// that is gone wins, then the higher sequence, then the later state. A target that states the start of
// its run always states it: a record without it is not that target's own, and its sequence is counted by
// another writer.
func supersedes(next, known Record) bool {
	if next.Born != known.Born && next.Born != 0 && known.Born != 0 {
		return next.Born > known.Born
	}
	if known.State == StateGone {
		return false
	}
	if next.State == StateGone {
		return true
	}
	if next.Born == 0 && known.Born != 0 {
		return false
	}
	if next.Sequence != known.Sequence {
		return next.Sequence > known.Sequence
	}
	return next.State > known.State || statesSoftware(next, known)
}

// known returns what is known of a target, nil if nothing. A departure that states no run counts for tombstoneTTL
// only, also in a process that calls no Expire: a later run could not be distinguished from the one that has left.
func (d *Directory) known(id api.TargetID, now time.Time) *trackedTarget {
	e := d.targets[id]
	if e != nil && e.record.State == StateGone && e.record.Born == 0 && now.Sub(e.lastHeard) > tombstoneTTL {
		return nil
	}
	return e
}

// Announce applies an announcement that a target makes to this process. It returns the
// records that changed and must be passed on: that of the target, and those of the
// targets whose address it has taken.
func (d *Directory) Announce(r Record, now time.Time) []Record {
	e := d.known(r.Target, now)
	if e == nil && d.departures.covers(r) {
		return nil
	}
	if e != nil && !supersedes(r, e.record) {
		if e.record.State != StateGone && r.Sequence == e.record.Sequence {
			e.lastHeard = now
		}
		return e.doubtSoftware(r)
	}
	if e != nil {
		r = inheritSoftware(r, e.record)
	}
	// Others must also be told of a target that announced itself to another process
	// before: that process would otherwise conclude that the target is missing.
	changed := e == nil || !e.own || e.restate || !equalForRouting(e.record, r) || e.extendsCold(r, now)
	d.departures.refute(r, true)
	return d.store(r, now, true, changed)
}

// equalForRouting reports whether two records of a run differ in nothing that
// routing depends on, apart from the cold time, which extendsCold compares.
func equalForRouting(a, b Record) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Cold, b.Cold = 0, 0
	return a == b
}

// coldTolerance is how much later the end of the cold time may appear to be without
// counting as a change: two announcements may take different times to arrive.
const coldTolerance = 250 * time.Millisecond

// extendsCold reports whether r makes the target stay cold for longer than known, by more than
// coldTolerance. A target may become cold again at any time.
func (t *trackedTarget) extendsCold(r Record, now time.Time) bool {
	return r.Cold > 0 && now.Add(r.Cold).After(t.coldUntil.Add(coldTolerance))
}

// current returns the record with the cold time that remains at the time now.
func (t *trackedTarget) current(now time.Time) Record {
	r := t.record
	r.Cold = max(0, t.coldUntil.Sub(now))
	return r
}

// Leave marks a target as gone because the target itself says so. It ignores the
// departure of a run other than the known one. It returns the record if it changed and
// must be passed on.
func (d *Directory) Leave(id api.TargetID, born int64, now time.Time) []Record {
	e := d.targets[id]
	r := Record{Target: id, Born: born, State: StateGone}
	if e != nil {
		if born != 0 && e.record.Born != 0 && born != e.record.Born {
			return nil
		}
		r = e.record
		r.State = StateGone
	}
	changed := e == nil || e.record.State != StateGone
	return d.store(r, now, true, changed)
}

// Merge applies a record from another process. It returns the records in which
// something changed that routing depends on: the target's own, and those of the targets
// whose address it has taken.
func (d *Directory) Merge(r Record, now time.Time) []Record {
	if r.State == StateLost {
		return d.conclude(r, now)
	}
	e := d.known(r.Target, now)
	if e == nil && d.departures.covers(r) {
		return nil
	}
	if e != nil && !supersedes(r, e.record) {
		return e.doubtSoftware(r)
	}
	if e != nil && r.State == StateGone && r.Born == 0 && e.record.Born != 0 {
		// The process that received the deregistration did not know the run.
		r = e.record
		r.State = StateGone
	}
	if e != nil {
		r = inheritSoftware(r, e.record)
	}
	// A target that no longer announces itself to this process must be stated to others, too.
	changed := e == nil || e.own || !equalForRouting(e.record, r) || e.extendsCold(r, now)
	return d.store(r, now, false, changed)
}

// store stores a record and returns it if it has changed. An address belongs to one run
// at a time: store marks every other target at the record's address as gone, unless that
// target's run is known to have started later, and returns its record too.
func (d *Directory) store(r Record, now time.Time, own, changed bool) []Record {
	var out []Record
	next := &trackedTarget{record: r, lastHeard: now, coldUntil: now.Add(r.Cold), own: own}
	if known := d.targets[r.Target]; known != nil {
		d.removeFromAddress(known.record)
		next.presence = known.presence
	}
	next.absentSince, next.restate = now, false
	if r.State.Ended() {
		next.presence = presence{}
	}
	d.targets[r.Target] = next
	if changed {
		out = append(out, r)
	}
	if r.State.Ended() || r.Address == "" {
		return out
	}
	for _, id := range slices.Clone(d.byAddress[r.Address]) {
		e := d.targets[id]
		if e.record.Born != 0 && r.Born != 0 && e.record.Born > r.Born {
			continue
		}
		d.removeFromAddress(e.record)
		e.record.State = StateGone
		e.lastHeard, e.presence = now, presence{}
		out = append(out, e.record)
	}
	d.byAddress[r.Address] = append(d.byAddress[r.Address], r.Target)
	return out
}

// removeFromAddress removes the record's target from the list of its address.
func (d *Directory) removeFromAddress(r Record) {
	remaining := slices.DeleteFunc(d.byAddress[r.Address], func(id api.TargetID) bool { return id == r.Target })
	if len(remaining) == 0 {
		delete(d.byAddress, r.Address)
		return
	}
	d.byAddress[r.Address] = remaining
}

// Expire marks as missing the targets that announce themselves to this process and
// have not done so for longer than silence. It removes targets that have been gone
// for longer than tombstoneTTL. It returns the records of the targets that became
// missing.
func (d *Directory) Expire(now time.Time, silence time.Duration) []Record {
	var changed []Record
	for id, e := range d.targets {
		if e.record.State.Ended() {
			if now.Sub(e.lastHeard) > tombstoneTTL {
				delete(d.targets, id)
				if e.record.State == StateGone {
					d.departures.add(e.record)
				}
			}
			continue
		}
		if e.own && e.record.State == StateReady && now.Sub(e.lastHeard) > silence {
			e.record.State = StateMissing
			changed = append(changed, e.record)
		}
	}
	return changed
}

// Records returns all records as of now, including those of targets that are gone.
func (d *Directory) Records(now time.Time) []Record {
	out := make([]Record, 0, len(d.targets))
	for _, e := range d.targets {
		out = append(out, e.current(now))
	}
	return out
}

// OwnRecords returns the records of the targets that announce themselves to this process.
func (d *Directory) OwnRecords(now time.Time) []Record {
	var out []Record
	for _, e := range d.targets {
		if e.own {
			out = append(out, e.current(now))
		}
	}
	return out
}

// Get returns the record of one target, with the cold time as it was received, and
// whether the target is known.
func (d *Directory) Get(id api.TargetID) (Record, bool) {
	e := d.targets[id]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}
