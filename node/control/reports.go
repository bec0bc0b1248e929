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

// reports holds the last report of each instance. Every member keeps the reports that
// it receives in memory; a new leader has all reports within one report interval.
type reports struct {
	mu        sync.Mutex
	instances map[api.InstanceID]receivedReport
	targets   *membership.View
}

type receivedReport struct {
	Report
	receivedAt time.Time
}

// reportTTL is how long a report is valid; instances report every few seconds.
const reportTTL = 30 * time.Second

func newReports() *reports {
	return &reports{
		instances: make(map[api.InstanceID]receivedReport),
		targets:   membership.NewView(membership.DefaultLimits()),
	}
}

// record stores a report. The parts that it marks as unchanged are taken from the
// instance's last report. A member that has no earlier report of the instance ignores
// a report with unchanged parts; it gets a whole one when the instance next connects.
func (r *reports) record(rep Report, now time.Time) {
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
	r.instances[rep.Instance] = receivedReport{rep, now}
	seen := make([]membership.Observation, len(rep.Targets))
	for i, t := range rep.Targets {
		seen[i] = membership.Observation{Target: t.Target, Incarnation: t.Incarnation, Zone: t.Zone, Leaving: t.Leaving}
	}
	r.targets.Report(now, rep.Instance, seen)
}

// entries returns the live entries, sorted by name. A silent entry stays in the list
// for reportTTL, so that a link that stalls for seconds does not make all agents
// connect to other entries.
func (r *reports) entries(now time.Time) []wire.EntryInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.EntryInfo
	for id, rep := range r.instances {
		if rep.Links != "" && now.Sub(rep.receivedAt) <= reportTTL {
			out = append(out, wire.EntryInfo{Instance: id, Zone: rep.Zone, Addr: rep.Links})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// sites returns the lowest and the highest revision that the instances of each site
// run. It deletes expired reports.
func (r *reports) sites(now time.Time) []opapi.Site {
	r.mu.Lock()
	defer r.mu.Unlock()
	bySite := make(map[api.Site]*opapi.Site)
	for id, rep := range r.instances {
		if now.Sub(rep.receivedAt) > reportTTL {
			delete(r.instances, id)
			continue
		}
		countInstance(bySite, rep.Site, rep.Revision)
		for _, n := range rep.Nodes {
			countInstance(bySite, n.Site, n.Revision)
		}
	}
	out := make([]opapi.Site, 0, len(bySite))
	for _, s := range bySite {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Site < out[j].Site })
	return out
}

func countInstance(bySite map[api.Site]*opapi.Site, site api.Site, revision api.Revision) {
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

// statusJSON returns the JSON encoding of this member's view. It runs on the
// goroutine of Run.
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

// memberList returns the members of the group. Only the leader knows their lag and
// whether they are active.
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
