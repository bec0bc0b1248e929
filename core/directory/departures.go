package directory

import "almondseam.dev/core/api"

// maxDepartures is the number of departures that are stated in whole lists after their tombstones have
// expired. It bounds memory; targets whose departure is forgotten are removed by Sweep.
const maxDepartures = 1024

// departures holds the targets that left last, without those that did not state their run.
type departures struct {
	last map[api.TargetID]Record
	// order holds the targets in the order in which they were added, also those no longer in last.
	order []api.TargetID
}

// add remembers the departure of the run in r.
func (p *departures) add(r Record) {
	known, ok := p.last[r.Target]
	if r.Born == 0 || ok && (r.Born < known.Born || p.covers(r)) {
		return
	}
	if p.last == nil {
		p.last = make(map[api.TargetID]Record)
	}
	if !ok {
		p.order = append(p.order, r.Target)
	}
	p.last[r.Target] = r.withoutDetails(StateLost)
	for len(p.order) > maxDepartures {
		delete(p.last, p.order[0])
		p.order = p.order[1:]
	}
}

// covers reports whether r says nothing of the time after the departure of its run. A deregistration does not state a
// sequence, so the sequence of a departure may be too low.
func (p *departures) covers(r Record) bool {
	left, ok := p.last[r.Target]
	return ok && (r.Born == left.Born && r.Sequence <= left.Sequence || r.State == StateMissing && p.has(r))
}

// refute forgets a departure if r, which is of a target that announces itself, is later. What the member says that the
// target announces itself to always is.
func (p *departures) refute(r Record, own bool) {
	if left, ok := p.last[r.Target]; ok && (own || r.Born > left.Born || r.Born == left.Born && r.Sequence > left.Sequence) {
		delete(p.last, r.Target)
	}
}

// has reports whether the run in r, or a later one, has left.
func (p *departures) has(r Record) bool {
	left, ok := p.last[r.Target]
	return ok && r.Born != 0 && r.Born <= left.Born
}

// withoutDetails returns what distinguishes the run in r, with the given state.
func (r Record) withoutDetails(s State) Record {
	return Record{Target: r.Target, Born: r.Born, Sequence: r.Sequence, State: s}
}
