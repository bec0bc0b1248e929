package limit

import (
	"cmp"
	"slices"

	"almondseam.dev/core/api"
)

// demand is what one holder could use of a customer's slots or rate.
type demand struct {
	holder api.InstanceID
	want   int64
	rank   uint64
}

// demands is sorted by want, and by rank among equal wants, so that every division
// of the same demands favours the same holders. It is kept sorted because a
// grantor in a large fleet divides among hundreds of holders hundreds of times a
// second.
type demands []demand

func (d demand) compare(o demand) int {
	return cmp.Or(cmp.Compare(d.want, o.want), cmp.Compare(d.rank, o.rank), cmp.Compare(d.holder, o.holder))
}

// set inserts a holder's demand, or replaces its previous one.
func (ds *demands) set(d demand) {
	ds.drop(d.holder)
	at, _ := slices.BinarySearchFunc(*ds, d, demand.compare)
	*ds = slices.Insert(*ds, at, d)
}

func (ds *demands) drop(h api.InstanceID) {
	if at := ds.index(h); at >= 0 {
		*ds = slices.Delete(*ds, at, at+1)
	}
}

func (ds demands) index(h api.InstanceID) int {
	return slices.IndexFunc(ds, func(d demand) bool { return d.holder == h })
}

// fairShare returns a holder's part of total by max-min fairness: no holder gets
// more than it wants while another gets less than it wants. What is left beyond
// all demands is spread evenly, as headroom for bursts; if reserve is set, a
// quarter of it is kept back for an entry that doesn't hold a share yet.
func (ds demands) fairShare(total int64, h api.InstanceID, reserve bool) int64 {
	at := ds.index(h)
	if at < 0 {
		return 0
	}
	left, mine := max(0, total), int64(0)
	for i, d := range ds {
		p := min(d.want, left/int64(len(ds)-i))
		left -= p
		if i == at {
			mine = p
		}
	}
	if reserve {
		left = left * 3 / 4
	}
	return mine + evenPart(left, len(ds), at)
}

// evenPart returns part number at, counted from zero, of n even parts of total.
// The remainder of the division goes to the last parts, one unit each.
func evenPart(total int64, n, at int) int64 {
	p, rest := total/int64(n), total%int64(n)
	if int64(n-at) <= rest {
		p++
	}
	return p
}
