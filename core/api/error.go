package api

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Step names the stage of a request or of an operation at which an error arose.
type Step string

// The steps of a request, then those of control.
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
	// StepTargetLimit tells the control group what a target says of its limit.
	StepTargetLimit Step = "target_limit"
)

// Error is the project's error: where it arose (Step, Peer), what the caller is
// told (Outcome, Reason) and when asking again makes sense (RetryAfter, zero
// when unknown). Err is the cause and may be nil.
type Error struct {
	Step       Step
	Peer       string
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	Err        error
}

// Error gives "step peer: reason: cause".
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

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun builds an error that proves the request did not run.
func NotRun(step Step, peer string, reason Reason, err error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: OutcomeNotRun, Reason: reason, Err: err}
}

// AsError finds the project's error in err's chain. An error of another kind
// becomes an unknown outcome with ReasonInternal: nothing proves that the
// request did not run.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Outcome: OutcomeUnknown, Reason: ReasonInternal, Err: err}
}
