package relay

import (
	"math/rand/v2"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/placement"
	"almondseam.dev/core/routeconf"
)

// place chooses a target of a service for a request, nil if there is none that
// may be asked. Targets in not are left out.
func (r *Relay) place(req *Request, service api.ServiceID, not []*Target) *Target {
	list := r.targets.Of(service)
	now := time.Now()
	choice := placement.Pick(r.candidates(list, not, now), placement.Need{
		Zone:   r.set.Zone,
		Tokens: req.tokens,
		Draws:  placement.DrawsFor(len(list), r.targets.Entries()),
	}, rand.Float64)
	if choice < 0 {
		return nil
	}
	return list[choice]
}

// candidates describes targets to the placement, in their order.
func (r *Relay) candidates(list []*Target, not []*Target, now time.Time) []placement.Candidate {
	out := make([]placement.Candidate, len(list))
	for i, t := range list {
		load := t.Load()
		out[i] = placement.Candidate{
			Zone:     t.Zone,
			Slots:    t.Slots,
			Running:  load.Running,
			Tokens:   load.Tokens,
			Unread:   load.Unread,
			Capacity: r.capacity(t),
			Cold:     now.Before(t.coldTill),
			Avoid:    t.avoided(now),
			Full:     t.full(now),
			Excluded: t.draining.Load() || t.evacuated() || contains(not, t),
		}
	}
	return out
}

// engine tells what the engines of a service can do, nil if that isn't known.
func (r *Relay) engine(id api.ServiceID) *routeconf.Engine {
	table := r.live.Load()
	if table == nil {
		return nil
	}
	service := table.Service(id)
	if service == nil {
		return nil
	}
	return service.Engine
}

func (r *Relay) capacity(t *Target) int {
	e := r.engine(t.Service)
	if e == nil {
		return 0
	}
	return e.CacheTokens
}

func contains(list []*Target, t *Target) bool {
	for _, other := range list {
		if other == t || other.Address == t.Address {
			return true
		}
	}
	return false
}
