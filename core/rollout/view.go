package rollout

import (
	"cmp"
	"slices"
	"time"

	"almondseam.dev/core/api"
)

// Report tells what one instance has in force. Revision zero means that it
// serves nothing yet.
type Report struct {
	Instance api.InstanceID
	Site     api.Site
	Revision api.Revision
}

// InForce is what is known of one site: each live instance serves at least
// Lowest and at most Highest. Waiting instances serve nothing yet.
type InForce struct {
	Site      api.Site
	Instances int
	Waiting   int
	Lowest    api.Revision
	Highest   api.Revision
}

// View gathers reports. An instance that is silent for the lease counts as
// gone: one that died must not hold its site's revision back for ever, and one
// that is cut off comes back with its next report.
type View struct {
	lease time.Duration
	seen  map[api.InstanceID]seen
}

type seen struct {
	report Report
	at     time.Time
}

// NewView makes an empty view.
func NewView(lease time.Duration) *View {
	return &View{lease: lease, seen: map[api.InstanceID]seen{}}
}

// Report takes a report. The last one counts, also when its revision is lower:
// an instance that restarted serves nothing for a while, and that is the truth.
func (v *View) Report(now time.Time, r Report) { v.seen[r.Instance] = seen{report: r, at: now} }

// Forget takes out an instance that said goodbye.
func (v *View) Forget(id api.InstanceID) { delete(v.seen, id) }

// Sites gives what is in force at each site with a live instance, by name.
func (v *View) Sites(now time.Time) []InForce {
	by := map[api.Site]*InForce{}
	for id, s := range v.seen {
		if now.Sub(s.at) > v.lease {
			delete(v.seen, id)
			continue
		}
		site, ok := by[s.report.Site]
		if !ok {
			site = &InForce{Site: s.report.Site}
			by[s.report.Site] = site
		}
		site.add(s.report.Revision)
	}
	out := make([]InForce, 0, len(by))
	for _, site := range by {
		out = append(out, *site)
	}
	slices.SortFunc(out, func(a, b InForce) int { return cmp.Compare(a.Site, b.Site) })
	return out
}

// Lowest gives the revision that every live instance of the fleet has reached,
// zero when there is none or one serves nothing.
func (v *View) Lowest(now time.Time) api.Revision {
	sites := v.Sites(now)
	if len(sites) == 0 {
		return 0
	}
	low := sites[0].Lowest
	for _, s := range sites {
		low = min(low, s.Lowest)
	}
	return low
}

func (s *InForce) add(rev api.Revision) {
	if s.Instances == 0 {
		s.Lowest = rev
	}
	s.Instances++
	if rev == 0 {
		s.Waiting++
	}
	s.Lowest = min(s.Lowest, rev)
	s.Highest = max(s.Highest, rev)
}
