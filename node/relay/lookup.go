package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/rollout"
	"almondseam.dev/core/routeconf"
)

// Newest determines whether the configuration in force is the newest accepted one.
type Newest interface {
	// Await waits until every configuration that was accepted before since is in force, or replaced
	// by one that is, and a majority of the control group has confirmed that. It returns false if ctx
	// ends first. It may be called from several goroutines.
	Await(ctx context.Context, since time.Time) bool
}

// find determines the route and the customer of a request, and returns the configuration that has them.
// If the one in force lacks them, the request waits for the newest: a refusal by an old configuration
// would be final for the caller, although a newer one, confirmed to the operator, allows the request. If
// find returns nil, the request has been answered.
func (r *Relay) find(req *Request, inForce *routeconf.Table) *routeconf.Table {
	table, reason := inForce, lookup(req, inForce)
	if reason != "" && r.newest != nil {
		table, reason = r.findInNewest(req, reason)
	}
	switch reason {
	case "":
		return table
	case api.ReasonConfigUnconfirmed:
		r.refuse(req, http.StatusServiceUnavailable, reason, rollout.RetryUnconfirmed)
	default:
		r.refuse(req, refusalStatus(req, table, reason), reason, 0)
	}
	return nil
}

func refusalStatus(req *Request, table *routeconf.Table, reason api.Reason) int {
	if reason == api.ReasonTooLarge && headerTooLarge(req, table) {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return api.Reasons[reason].Status
}

// refuseBody refuses a request of undeclared size whose body exceeded the limit while it was read. If the
// newest configuration allows more, or is not known, the request may be sent again.
func (r *Relay) refuseBody(req *Request, limits routeconf.Limits) bool {
	if r.newest != nil {
		table, reason := r.findInNewest(req, api.ReasonTooLarge)
		newest := table.Config.Limits.BodyBytes
		if reason == api.ReasonConfigUnconfirmed || newest == 0 || newest > limits.BodyBytes {
			return r.refuse(req, http.StatusServiceUnavailable, api.ReasonConfigUnconfirmed, rollout.RetryUnconfirmed)
		}
	}
	return r.refuse(req, http.StatusRequestEntityTooLarge, api.ReasonTooLarge, 0)
}

// findInNewest looks a request up in the newest configuration. refused is the reason by which the one
// in force refuses it.
func (r *Relay) findInNewest(req *Request, refused api.Reason) (*routeconf.Table, api.Reason) {
	wait := rollout.MaxConfirmationWait
	if p := req.Ask.Patience / patienceDivisor; p > 0 {
		wait = min(wait, p)
	}
	ctx, cancel := context.WithTimeout(req.httpRequest.Context(), wait)
	defer cancel()
	held, began := req.Version, time.Now()
	table, reason := r.live.Load(), api.ReasonConfigUnconfirmed
	if r.newest.Await(ctx, req.Arrived.Add(-rollout.ConfirmationLifetime)) {
		table = r.live.Load()
		reason = lookup(req, table)
	}
	r.obs.RefusalChecked(req, held, refused, reason, time.Since(began))
	return table, reason
}

// lookup sets the route, the customer and the version of a request by a configuration. It returns the
// reason why the configuration does not allow the request, empty if it does.
func lookup(req *Request, table *routeconf.Table) api.Reason {
	path, _, _ := strings.Cut(req.uri, "?")
	req.Version = table.Config.Version
	if headerTooLarge(req, table) || bodyTooLarge(req, table) {
		return api.ReasonTooLarge
	}
	req.Route, req.Customer = table.Route(req.httpRequest.Host, path), nil
	if req.Route == nil {
		return api.ReasonUnknownService
	}
	if !table.Config.HasCustomers || req.Route.Public {
		return ""
	}
	req.Customer = table.Customer(req.Ask.Key)
	if req.Customer == nil {
		return api.ReasonUnauthenticated
	}
	return ""
}

func headerTooLarge(req *Request, table *routeconf.Table) bool {
	limit := table.Config.Limits.HeaderBytes
	return limit > 0 && headerBytes(req.httpRequest.Header) > limit
}

// bodyTooLarge reports whether a body of declared size exceeds the limit.
func bodyTooLarge(req *Request, table *routeconf.Table) bool {
	limit := table.Config.Limits.BodyBytes
	return limit > 0 && req.httpRequest.ContentLength > int64(limit)
}
