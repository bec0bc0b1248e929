package state

import (
	"fmt"
	"sort"

	"almondseam.dev/core/api"
)

const (
	// maxEvacuations bounds the number of availability zones whose last order is
	// remembered.
	maxEvacuations = 256
	// maxZoneName is the maximum length of an availability zone's name in bytes.
	maxZoneName = 128
)

// Evacuation orders that the targets of an availability zone get no new work, or with
// Finish that they may get new work again. Repeating an order has no further effect.
type Evacuation struct {
	Zone   api.Zone `cbor:"1,keyasint"`
	Finish bool     `cbor:"2,keyasint,omitempty"`
	// Base is the log index that the member had applied when it received the order from
	// the operator. Zero disables the check for a newer order.
	Base   uint64 `cbor:"3,keyasint,omitempty"`
	Author string `cbor:"4,keyasint,omitempty"`
}

// ZoneOrder is the last order that took effect for an availability zone.
type ZoneOrder struct {
	Zone api.Zone `cbor:"1,keyasint"`
	// Evacuated is set if the zone's targets get no new work.
	Evacuated bool `cbor:"2,keyasint,omitempty"`
	// Index is the log index of the order.
	Index  uint64 `cbor:"3,keyasint"`
	Author string `cbor:"4,keyasint,omitempty"`
}

// Evacuated lists the availability zones whose targets get no new work. A receiver
// ignores a list whose Index is lower than that of a list it already has.
type Evacuated struct {
	// Index is the log index of the last order that changed the list, zero before the
	// first.
	Index uint64     `cbor:"1,keyasint,omitempty"`
	Zones []api.Zone `cbor:"2,keyasint,omitempty"`
}

// evacuate applies an order.
//
// A delayed order must not undo an opposite one that was confirmed after the delayed order was
// received. An order is therefore refused if the zone's last order has a log index above its
// Base; an operator who still wants it sends it again.
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
	s.evacuationIndex = index
	return Result{}
}

// EvacuationIndex returns Evacuated().Index without building the list.
func (s *State) EvacuationIndex() uint64 { return s.evacuationIndex }

// ZoneOrders returns the last order of each availability zone that has had one, sorted by
// zone name.
func (s *State) ZoneOrders() []ZoneOrder {
	out := make([]ZoneOrder, 0, len(s.zones))
	for _, z := range s.zones {
		out = append(out, z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}

// Evacuated returns the availability zones whose targets get no new work, sorted by name.
func (s *State) Evacuated() Evacuated {
	out := Evacuated{Index: s.evacuationIndex}
	for _, z := range s.ZoneOrders() {
		if z.Evacuated {
			out.Zones = append(out.Zones, z.Zone)
		}
	}
	return out
}

// restoreZones loads the zone orders of a snapshot.
func (s *State) restoreZones(orders []ZoneOrder) {
	for _, z := range orders {
		s.zones[z.Zone] = z
		s.evacuationIndex = max(s.evacuationIndex, z.Index)
	}
}
