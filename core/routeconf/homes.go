package routeconf

import (
	"slices"

	"almondseam.dev/core/api"
)

// Homes are the regions in which requests may be served. Nil homes are not said: any region
// will do.
type Homes []api.Region

// Allows tells whether a region is among the homes. A region that is not known, as that of a
// target in a zone that the settings do not name, is in no home.
func (h Homes) Allows(r api.Region) bool {
	return len(h) == 0 || slices.Contains(h, r)
}

// Served tells whether a request of the route and the customer, which may be nil, may be
// served in a region. Where both have homes both bind.
func (r *Route) Served(c *Customer, in api.Region) bool {
	return r.Homes.Allows(in) && (c == nil || c.Homes.Allows(in))
}

// CheckRegions tells whether all homes are regions that there are; none known checks nothing.
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
