package wire

import "almondseam.dev/core/api"

// KindDrain is the kind of Drain.
const KindDrain Kind = 40

// Drain passes an operator's wish on to an agent: its target is to leave. It
// holds for one incarnation and isn't taken back; a target that is wanted again
// comes back with its agent's next start.
type Drain struct {
	Incarnation api.Incarnation `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Drain) Kind() Kind { return KindDrain }
