// Package claim decides which dispatch of a call that must not be repeated may
// run. A claim (customer, idempotency key, request digest) is granted once; the
// grant names a target and its incarnation. The same key asked again attaches to
// the running call, gets the kept answer, or is told that nothing proves what
// became of it. A key is granted a second time only after proof that the first
// grant's dispatch did not start and never will.
//
// Table is a deterministic state machine: the same operations with the same
// arguments give the same answers on every member. Time is an argument in
// milliseconds of the replicated clock and never goes back. Table is not safe
// for concurrent use.
package claim

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
)

// Key names what must run at most once: the customer's own idempotency key.
type Key struct {
	Customer api.CustomerID `cbor:"1,keyasint"`
	Name     string         `cbor:"2,keyasint"`
}

// Digest is the SHA-256 of the request's method, path and body.
type Digest [32]byte

// State is what is known of a claim.
type State uint8

// The states. Released claims may be granted again; the others never are.
const (
	// StateClaimed: granted; the dispatch may or may not have started.
	StateClaimed State = iota + 1
	// StateStarted: the agent said that the call was handed to its target.
	StateStarted
	// StateSettled: the outcome is known, or known to be unknowable.
	StateSettled
	// StateReleased: it is proved that the dispatch did not and will not start.
	StateReleased
)

var stateNames = map[State]string{
	StateClaimed:  "claimed",
	StateStarted:  "started",
	StateSettled:  "settled",
	StateReleased: "released",
}

// String gives the state in lower case.
func (s State) String() string { return stateNames[s] }

// Place is where a grant may run: one incarnation of one target's agent.
type Place struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
}

// Record is one claim. Grant is the log index of the grant in force: it fences
// the reports about an earlier grant of the same key. Times are milliseconds of
// the replicated clock.
type Record struct {
	Key      Key           `cbor:"1,keyasint"`
	Digest   Digest        `cbor:"2,keyasint"`
	State    State         `cbor:"3,keyasint"`
	Grant    uint64        `cbor:"4,keyasint"`
	Attempt  api.Attempt   `cbor:"5,keyasint"`
	Place    Place         `cbor:"6,keyasint"`
	Claimant string        `cbor:"7,keyasint"`
	Request  api.RequestID `cbor:"8,keyasint"`
	Claimed  int64         `cbor:"9,keyasint"`
	// Outcome, Status and Answer are set once settled. Kept tells that Answer
	// is the whole answer; it is false once the answer was let go of.
	Outcome api.Outcome `cbor:"10,keyasint,omitempty"`
	Status  int         `cbor:"11,keyasint,omitempty"`
	Answer  []byte      `cbor:"12,keyasint,omitempty"`
	Kept    bool        `cbor:"13,keyasint,omitempty"`
	Settled int64       `cbor:"14,keyasint,omitempty"`
	// SettledAt is the log index of the settlement; answers leave in its order.
	SettledAt uint64 `cbor:"15,keyasint,omitempty"`
}

// Request asks for a grant. Claimant is unique to one call at one entry, so that
// the same request resent after its answer was lost gets the grant again, while
// a second call with the same key does not.
type Request struct {
	Key      Key           `cbor:"1,keyasint"`
	Digest   Digest        `cbor:"2,keyasint"`
	Place    Place         `cbor:"3,keyasint"`
	Claimant string        `cbor:"4,keyasint"`
	Request  api.RequestID `cbor:"5,keyasint"`
}

// Report tells what became of a grant. Outcome not_run is proof that the
// dispatch did not start and never will; it releases the claim. An entry that
// gave up before it learnt its grant leaves Grant zero and names the Claimant.
type Report struct {
	Key   Key    `cbor:"1,keyasint"`
	Grant uint64 `cbor:"2,keyasint"`
	// Started marks the start and leaves the rest unset.
	Started bool        `cbor:"3,keyasint,omitempty"`
	Outcome api.Outcome `cbor:"4,keyasint,omitempty"`
	Status  int         `cbor:"5,keyasint,omitempty"`
	Answer  []byte      `cbor:"6,keyasint,omitempty"`
	// Claimant stands in for an unknown Grant.
	Claimant string `cbor:"7,keyasint,omitempty"`
}

// about tells whether the report speaks of the record's present grant.
func (r Report) about(rec Record) bool {
	if r.Grant == 0 {
		return r.Claimant != "" && r.Claimant == rec.Claimant
	}
	return r.Grant == rec.Grant
}

// Verdict answers a Request.
type Verdict uint8

// The verdicts.
const (
	// Granted: the asker, and nobody else, may dispatch once to the place.
	Granted Verdict = iota + 1
	// InProgress: another call holds the grant; attach to it at its place.
	InProgress
	// Answered: settled; the record holds the outcome and perhaps the answer.
	Answered
	// Undecided: nothing proves whether the call ran, and it is not run again.
	Undecided
	// Conflict: the key was used for another request.
	Conflict
	// Full: the customer's or the table's bound is reached. Nothing was granted.
	Full
)

var verdictNames = map[Verdict]string{
	Granted:    "granted",
	InProgress: "in_progress",
	Answered:   "answered",
	Undecided:  "undecided",
	Conflict:   "conflict",
	Full:       "full",
}

// String gives the verdict in lower case.
func (v Verdict) String() string { return verdictNames[v] }

// Reason gives the refusal's reason; empty when the verdict is no refusal.
func (v Verdict) Reason() api.Reason {
	switch v {
	case InProgress:
		return api.ReasonClaimInProgress
	case Undecided:
		return api.ReasonClaimUndecided
	case Conflict:
		return api.ReasonClaimConflict
	case Full:
		return api.ReasonQueueFull
	}
	return ""
}

// Decision is the answer to a Request. Record is a copy of the claim as it now
// stands; on Conflict and Full it is zero, for it is not the asker's.
type Decision struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Record  Record  `cbor:"2,keyasint"`
}

// Refusals of a Report. None of them changes the claim.
var (
	// ErrNoClaim: the key isn't known, or no longer.
	ErrNoClaim = errors.New("no such claim")
	// ErrOldGrant: the report is about a grant that has been released since.
	ErrOldGrant = errors.New("report is about an earlier grant")
	// ErrSettled: the claim already has another outcome.
	ErrSettled = errors.New("claim is already settled")
	// ErrBadOutcome: the report has no outcome that a claim can have.
	ErrBadOutcome = errors.New("report has no valid outcome")
)

// Limits bound the table. They are part of the replicated state's definition:
// every member must use the same ones.
type Limits struct {
	Window Window
	// Retain is how long a claim is remembered after its grant: for so long the
	// same key can't run again. It must exceed Window.Total.
	Retain time.Duration
	// KeepAnswer is how long an answer is kept after it was settled.
	KeepAnswer time.Duration
	// MaxAnswer bounds one kept answer, MaxAnswers all of them, in bytes.
	MaxAnswer  int
	MaxAnswers int
	// MaxClaims and MaxPerCustomer bound the number of claims. A full table
	// refuses; forgetting a claim early would let its key run twice.
	MaxClaims      int
	MaxPerCustomer int
}

// DefaultLimits are those of a fleet of two years from now: about 60 MB.
func DefaultLimits() Limits {
	return Limits{
		Window:         DefaultWindow(),
		Retain:         24 * time.Hour,
		KeepAnswer:     time.Hour,
		MaxAnswer:      16 << 10,
		MaxAnswers:     24 << 20,
		MaxClaims:      120_000,
		MaxPerCustomer: 30_000,
	}
}

// Validate tells whether the limits keep the promise.
func (l Limits) Validate() error {
	if l.Retain <= l.Window.Total() {
		return errors.New("claims are forgotten before their dispatch can no longer start")
	}
	if l.MaxAnswer < 0 || l.MaxAnswers < l.MaxAnswer || l.MaxClaims < 1 || l.MaxPerCustomer < 1 {
		return errors.New("a bound on claims is too small")
	}
	return nil
}
