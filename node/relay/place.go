package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/placement"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/targetstate"
)

// pickTarget selects a target of a service for a request, nil if there is none. Targets in
// exclude are left out.
func (r *Relay) pickTarget(req *Request, service api.ServiceID, exclude []*Target) *Target {
	list := r.targets.Of(service)
	need := placement.Need{
		Zone:   r.settings.Zone,
		Tokens: req.tokens,
		Draws:  placement.DrawsFor(len(list), r.targets.EntryCount()),
		Pace:   r.newPaceNeed(req, 0),
	}
	now := time.Now()
	return choose(list, true, func(part []*Target) int {
		return placement.Pick(r.candidates(req, part, exclude, now), need, rand.Float64)
	})
}

// pickPermitted selects a target of the request's service and acquires a permit for it; nil if
// there is none. It excludes targets that were already selected for the request.
func (r *Relay) pickPermitted(ctx context.Context, req *Request) *permit {
	if t := r.pickTrial(req, time.Now()); t != nil {
		if p, ok := r.permit(ctx, req, t, targetstate.UseTrial); ok {
			return p
		}
	}
	for range maxTargetTries {
		t := r.pickTarget(req, req.Service, req.tried)
		if t == nil {
			return nil
		}
		if p, ok := r.permit(ctx, req, t, r.useOf(req, t)); ok {
			return p
		}
	}
	return nil
}

// candidates describes targets of one service to the placement of a request, in the order of
// list.
func (r *Relay) candidates(req *Request, list []*Target, exclude []*Target, now time.Time) []placement.Candidate {
	if len(list) == 0 {
		return nil
	}
	service := r.service(list[0].Service)
	capacity := capacityOf(&service)
	out := make([]placement.Candidate, len(list))
	leaves := r.leavesBeforeEnd(req, &service, now)
	held, free := 0, 0
	for i, t := range list {
		load, status := t.Load(), t.state()
		out[i] = placement.Candidate{
			Zone:     t.Zone,
			Slots:    t.Slots,
			Running:  load.Running,
			Tokens:   load.Tokens,
			Unread:   load.Unread,
			Incoming: load.Incoming,
			Capacity: capacity,
			Cold:     status.IsCold(now, service.ColdFor),
			Avoid:    status.IsAvoided(now),
			Full:     status.IsFull(now),
			Excluded: !r.usable(req, t, status, now) || contains(exclude, t) || withholds(status, now),
		}
		if leaves != nil {
			out[i].Leaves = leaves(t)
		}
		if !out[i].Excluded {
			free++
		} else if status.Fault.IsHeld(now) {
			held++
		}
	}
	if free == 0 && held > 0 && req.usual() == targetstate.UseOnce {
		r.allowHeld(req, list, exclude, out, now)
	}
	r.predictPauses(req, list, out, now)
	return out
}

// copyCandidates describes targets to the placement of a copy of a run at the target from. A copy
// is used only by the software that made it. Rate-limited targets are the last choice: the run may
// be continued there only with a grant.
func (r *Relay) copyCandidates(req *Request, from *Target, list []*Target, exclude []*Target, now time.Time) []placement.Candidate {
	out := r.candidates(req, list, exclude, now)
	made := from.origin()
	for i, t := range list {
		out[i].Excluded = out[i].Excluded || !made.Allows(t.origin())
		out[i].Avoid = out[i].Avoid || t.limit().Limited
	}
	return out
}

// usable reports whether a target may be sent the request at present.
func (r *Relay) usable(req *Request, t *Target, s *targetstate.Status, now time.Time) bool {
	return s.Check(req.usual(), now) == targetstate.None && !s.IsRefused(now) && r.mayServe(req, t)
}

// eligible reports whether a target serves requests like this one: it is not draining, not
// evacuated and in an allowed region.
func (r *Relay) eligible(req *Request, t *Target) bool {
	return !t.isDraining() && r.mayServe(req, t)
}

// mayServe reports whether a target is in an availability zone and a region in which the request
// may be served at present, and runs the software that may continue the request's stream.
func (r *Relay) mayServe(req *Request, t *Target) bool {
	return !t.evacuated() && r.inAllowedRegion(req, t) && req.mayContinueAt(t)
}

// inAllowedRegion reports whether the target is in a region in which the request may be served.
func (r *Relay) inAllowedRegion(req *Request, t *Target) bool {
	return req.Route.AllowsRegion(req.Customer, r.settings.Regions[t.Zone])
}

// noneInAllowedRegion reports whether the request's service has targets, all of them in regions
// in which the request must not be served.
func (r *Relay) noneInAllowedRegion(req *Request) bool {
	list := r.targets.Of(req.Service)
	for _, t := range list {
		if r.inAllowedRegion(req, t) {
			return false
		}
	}
	return len(list) > 0
}

// service returns the configuration of a service, or the zero value if it is unknown.
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

// engine returns the properties of a service's engines, nil if they are unknown.
func (r *Relay) engine(id api.ServiceID) *routeconf.Engine { return r.service(id).Engine }

// capacityOf returns the memory, in tokens, of each engine of a service; zero if unknown.
func capacityOf(s *routeconf.Service) int {
	if s.Engine == nil {
		return 0
	}
	return s.Engine.CacheTokens
}

func contains(list []*Target, t *Target) bool {
	for _, other := range list {
		if other == t || other.Address == t.Address {
			return true
		}
	}
	return false
}
