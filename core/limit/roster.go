package limit

import (
	"slices"

	"almondseam.dev/core/api"
	"github.com/cespare/xxhash/v2"
)

// slackDivisor sets the slack: a tenth of the limit may be used by entries
// without a lease.
const slackDivisor = 10

// Slack gives how far the use of a customer may pass its limit: the sum of the
// floors of all entries.
func Slack(l Limit) Share {
	return Share{Slots: ceilDiv(l.Slots, slackDivisor), Rate: ceilDiv(l.Rate, slackDivisor)}
}

func ceilDiv(n, by int64) int64 { return (n + by - 1) / by }

// rank orders entries for a customer (rendezvous hashing): all entries with
// the same roster agree, and a change of roster moves few customers.
func rank(c api.CustomerID, e api.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(c))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(e))
	return d.Sum64()
}

// Owner gives the entry whose Grantor hands out the customer's shares; empty
// for an empty roster.
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

// floor gives what an entry may use without a lease. The floors of all entries
// of a roster add up to Slack: what can't be divided goes to the entries that
// rank first.
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
	return Share{Slots: part(s.Slots, n, before), Rate: part(s.Rate, n, before)}
}

// part divides total among n; the first total mod n get one more.
func part(total, n, before int64) int64 {
	p := total / n
	if before < total%n {
		p++
	}
	return p
}
