package control

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/membership"
	"almondseam.dev/node/control/opapi"
	"almondseam.dev/node/wire"
)

// reports holds what instances last told of themselves. It is kept in memory by
// every member that hears of it; a new leader knows all within one interval.
type reports struct {
	mu        sync.Mutex
	instances map[api.InstanceID]heard
	targets   *membership.View
}

type heard struct {
	Report
	at time.Time
}

// reportLife is how long a report counts; instances report every few seconds.
const reportLife = 30 * time.Second

func newReports() *reports {
	return &reports{
		instances: make(map[api.InstanceID]heard),
		targets:   membership.NewView(membership.DefaultLimits()),
	}
}

// put takes a report. What it says to be the same is taken from the instance's
// last one; a member that never heard that has nothing to renew, and learns it
// with the next link's first report.
func (r *reports) put(rep Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.instances[rep.Instance]
	if !known && (rep.Same || rep.SameTargets) {
		return
	}
	if rep.Same {
		rep = last.Report
	}
	if rep.SameTargets {
		rep.Targets = last.Targets
		rep.SameTargets = false
	}
	r.instances[rep.Instance] = heard{rep, now}
	seen := make([]membership.Observation, len(rep.Targets))
	for i, t := range rep.Targets {
		seen[i] = membership.Observation{Target: t.Target, Incarnation: t.Incarnation, Zone: t.Zone, Leaving: t.Leaving}
	}
	r.targets.Report(now, rep.Instance, seen)
}

// entries lists the live entries by name. One that is silent stays for the life
// of a report: a link that stalls for seconds must not make all agents move.
func (r *reports) entries(now time.Time) []wire.EntryInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.EntryInfo
	for id, h := range r.instances {
		if h.Links != "" && now.Sub(h.at) <= reportLife {
			out = append(out, wire.EntryInfo{Instance: id, Zone: h.Zone, Addr: h.Links})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// sites gives the lowest and highest revision in force at each site.
func (r *reports) sites(now time.Time) []opapi.Site {
	r.mu.Lock()
	defer r.mu.Unlock()
	bySite := make(map[api.Site]*opapi.Site)
	for id, h := range r.instances {
		if now.Sub(h.at) > reportLife {
			delete(r.instances, id)
			continue
		}
		count(bySite, h.Site, h.Revision)
		for _, n := range h.Nodes {
			count(bySite, n.Site, n.Revision)
		}
	}
	out := make([]opapi.Site, 0, len(bySite))
	for _, s := range bySite {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Site < out[j].Site })
	return out
}

func count(bySite map[api.Site]*opapi.Site, site api.Site, revision api.Revision) {
	s := bySite[site]
	if s == nil {
		s = &opapi.Site{Site: site, Lowest: revision}
		bySite[site] = s
	}
	s.Instances++
	s.Lowest = min(s.Lowest, revision)
	s.Highest = max(s.Highest, revision)
}

func (r *reports) targetList(now time.Time) []opapi.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.targets.Targets(now)
	out := make([]opapi.Target, len(list))
	for i, t := range list {
		out[i] = opapi.Target{ID: t.Target, Incarnation: t.Incarnation, Zone: t.Zone, State: t.State.String(), Seen: t.LastSeen}
	}
	return out
}

// statusJSON gives the leader's view. It runs on the driving goroutine.
func (m *Member) statusJSON(st *consensus.Status) ([]byte, error) {
	return json.Marshal(m.view(st, time.Now()))
}

func (m *Member) view(st *consensus.Status, now time.Time) opapi.Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return opapi.Status{
		Answered: uint64(m.opt.ID),
		Leader:   uint64(st.Leader),
		Term:     st.Term,
		Majority: st.Role == consensus.RoleLeader,
		Commit:   st.Commit,
		Members:  m.memberList(st),
		Revision: m.state.Current().Revision,
		Sites:    m.reports.sites(now),
		Targets:  m.reports.targetList(now),
		Claims:   m.state.Claims().Len(),
	}
}

// memberList gives the group; lag and activity are known to the leader only.
func (m *Member) memberList(st *consensus.Status) []opapi.Member {
	progress := make(map[consensus.MemberID]consensus.Progress)
	for _, p := range st.Members {
		progress[p.ID] = p
	}
	info := m.state.Members()
	var out []opapi.Member
	add := func(list []consensus.Member, role string) {
		for _, member := range list {
			p := progress[member.ID]
			o := opapi.Member{
				ID:       uint64(member.ID),
				Address:  member.Addr,
				Operator: info[uint64(member.ID)].Operator,
				Role:     role,
				Lag:      p.Lag,
				Active:   p.Active,
			}
			if member.ID == st.Leader {
				o.Role, o.Active = "leader", true
			}
			out = append(out, o)
		}
	}
	add(st.Membership.Voters, "voter")
	add(st.Membership.Learners, "learner")
	return out
}
