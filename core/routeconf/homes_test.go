package routeconf

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

// Checks in which regions a request may be served. If the route and the customer both list
// regions, both lists apply.
func TestServed(t *testing.T) {
	for _, tt := range []struct {
		name            string
		route, customer AllowedRegions
		want            []api.Region
	}{
		{"no list", nil, nil, []api.Region{"north", "south", ""}},
		{"list of the route", AllowedRegions{"north"}, nil, []api.Region{"north"}},
		{"list of the customer", nil, AllowedRegions{"south"}, []api.Region{"south"}},
		{"both", AllowedRegions{"north", "south"}, AllowedRegions{"south", "east"}, []api.Region{"south"}},
		{"disjoint lists", AllowedRegions{"north"}, AllowedRegions{"south"}, nil},
		{"region listed twice", AllowedRegions{"north", "north"}, nil, []api.Region{"north"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := Route{AllowedRegions: tt.route}
			var got []api.Region
			for _, region := range []api.Region{"north", "south", ""} {
				if r.AllowsRegion(&Customer{AllowedRegions: tt.customer}, region) {
					got = append(got, region)
				}
			}
			c.Assert(got, qt.DeepEquals, tt.want)
		})
	}
	qt.New(t).Assert((&Route{}).AllowsRegion(nil, "north"), qt.IsTrue)
}

// Guards against accepting a region that does not exist in the fleet, which would leave the
// requests concerned without any target.
func TestUnknownHomesAreInvalid(t *testing.T) {
	c := qt.New(t)
	known := []api.Region{"north", "south"}
	for _, tt := range []struct {
		table Table
		valid bool
	}{
		{Table{Config: Config{Routes: []Route{{Name: "r", AllowedRegions: AllowedRegions{"north"}}}}}, true},
		{Table{Config: Config{Routes: []Route{{Name: "r", AllowedRegions: AllowedRegions{"north", "east"}}}}}, false},
		{Table{Config: Config{Customers: []Customer{{Name: "c", AllowedRegions: AllowedRegions{"east"}}}}}, false},
		{Table{}, true},
	} {
		err := tt.table.CheckRegions(known)
		c.Assert(err == nil, qt.Equals, tt.valid, qt.Commentf("%v", err))
		c.Assert(tt.table.CheckRegions(nil), qt.IsNil, qt.Commentf("no known regions"))
	}
}
