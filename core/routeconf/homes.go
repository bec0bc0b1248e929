package routeconf

import (
	"slices"

	"almondseam.dev/core/api"
)

// AllowedRegions lists the regions in which requests may be served. An empty list allows every
// region.
type AllowedRegions []api.Region

// Allows reports whether requests may be served in a region. The empty region, which a target
// has if the settings do not name its availability zone, is only allowed by an empty list.
func (a AllowedRegions) Allows(r api.Region) bool {
	return len(a) == 0 || slices.Contains(a, r)
}

// AllowsRegion reports whether a request of the customer, which may be nil, on this route may
// be served in a region. If both the route and the customer list regions, both lists apply.
func (r *Route) AllowsRegion(c *Customer, in api.Region) bool {
	return r.AllowedRegions.Allows(in) && (c == nil || c.AllowedRegions.Allows(in))
}

// CheckRegions returns an error if a route or customer allows a region that is not known. It
// checks nothing if no regions are known.
func (t *Table) CheckRegions(known []api.Region) error {
	if len(known) == 0 {
		return nil
	}
	check := func(what, name string, regions AllowedRegions) error {
		for _, region := range regions {
			if !slices.Contains(known, region) {
				return invalid("%s %q has home %q, which is no region of this fleet", what, name, region)
			}
		}
		return nil
	}
	for i := range t.Config.Routes {
		if err := check("route", t.Config.Routes[i].Name, t.Config.Routes[i].AllowedRegions); err != nil {
			return err
		}
	}
	for i := range t.Config.Customers {
		if err := check("customer", string(t.Config.Customers[i].Name), t.Config.Customers[i].AllowedRegions); err != nil {
			return err
		}
	}
	return nil
}
