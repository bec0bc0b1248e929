package entry

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// entryList returns n entries in 9 availability zones.
func entryList(n int) []wire.EntryInfo {
	var out []wire.EntryInfo
	for i := range n {
		out = append(out, wire.EntryInfo{Instance: api.InstanceID(fmt.Sprintf("e%03d", i)), Zone: api.Zone(fmt.Sprint(i % 9)), Addr: fmt.Sprintf("10.0.0.1:%d", 10000+i)})
	}
	return out
}

// Guards against sending the list of entries to agents whose subset has not
// changed. When one of 311 entries is replaced, a list goes to fewer than 30 of 190
// linked agents, those whose subset of 8 entries changes, and to no agent when the
// list stays the same.
func TestOnlyAgentsWhoseChoiceChangesAreTold(t *testing.T) {
	h := newHarness(t)
	var agents []*fakeAgent
	for i := range 190 {
		l := newFakeLink()
		a := &fakeAgent{c: h.c, id: api.TargetID(fmt.Sprint("t", i)), link: l, entryEnd: h.entry.Attach(l)}
		a.send(&wire.Announce{Target: a.id, Incarnation: 1, Zone: "1", Links: 8})
		agents = append(agents, a)
	}
	list := entryList(311)
	h.entry.SetEntries(list)
	for _, a := range agents {
		h.c.Assert((<-a.link.sent).(*wire.Entries).List, qt.HasLen, 8)
	}
	h.entry.SetEntries(list)
	list[17].Instance = "replaced"
	h.entry.SetEntries(list)
	notified := 0
	for _, a := range agents {
		notified += len(a.link.sent)
	}
	h.c.Assert(notified > 0 && notified < 30, qt.IsTrue, qt.Commentf("%d of 190 were told", notified))
	t.Logf("%d of 190 agents were told of one replaced entry", notified)
}
