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
		route, customer Homes
		want            []api.Region
	}{
		{"no list", nil, nil, []api.Region{"north", "south", ""}},
		{"list of the route", Homes{"north"}, nil, []api.Region{"north"}},
		{"list of the customer", nil, Homes{"south"}, []api.Region{"south"}},
		{"both lists", Homes{"north", "south"}, Homes{"south", "east"}, []api.Region{"south"}},
		{"disjoint lists", Homes{"north"}, Homes{"south"}, nil},
		{"region listed twice", Homes{"north", "north"}, nil, []api.Region{"north"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := Route{Homes: tt.route}
			var got []api.Region
			for _, region := range []api.Region{"north", "south", ""} {
				if r.Served(&Customer{Homes: tt.customer}, region) {
					got = append(got, region)
				}
			}
			c.Assert(got, qt.DeepEquals, tt.want)
		})
	}
	qt.New(t).Assert((&Route{}).Served(nil, "north"), qt.IsTrue)
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
		{Table{Config: Config{Routes: []Route{{Name: "r", Homes: Homes{"north"}}}}}, true},
		{Table{Config: Config{Routes: []Route{{Name: "r", Homes: Homes{"north", "east"}}}}}, false},
		{Table{Config: Config{Customers: []Customer{{Name: "c", Homes: Homes{"east"}}}}}, false},
		{Table{}, true},
	} {
		err := tt.table.CheckRegions(known)
		c.Assert(err == nil, qt.Equals, tt.valid, qt.Commentf("%v", err))
		c.Assert(tt.table.CheckRegions(nil), qt.IsNil, qt.Commentf("no known regions"))
	}
}
