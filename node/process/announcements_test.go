package process

import (
	"errors"
	"net/http"
	"path/filepath"
	"testing"

	"almondseam.dev/core/directory"
	qt "github.com/frankban/quicktest"
)

// TestDepartureIsConfirmedOnlyWhereEntriesHearOfIt guards against requests to a target whose departure was
// confirmed by a control member that entries do not follow: one that has not joined the group.
func TestDepartureIsConfirmedOnlyWhereEntriesHearOfIt(t *testing.T) {
	g := newRoutedGroup(t, 3)
	target := newTarget(t)
	entry, callers := startRoutedEntry(g)
	g.put(0, 1)
	record := directory.Record{Target: "t", Service: "s", Address: target.Listener.Addr().String(), Zone: "z", Slots: 1, Sequence: 1, State: directory.StateReady}
	until(func() bool { return g.members[2].Announce(record) == nil })
	until(entry.Ready)
	g.c.Assert(g.getStatus(callers), qt.Equals, http.StatusOK)

	g.stop(1)
	g.stop(2) // nothing can join without a majority
	g.links = append(g.links, freeAddress(g.c))
	g.dirs = append(g.dirs, filepath.Join(t.TempDir(), "data"))
	g.members = append(g.members, nil)
	g.start(3, false)
	until(func() bool { return g.members[3].role.Load() != nil })
	record.Sequence, record.State = 2, directory.StateLeaving
	g.c.Check(errors.Is(g.members[3].Announce(record), ErrNoGroup), qt.IsTrue)
	g.c.Check(errors.Is(g.members[3].Leave("t", 0), ErrNoGroup), qt.IsTrue)
	g.c.Check(g.getStatus(callers), qt.Equals, http.StatusOK, qt.Commentf("the entry has not heard of the departure"))

	g.start(1, false)
	until(func() bool { return g.members[3].Announce(record) == nil })
	until(func() bool { return g.getStatus(callers) == http.StatusServiceUnavailable })
}
