package callers

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/entry"
	"github.com/gofiber/fiber/v3"
)

// errorObject is the OpenAI error object with this system's outcome beside it.
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

// refusal builds an error that proves the request did not run.
func refusal(step api.Step, reason api.Reason, text string) *api.Error {
	return api.NotRun(step, "", reason, errors.New(text))
}

func errorOf(id api.RequestID, end entry.End) errorObject {
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
	b, err := json.Marshal(errorOf(id, end))
	if err != nil {
		return []byte(`{"error":{"message":"internal error","outcome":"unknown"}}`)
	}
	return b
}

// writeError answers with an error while no byte of an answer has been sent.
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
		c.Set(fiber.HeaderRetryAfter, retryAfter(end.RetryAfter))
	}
	return c.Status(status).Send(errorJSON(id, end))
}

// refusedTo counts what a caller is told after its status has been sent.
func (s *Server) refusedTo(who *caller) func(api.Reason) {
	return func(reason api.Reason) { s.obs.Refused(who.customerID(), reason) }
}

// retryAfter is in whole seconds, rounded up: a caller that comes back early
// only meets the same crowd again.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// onError answers for requests that the HTTP library itself refused.
func (s *Server) onError(c fiber.Ctx, err error) error {
	reason := api.ReasonInternal
	var fe *fiber.Error
	if errors.As(err, &fe) {
		switch {
		case fe.Code == fiber.StatusRequestEntityTooLarge, fe.Code == fiber.StatusRequestHeaderFieldsTooLarge:
			reason = api.ReasonTooLarge
		case fe.Code < fiber.StatusInternalServerError:
			reason = api.ReasonBadRequest
		}
	}
	return s.writeError(c, "", "", entry.End{Outcome: api.OutcomeNotRun, Reason: reason, Detail: err.Error()})
}
