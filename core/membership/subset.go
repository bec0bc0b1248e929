package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// Entry is one entry that an agent could link to.
type Entry struct {
	Instance api.InstanceID
	Zone     api.Zone
}

// Subset chooses the n entries that an agent links to, by rendezvous hashing:
// each agent ranks all entries by a hash of both names. Agents spread evenly
// over entries without talking to each other, and an entry that comes or goes
// moves only the links that it gains or held.
//
// At least one entry is outside the agent's own availability zone if there is
// one, and at least one inside: a zone that is lost, or cut off, then takes no
// agent's last link with it. The answer is in the order of rank.
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

// inZone gives the test of being inside, or outside, the zone.
func inZone(zone api.Zone, inside bool) func(Entry) bool {
	return func(e Entry) bool { return (e.Zone == zone) == inside }
}

// replaceLast puts the best of the rest that fits in the last chosen's place.
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

// LinkChange is one link to open or to close, After the plan was made.
type LinkChange struct {
	Entry Entry
	Open  bool
	After time.Duration
}

// Plan gives the moves from the links that are held to those that are wanted.
//
// Every agent that ranks a new entry high would dial it at the same moment, so the opens are
// spread over the given time at random. A link is closed only after all opens are due, so that
// no agent has fewer links in between than before.
func Plan(held, wanted []Entry, spread time.Duration, r *rand.Rand) []LinkChange {
	var moves []LinkChange
	for _, e := range wanted {
		if !slices.Contains(held, e) {
			moves = append(moves, LinkChange{e, true, jitter(spread, r)})
		}
	}
	for _, e := range held {
		if !slices.Contains(wanted, e) {
			moves = append(moves, LinkChange{e, false, spread + jitter(spread, r)})
		}
	}
	slices.SortFunc(moves, func(a, b LinkChange) int { return cmp.Compare(a.After, b.After) })
	return moves
}

func jitter(spread time.Duration, r *rand.Rand) time.Duration {
	if spread <= 0 {
		return 0
	}
	return time.Duration(r.Int64N(int64(spread)))
}
