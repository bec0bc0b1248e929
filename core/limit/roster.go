package limit

import (
	"slices"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// slackDivisor sets the slack: a tenth of a limit may be used by entries that
// hold no lease.
const slackDivisor = 10

// Slack returns by how much a customer's use may exceed its limit: the sum of
// the floors of all entries.
func Slack(l Limit) Share {
	return Share{Slots: ceilDiv(l.Slots, slackDivisor), Rate: ceilDiv(l.Rate, slackDivisor)}
}

func ceilDiv(n, by int64) int64 { return (n + by - 1) / by }

// rank returns the rank of an entry for a customer, by rendezvous hashing: all
// entries with the same roster agree on the order, and a change of the roster
// moves few customers to another owner.
func rank(c api.CustomerID, e api.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(c))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(e))
	return d.Sum64()
}

// Owner returns the entry whose Grantor grants shares of the customer's limit;
// empty for an empty roster.
func (r Roster) Owner(c api.CustomerID) api.InstanceID {
	var best api.InstanceID
	var top uint64
	for _, e := range r.Entries {
		if h := rank(c, e); best == "" || h > top || h == top && e < best {
			best, top = e, h
		}
	}
	return best
}

// floor returns what an entry may use without a lease. The floors of all entries
// of a roster add up to Slack; the remainder of the division goes to the entries
// with the highest ranks, one unit each.
func (r Roster) floor(c api.CustomerID, self api.InstanceID, l Limit) Share {
	n := int64(len(r.Entries))
	if !slices.Contains(r.Entries, self) {
		return Share{}
	}
	var before int64
	mine := rank(c, self)
	for _, e := range r.Entries {
		if h := rank(c, e); h > mine || h == mine && e < self {
			before++
		}
	}
	s := Slack(l)
	return Share{Slots: rankedPart(s.Slots, n, before), Rate: rankedPart(s.Rate, n, before)}
}

// rankedPart returns the part of total for one of n entries, of which before rank
// higher. The first total%n entries get one unit more than the others.
func rankedPart(total, n, before int64) int64 {
	p := total / n
	if before < total%n {
		p++
	}
	return p
}
