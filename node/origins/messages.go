// Package origins lets any entry process learn which software began a stream, also if the entry that
// began it has ended. Each entry reports the streams that it begins to a few control members, and asks the members when a
// caller takes up a stream that it did not begin. Members keep the reports in memory, without the
// replicated log, so that no leader is needed.
package origins

import (
	"almondseam.dev/core/origin"
	"almondseam.dev/node/wire"
)

// The kinds of the package's messages. Their numbers must differ from those of packages control and
// registry, whose messages share the links.
const (
	kindReport wire.Kind = iota + 112
	kindAsk
	kindAnswer
)

// Stream is a stream that has begun.
type Stream struct {
	Key    origin.Key    `cbor:"1,keyasint"`
	Origin origin.Origin `cbor:"2,keyasint"`
	// TTL is the time in milliseconds for which the stream is to be kept.
	TTL int64 `cbor:"3,keyasint"`
	// Revised is set if the entry has stated another origin before, which was wrong.
	Revised bool `cbor:"4,keyasint,omitempty"`
}

// Report states streams that have begun at an entry.
type Report struct {
	List []Stream `cbor:"1,keyasint"`
}

// Ask asks a member for the origin of a stream.
type Ask struct {
	ID  uint64     `cbor:"1,keyasint"`
	Key origin.Key `cbor:"2,keyasint"`
}

// Answer answers the Ask with the same ID.
type Answer struct {
	ID uint64 `cbor:"1,keyasint"`
	// Found is set if the member knows the stream. Its origin may be unknown nevertheless.
	Found  bool          `cbor:"2,keyasint,omitempty"`
	Origin origin.Origin `cbor:"3,keyasint,omitempty"`
}

// Kind implements wire.Message.
func (*Report) Kind() wire.Kind { return kindReport }

// Kind implements wire.Message.
func (*Ask) Kind() wire.Kind { return kindAsk }

// Kind implements wire.Message.
func (*Answer) Kind() wire.Kind { return kindAnswer }

// Protos returns the prototypes of the package's messages.
func Protos() []wire.Proto {
	return []wire.Proto{wire.ProtoOf[Report](), wire.ProtoOf[Ask](), wire.ProtoOf[Answer]()}
}
