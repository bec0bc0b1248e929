package state

import (
	"fmt"
	"sort"

	"almondseam.dev/core/api"
)

const (
	// maxEvacuations bounds the availability zones whose last order is remembered.
	maxEvacuations = 256
	// maxZoneName bounds the name of an availability zone, in bytes.
	maxZoneName = 128
)

// Evacuation asks that the targets of an availability zone get no new work, or with
// Finish that they may get it again. The same order may be made again.
type Evacuation struct {
	Zone   api.Zone `cbor:"1,keyasint"`
	Finish bool     `cbor:"2,keyasint,omitempty"`
	// Base is the log index that the member which received the order had applied; zero
	// compares nothing.
	Base   uint64 `cbor:"3,keyasint,omitempty"`
	Author string `cbor:"4,keyasint,omitempty"`
}

// ZoneOrder is the last order that took effect for an availability zone.
type ZoneOrder struct {
	Zone api.Zone `cbor:"1,keyasint"`
	// Evacuated tells that the zone's targets get no new work.
	Evacuated bool `cbor:"2,keyasint,omitempty"`
	// Index is the log index of the order.
	Index  uint64 `cbor:"3,keyasint"`
	Author string `cbor:"4,keyasint,omitempty"`
}

// Evacuated lists the availability zones whose targets get no new work. A list with a
// lower Index than one seen before is out of date.
type Evacuated struct {
	// Index is the log index of the last order that changed the list, zero before the
	// first.
	Index uint64     `cbor:"1,keyasint,omitempty"`
	Zones []api.Zone `cbor:"2,keyasint,omitempty"`
}

// evacuate carries out an order.
//
// An order that was held up on its way must not undo what was confirmed after it: one whose
// member had not seen the opposite order is refused, and an operator that still wants it sends
// it again.
func (s *State) evacuate(index uint64, e Evacuation) Result {
	if e.Zone == "" || len(e.Zone) > maxZoneName {
		return Result{Reason: api.ReasonBadRequest, Message: fmt.Sprintf("zone %q is no name of an availability zone", e.Zone)}
	}
	known, found := s.zones[e.Zone]
	if found && known.Evacuated == !e.Finish {
		return Result{}
	}
	if found && e.Base != 0 && known.Index > e.Base {
		return Result{Reason: api.ReasonStaleFence, Message: fmt.Sprintf("zone %s got another order at log index %d, after this one was received", e.Zone, known.Index)}
	}
	if !found && len(s.zones) >= maxEvacuations {
		return Result{Reason: api.ReasonQueueFull, Message: "too many zones have been evacuated"}
	}
	s.zones[e.Zone] = ZoneOrder{Zone: e.Zone, Evacuated: !e.Finish, Index: index, Author: e.Author}
	s.evacuated = index
	return Result{}
}

// EvacuatedAt is Evacuated().Index.
func (s *State) EvacuatedAt() uint64 { return s.evacuated }

// ZoneOrders gives the last order for each availability zone that had one, by name.
func (s *State) ZoneOrders() []ZoneOrder {
	out := make([]ZoneOrder, 0, len(s.zones))
	for _, z := range s.zones {
		out = append(out, z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}

// Evacuated gives the availability zones whose targets get no new work, by name.
func (s *State) Evacuated() Evacuated {
	out := Evacuated{Index: s.evacuated}
	for _, z := range s.ZoneOrders() {
		if z.Evacuated {
			out.Zones = append(out.Zones, z.Zone)
		}
	}
	return out
}

// restoreZones takes the orders of a snapshot.
func (s *State) restoreZones(orders []ZoneOrder) {
	for _, z := range orders {
		s.zones[z.Zone] = z
		s.evacuated = max(s.evacuated, z.Index)
	}
}
