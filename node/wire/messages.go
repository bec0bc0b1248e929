package wire

import (
	"time"

	"almondseam.dev/core/api"
)

// Kinds of the messages about requests. Other files of this package use numbers from
// 40, package control uses numbers from 64.
const (
	KindAnnounce Kind = iota + 1
	KindLoad
	KindBidRequest
	KindBid
	KindOffer
	KindAccepted
	KindRefused
	KindState
	KindHead
	KindData
	KindFinal
	KindAck
	KindCancel
	KindTombstone
	KindTombstoned
	KindResume
	KindResumeRefused
	KindPace
)

// Key identifies one dispatch (attempt) of one request.
type Key struct {
	Request api.RequestID `cbor:"1,keyasint"`
	Attempt api.Attempt   `cbor:"2,keyasint"`
}

// Announce describes an agent's target. It is the agent's first message on a link and
// is sent again when the target starts to leave, or when this link is about to close.
type Announce struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	Zone        api.Zone        `cbor:"3,keyasint"`
	Models      []api.ModelID   `cbor:"4,keyasint,omitempty"`
	Services    []api.ServiceID `cbor:"5,keyasint,omitempty"`
	Leaving     bool            `cbor:"6,keyasint,omitempty"`
	// Capacity is the memory of the engine in tokens, 0 for a plain service.
	Capacity int `cbor:"7,keyasint,omitempty"`
	// Clock is a reading of the agent's monotonic clock; see claim.Window.
	Clock time.Duration `cbor:"8,keyasint,omitempty"`
	// Links is the number of entries that the agent links to, 0 for all.
	Links int `cbor:"9,keyasint,omitempty"`
}

// Load is an agent's periodic load report.
type Load struct {
	Running int `cbor:"1,keyasint,omitempty"`
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Free is the unused engine memory in tokens.
	Free int `cbor:"3,keyasint,omitempty"`
	// Wait is the expected time until a new request would start.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// Capacity is the memory of the engine in tokens, 0 for a plain service.
	Capacity int `cbor:"5,keyasint,omitempty"`
	// Clock is a reading of the agent's monotonic clock; see claim.Window.
	Clock time.Duration `cbor:"6,keyasint,omitempty"`
}

// Size holds the properties of a request on which admission and routing depend.
type Size struct {
	Customer  api.CustomerID `cbor:"1,keyasint"`
	Model     api.ModelID    `cbor:"2,keyasint,omitempty"`
	KindName  string         `cbor:"3,keyasint,omitempty"`
	Short     bool           `cbor:"4,keyasint,omitempty"`
	Prompt    int            `cbor:"5,keyasint,omitempty"`
	MaxTokens int            `cbor:"6,keyasint,omitempty"`
	Weight    int            `cbor:"7,keyasint,omitempty"`
	Prefix    uint64         `cbor:"8,keyasint,omitempty"`
	// Patience is how much longer the caller waits for the first token; zero
	// means without limit. It is a duration, not a point in time, because the
	// clocks of instances differ.
	Patience time.Duration `cbor:"9,keyasint,omitempty"`
	// Age is the time since the request arrived at the entry.
	Age time.Duration `cbor:"10,keyasint,omitempty"`
}

// BidRequest asks an agent how soon it could start a request.
type BidRequest struct {
	Key  Key  `cbor:"1,keyasint"`
	Size Size `cbor:"2,keyasint"`
}

// Bid answers a BidRequest. Wait is the expected time until the first token, Cached the
// number of prompt tokens that need not be computed. Refuse is set if the agent does not
// accept the request.
type Bid struct {
	Key        Key           `cbor:"1,keyasint"`
	Wait       time.Duration `cbor:"2,keyasint,omitempty"`
	Cached     int           `cbor:"3,keyasint,omitempty"`
	Refuse     api.Reason    `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
}

// Header is one HTTP header field of a plain call or its response.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Offer sends a request to an agent, which answers with Accepted or Refused.
type Offer struct {
	Key         Key             `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	Size        Size            `cbor:"3,keyasint"`
	// Service is set for a plain call and empty for a generation.
	Service api.ServiceID `cbor:"4,keyasint,omitempty"`
	Method  string        `cbor:"5,keyasint"`
	Path    string        `cbor:"6,keyasint"`
	Headers []Header      `cbor:"7,keyasint,omitempty"`
	Body    []byte        `cbor:"8,keyasint,omitempty"`
	// Repeatable reports that the request may safely run twice.
	Repeatable bool `cbor:"9,keyasint,omitempty"`
	// Timeout bounds a plain call; 0 means the agent's own bound.
	Timeout time.Duration `cbor:"10,keyasint,omitempty"`
	// Claimed marks a call that is dispatched under a claim. Echo is then the
	// newest reading of the agent's monotonic clock that the entry has received;
	// see claim.Window.
	Claimed bool          `cbor:"11,keyasint,omitempty"`
	Echo    time.Duration `cbor:"12,keyasint,omitempty"`
}

// Accepted answers an Offer: the agent is responsible for the request from now on. It
// also confirms a Resume with Attempt 0.
type Accepted struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Position   int              `cbor:"3,keyasint,omitempty"`
	Wait       time.Duration    `cbor:"4,keyasint,omitempty"`
}

// Refused answers an Offer that the agent rejects without starting the request. The
// entry takes it as proof of the outcome not_run for the attempt and does not offer
// the same key again.
type Refused struct {
	Key        Key           `cbor:"1,keyasint"`
	Reason     api.Reason    `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Detail is a text for the caller, such as the engine's error message.
	Detail string `cbor:"4,keyasint,omitempty"`
}

// Phase is the state of a request, which is shown to the waiting caller.
type Phase string

// The phases in their usual order. The agent reports PhaseStarted; the entry sets
// PhaseQueued when the agent accepts the Offer, and PhaseStalled while it has no link
// to the agent.
const (
	PhaseQueued  Phase = "queued"
	PhaseStarted Phase = "started"
	PhaseStalled Phase = "stalled"
)

// State reports a change of phase, so that the caller sees progress.
type State struct {
	Key      Key   `cbor:"1,keyasint"`
	Phase    Phase `cbor:"2,keyasint"`
	Position int   `cbor:"3,keyasint,omitempty"`
}

// Head carries the status code and headers of the response to a plain call.
type Head struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Status     int              `cbor:"3,keyasint"`
	Headers    []Header         `cbor:"4,keyasint,omitempty"`
}

// Data carries N packed items (see core/stream), the first of which is at Offset.
type Data struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Offset     uint64           `cbor:"3,keyasint,omitempty"`
	N          int              `cbor:"4,keyasint"`
	Packed     []byte           `cbor:"5,keyasint"`
}

// Final reports the end of an accepted request. Count and Sum are the number and the
// checksum of all its items.
type Final struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Count      uint64           `cbor:"3,keyasint,omitempty"`
	Sum        uint64           `cbor:"4,keyasint,omitempty"`
	Outcome    api.Outcome      `cbor:"5,keyasint"`
	Reason     api.Reason       `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration    `cbor:"7,keyasint,omitempty"`
	Detail     string           `cbor:"8,keyasint,omitempty"`
	// Crash is set if the run ended because the target's process did.
	Crash *Crash `cbor:"9,keyasint,omitempty"`
}

// Crash describes the end of a target's process as its agent observed it.
type Crash struct {
	// At is when the agent first observed it, in Unix milliseconds by the agent's clock. It is the
	// same for all runs that ended with it.
	At int64 `cbor:"1,keyasint"`
	// InProgress is how long the run had been in progress.
	InProgress time.Duration `cbor:"2,keyasint,omitempty"`
}

// Ack acknowledges all items below Offset, which frees their bytes in the agent's
// bound on unacknowledged bytes. While a response is being streamed, the entry
// acknowledges items that it has passed on to the caller. End reports that the
// entry has received all items and the Final, so that a leaving agent need not
// wait any longer.
type Ack struct {
	Key    Key    `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
	End    bool   `cbor:"3,keyasint,omitempty"`
}

// Cancel tells an agent that no caller waits for the response any longer, or that
// another agent's bid was chosen. If Hold is not zero, the agent keeps the work
// running for Hold, or for its own grace period if that is shorter, in case the
// caller reconnects.
type Cancel struct {
	Key  Key           `cbor:"1,keyasint"`
	Hold time.Duration `cbor:"2,keyasint,omitempty"`
	// Customer is whose request it is to be. Entries of an earlier version leave it empty.
	Customer api.CustomerID `cbor:"3,keyasint,omitempty"`
}

// Tombstone tells an agent not to accept the request with this key any more and asks
// whether it has. A request that was accepted continues.
type Tombstone struct {
	Key         Key             `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
}

// Tombstoned answers a Tombstone. NotRun proves that the request with this key did
// not run at this agent and will not. Without it the request may have run, may run or
// may wait there, and the entry may ask for its items.
type Tombstoned struct {
	Key    Key  `cbor:"1,keyasint"`
	NotRun bool `cbor:"2,keyasint,omitempty"`
}

// Resume asks for the items of a request from Offset on. An entry sends it after a
// link was lost, after a gap in the items, or for a caller that reconnects, possibly
// through another entry. An empty Generation matches any generation, and Attempt 0
// in Key means the latest attempt.
type Resume struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint,omitempty"`
	Customer   api.CustomerID   `cbor:"3,keyasint"`
	Offset     uint64           `cbor:"4,keyasint,omitempty"`
}

// ResumeRefused answers a Resume that the agent rejects.
type ResumeRefused struct {
	Key    Key        `cbor:"1,keyasint"`
	Reason api.Reason `cbor:"2,keyasint"`
}

// Pace tells an agent the interval at which the entry wants load reports.
type Pace struct {
	Every time.Duration `cbor:"1,keyasint"`
}
