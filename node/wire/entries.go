package wire

import "almondseam.dev/core/api"

// KindEntries is the message kind of Entries.
const KindEntries Kind = 43

// EntryInfo describes one entry process of the fleet. Addr is the address on which it
// accepts links.
type EntryInfo struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Zone     api.Zone       `cbor:"2,keyasint,omitempty"`
	Addr     string         `cbor:"3,keyasint"`
}

// Entries tells an agent which entries to link to. An entry sends it when the agent
// announces itself and whenever the set of entries for this agent changes.
type Entries struct {
	List []EntryInfo `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Entries) Kind() Kind { return KindEntries }
