package callers

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"path"
	"strconv"
	"strings"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/wire"
	"github.com/gofiber/fiber/v3"
)

// hopByHop lists the headers that belong to one connection (RFC 9110, section
// 7.6.1) and those that are this system's own business with its caller.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "authorization": true, "date": true,
	"server": true, "expect": true,
}

// call passes a request on to the plain service its path belongs to.
func (s *Server) call(c fiber.Ctx) error {
	who, err := s.admit(c)
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	req, svc, err := s.parseCall(c, who)
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	settle, err := s.limiter.Acquire(who.customer, 0, s.cfg.Clock())
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	ticket, err := s.ticket(c, who, req)
	if err != nil {
		settle(0)
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	if ticket != nil {
		req.Claimed = ticket.dispatch
	}
	ans := s.entry.Start(s.base, req)
	f := &feed{ans: ans, keep: svc.Timeout, settle: settle, gone: connGone(c.RequestCtx().Conn())}
	b := &body{conn: c.RequestCtx().Conn(), write: s.cfg.WriteTimeout, feed: f, refused: s.refusedTo(who)}
	if !req.Repeatable {
		// The service may be acting on the call already. Cutting it off would
		// leave an outcome that nobody knows, and a caller that comes back with
		// its key would be told so for ever; the call is short, so it runs on.
		f.gone = func() bool { return false }
		b.after = func(rest func()) { s.work.Go(rest) }
	}
	return s.answerCall(c, who, b, newRecord(ticket, int(who.conf.Limits().ClaimAnswer)))
}

func (s *Server) parseCall(c fiber.Ctx, who *caller) (*entry.Request, *fleetconfig.Service, *api.Error) {
	// The HTTP library's path is decoded and cleaned; the original goes on.
	clean := path.Clean("/" + strings.Clone(c.Path()))
	svc, ok := who.conf.ServiceByPath(clean)
	if !ok || !who.customer.AllowsService(svc.ID) {
		return nil, nil, refusal(api.StepParse, api.ReasonUnknownService, fmt.Sprintf("nothing is served at %s", clean))
	}
	body := c.Body()
	if len(body) > int(svc.MaxBody) {
		return nil, nil, refusal(api.StepParse, api.ReasonTooLarge, fmt.Sprintf("the body is larger than %s", svc.MaxBody))
	}
	req := s.newRequest(c, who)
	req.Service = svc.ID
	req.Query.Service = svc.ID
	req.Method = strings.Clone(c.Method())
	req.Path = strings.Clone(c.OriginalURL())
	req.Headers = requestHeaders(c, who)
	req.Body = bytes.Clone(body)
	req.Timeout = svc.Timeout
	req.Repeatable = svc.MayRepeat(req.Method)
	return req, svc, nil
}

// requestHeaders copies the headers that go on to the service.
func requestHeaders(c fiber.Ctx, who *caller) []wire.Header {
	drop := connectionNames(c.Get(fiber.HeaderConnection))
	var out []wire.Header
	for k, v := range c.RequestCtx().Request.Header.All() {
		name := strings.ToLower(string(k))
		if hopByHop[name] || drop[name] || strings.HasPrefix(name, "almondseam-") {
			continue
		}
		out = append(out, wire.Header{Name: string(k), Value: string(v)})
	}
	return append(out, wire.Header{Name: "Almondseam-Customer", Value: string(who.customer.ID)})
}

// connectionNames gives the headers that a Connection header names.
func connectionNames(v string) map[string]bool {
	out := make(map[string]bool)
	for name := range strings.SplitSeq(v, ",") {
		out[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return out
}

// ticket makes the claim of a call that must not be repeated. A call without an
// Idempotency-Key needs none: nobody can name it again, and this entry sends it
// once.
func (s *Server) ticket(c fiber.Ctx, who *caller, req *entry.Request) (*ticket, *api.Error) {
	key := strings.Clone(c.Get(HeaderIdempotent))
	if req.Repeatable || key == "" {
		return nil, nil
	}
	if len(key) > maxKey {
		return nil, refusal(api.StepClaim, api.ReasonBadRequest, fmt.Sprintf("the %s is longer than %d bytes", HeaderIdempotent, maxKey))
	}
	if s.claimer == nil {
		return nil, refusal(api.StepClaim, api.ReasonControlUnavailable, "this entry has no control group to claim the key with")
	}
	return &ticket{
		server: s,
		key:    claim.Key{Customer: who.customer.ID, Name: key},
		digest: digest(req),
		id:     who.id,
	}, nil
}

// maxKey bounds an Idempotency-Key in bytes.
const maxKey = 255

// digest tells two calls under one key apart: method, path and body.
func digest(req *entry.Request) claim.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.Path), req.Body} {
		fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return claim.Digest(h.Sum(nil))
}

func writeKept(c fiber.Ctx, k *kept) error {
	for _, h := range k.Headers {
		c.RequestCtx().Response.Header.Add(h.Name, h.Value)
	}
	c.Set(HeaderOutcome, string(api.OutcomeCompleted))
	c.Set("Almondseam-Replayed", "true")
	return c.Status(k.Status).Send(k.Body)
}

func (s *Server) answerCall(c fiber.Ctx, who *caller, b *body, rec *record) error {
	f := b.feed
	b.r = rec
	for {
		e := f.next(f.keep)
		switch e.Kind {
		case entry.EventEnd:
			rec.settle(e.End)
			f.Close()
			if rec.ticket != nil && rec.ticket.kept != nil {
				return writeKept(c, rec.ticket.kept)
			}
			return s.writeError(c, who.customerID(), who.id, e.End)
		case entry.EventHead:
			length := copyHead(c, e.Head, rec)
			c.RequestCtx().Response.SetBodyStream(b, length)
			return nil
		}
	}
}

// copyHead gives the service's status and headers to the caller. It returns
// the body's length, -1 when it is not known.
func copyHead(c fiber.Ctx, h *wire.Head, rec *record) int {
	c.Status(h.Status)
	rec.head(h)
	drop := connectionNames(headerValue(h, "connection"))
	length := -1
	for _, line := range h.Headers {
		name := strings.ToLower(line.Name)
		if n, err := strconv.Atoi(line.Value); err == nil && name == "content-length" {
			length = n
		}
		if hopByHop[name] || drop[name] {
			continue
		}
		c.RequestCtx().Response.Header.Add(line.Name, line.Value)
	}
	return length
}

func headerValue(h *wire.Head, name string) string {
	for _, line := range h.Headers {
		if strings.EqualFold(line.Name, name) {
			return line.Value
		}
	}
	return ""
}
