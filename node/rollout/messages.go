package rollout

import (
	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// The kinds of the messages between an entry and the agents that follow it. They
// use the same links as the request path.
const (
	kindFollow wire.Kind = iota + 96
	kindUnfollow
	kindDelta
	kindPart
	kindLatest
	kindAsk
	kindConfirmed
	kindInForce
)

// Follow requests the changes above revision Have and subscribes the agent to all
// later ones. If Whole is set, it requests the whole document instead of deltas.
type Follow struct {
	Have   api.Revision `cbor:"1,keyasint,omitempty"`
	Digest []byte       `cbor:"2,keyasint,omitempty"`
	Whole  bool         `cbor:"3,keyasint,omitempty"`
}

// Unfollow ends the subscription that Follow started.
type Unfollow struct{}

// Delta carries an encoded fleetconfig.Delta.
type Delta struct {
	Bytes []byte `cbor:"1,keyasint"`
}

// Part is part Index of Count of an encoded fleetconfig.Document. The parts are sent
// in order.
type Part struct {
	Revision api.Revision `cbor:"1,keyasint"`
	Index    int          `cbor:"2,keyasint,omitempty"`
	Count    int          `cbor:"3,keyasint"`
	Bytes    []byte       `cbor:"4,keyasint"`
}

// Latest announces the newest revision that the entry holds. It is sent periodically.
type Latest struct {
	Revision api.Revision `cbor:"1,keyasint,omitempty"`
	Digest   []byte       `cbor:"2,keyasint,omitempty"`
}

// Ask is an agent's query to a majority of the control group for the highest accepted
// revision. The entry forwards it. The field Ask is the number of the query.
type Ask struct {
	Ask uint64 `cbor:"1,keyasint"`
}

// Confirmed is the majority's answer to the query numbered Ask.
type Confirmed struct {
	Ask      uint64       `cbor:"1,keyasint"`
	Revision api.Revision `cbor:"2,keyasint,omitempty"`
}

// InForce reports the revision that an agent has in force.
type InForce struct {
	Site     api.Site     `cbor:"1,keyasint,omitempty"`
	Revision api.Revision `cbor:"2,keyasint"`
}

// Kind implements wire.Message.
func (*Follow) Kind() wire.Kind { return kindFollow }

// Kind implements wire.Message.
func (*Unfollow) Kind() wire.Kind { return kindUnfollow }

// Kind implements wire.Message.
func (*Delta) Kind() wire.Kind { return kindDelta }

// Kind implements wire.Message.
func (*Part) Kind() wire.Kind { return kindPart }

// Kind implements wire.Message.
func (*Latest) Kind() wire.Kind { return kindLatest }

// Kind implements wire.Message.
func (*Ask) Kind() wire.Kind { return kindAsk }

// Kind implements wire.Message.
func (*Confirmed) Kind() wire.Kind { return kindConfirmed }

// Kind implements wire.Message.
func (*InForce) Kind() wire.Kind { return kindInForce }

// Protos returns the messages of this package, for the codec of links between entries
// and agents.
func Protos() []wire.Proto {
	return []wire.Proto{
		wire.ProtoOf[Follow](),
		wire.ProtoOf[Unfollow](),
		wire.ProtoOf[Delta](),
		wire.ProtoOf[Part](),
		wire.ProtoOf[Latest](),
		wire.ProtoOf[Ask](),
		wire.ProtoOf[Confirmed](),
		wire.ProtoOf[InForce](),
	}
}
