package limit

import (
	"cmp"
	"slices"

	"almondseam.dev/core/api"
)

// demand is what one holder could use.
type demand struct {
	holder api.InstanceID
	want   int64
	rank   uint64
}

// demands is sorted by want; equal ones by rank, so that every division of the
// same demands favours the same holders. It is kept sorted, for a grantor at
// full size divides among hundreds of holders hundreds of times a second.
type demands []demand

func (d demand) compare(o demand) int {
	return cmp.Or(cmp.Compare(d.want, o.want), cmp.Compare(d.rank, o.rank), cmp.Compare(d.holder, o.holder))
}

// set puts a holder's demand in the place of its last one.
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

// part gives a holder's part of total by max-min fairness: nobody gets more
// than it wants while another wants more than it gets. What nobody wants is
// spread evenly, for a burst to find; a quarter of it is kept back for an entry
// that comes, if one can.
func (ds demands) part(total int64, h api.InstanceID, mayCome bool) int64 {
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
	if mayCome {
		left = left * 3 / 4
	}
	return mine + even(left, len(ds), at)
}

// even gives the at-th of n even parts of total; the last ones get the rest.
func even(total int64, n, at int) int64 {
	p, rest := total/int64(n), total%int64(n)
	if int64(n-at) <= rest {
		p++
	}
	return p
}
