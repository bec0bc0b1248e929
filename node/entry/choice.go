package entry

import (
	"slices"

	"almondseam.dev/core/membership"
	"almondseam.dev/node/wire"
)

// fleetEntries is the list of the fleet's entries, as membership and as the wire
// know them.
type fleetEntries struct {
	all  []membership.Entry
	info map[membership.Entry]wire.EntryInfo
}

// SetEntries takes the list of the fleet's entries. Each linked agent is told the
// few that it is to link to, and only when that choice has changed: the whole
// list of a large fleet, sent to every agent whenever an entry restarts, would
// alone take a fifth of an entry's 5 KB a second.
func (e *Entry) SetEntries(list []wire.EntryInfo) {
	f := &fleetEntries{info: make(map[membership.Entry]wire.EntryInfo, len(list))}
	for _, i := range list {
		m := membership.Entry{Instance: i.Instance, Zone: i.Zone}
		f.all = append(f.all, m)
		f.info[m] = i
	}
	e.fleet.Store(f)
	for _, p := range e.peers.all() {
		e.tellEntries(p)
	}
}

// tellEntries tells an agent its choice if it is another than it was told. Every
// entry works out the same choice for it, since all hash the same names.
func (e *Entry) tellEntries(p *peer) {
	f := e.fleet.Load()
	if f == nil || len(f.all) == 0 {
		return
	}
	want := p.links
	if want <= 0 {
		want = len(f.all)
	}
	var list []wire.EntryInfo
	for _, m := range membership.Subset(p.target, p.zone, f.all, want) {
		list = append(list, f.info[m])
	}
	if told := p.told.Load(); told != nil && slices.Equal(*told, list) {
		return
	}
	p.told.Store(&list)
	_ = p.to.Send(&wire.Entries{List: list})
}
