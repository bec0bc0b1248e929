package entry

import (
	"slices"

	"almondseam.dev/core/membership"
	"almondseam.dev/node/wire"
)

// fleetEntries lists the entries of the fleet, in the types of membership and of
// the wire protocol.
type fleetEntries struct {
	all  []membership.Entry
	info map[membership.Entry]wire.EntryInfo
}

// SetEntries sets the list of the fleet's entries. Each linked agent is sent only
// the few entries that it should link to, and only when this subset has changed.
// Sending the whole list of a large fleet to every agent whenever an entry restarts
// would alone take a fifth of an entry's budget of 5 KB per second.
func (e *Entry) SetEntries(list []wire.EntryInfo) {
	f := &fleetEntries{info: make(map[membership.Entry]wire.EntryInfo, len(list))}
	for _, i := range list {
		m := membership.Entry{Instance: i.Instance, Zone: i.Zone}
		f.all = append(f.all, m)
		f.info[m] = i
	}
	e.entries.Store(f)
	for _, p := range e.peers.all() {
		e.sendEntries(p)
	}
}

// sendEntries sends an agent the subset of entries that it should link to, unless
// it is the subset last sent. Every entry computes the same subset for an agent,
// because all of them hash the same names.
func (e *Entry) sendEntries(p *peer) {
	f := e.entries.Load()
	if f == nil || len(f.all) == 0 {
		return
	}
	count := p.links
	if count <= 0 {
		count = len(f.all)
	}
	var list []wire.EntryInfo
	for _, m := range membership.Subset(p.target, p.zone, f.all, count) {
		list = append(list, f.info[m])
	}
	if sentEntries := p.sentEntries.Load(); sentEntries != nil && slices.Equal(*sentEntries, list) {
		return
	}
	p.sentEntries.Store(&list)
	_ = p.link.Send(&wire.Entries{List: list})
}
