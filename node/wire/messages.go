package wire

import (
	"time"

	"almondseam.dev/core/api"
)

// Kinds of the request path. Control uses numbers from 64.
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
	KindReturned
	KindPace
)

// Key names one dispatch of one request.
type Key struct {
	Request api.RequestID `cbor:"1,keyasint"`
	Attempt api.Attempt   `cbor:"2,keyasint"`
}

// Announce is the agent's first message on a link and is sent again when one of
// its facts changes.
type Announce struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	Zone        api.Zone        `cbor:"3,keyasint"`
	Models      []api.ModelID   `cbor:"4,keyasint,omitempty"`
	Services    []api.ServiceID `cbor:"5,keyasint,omitempty"`
	Leaving     bool            `cbor:"6,keyasint,omitempty"`
	// Capacity is the engine's memory in tokens, 0 for a plain service.
	Capacity int `cbor:"7,keyasint,omitempty"`
	// Clock is the agent's monotonic clock; see claim.Window.
	Clock time.Duration `cbor:"8,keyasint,omitempty"`
	// Links is the number of entries that the agent wants to link to, 0 for all.
	Links int `cbor:"9,keyasint,omitempty"`
}

// Load is the agent's periodic report.
type Load struct {
	Running int `cbor:"1,keyasint,omitempty"`
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Free is the engine memory not in use, in tokens.
	Free int `cbor:"3,keyasint,omitempty"`
	// Wait is the expected time until a new request would start.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// Capacity is the engine's memory in tokens, 0 for a plain service.
	Capacity int `cbor:"5,keyasint,omitempty"`
	// Clock is the agent's monotonic clock; see claim.Window.
	Clock time.Duration `cbor:"6,keyasint,omitempty"`
}

// Size is what the decisions need to know of a request.
type Size struct {
	Customer  api.CustomerID `cbor:"1,keyasint"`
	Model     api.ModelID    `cbor:"2,keyasint,omitempty"`
	KindName  string         `cbor:"3,keyasint,omitempty"`
	Short     bool           `cbor:"4,keyasint,omitempty"`
	Prompt    int            `cbor:"5,keyasint,omitempty"`
	MaxTokens int            `cbor:"6,keyasint,omitempty"`
	Weight    int            `cbor:"7,keyasint,omitempty"`
	Prefix    uint64         `cbor:"8,keyasint,omitempty"`
	// Patience is how long the caller will still wait for the first token;
	// zero means without bound. A duration, since clocks differ.
	Patience time.Duration `cbor:"9,keyasint,omitempty"`
	// Age is how long the request has waited already.
	Age time.Duration `cbor:"10,keyasint,omitempty"`
}

// BidRequest asks when the agent could start a request.
type BidRequest struct {
	Key  Key  `cbor:"1,keyasint"`
	Size Size `cbor:"2,keyasint"`
}

// Bid answers a BidRequest. A refusal has Refuse set.
type Bid struct {
	Key        Key           `cbor:"1,keyasint"`
	Wait       time.Duration `cbor:"2,keyasint,omitempty"`
	Cached     int           `cbor:"3,keyasint,omitempty"`
	Refuse     api.Reason    `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
}

// Header is one HTTP header line of a plain call.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Offer hands a request to an agent. The agent answers Accepted or Refused.
type Offer struct {
	Key         Key             `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	Size        Size            `cbor:"3,keyasint"`
	// Service is set for a plain call, empty for a generation.
	Service api.ServiceID `cbor:"4,keyasint,omitempty"`
	Method  string        `cbor:"5,keyasint"`
	Path    string        `cbor:"6,keyasint"`
	Headers []Header      `cbor:"7,keyasint,omitempty"`
	Body    []byte        `cbor:"8,keyasint,omitempty"`
	// Repeatable tells that running the request twice does no harm.
	Repeatable bool `cbor:"9,keyasint,omitempty"`
	// Timeout bounds a plain call, 0 for the agent's own bound.
	Timeout time.Duration `cbor:"10,keyasint,omitempty"`
	// Claimed marks a call that is dispatched under a claim, with the newest
	// reading of the agent's clock that the entry had seen; see claim.Window.
	Claimed bool          `cbor:"11,keyasint,omitempty"`
	Echo    time.Duration `cbor:"12,keyasint,omitempty"`
}

// Accepted answers an Offer: the agent owns the request from here on.
type Accepted struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Position   int              `cbor:"3,keyasint,omitempty"`
	Wait       time.Duration    `cbor:"4,keyasint,omitempty"`
}

// Refused tells that the request did not run at this agent and never will
// under this key. It proves the outcome not_run for the attempt.
type Refused struct {
	Key        Key           `cbor:"1,keyasint"`
	Reason     api.Reason    `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Detail is for the caller's eyes, such as an engine's own words.
	Detail string `cbor:"4,keyasint,omitempty"`
}

// Phase is the state of a request at its agent, shown to waiting callers.
type Phase string

// The phases in their usual order.
const (
	PhaseQueued  Phase = "queued"
	PhaseStarted Phase = "started"
	PhaseStalled Phase = "stalled"
)

// State tells a change of phase, so that the caller sees an answer is coming.
type State struct {
	Key      Key   `cbor:"1,keyasint"`
	Phase    Phase `cbor:"2,keyasint"`
	Position int   `cbor:"3,keyasint,omitempty"`
}

// Head carries the status line and headers of a plain call's response.
type Head struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Status     int              `cbor:"3,keyasint"`
	Headers    []Header         `cbor:"4,keyasint,omitempty"`
}

// Data carries N packed items (see core/stream) that start at Offset.
type Data struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Offset     uint64           `cbor:"3,keyasint,omitempty"`
	N          int              `cbor:"4,keyasint"`
	Packed     []byte           `cbor:"5,keyasint"`
}

// Final ends a request that was accepted. Count and Sum cover all its items.
type Final struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint"`
	Count      uint64           `cbor:"3,keyasint,omitempty"`
	Sum        uint64           `cbor:"4,keyasint,omitempty"`
	Outcome    api.Outcome      `cbor:"5,keyasint"`
	Reason     api.Reason       `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration    `cbor:"7,keyasint,omitempty"`
	Detail     string           `cbor:"8,keyasint,omitempty"`
}

// Ack tells that the caller has been given all items below Offset. It also
// grants the agent credit for as many new bytes. End tells that the final frame
// has arrived as well, so that a leaving agent may go.
type Ack struct {
	Key    Key    `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
	End    bool   `cbor:"3,keyasint,omitempty"`
}

// Cancel tells that nobody wants the answer any more.
// Hold leaves the work running for so long, for a caller that may come back.
type Cancel struct {
	Key  Key           `cbor:"1,keyasint"`
	Hold time.Duration `cbor:"2,keyasint,omitempty"`
}

// Tombstone forbids a later start of the key and asks what became of it.
type Tombstone struct {
	Key         Key             `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
}

// Tombstoned answers a Tombstone. NotRun is the proof that the key never ran
// at this agent and never will.
type Tombstoned struct {
	Key    Key  `cbor:"1,keyasint"`
	NotRun bool `cbor:"2,keyasint,omitempty"`
}

// Resume asks for the items of a request from Offset on: after a link was
// lost, after a gap, or for a caller that came back through another entry. An
// empty Generation means whichever is held, and Attempt 0 the latest.
type Resume struct {
	Key        Key              `cbor:"1,keyasint"`
	Generation api.GenerationID `cbor:"2,keyasint,omitempty"`
	Customer   api.CustomerID   `cbor:"3,keyasint"`
	Offset     uint64           `cbor:"4,keyasint,omitempty"`
}

// Returned answers a Resume that the agent cannot serve.
type Returned struct {
	Key    Key        `cbor:"1,keyasint"`
	Reason api.Reason `cbor:"2,keyasint"`
}

// Pace is an entry's word on how often it wants load reports.
type Pace struct {
	Every time.Duration `cbor:"1,keyasint"`
}
