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

// hopByHop lists the headers that are not passed on: those of a single connection (see
// RFC 9110, section 7.6.1) and those that this system handles or sets itself, such as
// Authorization and Content-Length.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "authorization": true, "date": true,
	"server": true, "expect": true,
}

// call handles a plain call to the service that its path belongs to.
func (s *Server) call(c fiber.Ctx) error {
	caller, err := s.admit(c)
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	req, svc, err := s.parseCall(c, caller)
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	settle, err := s.limiter.Acquire(caller.customer, 0, s.cfg.Clock())
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	callClaim, err := s.callClaim(c, caller, req)
	if err != nil {
		settle(0)
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	if callClaim != nil {
		req.Claimed = callClaim.dispatch
	}
	answer := s.entry.Start(s.baseCtx, req)
	reader := &answerReader{answer: answer, keepAlive: svc.Timeout, settle: settle, callerGone: peerClosedFunc(c.RequestCtx().Conn())}
	b := &responseBody{answerReader: reader, onRefused: s.refusalReporter(caller)}
	if !req.Repeatable {
		// The service may already be processing the call. Cancelling it would leave
		// its outcome unknown, and a caller that retries with the same key would
		// get that result every time. Calls are short, so this one runs to its end.
		reader.callerGone = func() bool { return false }
		b.runInBackground = func(rest func()) { s.background.Go(rest) }
	}
	return s.answerCall(c, caller, b, newAnswerRecorder(callClaim, int(caller.conf.Limits().ClaimAnswer)))
}

func (s *Server) parseCall(c fiber.Ctx, caller *callerInfo) (*entry.Request, *fleetconfig.Service, *api.Error) {
	// The service is looked up by the cleaned path, in which percent-encoded
	// characters are not decoded. The service receives the original URL.
	clean := path.Clean("/" + strings.Clone(c.Path()))
	svc, err := findService(caller, clean)
	if err != nil {
		return nil, nil, err
	}
	body := c.Body()
	if len(body) > int(svc.MaxBody) {
		return nil, nil, refusal(api.StepParse, api.ReasonTooLarge, fmt.Sprintf("the body is larger than %s", svc.MaxBody))
	}
	req := s.newRequest(c, caller)
	req.Service = svc.ID
	req.Query.Service = svc.ID
	req.Method = strings.Clone(c.Method())
	req.Path = strings.Clone(c.OriginalURL())
	req.Headers = requestHeaders(c, caller)
	req.Body = bytes.Clone(body)
	req.Timeout = svc.Timeout
	req.Repeatable = svc.MayRepeat(req.Method)
	return req, svc, nil
}

// findService returns the service at a path that the customer may use.
func findService(caller *callerInfo, clean string) (*fleetconfig.Service, *api.Error) {
	if svc, ok := caller.conf.ServiceByPath(clean); ok && caller.customer.AllowsService(svc.ID) {
		return svc, nil
	}
	if err := caller.useNewest(); err != nil {
		return nil, err
	}
	if svc, ok := caller.conf.ServiceByPath(clean); ok && caller.customer.AllowsService(svc.ID) {
		return svc, nil
	}
	return nil, refusal(api.StepParse, api.ReasonUnknownService, fmt.Sprintf("nothing is served at %s", clean))
}

// requestHeaders returns the request headers to pass on to the service, and a header
// with the customer ID. Headers that start with Almondseam- are dropped, so that a
// caller cannot set the customer ID itself.
func requestHeaders(c fiber.Ctx, caller *callerInfo) []wire.Header {
	drop := connectionNames(c.Get(fiber.HeaderConnection))
	var out []wire.Header
	for k, v := range c.RequestCtx().Request.Header.All() {
		name := strings.ToLower(string(k))
		if hopByHop[name] || drop[name] || strings.HasPrefix(name, "almondseam-") {
			continue
		}
		out = append(out, wire.Header{Name: string(k), Value: string(v)})
	}
	return append(out, wire.Header{Name: "Almondseam-Customer", Value: string(caller.customer.ID)})
}

// connectionNames returns the names listed in a Connection header, in lower case.
func connectionNames(v string) map[string]bool {
	out := make(map[string]bool)
	for name := range strings.SplitSeq(v, ",") {
		out[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return out
}

// callClaim returns the claim of a call that must not be repeated. It returns nil if
// the call may be repeated or has no Idempotency-Key: without a key, no other request
// can refer to the call, and this entry dispatches it at most once.
func (s *Server) callClaim(c fiber.Ctx, caller *callerInfo, req *entry.Request) (*callClaim, *api.Error) {
	key := strings.Clone(c.Get(HeaderIdempotencyKey))
	if req.Repeatable || key == "" {
		return nil, nil
	}
	if len(key) > maxIdempotencyKey {
		return nil, refusal(api.StepClaim, api.ReasonBadRequest, fmt.Sprintf("the %s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKey))
	}
	if s.claimer == nil {
		return nil, refusal(api.StepClaim, api.ReasonControlUnavailable, "this entry has no control group to claim the key with")
	}
	return &callClaim{
		server: s,
		key:    claim.Key{Customer: caller.customer.ID, Name: key},
		digest: digest(req),
		id:     caller.id,
	}, nil
}

// maxIdempotencyKey is the maximum length of an Idempotency-Key in bytes.
const maxIdempotencyKey = 255

// digest returns a hash of method, path and body, which distinguishes different calls
// that use the same key.
func digest(req *entry.Request) claim.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.Path), req.Body} {
		fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return claim.Digest(h.Sum(nil))
}

// writeStoredAnswer responds with the stored answer of an earlier call with the same
// key.
func writeStoredAnswer(c fiber.Ctx, answer *storedAnswer) error {
	for _, h := range answer.Headers {
		c.RequestCtx().Response.Header.Add(h.Name, h.Value)
	}
	c.Set(HeaderOutcome, string(api.OutcomeCompleted))
	c.Set("Almondseam-Replayed", "true")
	return c.Status(answer.Status).Send(answer.Body)
}

func (s *Server) answerCall(c fiber.Ctx, caller *callerInfo, b *responseBody, recorder *answerRecorder) error {
	reader := b.answerReader
	b.format = recorder
	for {
		e := reader.next(reader.keepAlive)
		switch e.Kind {
		case entry.EventEnd:
			recorder.settle(e.End)
			reader.Close()
			if recorder.callClaim != nil && recorder.callClaim.storedAnswer != nil {
				return writeStoredAnswer(c, recorder.callClaim.storedAnswer)
			}
			return s.writeError(c, caller.customerID(), caller.id, e.End)
		case entry.EventHead:
			length := copyResponseHead(c, e.Head, recorder)
			s.setBody(c, b, length)
			return nil
		}
	}
}

// copyResponseHead sets the status and headers of the service's response on the
// response to the caller and records them for the claim. It returns the length of the
// body, or -1 if it is unknown.
func copyResponseHead(c fiber.Ctx, h *wire.Head, recorder *answerRecorder) int {
	c.Status(h.Status)
	recorder.recordHead(h)
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
