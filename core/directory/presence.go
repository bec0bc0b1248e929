package directory

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
)

// Source identifies an open link on which another process states records. Zero is none.
type Source uint64

// List is what another process states in one message.
type List struct {
	Records []Record
	// Own is the number of records, from the first, whose targets announce themselves to the sender.
	Own int
	// Whole is set if the list names everything that the sender holds.
	Whole bool
}

// presence records which processes state that a target announces itself to a control member.
//
// A departure whose tombstones have expired everywhere can be concluded only from the absence of any statement of
// the target. An entry relies on its home, a member on all other members.
type presence struct {
	// listed is set while the home holds the target. Only entries have a home.
	listed bool
	// heardBy holds the links to members that state that the target announces itself to them.
	heardBy []Source
	// absentSince is the last time at which a process stated the target.
	absentSince time.Time
	// restate is set if the target must be stated to others again, because it announces itself to this process.
	restate bool
}

// absent reports whether no process states the target.
func (t *trackedTarget) absent() bool { return !t.own && !t.listed && len(t.heardBy) == 0 }

// silentFor reports whether no process has received an announcement of the target for the given time.
func (t *trackedTarget) silentFor(d time.Duration, now time.Time) bool {
	if t.own {
		return t.record.State == StateMissing && now.Sub(t.lastHeard) >= d
	}
	return t.absent() && now.Sub(t.absentSince) >= d
}

// unlist records that the home does not hold the target any longer.
func (t *trackedTarget) unlist(now time.Time) {
	if t.listed {
		t.listed, t.absentSince = false, now
	}
}

// unhear records that the target does not announce itself to the member at the other end of a link any longer.
func (t *trackedTarget) unhear(from Source, now time.Time) {
	if i := slices.Index(t.heardBy, from); i >= 0 {
		t.heardBy, t.absentSince = slices.Delete(t.heardBy, i, i+1), now
	}
}

// Connected begins to count what is stated on a link.
func (d *Directory) Connected(from Source) { d.sources[from] = struct{}{} }

// Disconnected ends what was stated on a link that has ended.
func (d *Directory) Disconnected(from Source, now time.Time) {
	delete(d.sources, from)
	for _, e := range d.targets {
		e.unhear(from, now)
	}
}

// SetHome sets the link to the member that an entry gets the list of all targets from, zero for none. The targets
// that the previous home held count as held by the next one unless there was none in between.
func (d *Directory) SetHome(from Source, now time.Time) {
	d.home = from
	if from != 0 {
		return
	}
	for _, e := range d.targets {
		e.unlist(now)
	}
}

// SetCoverage sets the time since which the home, or in a member this process, has been sent the statements of all
// members, the zero time if it is not now.
func (d *Directory) SetCoverage(since, now time.Time) {
	if since.IsZero() || d.coveredSince.IsZero() {
		d.coverageKnown = now
	}
	d.coveredSince = since
}

// Receive applies a list stated on a link. It returns the records that changed and must be passed on, and which of
// them are of targets that announced themselves to this process until now.
func (d *Directory) Receive(from Source, l List, now time.Time) (changed, released []Record) {
	if _, ok := d.sources[from]; !ok {
		from = 0
	}
	home := from != 0 && from == d.home
	if l.Whole {
		d.beginList(from, home, now)
	}
	for i, r := range l.Records {
		c, own := d.receive(from, r, home, from != 0 && i < l.Own, now)
		changed = append(changed, c...)
		if own {
			released = append(released, c...)
		}
		if l.Whole && r.State == StateLost {
			d.departures.add(r)
		}
	}
	return changed, released
}

// receive applies one record of a list. It returns the records that changed, and whether the target announced itself to
// this process until now.
func (d *Directory) receive(from Source, r Record, home, own bool, now time.Time) (changed []Record, released bool) {
	heard := now.Add(-r.Unheard)
	e := d.targets[r.Target]
	if e == nil && !home && !own && r.Unheard >= tombstoneTTL {
		return nil, false // its departure may be forgotten already
	}
	r.Unheard = 0
	wasOwn := e != nil && e.own
	if e != nil && !own {
		e.unhear(from, now)
	}
	if e != nil && home && r.State == StateLost {
		e.unlist(now)
	}
	changed = d.Merge(r, now)
	after := d.targets[r.Target]
	if e == nil && after != nil {
		after.absentSince = heard
	}
	d.note(r, from, home, own, heard, now)
	return changed, wasOwn && (after == nil || !after.own)
}

// beginList ends what was stated on a link before a whole list on it.
func (d *Directory) beginList(from Source, home bool, now time.Time) {
	for _, e := range d.targets {
		e.unhear(from, now)
		if home {
			e.unlist(now)
		}
	}
}

// note records which link stated the target's run in r, and when its last announcement was received.
func (d *Directory) note(r Record, from Source, home, own bool, heard, now time.Time) {
	e := d.targets[r.Target]
	if e == nil || e.record.State.Ended() {
		return
	}
	if r.State == StateGone || r.State == StateLost || r.Born < e.record.Born && r.Born != 0 {
		return // it says nothing of the run that is held
	}
	e.listed = e.listed || home
	if !heard.Before(now) && r.State != StateMissing {
		d.departures.refute(r, own)
	}
	if own && !slices.Contains(e.heardBy, from) {
		e.heardBy = append(e.heardBy, from)
	}
	if heard.After(e.absentSince) {
		e.absentSince = heard
	}
}

// conclude applies the statement that a target is lost, and returns the record if that changed it. A target stays if
// another process states it to this one. One that announces itself here stays unless it was stated elsewhere since.
func (d *Directory) conclude(r Record, now time.Time) []Record {
	e := d.targets[r.Target]
	switch {
	case e == nil || r.Born == 0 || e.record.State.Ended() || e.record.Born != r.Born || r.Sequence < e.record.Sequence:
		return nil
	case e.own && r.Sequence == e.record.Sequence:
		e.restate = e.record.State != StateMissing
		return nil
	case e.listed || len(e.heardBy) > 0:
		return nil
	}
	return d.lose(e, now)
}

// lose marks a target as lost and returns its record.
func (d *Directory) lose(e *trackedTarget, now time.Time) []Record {
	r := e.record
	r.State = StateLost
	return d.store(r, now, false, true)
}

// Sweep removes the targets that no process has stated for tombstoneTTL and that must have left, and returns their records. A
// target that is up announces itself within that time, also after the loss of the member that it announced itself to.
//
// A known departure suffices. It may have been stated by a process that knew only an earlier sequence of the target.
//
// A process that covered all members before a target was last stated has received its departure. With a shorter coverage, as
// after a restart of the members, targets may also have lost the way to them: then those of a service are removed only if
// they are not more than the others. Targets that were cut off together with this process get the time to announce
// themselves again.
func (d *Directory) Sweep(now time.Time) []Record {
	var left []*trackedTarget
	covered := !d.coveredSince.IsZero() && now.Sub(d.coverageKnown) >= tombstoneTTL
	silent, stated := make(map[api.ServiceID][]*trackedTarget), make(map[api.ServiceID]int)
	for _, e := range d.targets {
		switch {
		case e.record.State.Ended() || e.record.Born == 0: // runs that are not stated can't be distinguished
		case e.silentFor(tombstoneTTL, now) && d.departures.has(e.record):
			left = append(left, e)
		case !e.absent():
			stated[e.record.Service]++
		case !covered || !e.silentFor(tombstoneTTL, now):
		case !d.coveredSince.Add(tombstoneTTL).After(e.absentSince):
			left = append(left, e)
		default:
			silent[e.record.Service] = append(silent[e.record.Service], e)
		}
	}
	for service, list := range silent {
		if len(list) <= stated[service] {
			left = append(left, list...)
		}
	}
	var out []Record
	for _, e := range left {
		out = append(out, d.lose(e, now)...)
	}
	return out
}

// OwnFirst returns a list of the given records with those first whose targets announce themselves to this process.
func (d *Directory) OwnFirst(records []Record) List {
	own, others := make([]Record, 0, len(records)), []Record(nil)
	for _, r := range records {
		if r.State == StateLost {
			// A process of an earlier version, which does not know the state, must not take it for a usable target.
			r = r.withoutDetails(StateLost)
		}
		if e := d.targets[r.Target]; e != nil && e.own {
			own = append(own, r)
		} else {
			others = append(others, r)
		}
	}
	return List{Records: append(own, others...), Own: len(own)}
}

// Whole returns the list of all that this process holds as of now, with the last departures.
func (d *Directory) Whole(now time.Time) List {
	records := make([]Record, 0, len(d.targets)+len(d.departures.last))
	for _, e := range d.targets {
		r := e.current(now)
		if r.State == StateLost {
			continue // others conclude it themselves
		}
		if e.absent() && r.State != StateGone {
			r.Unheard = max(0, now.Sub(e.absentSince))
		}
		records = append(records, r)
	}
	for _, r := range d.departures.last {
		if d.targets[r.Target] == nil {
			records = append(records, r)
		}
	}
	l := d.OwnFirst(records)
	l.Whole = true
	return l
}
