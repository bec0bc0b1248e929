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

// openWithin bounds the wait for a first item before a stream is opened. A
// refusal or failure within it is answered with its own HTTP status, which
// ordinary client libraries understand best. A change of phase does not open the
// stream: an agent says "queued" to every request that it takes, also to those
// that fail at once because its engine cannot be reached.
const openWithin = time.Second

// generate serves both OpenAI-compatible generation paths.
func (s *Server) generate(c fiber.Ctx) error {
	who, err := s.admit(c)
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	p, err := s.parseGeneration(c, who)
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	if c.Get(headerLastEvent) != "" {
		return s.comeBack(c, who, p)
	}
	settle, err := s.limiter.Acquire(who.customer, p.req.Size.Prompt, s.cfg.Clock())
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	ans := s.entry.Start(s.base, p.req)
	return s.answer(c, who, p, ans, settle)
}

func (s *Server) answer(c fiber.Ctx, who *caller, p *parsed, ans *entry.Answer, settle func(int)) error {
	feed := &feed{
		ans:    ans,
		keep:   who.conf.Limits().KeepAlive,
		hold:   headerDuration(c, HeaderHold),
		settle: settle,
		prompt: p.req.Size.Prompt,
		gone:   connGone(c.RequestCtx().Conn()),
	}
	if p.stream {
		return s.answerStream(c, who, p, feed)
	}
	return s.answerWhole(c, who, p, feed)
}

func (s *Server) answerStream(c fiber.Ctx, who *caller, p *parsed, f *feed) error {
	early := f.early(openWithin)
	if last := early[len(early)-1]; last.Kind == entry.EventEnd && last.End.Outcome != api.OutcomeCompleted {
		f.Close()
		return s.writeError(c, who.customerID(), who.id, last.End)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set("X-Accel-Buffering", "no")
	r := newSSE(who.id, p, s.cfg.Clock())
	c.RequestCtx().Response.SetBodyStream(&body{conn: c.RequestCtx().Conn(), write: s.cfg.WriteTimeout, feed: f, r: r, early: early, refused: s.refusedTo(who)}, -1)
	return nil
}

// answerWhole collects the answer. Until the keep-alive interval has passed
// nothing is sent, so that a refusal or an early failure has its own status.
// From then on the caller is shown white space, which JSON permits before the
// object; a failure after that cuts the connection, for a body of status 200
// that ends in order would pass for an answer.
func (s *Server) answerWhole(c fiber.Ctx, who *caller, p *parsed, f *feed) error {
	w := newWhole(who.id, p, s.cfg.Clock())
	deadline := time.Now().Add(f.keep)
	for {
		e := f.next(time.Until(deadline))
		if e.Kind == entry.EventEnd {
			f.Close()
			return s.finishWhole(c, who, w, e.End)
		}
		if err := w.add(e); err != nil {
			f.Close()
			return s.writeError(c, who.customerID(), who.id, entry.End{Outcome: api.OutcomeInterrupted, Reason: api.ReasonIntegrity, Detail: err.Error()})
		}
		if !time.Now().Before(deadline) {
			break
		}
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.RequestCtx().Response.SetBodyStream(&body{conn: c.RequestCtx().Conn(), write: s.cfg.WriteTimeout, feed: f, r: w, refused: s.refusedTo(who)}, -1)
	return nil
}

func (s *Server) finishWhole(c fiber.Ctx, who *caller, w *whole, end entry.End) error {
	if end.Outcome != api.OutcomeCompleted {
		return s.writeError(c, who.customerID(), who.id, end)
	}
	out, err := w.object()
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.End{Outcome: api.OutcomeInterrupted, Reason: api.ReasonIntegrity, Detail: err.Error()})
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(HeaderOutcome, string(api.OutcomeCompleted))
	return c.Send(out)
}

// comeBack serves a caller that repeats its request with the request ID and the
// last event ID it has seen.
func (s *Server) comeBack(c fiber.Ctx, who *caller, p *parsed) error {
	from, ok := parseEventID(strings.Clone(c.Get(headerLastEvent)))
	id := strings.Clone(c.Get(HeaderRequestID))
	if !ok || id == "" || !p.stream {
		err := refusal(api.StepParse, api.ReasonBadRequest, "to come back, send "+HeaderRequestID+" and "+headerLastEvent+" as received, with stream: true")
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	who.id = api.RequestID(id)
	p.req.ID = who.id
	c.Set(HeaderRequestID, id)
	c.Set(headerXRequestID, id)
	ans, err := s.entry.Resume(s.base, p.req, from)
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	return s.answer(c, who, p, ans, func(int) {})
}

// eventID names the place behind an item: where a caller that has it goes on.
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

// models lists the models that the customer may ask for.
func (s *Server) models(c fiber.Ctx) error {
	who, err := s.admit(c)
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	list := []modelObject{}
	for _, m := range who.conf.Models() {
		if who.customer.AllowsModel(m.ID) {
			list = append(list, modelObject{ID: m.ID, Object: "model", OwnedBy: who.conf.Fleet().Name})
		}
	}
	return c.JSON(fiber.Map{"object": "list", "data": list})
}

func (s *Server) model(c fiber.Ctx) error {
	who, err := s.admit(c)
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	m, err := findModel(who, api.ModelID(strings.Clone(c.Params("id"))))
	if err != nil {
		return s.writeError(c, who.customerID(), who.id, entry.AsEnd(err))
	}
	return c.JSON(modelObject{ID: m.ID, Object: "model", OwnedBy: who.conf.Fleet().Name})
}

func comment(dst []byte, e entry.Event) []byte {
	phase := e.Phase
	if phase == "" {
		phase = "placing"
	}
	return fmt.Appendf(dst, ": %s position=%d\n\n", phase, e.Position)
}
