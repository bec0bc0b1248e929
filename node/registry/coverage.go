package registry

import (
	"time"
)

// coverage is what a Follower knows of how complete the records are. Follower.mu guards it.
type coverage struct {
	// inGroup is set while this process, a member, belongs to the control group.
	inGroup bool
	// since is the time since which this process, a member, hears of all targets, zero if it does not.
	since time.Time
	// synced is set while the records are those that the home holds, and listRequested while a list that
	// makes them so is on its way.
	synced, listRequested bool
}

// SetInGroup states whether this process, a member, belongs to the control group. Outside of it the addresses to
// follow may be those of other or of not all members.
func (f *Follower) SetInGroup(in bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inGroup = in
	f.updateCoverage()
}

// listReceived records that a member has sent a whole list, which is in the registry.
func (f *Follower) listReceived(from *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from.listed = true
	if f.home == from {
		f.synced, f.listRequested = true, false
	}
	f.updateCoverage()
}

// homeMoved records a move of the home; whole is set if it is asked for the whole list. f.mu must be held.
//
// A home that did not cover all members may have missed changes, so the records are not necessarily those of
// the next one.
func (f *Follower) homeMoved(old, next *member, whole bool) {
	f.listRequested = whole
	if next == nil {
		f.synced = false
		f.opt.Registry.SetHome(0)
		f.updateCoverage()
		return
	}
	f.synced = f.synced && !whole && !old.coveredSince.IsZero() && !next.coveredSince.IsZero()
	if !f.synced {
		f.opt.Registry.SetCoverage(time.Time{})
	}
	f.opt.Registry.SetHome(next.source)
}

// updateCoverage states the coverage to the registry. f.mu must be held.
func (f *Follower) updateCoverage() {
	if f.opt.Member {
		f.opt.Registry.SetCoverage(f.memberCoverage())
		return
	}
	var since time.Time
	if f.home != nil && !f.home.coveredSince.IsZero() {
		switch {
		case f.synced:
			since = f.home.coveredSince
		case !f.listRequested:
			f.listRequested = true
			// Send fails only on a link that has ended, and the next home is asked anew.
			_ = f.home.conn.Send(&Subscribe{Loads: LoadsAll, Whole: true})
		}
	}
	f.opt.Registry.SetCoverage(since)
}

// memberCoverage returns the time since which this process, a member of the group, has links to all other members
// and their lists, the zero time if it does not. f.mu must be held.
func (f *Follower) memberCoverage() time.Time {
	covers := f.inGroup
	for addr := range f.cancels {
		m := f.conns[addr]
		covers = covers && m != nil && m.listed
	}
	switch {
	case !covers:
		f.since = time.Time{}
	case f.since.IsZero():
		f.since = time.Now()
	}
	return f.since
}
