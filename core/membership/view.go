// Package membership keeps track of the targets that entries report and decides
// which entries each agent links to. An entry is an instance that accepts requests
// from callers; an agent runs beside each target and keeps links to a few entries.
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package membership

import (
	"sort"
	"time"

	"almondseam.dev/core/api"
)

// State is the state of a target as concluded from the reports of all entries.
type State uint8

// The states of a target, as operators are shown them.
const (
	// Up means that at least one entry has reported the target within the lease.
	Up State = iota + 1
	// Leaving means that the target announced its departure. This is final for
	// its incarnation.
	Leaving
	// Suspect means that no entry has reported the target within the lease.
	Suspect
)

var stateNames = map[State]string{Up: "up", Leaving: "leaving", Suspect: "suspect"}

// String returns the name of the state in lower case.
func (s State) String() string { return stateNames[s] }

// Observation is what one entry reports about one target that it has a live link to.
type Observation struct {
	Target      api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	Leaving     bool
}

// Status is the state of one target as concluded from the reports of all entries.
type Status struct {
	Observation
	State    State
	LastSeen time.Time
	// Entries is the number of entries that reported a live link to the target
	// within the lease.
	Entries int
}

// Limits holds the time limits of a View and the limit of its size.
type Limits struct {
	// Lease is how long a target counts as up after an entry last reported it.
	// It spans several reports, so that one lost or late report, or an entry that
	// is itself being moved, does not make the target suspect.
	Lease time.Duration
	// Forget is how long a target that no entry reports stays in the View.
	Forget time.Duration
	// MaxTargets is the number of targets that the View holds at most; it ignores
	// reports of further ones.
	MaxTargets int
}

// DefaultLimits returns limits for entries that report every two seconds.
func DefaultLimits() Limits {
	return Limits{Lease: 10 * time.Second, Forget: 10 * time.Minute, MaxTargets: 20_000}
}

// View holds the targets of the fleet, gathered from the reports of all entries.
//
// A target becomes suspect only when none of the entries that reported it has done so for a whole
// lease. A single stalled link cannot cause that, since each agent keeps links to several entries.
type View struct {
	limits  Limits
	targets map[api.TargetID]*trackedTarget
}

type trackedTarget struct {
	Observation
	lastSeen time.Time
	entries  map[api.InstanceID]time.Time
}

// NewView returns an empty view.
func NewView(l Limits) *View {
	return &View{limits: l, targets: make(map[api.TargetID]*trackedTarget)}
}

// Report records all targets that one entry has live links to at the time now.
func (v *View) Report(now time.Time, entry api.InstanceID, observed []Observation) {
	for _, o := range observed {
		t := v.targets[o.Target]
		if t == nil {
			if len(v.targets) >= v.limits.MaxTargets {
				continue
			}
			t = &trackedTarget{Observation: o, entries: make(map[api.InstanceID]time.Time)}
			v.targets[o.Target] = t
		}
		t.merge(now, entry, o)
	}
}

// merge applies one entry's observation. It ignores an earlier incarnation, which
// an entry still reports until it notices that the old link is dead. Leaving is
// final within one incarnation, so that an entry that has not learned of the
// departure yet does not revoke it.
func (t *trackedTarget) merge(now time.Time, entry api.InstanceID, o Observation) {
	if o.Incarnation < t.Incarnation {
		return
	}
	if o.Incarnation > t.Incarnation {
		t.Observation = o
		clear(t.entries)
	}
	t.Leaving = t.Leaving || o.Leaving
	t.lastSeen = now
	t.entries[entry] = now
}

// Targets returns the status of all targets, sorted by ID, and first drops the
// targets that no entry has reported for longer than Limits.Forget.
func (v *View) Targets(now time.Time) []Status {
	out := make([]Status, 0, len(v.targets))
	for id, t := range v.targets {
		if now.Sub(t.lastSeen) > v.limits.Forget {
			delete(v.targets, id)
			continue
		}
		out = append(out, v.status(now, t))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

func (v *View) status(now time.Time, t *trackedTarget) Status {
	for entry, at := range t.entries {
		if now.Sub(at) > v.limits.Lease {
			delete(t.entries, entry)
		}
	}
	s := Status{Observation: t.Observation, State: Up, LastSeen: t.lastSeen, Entries: len(t.entries)}
	switch {
	case t.Leaving:
		s.State = Leaving
	case len(t.entries) == 0:
		s.State = Suspect
	}
	return s
}
