package callers

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/inbound"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// errorObject is the error object of the OpenAI API, with this system's outcome added.
type errorObject struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message   string      `json:"message"`
	Type      string      `json:"type"`
	Param     *string     `json:"param"`
	Code      api.Reason  `json:"code"`
	Outcome   api.Outcome `json:"outcome"`
	RequestID string      `json:"request_id,omitempty"`
	// RetryAfter is in seconds.
	RetryAfter float64 `json:"retry_after,omitempty"`
}

// refusal returns an error with the outcome not_run.
func refusal(step api.Step, reason api.Reason, text string) *api.Error {
	return api.NotRun(step, "", reason, errors.New(text))
}

func newErrorObject(id api.RequestID, end entry.End) errorObject {
	info := api.Reasons[end.Reason]
	b := errorBody{
		Message:    errorText(end),
		Type:       info.Type,
		Code:       end.Reason,
		Outcome:    end.Outcome,
		RequestID:  string(id),
		RetryAfter: end.RetryAfter.Seconds(),
	}
	return errorObject{b}
}

func errorText(end entry.End) string {
	if end.Detail != "" {
		return end.Detail
	}
	return "the request ended as " + string(end.Outcome) + ": " + string(end.Reason)
}

func errorJSON(id api.RequestID, end entry.End) []byte {
	b, err := json.Marshal(newErrorObject(id, end))
	if err != nil {
		return []byte(`{"error":{"message":"internal error","outcome":"unknown"}}`)
	}
	return b
}

// writeError responds with an error status and an error object. It must be called
// before any byte of the response has been sent.
func (s *Server) writeError(c fiber.Ctx, customer api.CustomerID, id api.RequestID, end entry.End) error {
	s.obs.Refused(customer, end.Reason)
	status := api.Reasons[end.Reason].Status
	if status == 0 {
		status = fiber.StatusInternalServerError
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(HeaderOutcome, string(end.Outcome))
	c.Set(HeaderReason, string(end.Reason))
	if end.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, formatRetryAfter(end.RetryAfter))
	}
	return c.Status(status).Send(errorJSON(id, end))
}

// refusalReporter returns a function that reports to the observer an error that the
// caller receives after the status has been sent.
func (s *Server) refusalReporter(caller *callerInfo) func(api.Reason) {
	return func(reason api.Reason) { s.obs.Refused(caller.customerID(), reason) }
}

// formatRetryAfter returns d in whole seconds for the Retry-After header. It rounds up:
// a caller that retries too early would only be refused again.
func formatRetryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// refuseInbound responds to a request that was refused before it was looked at.
func (s *Server) refuseInbound(ctx *fasthttp.RequestCtx, r inbound.Refusal) {
	end := entry.End{Outcome: api.OutcomeNotRun, Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Err.Error()}
	s.obs.Refused("", end.Reason)
	h := &ctx.Response.Header
	h.SetContentType(fiber.MIMEApplicationJSON)
	h.Set(HeaderOutcome, string(end.Outcome))
	h.Set(HeaderReason, string(end.Reason))
	if end.RetryAfter > 0 {
		h.Set(fiber.HeaderRetryAfter, formatRetryAfter(end.RetryAfter))
	}
	ctx.SetStatusCode(r.Status)
	ctx.SetBody(errorJSON("", end))
}

// handleError responds to requests that the HTTP library itself has rejected.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	reason := api.ReasonInternal
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		switch {
		case fiberErr.Code == fiber.StatusRequestEntityTooLarge, fiberErr.Code == fiber.StatusRequestHeaderFieldsTooLarge:
			reason = api.ReasonTooLarge
		case fiberErr.Code < fiber.StatusInternalServerError:
			reason = api.ReasonBadRequest
		}
	}
	return s.writeError(c, "", "", entry.End{Outcome: api.OutcomeNotRun, Reason: reason, Detail: err.Error()})
}
