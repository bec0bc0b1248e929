package callers

import (
	"strings"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"github.com/gofiber/fiber/v3"
	"github.com/oklog/ulid/v2"
)

// caller is who asks, under which configuration. The configuration is the one
// in force when the request came; the request keeps it to its end.
type caller struct {
	conf     *fleetconfig.Snapshot
	customer *fleetconfig.Customer
	id       api.RequestID
}

const bearer = "Bearer "

// admit finds the customer of a request.
func (s *Server) admit(c fiber.Ctx) (*caller, *api.Error) {
	who := &caller{id: api.RequestID(ulid.Make().String())}
	c.Set(HeaderRequestID, string(who.id))
	c.Set(headerXRequestID, string(who.id))
	if s.draining.Load() {
		return who, refusal(api.StepParse, api.ReasonShuttingDown, "this entry is shutting down")
	}
	if err := beyond(c.RequestCtx().Conn()); err != nil {
		c.RequestCtx().SetConnectionClose()
		return who, err
	}
	who.conf = s.live.Load()
	if who.conf == nil {
		return who, refusal(api.StepConfig, api.ReasonNoConfig, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearer)
	if !ok {
		return who, refusal(api.StepAuth, api.ReasonUnauthenticated, "an API key is expected: Authorization: Bearer KEY")
	}
	who.customer, ok = who.conf.CustomerByKey(key)
	if !ok {
		return who, refusal(api.StepAuth, api.ReasonUnauthenticated, "the API key is not known")
	}
	return who, nil
}

func (w *caller) customerID() api.CustomerID {
	if w.customer == nil {
		return ""
	}
	return w.customer.ID
}
