package entry

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

func entryList(n int) []wire.EntryInfo {
	var out []wire.EntryInfo
	for i := range n {
		out = append(out, wire.EntryInfo{Instance: api.InstanceID(fmt.Sprintf("e%03d", i)), Zone: api.Zone(fmt.Sprint(i % 9)), Addr: fmt.Sprintf("10.0.0.1:%d", 10000+i)})
	}
	return out
}

// One of 311 entries is replaced. Of 190 linked agents only those that link to
// it are told, a handful; all others have the list that they already hold.
func TestOnlyAgentsWhoseChoiceChangesAreTold(t *testing.T) {
	b := newBench(t)
	var agents []*fakeAgent
	for i := range 190 {
		l := newFakeLink()
		a := &fakeAgent{c: b.c, id: api.TargetID(fmt.Sprint("t", i)), link: l, at: b.entry.Attach(l)}
		a.say(&wire.Announce{Target: a.id, Incarnation: 1, Zone: "1", Links: 8})
		agents = append(agents, a)
	}
	list := entryList(311)
	b.entry.SetEntries(list)
	for _, a := range agents {
		b.c.Assert((<-a.link.sent).(*wire.Entries).List, qt.HasLen, 8)
	}
	b.entry.SetEntries(list)
	list[17].Instance = "replaced"
	b.entry.SetEntries(list)
	told := 0
	for _, a := range agents {
		told += len(a.link.sent)
	}
	b.c.Assert(told > 0 && told < 30, qt.IsTrue, qt.Commentf("%d of 190 were told", told))
	t.Logf("%d of 190 agents were told of one replaced entry", told)
}
