package wire

import "almondseam.dev/core/api"

// KindDrain is the message kind of Drain.
const KindDrain Kind = 40

// Drain tells an agent that an operator drains its target: the target leaves the
// fleet. Drain applies to one incarnation of the agent and can't be revoked; the
// target can only return with the next start of its agent.
type Drain struct {
	Incarnation api.Incarnation `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Drain) Kind() Kind { return KindDrain }
