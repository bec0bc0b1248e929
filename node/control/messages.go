package control

import (
	"slices"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
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
)

// Peer carries one message of the agreement between two members.
type Peer struct {
	Message consensus.Message `cbor:"1,keyasint"`
}

// MemberChange asks the leader for a change of the control group.
type MemberChange struct {
	Type consensus.ChangeType `cbor:"1,keyasint"`
	ID   consensus.MemberID   `cbor:"2,keyasint"`
	Addr string               `cbor:"3,keyasint,omitempty"`
}

// Request asks a member for one thing; exactly one field besides ID is set.
// Only the leader answers requests; others reply with its address.
type Request struct {
	ID      uint64         `cbor:"1,keyasint"`
	Command *state.Command `cbor:"2,keyasint,omitempty"`
	// Read asks for the highest accepted revision and the evacuated zones, confirmed by a
	// majority.
	Read   bool          `cbor:"3,keyasint,omitempty"`
	Change *MemberChange `cbor:"4,keyasint,omitempty"`
	// Status asks for the leader's view of the fleet.
	Status bool `cbor:"5,keyasint,omitempty"`
}

// Reply answers the Request with the same ID. Outcome completed means that the
// command was applied, whatever its Result says; not_run that it never will be;
// unknown that it may be. Leader is where to ask instead.
type Reply struct {
	ID         uint64        `cbor:"1,keyasint"`
	Outcome    api.Outcome   `cbor:"2,keyasint"`
	Reason     api.Reason    `cbor:"3,keyasint,omitempty"`
	Message    string        `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	Leader     string        `cbor:"6,keyasint,omitempty"`
	Result     *state.Result `cbor:"7,keyasint,omitempty"`
	Revision   api.Revision  `cbor:"8,keyasint,omitempty"`
	// Evacuated answers a Read beside Revision.
	Evacuated *state.Evacuated `cbor:"10,keyasint,omitempty"`
	// Status is the JSON of an opapi.Status.
	Status []byte `cbor:"9,keyasint,omitempty"`
}

// Watch asks for every configuration above From, and for those to come.
type Watch struct {
	From api.Revision `cbor:"1,keyasint,omitempty"`
	// Whole asks that the first update be no patch.
	Whole bool `cbor:"2,keyasint,omitempty"`
}

// Update carries a configuration: whole, or as a patch to the one at Base.
type Update struct {
	Revision api.Revision `cbor:"1,keyasint"`
	Base     api.Revision `cbor:"2,keyasint,omitempty"`
	Patch    *state.Patch `cbor:"3,keyasint,omitempty"`
	Document []byte       `cbor:"4,keyasint,omitempty"`
}

// Report tells what an instance runs, and which targets it has links to. It is
// sent at an interval and whenever it changes; the leader keeps it in memory only.
type Report struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Site     api.Site       `cbor:"2,keyasint,omitempty"`
	Zone     api.Zone       `cbor:"3,keyasint,omitempty"`
	Revision api.Revision   `cbor:"4,keyasint,omitempty"`
	Targets  []TargetReport `cbor:"5,keyasint,omitempty"`
	// Nodes are the agents behind this entry and the revision each one runs.
	Nodes []NodeReport `cbor:"6,keyasint,omitempty"`
	// Same tells that all is as in the last report on this link; only Instance
	// is set beside it. SameTargets tells it of Targets alone.
	Same        bool `cbor:"8,keyasint,omitempty"`
	SameTargets bool `cbor:"9,keyasint,omitempty"`
	// Links is the address at which an entry takes agents' links.
	Links string `cbor:"7,keyasint,omitempty"`
}

// TargetReport is one target as an entry sees it.
type TargetReport struct {
	Target      api.TargetID    `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	Zone        api.Zone        `cbor:"3,keyasint,omitempty"`
	Leaving     bool            `cbor:"4,keyasint,omitempty"`
}

// NodeReport is the revision in force at one instance behind an entry.
type NodeReport struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Site     api.Site       `cbor:"2,keyasint,omitempty"`
	Revision api.Revision   `cbor:"3,keyasint,omitempty"`
}

// Leader tells a client who leads. Addr is empty when no leader is known.
type Leader struct {
	Self bool   `cbor:"1,keyasint,omitempty"`
	Addr string `cbor:"2,keyasint,omitempty"`
	// Members are the link addresses of the whole group, so that a client that
	// was given few seeds, or seeds that are gone, can still find the others.
	Members []string `cbor:"3,keyasint,omitempty"`
	// Groupless tells that the member that says so belongs to no group yet, as after the
	// loss of its disk: it learns of an election only once it has been added again.
	Groupless bool `cbor:"4,keyasint,omitempty"`
}

func (l Leader) equal(o Leader) bool {
	return l.Self == o.Self && l.Addr == o.Addr && l.Groupless == o.Groupless && slices.Equal(l.Members, o.Members)
}

// Drains lists all targets that operators drain at the log index Index. A list
// with a lower index than one seen before is out of date.
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

// Entries lists the entries that have reported of late, in the order of their
// names. It answers a Report when the list is another than the session was told.
type Entries struct {
	List []wire.EntryInfo `cbor:"1,keyasint"`
}

// Orders lists the targets that have an order waiting and none in flight. It is
// only a hint to ask; what is handed out is decided by the log.
type Orders struct {
	Ready []api.TargetID `cbor:"1,keyasint,omitempty"`
}

// Evacuated lists the availability zones whose targets get no new work.
type Evacuated struct {
	state.Evacuated
}

// Limits lists the limits that targets name.
type Limits struct {
	state.TargetLimits
}

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

// Protos lists the messages of control links.
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
	}
}
