// Package registry replicates the list of self-registering targets from the control
// members, which receive the targets' announcements, to the entries, which route
// requests by that list. Every entry subscribes to every member, so that the change of a
// draining target reaches the entries in one hop and without a leader. The package also
// distributes the entries' load reports; each entry sends and receives them through one
// member. Registry and Follower are safe for concurrent use.
package registry

import (
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/wire"
)

// The kinds of registry messages. Their numbers must differ from those of package
// control, whose messages share the links.
const (
	kindSubscribe wire.Kind = iota + 96
	kindRecords
	kindLoads
	kindPeerCount
)

// LoadScope selects the load reports that a subscriber receives. It also selects the
// records: see Registry.Subscribe.
type LoadScope uint8

// The load scopes.
const (
	// LoadsNone selects no load reports.
	LoadsNone LoadScope = iota
	// LoadsAll selects the load reports of all entries.
	LoadsAll
	// LoadsFromEntries selects the load reports that entries sent directly to this
	// member. Other members subscribe with this scope.
	LoadsFromEntries
)

// Subscribe requests the current records and all later changes: the records of all
// targets, or with LoadsNone only those of targets that announce themselves to the
// receiving member. A second Subscribe on a link changes the scope, and gets a full list
// of records only if Whole is set.
type Subscribe struct {
	Loads LoadScope `cbor:"1,keyasint,omitempty"`
	// Whole requests the records of all targets, whatever the scope. Without it, only the
	// first Subscribe on a link is answered with a list, that of its scope.
	Whole bool `cbor:"2,keyasint,omitempty"`
}

// Records holds targets' records: all records of the subscriber's scope in the first
// message on a link, later those that have changed or, for Subscribe.Whole, all again.
type Records struct {
	wire.Memo `cbor:"-"`

	List []directory.Record `cbor:"1,keyasint"`
	// Own is the number of records, from the first, whose targets announce themselves to the sender.
	Own int `cbor:"2,keyasint,omitempty"`
	// Whole is set if List names all targets that the sender holds, and the last departures.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// Loads holds load reports. An entry sends its own report to its home member, which
// forwards it to the other members and to the entries.
type Loads struct {
	wire.Memo `cbor:"-"`

	List []fleetload.Report `cbor:"1,keyasint"`
}

// PeerCount states what the sending member receives from the other members.
type PeerCount struct {
	// Members is the number of other members from which it receives load reports.
	Members int `cbor:"1,keyasint"`
	// KeepsOrigins is set if the member takes the messages of package origins. A link to a member of
	// an earlier version would end at the first of them.
	KeepsOrigins bool `cbor:"2,keyasint,omitempty"`
	// Covers is set while the member hears of all targets that announce themselves to any member, and
	// Covered is for how long it has. A target that it has not named for that time has left.
	Covers  bool          `cbor:"3,keyasint,omitempty"`
	Covered time.Duration `cbor:"4,keyasint,omitempty"`
}

// Kind implements wire.Message.
func (*PeerCount) Kind() wire.Kind { return kindPeerCount }

// Kind implements wire.Message.
func (*Loads) Kind() wire.Kind { return kindLoads }

// Kind implements wire.Message.
func (*Subscribe) Kind() wire.Kind { return kindSubscribe }

// Kind implements wire.Message.
func (*Records) Kind() wire.Kind { return kindRecords }

// Protos returns the prototypes of the package's messages.
func Protos() []wire.Proto {
	return []wire.Proto{wire.ProtoOf[Subscribe](), wire.ProtoOf[Records](), wire.ProtoOf[Loads](), wire.ProtoOf[PeerCount]()}
}
