package callers

import (
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"github.com/gofiber/fiber/v3"
	"github.com/oklog/ulid/v2"
)

// callerInfo holds the request ID and the customer of a request, and its configuration: the one
// that was in force when the request arrived, or the newest if that one would refuse it. The request uses
// this configuration until it ends.
type callerInfo struct {
	conf     *fleetconfig.Snapshot
	customer *fleetconfig.Customer
	id       api.RequestID
	arrived  time.Time
	key      string
	server   *Server
}

const bearerPrefix = "Bearer "

// admit assigns a request ID and authenticates the request. It rejects the request if
// the entry is draining, the connection exceeds the limit, no configuration is in force
// or the API key is unknown. The returned callerInfo is never nil.
func (s *Server) admit(c fiber.Ctx) (*callerInfo, *api.Error) {
	caller := &callerInfo{id: api.RequestID(ulid.Make().String()), arrived: time.Now(), server: s}
	c.Set(HeaderRequestID, string(caller.id))
	c.Set(headerXRequestID, string(caller.id))
	if s.draining.Load() {
		return caller, refusal(api.StepParse, api.ReasonShuttingDown, "this entry is shutting down")
	}
	if err := connectionRefusal(c.RequestCtx().Conn()); err != nil {
		c.RequestCtx().SetConnectionClose()
		return caller, err
	}
	caller.conf = s.live.Load()
	if caller.conf == nil {
		return caller, refusal(api.StepConfig, api.ReasonNoConfig, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok {
		return caller, refusal(api.StepAuth, api.ReasonUnauthenticated, "an API key is expected: Authorization: Bearer KEY")
	}
	caller.key = strings.Clone(key)
	if caller.findCustomer() == nil {
		return caller, nil
	}
	if err := caller.useNewest(); err != nil {
		return caller, err
	}
	return caller, caller.findCustomer()
}

// customerID returns the customer, or "" if the request was not authenticated.
func (c *callerInfo) customerID() api.CustomerID {
	if c.customer == nil {
		return ""
	}
	return c.customer.ID
}
