package relay

import (
	"context"
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
	choice := placement.Pick(r.candidates(req, list, not, now), placement.Need{
		Zone:   r.set.Zone,
		Tokens: req.tokens,
		Draws:  placement.DrawsFor(len(list), r.targets.Entries()),
	}, rand.Float64)
	if choice < 0 {
		return nil
	}
	return list[choice]
}

// placePermitted chooses a target of the request's service that it may be sent to, nil if
// there is none. Targets that the request was meant for before are left out.
func (r *Relay) placePermitted(ctx context.Context, req *Request) *permit {
	for range maxLooks {
		t := r.place(req, req.Service, req.asked)
		if t == nil {
			return nil
		}
		if p, ok := r.permit(ctx, req, t); ok {
			return p
		}
	}
	return nil
}

// candidates describes targets to the placement of a request, in their order.
func (r *Relay) candidates(req *Request, list []*Target, not []*Target, now time.Time) []placement.Candidate {
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
			Cold:     r.cold(t, now),
			Avoid:    t.avoided(now),
			Full:     t.full(now),
			Excluded: !r.usable(req, t, now) || contains(not, t),
		}
	}
	return out
}

// copyCandidates describes targets to the placement of a copy of a run. One that names a limit
// is the last choice: the run may go on there only with a grant.
func (r *Relay) copyCandidates(req *Request, list []*Target, not []*Target, now time.Time) []placement.Candidate {
	out := r.candidates(req, list, not, now)
	for i, t := range list {
		out[i].Avoid = out[i].Avoid || t.limit().Limited
	}
	return out
}

// usable tells whether a target may be sent a request at present.
func (r *Relay) usable(req *Request, t *Target, now time.Time) bool {
	return r.inUse(req, t) && !t.heldBack(now)
}

// inUse tells whether a target is one that serves requests like this one.
func (r *Relay) inUse(req *Request, t *Target) bool {
	return !t.draining.Load() && !t.evacuated() && r.atHome(req, t)
}

// atHome tells whether the target is in a region in which the request may be served.
func (r *Relay) atHome(req *Request, t *Target) bool {
	return req.Route.Served(req.Customer, r.set.Regions[t.Zone])
}

// outsideHomes tells whether all targets of a request's service are in regions in which it
// must not be served.
func (r *Relay) outsideHomes(req *Request) bool {
	list := r.targets.Of(req.Service)
	for _, t := range list {
		if r.atHome(req, t) {
			return false
		}
	}
	return len(list) > 0
}

// service gives what the configuration says of a service, nothing if that isn't known.
func (r *Relay) service(id api.ServiceID) routeconf.Service {
	table := r.live.Load()
	if table == nil {
		return routeconf.Service{}
	}
	service := table.Service(id)
	if service == nil {
		return routeconf.Service{}
	}
	return *service
}

// engine tells what the engines of a service can do, nil if that isn't known.
func (r *Relay) engine(id api.ServiceID) *routeconf.Engine { return r.service(id).Engine }

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
