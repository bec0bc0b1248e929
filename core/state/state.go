// Package state is the replicated state machine of the control group. It holds
// the fleet's configuration, claims, orders, drains, evacuations, shared retry
// budget, target limits and quarantined requests, and the information that members
// publish about themselves.
//
// Apply is deterministic: it reads no clock and draws no random number. Time is
// the replicated clock in milliseconds, which the leader stamps into each
// command and which never goes back. A State is not safe for concurrent use.
package state

import (
	"errors"
	"fmt"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/order"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/retrybudget"
)

// Limits bounds the size of the state. Every member must use the same limits,
// because the results of Apply depend on them.
type Limits struct {
	Claim  claim.Limits
	Order  order.Limits
	Config ConfigLimits
}

// DefaultLimits returns limits for the fleet sizes given in the requirements.
func DefaultLimits() Limits {
	return Limits{
		Claim:  claim.DefaultLimits(),
		Order:  order.DefaultLimits(),
		Config: DefaultConfigLimits(),
	}
}

// MemberInfo is the information that a control member publishes about itself for
// operators.
type MemberInfo struct {
	ID       uint64   `cbor:"1,keyasint"`
	Operator string   `cbor:"2,keyasint,omitempty"`
	Zone     api.Zone `cbor:"3,keyasint,omitempty"`
}

// Command is one entry of the replicated log. At most one of the pointers is
// set. A command without any is a tick, which advances the clock and expires
// claims and orders.
//
// Any command may be proposed twice because the answer to the first proposal was
// lost. Duplicates are recognized by the change ID or version of a configuration,
// the claimant of a claim, and the ID of an order or a retry; applying one of the
// other commands again sets the same state.
type Command struct {
	// Now is the replicated clock in milliseconds, stamped by the leader.
	Now int64 `cbor:"1,keyasint"`
	// Wall is the leader's wall clock in Unix milliseconds. It is stored for
	// display only; no decision depends on it.
	Wall   int64          `cbor:"2,keyasint,omitempty"`
	Config *ConfigPut     `cbor:"3,keyasint,omitempty"`
	Claim  *claim.Request `cbor:"4,keyasint,omitempty"`
	Report *claim.Report  `cbor:"5,keyasint,omitempty"`
	Order  *order.Command `cbor:"6,keyasint,omitempty"`
	Member *MemberInfo    `cbor:"7,keyasint,omitempty"`
	Drain  *Drain         `cbor:"8,keyasint,omitempty"`
	// Retry asks for one grant from the fleet's shared retry budget, or returns one.
	Retry *retrybudget.Ask `cbor:"9,keyasint,omitempty"`
	// Evacuation starts or finishes the evacuation of an availability zone.
	Evacuation *Evacuation `cbor:"10,keyasint,omitempty"`
	// Limit reports the limit that a target stated.
	Limit *LimitStatement `cbor:"11,keyasint,omitempty"`
	// Quarantine reports crashes of targets, and runs that ended well, or allows a request again.
	Quarantine *quarantine.Command `cbor:"12,keyasint,omitempty"`
}

// Result is the outcome of one command. Reason is empty if the command took effect,
// or if an equal one had taken effect before.
type Result struct {
	Reason  api.Reason      `cbor:"1,keyasint,omitempty"`
	Message string          `cbor:"2,keyasint,omitempty"`
	Config  *ConfigResult   `cbor:"3,keyasint,omitempty"`
	Claim   *claim.Decision `cbor:"4,keyasint,omitempty"`
	Order   *order.Order    `cbor:"5,keyasint,omitempty"`
	// RetryAfter is how long to wait before asking again, zero if unknown.
	RetryAfter time.Duration       `cbor:"6,keyasint,omitempty"`
	Retry      *retrybudget.Answer `cbor:"7,keyasint,omitempty"`
	// Limit is the target's limit after a statement.
	Limit *TargetLimit `cbor:"8,keyasint,omitempty"`
}

// ErrFormat reports a snapshot in a format that this release cannot read.
var ErrFormat = errors.New("unknown format of the state's snapshot")

// State is the whole replicated state. See the package comment.
type State struct {
	limits     Limits
	index      uint64
	now        int64
	config     configs
	claims     *claim.Table
	orders     *order.Table
	members    map[uint64]MemberInfo
	drains     map[api.TargetID]Drain
	drainIndex uint64
	retries    *retrybudget.Pool
	// zones holds the last order of each availability zone, evacuationIndex the highest of
	// their log indexes.
	zones           map[api.Zone]ZoneOrder
	evacuationIndex uint64
	// targetLimits holds the limits of targets, limitsIndex the log index of their last
	// change.
	targetLimits map[api.TargetID]TargetLimit
	limitsIndex  uint64
	// quarantines attributes crashes of targets to requests.
	quarantines *quarantine.Table
}

// New returns the state before the first command.
func New(l Limits) *State {
	return &State{
		limits:  l,
		config:  newConfigs(l.Config),
		claims:  claim.NewTable(l.Claim),
		orders:  order.NewTable(l.Order),
		members: make(map[uint64]MemberInfo),
		drains:  make(map[api.TargetID]Drain),
		retries: retrybudget.NewPool(),
		zones:   make(map[api.Zone]ZoneOrder),

		targetLimits: make(map[api.TargetID]TargetLimit),
		quarantines:  quarantine.NewTable(),
	}
}

// Index returns the log index of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Now returns the replicated clock in milliseconds.
func (s *State) Now() int64 { return s.now }

// Claims returns the claims table. It must not be read during Apply.
func (s *State) Claims() *claim.Table { return s.claims }

// Orders returns the orders table. It must not be read during Apply.
func (s *State) Orders() *order.Table { return s.orders }

// Members returns what the control members published about themselves, by member ID.
func (s *State) Members() map[uint64]MemberInfo { return s.members }

// Retries returns the shared retry budget. It must not be read during Apply.
func (s *State) Retries() *retrybudget.Pool { return s.retries }

// Apply applies the command at a log index. A command that cannot be decoded is
// refused in the same way on every member. An index at or below the last one is
// refused as well, because applying a command again could grant a claim twice.
func (s *State) Apply(index uint64, data []byte) Result {
	if index <= s.index {
		return Result{Reason: api.ReasonInternal, Message: fmt.Sprintf("log index %d comes after %d", index, s.index)}
	}
	s.index = index
	var c Command
	if err := decMode.Unmarshal(data, &c); err != nil {
		return Result{Reason: api.ReasonBadRequest, Message: err.Error()}
	}
	s.now = max(s.now, c.Now)
	s.claims.Expire(s.now)
	s.orders.Expire(s.now)
	s.quarantines.Expire(index, s.now)
	return s.apply(index, &c)
}

func (s *State) apply(index uint64, c *Command) Result {
	switch {
	case c.Config != nil:
		r := s.config.put(index, c.Wall, c.Config)
		if r.Accepted && !r.Repeated && c.Config.Pace != nil {
			s.orders.SetPace(s.now, *c.Config.Pace)
		}
		return Result{Reason: r.Reason, Message: r.Message, Config: &r}
	case c.Claim != nil:
		d := s.claims.Claim(index, s.now, *c.Claim)
		return Result{Reason: d.Verdict.Reason(), Claim: &d}
	case c.Report != nil:
		return s.report(index, c.Report)
	case c.Order != nil:
		return s.order(index, c.Order)
	case c.Member != nil:
		s.members[c.Member.ID] = *c.Member
	case c.Drain != nil:
		return s.drain(index, *c.Drain)
	case c.Retry != nil:
		answer := s.retries.Step(s.now, *c.Retry)
		return Result{Reason: answer.Reason, Retry: &answer}
	case c.Evacuation != nil:
		return s.evacuate(index, *c.Evacuation)
	case c.Limit != nil:
		return s.limit(index, *c.Limit)
	case c.Quarantine != nil:
		return s.quarantine(index, *c.Quarantine)
	}
	return Result{}
}

func (s *State) report(index uint64, r *claim.Report) Result {
	rec, err := s.claims.Report(index, s.now, *r)
	if err != nil {
		return Result{Reason: api.ReasonClaimConflict, Message: err.Error()}
	}
	return Result{Claim: &claim.Decision{Record: rec}}
}

func (s *State) order(index uint64, c *order.Command) Result {
	o, err := s.orders.Apply(api.Fence(index), s.now, *c)
	if err != nil {
		e := api.AsError(err)
		return Result{Reason: e.Reason, Message: err.Error(), Order: &o, RetryAfter: e.RetryAfter}
	}
	return Result{Order: &o}
}
