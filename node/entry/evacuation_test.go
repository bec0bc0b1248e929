package entry

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	qt "github.com/frankban/quicktest"
)

// Targets in evacuated availability zones must not be chosen, even if they are the
// only ones. Targets in other zones must still be chosen.
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

// An entry must use the last list of evacuated zones that it was given.
func TestEntryGoesByTheLastListOfEvacuatedZones(t *testing.T) {
	h := newHarness(t)
	h.c.Assert(h.entry.evacuatedZones(), qt.HasLen, 0)
	h.entry.SetEvacuated([]api.Zone{"a"})
	h.c.Assert(h.entry.evacuatedZones(), qt.DeepEquals, []api.Zone{"a"})
	h.entry.SetEvacuated(nil)
	h.c.Assert(h.entry.evacuatedZones(), qt.HasLen, 0)
}
