// Package opapi defines the JSON documents of the operator interface, which the
// control role serves and almondctl reads. Times are in RFC 3339 format.
package opapi

import (
	"time"

	"almondseam.dev/core/api"
)

// The paths of the operator interface.
const (
	PathStatus  = "/v1/status"
	PathConfig  = "/v1/config"
	PathHistory = "/v1/config/history"
	PathTargets = "/v1/targets"
	PathDrain   = "/v1/targets/drain"
	PathZones   = "/v1/zones"
	PathOrders  = "/v1/orders"
	PathMembers = "/v1/members"
	PathClaims  = "/v1/claims"

	PathQuarantine = "/v1/quarantine"
)

// Error is the body of every response whose status is not 200. Outcome "not_run"
// means that the change was not made and never will be; "unknown" means that it may
// have been made, and that sending it again with the same change ID is safe.
type Error struct {
	Outcome api.Outcome `json:"outcome"`
	Reason  api.Reason  `json:"reason"`
	Message string      `json:"message"`
}

// Status is an overview of the fleet as one member sees it.
type Status struct {
	// Answered is the ID of the member whose view this is.
	Answered uint64 `json:"answered"`
	// Leader is zero if this member knows no leader.
	Leader uint64 `json:"leader"`
	Term   uint64 `json:"term"`
	// Majority reports whether the member whose view this is was the leader. No
	// majority is asked about the view itself.
	Majority bool     `json:"majority"`
	Commit   uint64   `json:"commit"`
	Members  []Member `json:"members"`
	// Revision is the highest accepted revision of the configuration.
	Revision api.Revision `json:"revision"`
	Sites    []Site       `json:"sites"`
	Targets  []Target     `json:"targets"`
	Claims   int          `json:"claims"`
}

// Member is one member of the control group. Lag is the number of log entries by which
// it is behind the leader. Active reports whether it has responded recently. Views of
// other members than the leader have no Lag, and Active only for the leader.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Operator is the address of the member's operator interface, empty until the
	// member has registered it.
	Operator string `json:"operator"`
	Role     string `json:"role"`
	Lag      uint64 `json:"lag"`
	Active   bool   `json:"active"`
}

// Site describes which revisions a site runs: the lowest and the highest among its
// instances that have reported recently.
type Site struct {
	Site      api.Site     `json:"site"`
	Instances int          `json:"instances"`
	Lowest    api.Revision `json:"lowest"`
	Highest   api.Revision `json:"highest"`
}

// Target is one target that entries have reported.
type Target struct {
	ID          api.TargetID    `json:"id"`
	Incarnation api.Incarnation `json:"incarnation"`
	Zone        api.Zone        `json:"zone"`
	State       string          `json:"state"`
	Seen        time.Time       `json:"seen"`
}

// ConfigPut asks for a new configuration on top of revision Base. The operator chooses
// ChangeID; a request that is repeated with the same ChangeID gets the first answer.
type ConfigPut struct {
	ChangeID string       `json:"change_id"`
	Author   string       `json:"author"`
	Base     api.Revision `json:"base"`
	Document []byte       `json:"document"`
}

// ConfigResult answers a ConfigPut. If Accepted is false, another change was accepted
// first, which Current, Author and ChangeID identify.
type ConfigResult struct {
	Accepted bool         `json:"accepted"`
	Repeated bool         `json:"repeated"`
	Current  api.Revision `json:"current"`
	Author   string       `json:"author"`
	ChangeID string       `json:"change_id"`
	Message  string       `json:"message"`
}

// Revision is one accepted configuration. Document is nil in the history.
type Revision struct {
	Revision api.Revision `json:"revision"`
	ChangeID string       `json:"change_id"`
	Author   string       `json:"author"`
	Accepted time.Time    `json:"accepted"`
	Size     int          `json:"size"`
	Document []byte       `json:"document,omitempty"`
}

// Order is an order to a target. ID identifies it permanently: a request that is
// repeated with the same ID refers to the same order. The control group sets Fence,
// State and Message.
type Order struct {
	ID      string       `json:"id"`
	Fence   api.Fence    `json:"fence"`
	State   string       `json:"state"`
	Message string       `json:"message"`
	Author  string       `json:"author"`
	Target  api.TargetID `json:"target"`
	Action  string       `json:"action"`
	Model   api.ModelID  `json:"model,omitempty"`
	Adapter string       `json:"adapter,omitempty"`
	Version string       `json:"version,omitempty"`
	Role    string       `json:"role,omitempty"`
	Bytes   int64        `json:"bytes,omitempty"`
}

// Drain asks that a target get no new work, or with Undo that it get work again. With
// Incarnation 0 the drain applies to all incarnations; otherwise it ends when the
// target restarts under another incarnation.
type Drain struct {
	Target      api.TargetID    `json:"target"`
	Incarnation api.Incarnation `json:"incarnation"`
	Undo        bool            `json:"undo"`
	Author      string          `json:"author"`
}

// ZoneOrder asks that the targets of an availability zone get no new work, or that they
// get work again. A list holds the last order for each availability zone with the log index
// at which it took effect.
type ZoneOrder struct {
	Zone      api.Zone `json:"zone"`
	Evacuated bool     `json:"evacuated"`
	Author    string   `json:"author"`
	Index     uint64   `json:"index,omitempty"`
}

// QuarantinedRequest is a request that crashes targets. Left is for how much longer it is refused;
// zero if it is only suspected. Crashed lists the targets that ended while they ran it.
type QuarantinedRequest struct {
	Fingerprint string         `json:"fingerprint"`
	Customer    api.CustomerID `json:"customer"`
	URI         string         `json:"uri"`
	BodyBytes   int            `json:"body_bytes"`
	Left        Duration       `json:"left"`
	Crashed     []string       `json:"crashed"`
	// Part is the ID of a part of prompts, if requests with that part are refused; With holds the
	// fingerprints of the parts that a request must have too to be refused.
	Part string   `json:"part,omitempty"`
	With []string `json:"with,omitempty"`
}

// Duration is a time span in the form of time.Duration.String.
type Duration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// QuarantineLift asks that a request is allowed again.
type QuarantineLift struct {
	Fingerprint string `json:"fingerprint"`
	Author      string `json:"author"`
}

// The membership changes of the control group.
const (
	MemberAdd     = "add"
	MemberPromote = "promote"
	MemberRemove  = "remove"
)

// MemberChange asks for a membership change of the control group. Address is used by
// MemberAdd only.
type MemberChange struct {
	Change  string `json:"change"`
	ID      uint64 `json:"id"`
	Address string `json:"address,omitempty"`
}

// Claim describes the claim for the call of a request.
type Claim struct {
	Found       bool            `json:"found"`
	Request     api.RequestID   `json:"request"`
	Customer    api.CustomerID  `json:"customer"`
	Key         string          `json:"key"`
	State       string          `json:"state"`
	Grant       uint64          `json:"grant"`
	Attempt     api.Attempt     `json:"attempt"`
	Target      api.TargetID    `json:"target"`
	Incarnation api.Incarnation `json:"incarnation"`
	Outcome     api.Outcome     `json:"outcome"`
	// Kept reports whether the whole answer is still stored.
	Kept bool `json:"kept"`
	// Undecided reports that nothing proves whether the call ran, and that it can no
	// longer start.
	Undecided bool `json:"undecided"`
}
