// Package membership keeps track of the targets that announce themselves and
// decides which entries each agent links to. It is pure and not safe for
// concurrent use.
package membership

import (
	"sort"
	"time"

	"almondseam.dev/core/api"
)

// State is what the fleet believes of a target.
type State uint8

// The states. Only Up gets new work.
const (
	// Up: at least one entry has heard from the target within the lease.
	Up State = iota + 1
	// Leaving: the target said so. It does not come back in this incarnation.
	Leaving
	// Suspect: no entry has heard from it within the lease.
	Suspect
)

var stateNames = map[State]string{Up: "up", Leaving: "leaving", Suspect: "suspect"}

// String gives the state in lower case.
func (s State) String() string { return stateNames[s] }

// Observation is one target as one entry sees it: the entry has a live link to it.
type Observation struct {
	Target      api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	Leaving     bool
}

// Status is one target as the fleet sees it.
type Status struct {
	Observation
	State    State
	LastSeen time.Time
	// Entries is how many entries hold a live link to it.
	Entries int
}

// Limits of a View.
type Limits struct {
	// Lease is how long a target counts as up after an entry last told of it.
	// It spans several reports, so that one lost or late report, or an entry
	// that is itself being moved, costs nothing.
	Lease time.Duration
	// Forget is when a target that nobody sees is dropped from the list.
	Forget time.Duration
	// MaxTargets bounds the list.
	MaxTargets int
}

// DefaultLimits suit entries that report every two seconds.
func DefaultLimits() Limits {
	return Limits{Lease: 10 * time.Second, Forget: 10 * time.Minute, MaxTargets: 20_000}
}

// View is the fleet's targets, gathered from the reports of entries.
//
// A target is suspected only when every entry that knew it has lost it for a whole lease: a
// single stalled link can't bring that about, since each agent keeps links to several entries.
type View struct {
	limits  Limits
	targets map[api.TargetID]*target
}

type target struct {
	Observation
	last    time.Time
	entries map[api.InstanceID]time.Time
}

// NewView gives an empty view.
func NewView(l Limits) *View {
	return &View{limits: l, targets: make(map[api.TargetID]*target)}
}

// Report takes in all targets that one entry has live links to at now.
func (v *View) Report(now time.Time, entry api.InstanceID, seen []Observation) {
	for _, s := range seen {
		t := v.targets[s.Target]
		if t == nil {
			if len(v.targets) >= v.limits.MaxTargets {
				continue
			}
			t = &target{Observation: s, entries: make(map[api.InstanceID]time.Time)}
			v.targets[s.Target] = t
		}
		t.take(now, entry, s)
	}
}

// take merges one sighting. An earlier incarnation's is out of date: its link
// just hasn't been noticed to be dead. Within one incarnation leaving is final,
// so that an entry which hasn't heard of it yet can't take it back.
func (t *target) take(now time.Time, entry api.InstanceID, s Observation) {
	if s.Incarnation < t.Incarnation {
		return
	}
	if s.Incarnation > t.Incarnation {
		t.Observation = s
		clear(t.entries)
	}
	t.Leaving = t.Leaving || s.Leaving
	t.last = now
	t.entries[entry] = now
}

// Targets gives all targets by ID and drops those long out of sight.
func (v *View) Targets(now time.Time) []Status {
	out := make([]Status, 0, len(v.targets))
	for id, t := range v.targets {
		if now.Sub(t.last) > v.limits.Forget {
			delete(v.targets, id)
			continue
		}
		out = append(out, v.status(now, t))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

func (v *View) status(now time.Time, t *target) Status {
	for entry, at := range t.entries {
		if now.Sub(at) > v.limits.Lease {
			delete(t.entries, entry)
		}
	}
	s := Status{Observation: t.Observation, State: Up, LastSeen: t.last, Entries: len(t.entries)}
	switch {
	case t.Leaving:
		s.State = Leaving
	case len(t.entries) == 0:
		s.State = Suspect
	}
	return s
}
