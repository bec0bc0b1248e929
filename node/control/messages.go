package control

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/state"
	"almondseam.dev/node/wire"
)

// The kinds of control messages.
const (
	kindPeer wire.Kind = iota + 64
	kindRequest
	kindReply
	kindWatch
	kindUpdate
	kindReport
	kindLeader
	kindDrains
	kindEntries
	kindOrders
	kindEvacuated
	kindLimits
	kindQuarantine
	kindPart
	kindPartAck
)

// Peer carries one consensus message between two members.
type Peer struct {
	Message consensus.Message `cbor:"1,keyasint"`
}

// MemberChange asks the leader for a membership change of the control group.
type MemberChange struct {
	Type consensus.ChangeType `cbor:"1,keyasint"`
	ID   consensus.MemberID   `cbor:"2,keyasint"`
	Addr string               `cbor:"3,keyasint,omitempty"`
}

// Request is a request to a member; exactly one field besides ID is set. Only the
// leader executes requests; other members reply with the leader's address.
type Request struct {
	ID      uint64         `cbor:"1,keyasint"`
	Command *state.Command `cbor:"2,keyasint,omitempty"`
	// Read asks for the highest accepted revision and the evacuated availability zones,
	// confirmed by a majority.
	Read   bool          `cbor:"3,keyasint,omitempty"`
	Change *MemberChange `cbor:"4,keyasint,omitempty"`
	// Status asks for the leader's view of the fleet.
	Status bool `cbor:"5,keyasint,omitempty"`
}

// Reply answers the Request with the same ID. Outcome completed means that the
// command was applied, whatever its Result says; not_run means that it never will
// be; unknown means that it may be. Leader is the address to send the request to
// instead.
type Reply struct {
	ID         uint64        `cbor:"1,keyasint"`
	Outcome    api.Outcome   `cbor:"2,keyasint"`
	Reason     api.Reason    `cbor:"3,keyasint,omitempty"`
	Message    string        `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	Leader     string        `cbor:"6,keyasint,omitempty"`
	Result     *state.Result `cbor:"7,keyasint,omitempty"`
	Revision   api.Revision  `cbor:"8,keyasint,omitempty"`
	// Evacuated and Revision answer a Read.
	Evacuated *state.Evacuated `cbor:"10,keyasint,omitempty"`
	// Status is the JSON encoding of an opapi.Status.
	Status []byte `cbor:"9,keyasint,omitempty"`
}

// Watch subscribes to configurations with a revision above From: the current one
// and later ones. A revision may be skipped if the next one is applied soon after it.
type Watch struct {
	From api.Revision `cbor:"1,keyasint,omitempty"`
	// Whole asks for a whole document instead of a patch in the first update.
	Whole bool `cbor:"2,keyasint,omitempty"`
}

// Update carries a configuration, either whole or as a patch to revision Base.
type Update struct {
	Revision api.Revision `cbor:"1,keyasint"`
	Base     api.Revision `cbor:"2,keyasint,omitempty"`
	Patch    *state.Patch `cbor:"3,keyasint,omitempty"`
	Document []byte       `cbor:"4,keyasint,omitempty"`
}

// Report describes what an instance runs and which targets it has links to. It is
// sent at an interval. The members that receive it keep it in memory only.
type Report struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Site     api.Site       `cbor:"2,keyasint,omitempty"`
	Zone     api.Zone       `cbor:"3,keyasint,omitempty"`
	Revision api.Revision   `cbor:"4,keyasint,omitempty"`
	Targets  []TargetReport `cbor:"5,keyasint,omitempty"`
	// Nodes are the agents connected to this entry and the revision that each runs.
	Nodes []NodeReport `cbor:"6,keyasint,omitempty"`
	// Same means that nothing has changed since the last report on this link; only
	// Instance is set in addition. SameTargets means that Targets have not changed.
	Same        bool `cbor:"8,keyasint,omitempty"`
	SameTargets bool `cbor:"9,keyasint,omitempty"`
	// Links is the address at which an entry accepts links of agents.
	Links string `cbor:"7,keyasint,omitempty"`
}

// TargetReport describes one target that an entry has a link to.
type TargetReport struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	Zone        api.Zone        `cbor:"3,keyasint,omitempty"`
	Leaving     bool            `cbor:"4,keyasint,omitempty"`
}

// NodeReport is the revision that one instance behind an entry runs.
type NodeReport struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Site     api.Site       `cbor:"2,keyasint,omitempty"`
	Revision api.Revision   `cbor:"3,keyasint,omitempty"`
}

// Leader tells a client which member is the leader. Addr is empty if no leader is
// known.
type Leader struct {
	Self bool   `cbor:"1,keyasint,omitempty"`
	Addr string `cbor:"2,keyasint,omitempty"`
	// Members are the link addresses of the whole group, so that a client that was
	// given few seeds, or seeds that no longer exist, can still find other members.
	Members []string `cbor:"3,keyasint,omitempty"`
	// Groupless means that the sending member belongs to no group, for example after the
	// loss of its disk. It learns of a leader only once it has been added again.
	Groupless bool `cbor:"4,keyasint,omitempty"`
	// Index orders the Members of all members' statements: a list with a lower index than an earlier
	// one is outdated. It is zero from members of releases without it.
	Index uint64 `cbor:"5,keyasint,omitempty"`
}

func (l Leader) equal(o Leader) bool {
	return l.Self == o.Self && l.Addr == o.Addr && l.Groupless == o.Groupless && l.Index == o.Index && slices.Equal(l.Members, o.Members)
}

// Drains lists all targets that operators drain as of log index Index. A list with a
// lower index than an earlier one is outdated.
type Drains struct {
	Index   uint64        `cbor:"1,keyasint,omitempty"`
	Targets []state.Drain `cbor:"2,keyasint,omitempty"`
}

// Kind implements wire.Message.
func (*Peer) Kind() wire.Kind { return kindPeer }

// Kind implements wire.Message.
func (*Request) Kind() wire.Kind { return kindRequest }

// Kind implements wire.Message.
func (*Reply) Kind() wire.Kind { return kindReply }

// Kind implements wire.Message.
func (*Watch) Kind() wire.Kind { return kindWatch }

// Kind implements wire.Message.
func (*Update) Kind() wire.Kind { return kindUpdate }

// Kind implements wire.Message.
func (*Report) Kind() wire.Kind { return kindReport }

// Kind implements wire.Message.
func (*Leader) Kind() wire.Kind { return kindLeader }

// Entries lists the entries that have reported recently, sorted by name. The leader
// sends it after a Report if the list differs from the last one sent on the link.
type Entries struct {
	List []wire.EntryInfo `cbor:"1,keyasint"`
}

// Orders lists the targets that have an order waiting and none in flight. It is only
// a hint to ask for the order; the replicated log decides which order is assigned.
type Orders struct {
	Ready []api.TargetID `cbor:"1,keyasint,omitempty"`
}

// Evacuated lists the availability zones whose targets get no new work.
type Evacuated struct {
	state.Evacuated
}

// Limits lists the limits that targets have stated.
type Limits struct {
	state.TargetLimits
}

// Quarantine lists the requests that are refused because they crash targets, and those that may
// soon be.
type Quarantine struct {
	quarantine.List
}

// Kind implements wire.Message.
func (*Quarantine) Kind() wire.Kind { return kindQuarantine }

// Kind implements wire.Message.
func (*Limits) Kind() wire.Kind { return kindLimits }

// Kind implements wire.Message.
func (*Evacuated) Kind() wire.Kind { return kindEvacuated }

// Kind implements wire.Message.
func (*Orders) Kind() wire.Kind { return kindOrders }

// Kind implements wire.Message.
func (*Drains) Kind() wire.Kind { return kindDrains }

// Kind implements wire.Message.
func (*Entries) Kind() wire.Kind { return kindEntries }

// Protos returns the messages of control links.
func Protos() []wire.Proto {
	return []wire.Proto{
		wire.ProtoOf[Peer](),
		wire.ProtoOf[Request](),
		wire.ProtoOf[Reply](),
		wire.ProtoOf[Watch](),
		wire.ProtoOf[Update](),
		wire.ProtoOf[Report](),
		wire.ProtoOf[Leader](),
		wire.ProtoOf[Drains](),
		wire.ProtoOf[Entries](),
		wire.ProtoOf[Orders](),
		wire.ProtoOf[Evacuated](),
		wire.ProtoOf[Limits](),
		wire.ProtoOf[Quarantine](),
		wire.ProtoOf[Part](),
		wire.ProtoOf[PartAck](),
	}
}
