package process

import (
	"net/http"
	"path/filepath"
	"testing"

	"almondseam.dev/core/consensus"
	"almondseam.dev/core/directory"
	qt "github.com/frankban/quicktest"
)

// TestRemovedMemberConfirmsNoDeparture guards against requests to a target whose departure was confirmed by a
// member that was removed from the group while it did not run, and does not know that.
func TestRemovedMemberConfirmsNoDeparture(t *testing.T) {
	g := newRoutedGroup(t, 3)
	target := newTarget(t)
	entry, callers := startRoutedEntry(g)
	g.put(0, 1)
	record := directory.Record{Target: "t", Service: "s", Address: target.Listener.Addr().String(), Zone: "z", Slots: 1, Sequence: 1, State: directory.StateReady}
	until(func() bool { return g.members[0].Announce(record) == nil })
	until(entry.Ready)
	removed := FounderID(g.links[2])
	g.stop(2)
	g.links = append(g.links, freeAddress(g.c))
	g.dirs = append(g.dirs, filepath.Join(t.TempDir(), "data"))
	g.members = append(g.members, nil)
	g.start(3, false)
	has := func(i int, id consensus.MemberID) bool {
		role := g.members[i].role.Load()
		if role == nil {
			return false
		}
		m := role.Member().Status().Membership
		return m.IsVoter(id) || m.IsLearner(id)
	}
	until(func() bool { return !has(0, removed) && !has(3, removed) })
	g.start(2, false)
	until(func() bool { return g.members[2].role.Load() != nil })
	err := g.members[2].Leave("t", 0)
	status := g.getStatus(callers)
	g.c.Check(err == nil && status == http.StatusOK, qt.IsFalse, qt.Commentf("confirmed, and the entry has not heard of it"))
}
