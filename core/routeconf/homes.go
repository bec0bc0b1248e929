package routeconf

import (
	"slices"

	"almondseam.dev/core/api"
)

// Homes lists the regions in which requests may be served. An empty list allows every region.
type Homes []api.Region

// Allows reports whether requests may be served in a region. The empty region, which a target
// has if the settings do not name its availability zone, is only allowed by an empty list.
func (h Homes) Allows(r api.Region) bool {
	return len(h) == 0 || slices.Contains(h, r)
}

// Served reports whether a request of the customer, which may be nil, on this route may be
// served in a region. If both the route and the customer list regions, both lists apply.
func (r *Route) Served(c *Customer, in api.Region) bool {
	return r.Homes.Allows(in) && (c == nil || c.Homes.Allows(in))
}

// CheckRegions returns an error if a route or customer allows a region that is not known. It
// checks nothing if no regions are known.
func (t *Table) CheckRegions(known []api.Region) error {
	if len(known) == 0 {
		return nil
	}
	check := func(what, name string, homes Homes) error {
		for _, region := range homes {
			if !slices.Contains(known, region) {
				return invalid("%s %q has home %q, which is no region of this fleet", what, name, region)
			}
		}
		return nil
	}
	for i := range t.Config.Routes {
		if err := check("route", t.Config.Routes[i].Name, t.Config.Routes[i].Homes); err != nil {
			return err
		}
	}
	for i := range t.Config.Customers {
		if err := check("customer", string(t.Config.Customers[i].Name), t.Config.Customers[i].Homes); err != nil {
			return err
		}
	}
	return nil
}
