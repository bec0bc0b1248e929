// Package registry carries the list of targets that announce themselves from the
// control members, which hear the announcements, to the entries, which route by
// them. Every entry follows every member, so that the news of a target that
// leaves takes one hop and needs no leader. All types are safe for concurrent
// use.
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
)

// Subscribe asks for all records, and for those that change from then on.
type Subscribe struct{}

// Records are news of targets. The first one on a link holds all.
type Records struct {
	wire.Memo `cbor:"-"`

	List []directory.Record `cbor:"1,keyasint"`
}

// Loads are what entries have under way: an entry's own on its way to a member,
// and those that have changed from there to all entries.
type Loads struct {
	wire.Memo `cbor:"-"`

	List []fleetload.Report `cbor:"1,keyasint"`
}

// Kind implements wire.Message.
func (*Loads) Kind() wire.Kind { return kindLoads }

// Kind implements wire.Message.
func (*Subscribe) Kind() wire.Kind { return kindSubscribe }

// Kind implements wire.Message.
func (*Records) Kind() wire.Kind { return kindRecords }

// Protos lists the messages.
func Protos() []wire.Proto {
	return []wire.Proto{wire.ProtoOf[Subscribe](), wire.ProtoOf[Records](), wire.ProtoOf[Loads]()}
}
