package entry

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	qt "github.com/frankban/quicktest"
)

// TestEvacuatedZoneIsNotChosen guards against work for targets of a zone that an operator has
// evacuated, also where they are the only ones, and against one that never gets any again.
func TestEvacuatedZoneIsNotChosen(t *testing.T) {
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	for _, tt := range []struct {
		name      string
		evacuated []api.Zone
		want      map[api.Zone]bool
	}{
		{"none", nil, map[api.Zone]bool{"a": true, "b": true}},
		{"the entry's own", []api.Zone{"a"}, map[api.Zone]bool{"b": true}},
		{"another", []api.Zone{"b", "c"}, map[api.Zone]bool{"a": true}},
		{"all", []api.Zone{"a", "b"}, map[api.Zone]bool{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := NewTablePlacer(routing.Options{})
			for i := range 40 {
				zone := api.Zone([]string{"a", "b"}[i%2])
				p.Announce(routing.Target{ID: api.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Zone: zone, Models: []api.ModelID{"m"}, Reported: now})
			}
			got := map[api.Zone]bool{}
			for range 50 {
				for _, candidate := range p.Choose(routing.Query{Model: "m", Zone: "a", Evacuated: tt.evacuated}, now) {
					got[candidate.Zone] = true
				}
			}
			for zone := range got {
				c.Assert(tt.want[zone], qt.IsTrue, qt.Commentf("a target in %s was chosen", zone))
			}
			c.Assert(len(got) == 0, qt.Equals, len(tt.want) == 0)
		})
	}
}

// An entry is told of evacuated zones, and its requests go by the last list.
func TestEntryGoesByTheLastListOfEvacuatedZones(t *testing.T) {
	b := newBench(t)
	b.c.Assert(b.entry.evacuatedZones(), qt.HasLen, 0)
	b.entry.SetEvacuated([]api.Zone{"a"})
	b.c.Assert(b.entry.evacuatedZones(), qt.DeepEquals, []api.Zone{"a"})
	b.entry.SetEvacuated(nil)
	b.c.Assert(b.entry.evacuatedZones(), qt.HasLen, 0)
}
