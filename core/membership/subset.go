package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// Entry is one entry that an agent can link to.
type Entry struct {
	Instance api.InstanceID
	Zone     api.Zone
}

// Subset returns the n entries that an agent links to, chosen by rendezvous
// hashing: all entries are ranked by a hash of the agent's and the entry's name.
// This spreads the agents evenly over the entries without coordination, and an
// entry that joins or leaves changes only the links that it gains or loses.
//
// If n is at least 2, the subset has at least one entry inside the agent's own
// availability zone and at least one outside, provided that there are such entries.
// An agent then keeps a link when a zone is lost or cut off. The entries are in the
// order of their rank.
func Subset(agent api.TargetID, zone api.Zone, entries []Entry, n int) []Entry {
	ranked := rank(agent, entries)
	if n >= len(ranked) {
		return ranked
	}
	chosen := ranked[:n:n]
	for _, inside := range []bool{true, false} {
		if n > 1 && !slices.ContainsFunc(chosen, inZone(zone, inside)) {
			chosen = replaceLast(chosen, ranked[n:], inZone(zone, inside))
		}
	}
	return chosen
}

// inZone returns a predicate that reports whether an entry is inside the zone, or
// outside it if inside is false.
func inZone(zone api.Zone, inside bool) func(Entry) bool {
	return func(e Entry) bool { return (e.Zone == zone) == inside }
}

// replaceLast returns chosen with its last entry replaced by the highest ranked
// entry of rest that fits. It returns chosen unchanged if none fits.
func replaceLast(chosen, rest []Entry, fits func(Entry) bool) []Entry {
	i := slices.IndexFunc(rest, fits)
	if i < 0 {
		return chosen
	}
	out := slices.Clone(chosen)
	out[len(out)-1] = rest[i]
	return out
}

func rank(agent api.TargetID, entries []Entry) []Entry {
	type scored struct {
		Entry
		score uint64
	}
	all := make([]scored, len(entries))
	for i, e := range entries {
		all[i] = scored{e, xxhash.Sum64String(string(agent) + "\x00" + string(e.Instance))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Instance, b.Instance))
	})
	out := make([]Entry, len(all))
	for i, s := range all {
		out[i] = s.Entry
	}
	return out
}

// LinkChange is one link to open or to close once the time After has passed since the
// plan was made.
type LinkChange struct {
	Entry Entry
	Open  bool
	After time.Duration
}

// Plan returns the changes that lead from the current links to the wanted ones, in the order in
// which they are due.
//
// All agents that rank a new entry high would otherwise dial it at the same moment, so the links
// are opened at random times within spread. Links are closed only after all opens are due, so that
// no agent has fewer links during the change than before it.
func Plan(current, wanted []Entry, spread time.Duration, r *rand.Rand) []LinkChange {
	var changes []LinkChange
	for _, e := range wanted {
		if !slices.Contains(current, e) {
			changes = append(changes, LinkChange{e, true, jitter(spread, r)})
		}
	}
	for _, e := range current {
		if !slices.Contains(wanted, e) {
			changes = append(changes, LinkChange{e, false, spread + jitter(spread, r)})
		}
	}
	slices.SortFunc(changes, func(a, b LinkChange) int { return cmp.Compare(a.After, b.After) })
	return changes
}

func jitter(spread time.Duration, r *rand.Rand) time.Duration {
	if spread <= 0 {
		return 0
	}
	return time.Duration(r.Int64N(int64(spread)))
}
