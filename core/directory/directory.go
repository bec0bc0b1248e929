// Package directory is the list of targets that announce themselves: who serves
// what at which address, and who is leaving. Copies of it on different processes
// merge in any order and come to the same list. It reads no clock: the caller
// passes the time in. A Directory is not safe for concurrent use.
package directory

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
)

// State is what a target last said, or what was concluded of it.
type State uint8

// The states, in the order in which a run of a target goes through them.
// Missing is concluded by the process that a target reported to and that has
// not heard of it since; a later announcement takes it back.
const (
	StateReady State = iota + 1
	StateMissing
	StateLeaving
	StateGone
)

// String gives the state as logs print it.
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
	}
	return "unknown"
}

// Record is what is known of one run of one target.
type Record struct {
	Target  api.TargetID  `cbor:"1,keyasint"`
	Service api.ServiceID `cbor:"2,keyasint,omitempty"`
	// Address is HOST:PORT.
	Address string   `cbor:"3,keyasint,omitempty"`
	Zone    api.Zone `cbor:"4,keyasint,omitempty"`
	// Slots is how many requests the target runs at once.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Born is when this run began, Unix milliseconds by the target's own clock,
	// zero if it does not say. It tells two runs under one name apart.
	Born int64 `cbor:"6,keyasint,omitempty"`
	// Sequence rises with each announcement of one run.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
	State    State  `cbor:"8,keyasint"`
	// Cold is how long the target stays cold, counted from when the record arrived here.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
}

// tombstoneLife is how long a target that is gone is remembered. A delayed
// announcement would otherwise bring it back; reports come seconds late, so a
// minute is ample.
const tombstoneLife = time.Minute

// entry is a record and when it last changed or was heard of here.
type entry struct {
	record Record
	heard  time.Time
	// coldTill is until when the target is cold.
	coldTill time.Time
	// own is set while the target reports to this process.
	own bool
}

// Directory is one process's copy of the list.
type Directory struct {
	targets map[api.TargetID]*entry
	// byAddress are the targets that are not gone at each address.
	byAddress map[string][]api.TargetID
}

// New gives an empty directory.
func New() *Directory {
	return &Directory{targets: make(map[api.TargetID]*entry), byAddress: make(map[string][]api.TargetID)}
}

// supersedes tells whether next is later news than known of the same target.
//
// An announcement may arrive after its sender has started again under the same name. A later
// run always wins, within a run the higher sequence, and within one announcement the later
// state.
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
	if next.Sequence != known.Sequence {
		return next.Sequence > known.Sequence
	}
	return next.State > known.State
}

// Announce takes what a target says of itself to this process. It gives the
// record to pass on and whether that is news to others.
func (d *Directory) Announce(r Record, now time.Time) (Record, bool) {
	e := d.targets[r.Target]
	if e != nil && !supersedes(r, e.record) {
		if e.record.State != StateGone && r.Sequence == e.record.Sequence {
			e.heard = now
		}
		return e.record, false
	}
	// A target that has come over from another process is news too: that process
	// would otherwise conclude that it is missing.
	news := e == nil || !e.own || !sameNews(e.record, r) || e.colderBy(r, now)
	d.put(r, now, true)
	return r, news
}

// sameNews tells whether two records of a run differ in nothing that routing
// needs to know.
func sameNews(a, b Record) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Cold, b.Cold = 0, 0
	return a == b
}

// coldTolerance is by how much the end of a cold time may seem to move between two
// announcements that were not equally long on their way.
const coldTolerance = 250 * time.Millisecond

// colderBy tells whether a record says that the target stays cold for longer than known: a
// target may become cold again at any time.
func (e *entry) colderBy(r Record, now time.Time) bool {
	return r.Cold > 0 && now.Add(r.Cold).After(e.coldTill.Add(coldTolerance))
}

// current gives the record with the cold time that is left.
func (e *entry) current(now time.Time) Record {
	r := e.record
	r.Cold = max(0, e.coldTill.Sub(now))
	return r
}

// Leave marks a target as gone, as it says itself. It gives the record to pass on
// and whether that is news.
func (d *Directory) Leave(id api.TargetID, born int64, now time.Time) (Record, bool) {
	e := d.targets[id]
	r := Record{Target: id, Born: born, State: StateGone}
	if e != nil {
		if born != 0 && e.record.Born != 0 && born != e.record.Born {
			return e.record, false
		}
		r = e.record
		r.State = StateGone
	}
	news := e == nil || e.record.State != StateGone
	d.put(r, now, true)
	return r, news
}

// Merge takes a record from another process. It tells whether it was news.
func (d *Directory) Merge(r Record, now time.Time) bool {
	e := d.targets[r.Target]
	if e != nil && !supersedes(r, e.record) {
		return false
	}
	news := e == nil || !sameNews(e.record, r) || e.colderBy(r, now)
	d.put(r, now, false)
	return news
}

// put stores a record. Another target that was at the same address and is older
// can't be there any more: an address belongs to one run at a time.
func (d *Directory) put(r Record, now time.Time, own bool) {
	if known := d.targets[r.Target]; known != nil {
		d.vacate(known.record)
	}
	d.targets[r.Target] = &entry{record: r, heard: now, coldTill: now.Add(r.Cold), own: own}
	if r.State == StateGone || r.Address == "" {
		return
	}
	for _, id := range slices.Clone(d.byAddress[r.Address]) {
		e := d.targets[id]
		if e.record.Born != 0 && r.Born != 0 && e.record.Born > r.Born {
			continue
		}
		d.vacate(e.record)
		e.record.State = StateGone
		e.heard = now
	}
	d.byAddress[r.Address] = append(d.byAddress[r.Address], r.Target)
}

// vacate takes a target from its address.
func (d *Directory) vacate(r Record) {
	left := slices.DeleteFunc(d.byAddress[r.Address], func(id api.TargetID) bool { return id == r.Target })
	if len(left) == 0 {
		delete(d.byAddress, r.Address)
		return
	}
	d.byAddress[r.Address] = left
}

// Expire concludes that targets which report to this process and have not for
// silence are missing, and forgets those that are long gone. It gives the records
// that changed.
func (d *Directory) Expire(now time.Time, silence time.Duration) []Record {
	var changed []Record
	for id, e := range d.targets {
		if e.record.State == StateGone {
			if now.Sub(e.heard) > tombstoneLife {
				delete(d.targets, id)
			}
			continue
		}
		if e.own && e.record.State == StateReady && now.Sub(e.heard) > silence {
			e.record.State = StateMissing
			changed = append(changed, e.record)
		}
	}
	return changed
}

// Records gives all records as they are at a time, those of targets that are gone too.
func (d *Directory) Records(now time.Time) []Record {
	out := make([]Record, 0, len(d.targets))
	for _, e := range d.targets {
		out = append(out, e.current(now))
	}
	return out
}

// OwnRecords gives the records of targets that announce themselves to this process.
func (d *Directory) OwnRecords(now time.Time) []Record {
	var out []Record
	for _, e := range d.targets {
		if e.own {
			out = append(out, e.current(now))
		}
	}
	return out
}

// Get gives one record.
func (d *Directory) Get(id api.TargetID) (Record, bool) {
	e := d.targets[id]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}
