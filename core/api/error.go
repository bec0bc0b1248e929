package api

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Step names the stage of a request or of an operation at which an error arose.
type Step string

// The steps of requests, links and control operations.
const (
	StepParse     Step = "parse"
	StepAuth      Step = "auth"
	StepLimit     Step = "limit"
	StepRoute     Step = "route"
	StepClaim     Step = "claim"
	StepDispatch  Step = "dispatch"
	StepQueue     Step = "queue"
	StepEngine    Step = "engine"
	StepRelay     Step = "relay"
	StepDeliver   Step = "deliver"
	StepLink      Step = "link"
	StepHandshake Step = "handshake"
	StepConfig    Step = "config"
	StepPropose   Step = "propose"
	StepPersist   Step = "persist"
	StepRecover   Step = "recover"
	StepMember    Step = "member"
	StepOrder     Step = "order"
	StepRetry     Step = "retry"

	StepEvacuation Step = "evacuation"
	// StepTargetLimit is the step at which the control group is told the limit
	// that a target states.
	StepTargetLimit Step = "target_limit"
	// StepQuarantine is the step at which a target's crash is reported to the control group, or
	// an operator allows a request again.
	StepQuarantine Step = "quarantine"
)

// Error is the error type of this project. It holds where the error arose (Step,
// Peer), what the caller is told (Outcome, Reason) and how long to wait before a
// retry (RetryAfter, zero when unknown). Err is the cause and may be nil.
type Error struct {
	Step       Step
	Peer       string
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	Err        error
}

// Error formats the error as "step peer: reason (retry after Ns): cause". It
// leaves out the peer, the delay and the cause when they are not set.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Step))
	if e.Peer != "" {
		b.WriteString(" " + e.Peer)
	}
	b.WriteString(": " + string(e.Reason))
	if e.RetryAfter > 0 {
		b.WriteString(" (retry after " + strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 1, 64) + "s)")
	}
	if e.Err != nil {
		b.WriteString(": " + e.Err.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun returns an error with OutcomeNotRun, which asserts that the request did
// not run and never will.
func NotRun(step Step, peer string, reason Reason, err error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: OutcomeNotRun, Reason: reason, Err: err}
}

// AsError returns the first *Error in err's chain. It wraps any other error with
// OutcomeUnknown and ReasonInternal, since nothing proves that the request did
// not run.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Outcome: OutcomeUnknown, Reason: ReasonInternal, Err: err}
}
