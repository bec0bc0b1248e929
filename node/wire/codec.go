// Package wire defines messages between this system's processes and their
// encoding: the kind of the message as a CBOR unsigned integer, followed by its
// body as a CBOR map with integer keys. Unknown keys are ignored, so that
// processes of adjacent versions understand each other.
//
// An entry is the process that accepts callers' requests, and an agent is the
// process beside a target that runs them there.
package wire

import (
	"errors"
	"fmt"
	"sync"

	"almondseam.dev/core/codec"
	"github.com/fxamacker/cbor/v2"
)

// Decoding bounds. A message that exceeds one is rejected with an error, so that a
// faulty peer loses its link but can't exhaust the memory of this process.
const (
	maxNesting  = 8
	maxElements = 1 << 16
)

// ErrUnknownKind reports a message kind that this process has no type for.
var ErrUnknownKind = errors.New("wire: unknown message kind")

// Kind is the number of a message type. The numbers are part of the protocol.
type Kind uint64

// Message is implemented by every type that is sent on a link.
type Message interface {
	// Kind returns the number of the message type.
	Kind() Kind
}

// Proto is the prototype of a message type: its kind and its decoder. Use ProtoOf
// to create one.
type Proto struct {
	kind   Kind
	decode func(dm cbor.DecMode, data []byte) (Message, []byte, error)
}

// ProtoOf returns the prototype of message type T, whose Kind method must work
// on the zero value.
func ProtoOf[T any, P interface {
	*T
	Message
}]() Proto {
	return Proto{
		kind: P(new(T)).Kind(),
		decode: func(dm cbor.DecMode, data []byte) (Message, []byte, error) {
			m := P(new(T))
			rest, err := dm.UnmarshalFirst(data, m)
			return m, rest, err
		},
	}
}

// Codec encodes messages, and decodes those of the types passed to NewCodec. It is
// safe for concurrent use.
type Codec struct {
	enc    cbor.EncMode
	dec    cbor.DecMode
	protos map[Kind]Proto
}

// NewCodec returns a codec that decodes the given types. It panics if two of them
// have the same kind, which is a programming error.
func NewCodec(protos ...Proto) *Codec {
	c := &Codec{
		enc:    codec.Encoder(),
		dec:    codec.Decoder(codec.Bounds{Nesting: maxNesting, Items: maxElements, Pairs: maxElements}),
		protos: make(map[Kind]Proto, len(protos)),
	}
	for _, p := range protos {
		if _, exists := c.protos[p.kind]; exists {
			panic(fmt.Sprintf("wire: kind %d registered twice", p.kind))
		}
		c.protos[p.kind] = p
	}
	return c
}

// Memo caches the encoding of a message that is sent on many links, so that the message
// is encoded only once. A message type embeds it with the tag `cbor:"-"`; its messages
// must not be modified after they were first sent.
type Memo struct {
	once sync.Once
	body []byte
	err  error
}

func (m *Memo) encoded(encode func() ([]byte, error)) ([]byte, error) {
	m.once.Do(func() { m.body, m.err = encode() })
	return m.body, m.err
}

// memoized is implemented by message types that embed a Memo.
type memoized interface {
	encoded(encode func() ([]byte, error)) ([]byte, error)
}

// Append appends the encoding of m to dst.
func (c *Codec) Append(dst []byte, m Message) ([]byte, error) {
	dst = appendUint(dst, uint64(m.Kind()))
	body, err := c.body(m)
	if err != nil {
		return dst, fmt.Errorf("encode kind %d: %w", m.Kind(), err)
	}
	return append(dst, body...), nil
}

func (c *Codec) body(m Message) ([]byte, error) {
	marshal := func() ([]byte, error) { return c.enc.Marshal(m) }
	if memo, ok := m.(memoized); ok {
		return memo.encoded(marshal)
	}
	return marshal()
}

// Decode decodes the first message in data and returns it with the rest of data.
func (c *Codec) Decode(data []byte) (Message, []byte, error) {
	var kind uint64
	rest, err := c.dec.UnmarshalFirst(data, &kind)
	if err != nil {
		return nil, nil, fmt.Errorf("decode kind: %w", err)
	}
	p, ok := c.protos[Kind(kind)]
	if !ok {
		return nil, nil, fmt.Errorf("%w: %d", ErrUnknownKind, kind)
	}
	m, rest, err := p.decode(c.dec, rest)
	if err != nil {
		return nil, nil, fmt.Errorf("decode kind %d: %w", kind, err)
	}
	return m, rest, nil
}

// appendUint appends v as a CBOR unsigned integer (RFC 8949, section 3.1). v must be
// less than 1<<16.
func appendUint(dst []byte, v uint64) []byte {
	switch {
	case v < 24:
		return append(dst, byte(v))
	case v < 1<<8:
		return append(dst, 24, byte(v))
	default:
		return append(dst, 25, byte(v>>8), byte(v))
	}
}
