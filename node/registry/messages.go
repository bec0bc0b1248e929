// Package registry carries the list of targets that announce themselves from the
// control members, which hear the announcements, to the entries, which route by
// them. Every entry follows every member, so that the news of a draining target
// takes one hop and needs no leader. It also carries the entries' load reports, by way
// of one member for each entry. All types are safe for concurrent use.
package registry

import (
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/node/wire"
)

// The kinds of registry messages, which share links with those of control.
const (
	kindSubscribe wire.Kind = iota + 96
	kindRecords
	kindLoads
	kindReach
)

// LoadScope says which load reports a subscriber is told.
type LoadScope uint8

// The scopes.
const (
	// LoadsNone: none.
	LoadsNone LoadScope = iota
	// LoadsAll: those of all entries.
	LoadsAll
	// LoadsOfEntries: those that entries themselves report to this member, as the other
	// members are told.
	LoadsOfEntries
)

// Subscribe asks for all records, and for those that change from then on. Sent again on
// a link it changes the scope of the loads alone.
type Subscribe struct {
	Loads LoadScope `cbor:"1,keyasint,omitempty"`
	// Whole asks for the whole list again; the first one on a link gets a list anyway.
	Whole bool `cbor:"2,keyasint,omitempty"`
}

// Records are news of targets. The first one on a link holds all.
type Records struct {
	wire.Memo `cbor:"-"`

	List []directory.Record `cbor:"1,keyasint"`
}

// Loads are what entries have under way: an entry's own on its way to its home, and
// those that have changed from there to other members and to entries.
type Loads struct {
	wire.Memo `cbor:"-"`

	List []fleetload.Report `cbor:"1,keyasint"`
}

// Reach is how many other members a member gets load reports from.
type Reach struct {
	Members int `cbor:"1,keyasint"`
}

// Kind implements wire.Message.
func (*Reach) Kind() wire.Kind { return kindReach }

// Kind implements wire.Message.
func (*Loads) Kind() wire.Kind { return kindLoads }

// Kind implements wire.Message.
func (*Subscribe) Kind() wire.Kind { return kindSubscribe }

// Kind implements wire.Message.
func (*Records) Kind() wire.Kind { return kindRecords }

// Protos lists the messages.
func Protos() []wire.Proto {
	return []wire.Proto{wire.ProtoOf[Subscribe](), wire.ProtoOf[Records](), wire.ProtoOf[Loads](), wire.ProtoOf[Reach]()}
}
