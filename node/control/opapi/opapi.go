// Package opapi holds the JSON documents of the operator interface, as the
// control role serves them and almondctl reads them. Times are RFC 3339.
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
)

// Error is the body of every answer that is not 200. Outcome "not_run" means
// that the change was not made and never will be; "unknown" means that it may
// have been, and that sending it again with the same change ID is safe.
type Error struct {
	Outcome api.Outcome `json:"outcome"`
	Reason  api.Reason  `json:"reason"`
	Message string      `json:"message"`
}

// Status is the fleet at a glance, as one member sees it.
type Status struct {
	// Answered is the member that gave this view.
	Answered uint64 `json:"answered"`
	// Leader is zero when this member knows none.
	Leader uint64 `json:"leader"`
	Term   uint64 `json:"term"`
	// Majority tells whether the view was confirmed by a majority.
	Majority bool     `json:"majority"`
	Commit   uint64   `json:"commit"`
	Members  []Member `json:"members"`
	// Revision is the highest accepted revision of the configuration.
	Revision api.Revision `json:"revision"`
	Sites    []Site       `json:"sites"`
	Targets  []Target     `json:"targets"`
	Claims   int          `json:"claims"`
}

// Member is one member of the control group. Lag counts log entries behind the
// leader and is only known to the leader.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Operator is the address of its operator interface, once it has told.
	Operator string `json:"operator"`
	Role     string `json:"role"`
	Lag      uint64 `json:"lag"`
	Active   bool   `json:"active"`
}

// Site tells which revision a site runs: Lowest over its instances that have
// reported lately.
type Site struct {
	Site      api.Site     `json:"site"`
	Instances int          `json:"instances"`
	Lowest    api.Revision `json:"lowest"`
	Highest   api.Revision `json:"highest"`
}

// Target is one announced target.
type Target struct {
	ID          api.TargetID    `json:"id"`
	Incarnation api.Incarnation `json:"incarnation"`
	Zone        api.Zone        `json:"zone"`
	State       string          `json:"state"`
	Seen        time.Time       `json:"seen"`
}

// ConfigPut asks for a new configuration on top of revision Base. ChangeID is
// the operator's own; sent again it gets the first answer.
type ConfigPut struct {
	ChangeID string       `json:"change_id"`
	Author   string       `json:"author"`
	Base     api.Revision `json:"base"`
	Document []byte       `json:"document"`
}

// ConfigResult answers a ConfigPut. When Accepted is false another change was
// first: Current, Author and ChangeID tell which.
type ConfigResult struct {
	Accepted bool         `json:"accepted"`
	Repeated bool         `json:"repeated"`
	Current  api.Revision `json:"current"`
	Author   string       `json:"author"`
	ChangeID string       `json:"change_id"`
	Message  string       `json:"message"`
}

// Revision is one accepted configuration. Document is nil in a history.
type Revision struct {
	Revision api.Revision `json:"revision"`
	ChangeID string       `json:"change_id"`
	Author   string       `json:"author"`
	Accepted time.Time    `json:"accepted"`
	Size     int          `json:"size"`
	Document []byte       `json:"document,omitempty"`
}

// Order is an order to a target. ID names it for ever: sent again it is the
// same order. Fence, State and Message are set by the fleet.
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

// Drain asks that a target get no new work. Incarnation 0 means whichever runs;
// with another one the drain ends when the target comes back.
type Drain struct {
	Target      api.TargetID    `json:"target"`
	Incarnation api.Incarnation `json:"incarnation"`
	Undo        bool            `json:"undo"`
	Author      string          `json:"author"`
}

// ZoneOrder asks that the targets of an availability zone get no new work, or that they
// get it again. In a list it is the last order for each zone, with the log index at which
// it took effect.
type ZoneOrder struct {
	Zone      api.Zone `json:"zone"`
	Evacuated bool     `json:"evacuated"`
	Author    string   `json:"author"`
	Index     uint64   `json:"index,omitempty"`
}

// The changes of the control group.
const (
	MemberAdd     = "add"
	MemberPromote = "promote"
	MemberRemove  = "remove"
)

// MemberChange asks for a change of the control group. Address matters for
// MemberAdd only.
type MemberChange struct {
	Change  string `json:"change"`
	ID      uint64 `json:"id"`
	Address string `json:"address,omitempty"`
}

// Claim is what is known of the call that a request was granted.
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
	// Kept tells that the whole answer is still held.
	Kept bool `json:"kept"`
	// Undecided tells that nothing proves whether the call ran, and that it
	// can no longer start.
	Undecided bool `json:"undecided"`
}
