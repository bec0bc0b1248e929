package rollout

import (
	"cmp"
	"slices"
	"time"

	"almondseam.dev/core/api"
)

// Report is the revision that one instance has in force, zero if it serves nothing
// yet.
type Report struct {
	Instance api.InstanceID
	Site     api.Site
	Revision api.Revision
}

// SiteStatus summarizes the reports of one site. Each live instance last reported a
// revision between Lowest and Highest. Waiting is the number of instances that serve
// nothing yet.
type SiteStatus struct {
	Site      api.Site
	Instances int
	Waiting   int
	Lowest    api.Revision
	Highest   api.Revision
}

// View collects reports. An instance that has sent no report for longer than the lease
// is removed, so that a dead instance does not hold back the lowest revision of its
// site for ever. A partitioned instance is added again with its next report.
type View struct {
	lease    time.Duration
	received map[api.InstanceID]received
}

type received struct {
	report Report
	at     time.Time
}

// NewView returns an empty view.
func NewView(lease time.Duration) *View {
	return &View{lease: lease, received: map[api.InstanceID]received{}}
}

// Report stores the report of an instance. It replaces the previous one even if its
// revision is lower, because a restarted instance serves nothing for a while.
func (v *View) Report(now time.Time, r Report) { v.received[r.Instance] = received{report: r, at: now} }

// Forget removes an instance that has announced its shutdown.
func (v *View) Forget(id api.InstanceID) { delete(v.received, id) }

// Sites returns the status of each site with a live instance, sorted by name. It
// removes the instances whose lease has expired.
func (v *View) Sites(now time.Time) []SiteStatus {
	by := map[api.Site]*SiteStatus{}
	for id, s := range v.received {
		if now.Sub(s.at) > v.lease {
			delete(v.received, id)
			continue
		}
		site, ok := by[s.report.Site]
		if !ok {
			site = &SiteStatus{Site: s.report.Site}
			by[s.report.Site] = site
		}
		site.add(s.report.Revision)
	}
	out := make([]SiteStatus, 0, len(by))
	for _, site := range by {
		out = append(out, *site)
	}
	slices.SortFunc(out, func(a, b SiteStatus) int { return cmp.Compare(a.Site, b.Site) })
	return out
}

// Lowest returns the lowest revision that a live instance of the fleet serves. It is
// zero if there is no live instance or one of them serves nothing.
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

func (s *SiteStatus) add(rev api.Revision) {
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
