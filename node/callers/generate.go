package callers

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/entry"
	"github.com/gofiber/fiber/v3"
)

// streamOpenTimeout bounds the wait for a first item before the response headers of a
// stream are sent. A refusal or failure within this time is returned with its own HTTP
// status, which client libraries handle best. A change of phase does not start the
// response: a request that an agent accepts becomes queued even if it fails immediately
// because the engine is unreachable.
const streamOpenTimeout = time.Second

// generate handles requests for both OpenAI-compatible generation paths.
func (s *Server) generate(c fiber.Ctx) error {
	caller, err := s.admit(c)
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	p, err := s.parseGeneration(c, caller)
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	if c.Get(headerLastEvent) != "" {
		return s.resumeStream(c, caller, p)
	}
	settle, err := s.limiter.Acquire(caller.customer, p.req.Size.Prompt, s.cfg.Clock())
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	answer := s.entry.Start(s.baseCtx, p.req)
	return s.sendAnswer(c, caller, p, answer, settle)
}

func (s *Server) sendAnswer(c fiber.Ctx, caller *callerInfo, p *generationRequest, answer *entry.Answer, settle func(int)) error {
	answerReader := &answerReader{
		answer:       answer,
		keepAlive:    caller.conf.Limits().KeepAlive,
		hold:         headerDuration(c, HeaderHold),
		settle:       settle,
		promptTokens: p.req.Size.Prompt,
		callerGone:   peerClosedFunc(c.RequestCtx().Conn()),
	}
	if p.stream {
		return s.answerStream(c, caller, p, answerReader)
	}
	return s.answerWhole(c, caller, p, answerReader)
}

func (s *Server) answerStream(c fiber.Ctx, caller *callerInfo, p *generationRequest, reader *answerReader) error {
	firstEvents := reader.firstEvents(streamOpenTimeout)
	if last := firstEvents[len(firstEvents)-1]; last.Kind == entry.EventEnd && last.End.Outcome != api.OutcomeCompleted {
		reader.Close()
		return s.writeError(c, caller.customerID(), caller.id, last.End)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set("X-Accel-Buffering", "no")
	format := newSSE(caller.id, p, s.cfg.Clock())
	s.setBody(c, &responseBody{answerReader: reader, format: format, firstEvents: firstEvents, onRefused: s.refusalReporter(caller)}, -1)
	return nil
}

// setBody makes b the body of the response, which is written after the handler has returned. length is in bytes, -1 if
// it is unknown.
func (s *Server) setBody(c fiber.Ctx, b *responseBody, length int) {
	b.conn, b.writeTimeout = c.RequestCtx().Conn(), s.cfg.WriteTimeout
	b.resetIfCut = !c.RequestCtx().Request.Header.IsHTTP11()
	c.RequestCtx().Response.SetBodyStream(b, length)
}

// writeIntegrityError answers a caller whose answer could not be put together.
func (s *Server) writeIntegrityError(c fiber.Ctx, caller *callerInfo, err error) error {
	end := entry.End{Outcome: api.OutcomeInterrupted, Reason: api.ReasonIntegrity, Detail: err.Error()}
	return s.writeError(c, caller.customerID(), caller.id, end)
}

// answerWhole collects the answer and sends it as one object. Nothing is sent until the
// keep-alive interval has passed, so that a refusal or an early failure has its own
// status. After that, the caller receives white space while it waits, which JSON
// permits before the object. A failure then truncates the response: a body with status
// 200 that ends normally would be taken for a valid answer.
func (s *Server) answerWhole(c fiber.Ctx, caller *callerInfo, p *generationRequest, reader *answerReader) error {
	builder := newCompletionBuilder(caller.id, p, s.cfg.Clock())
	deadline := time.Now().Add(reader.keepAlive)
	for {
		e := reader.next(time.Until(deadline))
		if e.Kind == entry.EventEnd {
			reader.Close()
			return s.finishWhole(c, caller, builder, e.End)
		}
		if err := builder.add(e); err != nil {
			reader.Close()
			return s.writeIntegrityError(c, caller, err)
		}
		if !time.Now().Before(deadline) {
			break
		}
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	s.setBody(c, &responseBody{answerReader: reader, format: builder, onRefused: s.refusalReporter(caller)}, -1)
	return nil
}

func (s *Server) finishWhole(c fiber.Ctx, caller *callerInfo, builder *completionBuilder, end entry.End) error {
	if end.Outcome != api.OutcomeCompleted {
		return s.writeError(c, caller.customerID(), caller.id, end)
	}
	out, err := builder.object()
	if err != nil {
		return s.writeIntegrityError(c, caller, err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(HeaderOutcome, string(api.OutcomeCompleted))
	return c.Send(out)
}

// resumeStream resumes the stream of a caller that repeats its request with the request
// ID and the ID of the last event it received.
func (s *Server) resumeStream(c fiber.Ctx, caller *callerInfo, p *generationRequest) error {
	from, ok := parseEventID(strings.Clone(c.Get(headerLastEvent)))
	id := strings.Clone(c.Get(HeaderRequestID))
	if !ok || id == "" || !p.stream {
		err := refusal(api.StepParse, api.ReasonBadRequest, "to come back, send "+HeaderRequestID+" and "+headerLastEvent+" as received, with stream: true")
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	caller.id = api.RequestID(id)
	p.req.ID = caller.id
	c.Set(HeaderRequestID, id)
	c.Set(headerXRequestID, id)
	answer, err := s.entry.Resume(s.baseCtx, p.req, from)
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	return s.sendAnswer(c, caller, p, answer, func(int) {})
}

// appendEventID appends the event ID of an item: the offset of the next item, the
// generation and the target. A caller that has received the item resumes from there.
func appendEventID(dst []byte, e *entry.Event, off uint64) []byte {
	dst = strconv.AppendUint(dst, off, 10)
	dst = append(dst, '.')
	dst = append(dst, e.Generation...)
	dst = append(dst, '@')
	return append(dst, e.Target...)
}

func parseEventID(s string) (entry.ResumePoint, bool) {
	head, target, ok := strings.Cut(s, "@")
	if !ok || target == "" {
		return entry.ResumePoint{}, false
	}
	num, gen, ok := strings.Cut(head, ".")
	if !ok || gen == "" {
		return entry.ResumePoint{}, false
	}
	off, err := strconv.ParseUint(num, 10, 64)
	if err != nil {
		return entry.ResumePoint{}, false
	}
	return entry.ResumePoint{Target: api.TargetID(target), Generation: api.GenerationID(gen), Offset: off}, true
}

type modelObject struct {
	ID      api.ModelID `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	OwnedBy string      `json:"owned_by"`
}

// models lists the models that the customer may use.
func (s *Server) models(c fiber.Ctx) error {
	caller, err := s.admit(c)
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	list := []modelObject{}
	for _, m := range caller.conf.Models() {
		if caller.customer.AllowsModel(m.ID) {
			list = append(list, modelObject{ID: m.ID, Object: "model", OwnedBy: caller.conf.Fleet().Name})
		}
	}
	return c.JSON(fiber.Map{"object": "list", "data": list})
}

func (s *Server) model(c fiber.Ctx) error {
	caller, err := s.admit(c)
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	m, err := findModel(caller, api.ModelID(strings.Clone(c.Params("id"))))
	if err != nil {
		return s.writeError(c, caller.customerID(), caller.id, entry.AsEnd(err))
	}
	return c.JSON(modelObject{ID: m.ID, Object: "model", OwnedBy: caller.conf.Fleet().Name})
}

// appendComment appends an SSE comment line with the phase of the request.
func appendComment(dst []byte, e entry.Event) []byte {
	phase := e.Phase
	if phase == "" {
		phase = "placing"
	}
	return fmt.Appendf(dst, ": %s position=%d\n\n", phase, e.Position)
}
