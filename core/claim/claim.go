// Package claim ensures that a call that must not be repeated is dispatched at most
// once. A claim (customer, idempotency key, request digest) is granted once, for
// one incarnation of one target. A second request with the same key learns that
// the call is in progress, gets the stored answer, or learns that nothing proves
// whether the call ran. While a claim is remembered, its key is granted again only
// after proof that the dispatch of the earlier grant did not start and never will.
//
// Table is a deterministic state machine: the same operations with the same
// arguments return the same results on every member. Time is passed as an argument,
// in milliseconds of the replicated clock, and never goes backwards. Table is not
// safe for concurrent use.
package claim

import (
	"errors"
	"time"

	"almondseam.dev/core/api"
)

// Key identifies a call that must run at most once, by the customer and the
// customer's own idempotency key.
type Key struct {
	Customer api.CustomerID `cbor:"1,keyasint"`
	Name     string         `cbor:"2,keyasint"`
}

// Digest is the SHA-256 of the request's method, path and body.
type Digest [32]byte

// State is the state of a claim.
type State uint8

// The states. Only a released claim may be granted to another claimant.
const (
	// StateClaimed: granted; the dispatch may or may not have started.
	StateClaimed State = iota + 1
	// StateStarted: the agent reported that it passed the call to its target.
	StateStarted
	// StateSettled: an outcome was reported, which may be unknown.
	StateSettled
	// StateReleased: it is proved that the dispatch did not start and never will.
	StateReleased
)

var stateNames = map[State]string{
	StateClaimed:  "claimed",
	StateStarted:  "started",
	StateSettled:  "settled",
	StateReleased: "released",
}

// String returns the name of the state in lower case.
func (s State) String() string { return stateNames[s] }

// Place identifies where a granted call may run: at one incarnation of the agent of
// one target.
type Place struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
}

// Record is one claim. Grant is the log index of the latest grant and serves as a
// fencing token: reports about an earlier grant of the same key are rejected.
// Claimed and Settled are times in milliseconds of the replicated clock.
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
	// Outcome, Status and Answer are set when the claim is settled. Kept reports
	// whether Answer holds the complete answer. It is false if the outcome is not
	// completed, if the answer was too large, and after the answer was dropped.
	Outcome api.Outcome `cbor:"10,keyasint,omitempty"`
	Status  int         `cbor:"11,keyasint,omitempty"`
	Answer  []byte      `cbor:"12,keyasint,omitempty"`
	Kept    bool        `cbor:"13,keyasint,omitempty"`
	Settled int64       `cbor:"14,keyasint,omitempty"`
	// SettledAt is the log index of the settlement. Answers are dropped in the
	// order of SettledAt.
	SettledAt uint64 `cbor:"15,keyasint,omitempty"`
}

// Request asks for a grant. Claimant is unique to one attempt of one call at one
// entry: the same request, sent again after its response was lost, gets the same
// grant, while a second call with the same key does not.
type Request struct {
	Key      Key           `cbor:"1,keyasint"`
	Digest   Digest        `cbor:"2,keyasint"`
	Place    Place         `cbor:"3,keyasint"`
	Claimant string        `cbor:"4,keyasint"`
	Request  api.RequestID `cbor:"5,keyasint"`
}

// Report states how the dispatch of a grant ended, or that it started. Outcome
// not_run is proof that the dispatch did not start and never will, and releases the
// claim. An entry that gave up before it received its grant leaves Grant zero and
// sets Claimant.
type Report struct {
	Key   Key    `cbor:"1,keyasint"`
	Grant uint64 `cbor:"2,keyasint"`
	// Started reports the start of the dispatch; the fields about the outcome are
	// then unset.
	Started bool        `cbor:"3,keyasint,omitempty"`
	Outcome api.Outcome `cbor:"4,keyasint,omitempty"`
	Status  int         `cbor:"5,keyasint,omitempty"`
	Answer  []byte      `cbor:"6,keyasint,omitempty"`
	// Claimant identifies the grant when Grant is zero.
	Claimant string `cbor:"7,keyasint,omitempty"`
}

// appliesTo reports whether the report is about the latest grant of the record.
func (r Report) appliesTo(rec Record) bool {
	if r.Grant == 0 {
		return r.Claimant != "" && r.Claimant == rec.Claimant
	}
	return r.Grant == rec.Grant
}

// Verdict is the result of a Request.
type Verdict uint8

// The verdicts.
const (
	// Granted: this claimant, and no other, may dispatch the call once, to the place
	// in the record.
	Granted Verdict = iota + 1
	// InProgress: the key was granted and its call may still be running, or the
	// request is a late duplicate from a claimant that has released its grant or
	// may no longer dispatch.
	InProgress
	// Answered: the claim is settled; the record holds the outcome and, if it was
	// kept, the answer.
	Answered
	// Undecided: nothing proves whether the call ran, and it must not run again.
	Undecided
	// Conflict: the key was used for another request.
	Conflict
	// Full: the limit on claims of the customer or of the table is reached, and
	// nothing was granted.
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

// String returns the name of the verdict in lower case.
func (v Verdict) String() string { return verdictNames[v] }

// Reason returns the reason of a refusal, or "" if the verdict is not a refusal.
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

// Decision is the response to a Request. Record is a copy of the claim after the
// request. It is zero with the verdicts Conflict and Full, since any claim of the
// key then belongs to another request.
type Decision struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Record  Record  `cbor:"2,keyasint"`
}

// Errors of Table.Report. A rejected report does not change the claim.
var (
	// ErrNoClaim: there is no claim with this key, or it has expired.
	ErrNoClaim = errors.New("no such claim")
	// ErrOldGrant: the report is not about the latest grant of the key.
	ErrOldGrant = errors.New("report is about an earlier grant")
	// ErrSettled: the report contradicts what is known. The claim is settled with
	// another outcome, or was released, or, for a proof of not_run, has started.
	ErrSettled = errors.New("claim is already settled")
	// ErrBadOutcome: the report has no outcome or an unknown one.
	ErrBadOutcome = errors.New("report has no valid outcome")
)

// Limits bound the size of a Table and the age of its contents. Since the
// replicated state depends on them, every member must use the same limits.
type Limits struct {
	Window Window
	// ClaimRetention is how long a claim is remembered after its latest grant. During
	// that time the key can't run again. ClaimRetention must exceed Window.Total.
	ClaimRetention time.Duration
	// AnswerRetention is how long an answer is kept after its claim was settled.
	AnswerRetention time.Duration
	// MaxAnswerBytes bounds the size of one kept answer, and MaxTotalAnswerBytes the
	// total size of all kept answers.
	MaxAnswerBytes      int
	MaxTotalAnswerBytes int
	// MaxClaims and MaxPerCustomer bound the number of claims. A full table rejects
	// new claims rather than remove old ones early, since a call could run twice
	// after its claim was removed.
	MaxClaims      int
	MaxPerCustomer int
}

// DefaultLimits returns limits sized for the fleet expected in two years. A full
// table then takes about 60 MB.
func DefaultLimits() Limits {
	return Limits{
		Window:              DefaultWindow(),
		ClaimRetention:      24 * time.Hour,
		AnswerRetention:     time.Hour,
		MaxAnswerBytes:      16 << 10,
		MaxTotalAnswerBytes: 24 << 20,
		MaxClaims:           120_000,
		MaxPerCustomer:      30_000,
	}
}

// Validate returns an error if claims could be forgotten while their dispatch may
// still start, or if a limit on claims or answers is too small.
func (l Limits) Validate() error {
	if l.ClaimRetention <= l.Window.Total() {
		return errors.New("claims are forgotten before their dispatch can no longer start")
	}
	if l.MaxAnswerBytes < 0 || l.MaxTotalAnswerBytes < l.MaxAnswerBytes || l.MaxClaims < 1 || l.MaxPerCustomer < 1 {
		return errors.New("a bound on claims is too small")
	}
	return nil
}
