package wire

import "almondseam.dev/core/api"

// KindEntries is the kind of Entries.
const KindEntries Kind = 43

// EntryInfo is one entry of the fleet and the address of its links.
type EntryInfo struct {
	Instance api.InstanceID `cbor:"1,keyasint"`
	Zone     api.Zone       `cbor:"2,keyasint,omitempty"`
	Addr     string         `cbor:"3,keyasint"`
}

// Entries tells an agent which entries it is to link to. It is sent to each agent
// that announces itself and whenever its own choice changes.
type Entries struct {
	List []EntryInfo `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Entries) Kind() Kind { return KindEntries }
