package limit

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
)

// BenchmarkAcquire measures one Acquire and Release, in parallel on all processors.
func BenchmarkAcquire(b *testing.B) {
	for _, customers := range []int{1, 1700} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			h, names := manyCustomers(customers)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if p, err := h.Acquire(names[i%customers], 10, t0); err == nil {
						p.Release(10, t0)
					}
				}
			})
		})
	}
}

// manyCustomers returns a holder with n customers, and their IDs.
func manyCustomers(n int) (*Holder, []api.CustomerID) {
	limits := make(map[api.CustomerID]Limit, n)
	names := make([]api.CustomerID, n)
	for i := range n {
		names[i] = api.CustomerID(fmt.Sprintf("c%04d", i))
		limits[names[i]] = Limit{Slots: 1000, Rate: 100_000}
	}
	h := NewHolder("e0", 1, DefaultTiming)
	h.SetLimits(limits, t0)
	h.SetRoster(Roster{Epoch: 1, Entries: []api.InstanceID{"e0"}}, t0, t0)
	return h, names
}

// BenchmarkRenew measures a grantor's handling of one request that lists 30
// customers, with 3, 32 or 320 entries that hold shares of each customer.
func BenchmarkRenew(b *testing.B) {
	for _, entries := range []int{3, 32, 320} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			r := Roster{Epoch: 1, Entries: []api.InstanceID{"e0"}}
			for i := 1; i < entries; i++ {
				r.Entries = append(r.Entries, api.InstanceID(fmt.Sprintf("e%d", i)))
			}
			limits := make(map[api.CustomerID]Limit)
			var wants []Want
			for i := 0; len(wants) < 30; i++ {
				c := api.CustomerID(fmt.Sprintf("c%04d", i))
				if r.Owner(c) == "e0" {
					limits[c] = Limit{Slots: 1000, Rate: 100_000}
					wants = append(wants, Want{Customer: c, Slots: 10, Rate: 1000, InUse: 5})
				}
			}
			g := NewGrantor("e0", DefaultTiming)
			g.SetLimits(limits)
			g.SetRoster(r, t0, t0)
			b.ReportAllocs()
			seq := uint64(0)
			for i := 0; b.Loop(); i++ {
				if i%entries == 0 {
					seq++
					confirm(wants, seq-1)
				}
				g.Step(Request{Epoch: 1, Holder: r.Entries[i%entries], Incarnation: 1, Seq: seq, Wants: wants}, t0)
			}
		})
	}
}

// confirm sets the wants to report that the lease numbered seq is in force.
func confirm(wants []Want, seq uint64) {
	for i := range wants {
		wants[i].HeldSeq, wants[i].Remaining = seq, DefaultTiming.TTL
	}
}
