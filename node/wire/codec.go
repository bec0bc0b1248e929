// Package wire defines the messages between this system's processes and their
// encoding: each message is its kind as a CBOR unsigned integer followed by its
// body as a CBOR map with integer keys. Unknown keys are ignored, so that
// processes of neighbouring versions understand each other.
package wire

import (
	"errors"
	"fmt"
	"sync"

	"almondseam.dev/core/codec"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of decoding. A peer that exceeds one loses its link, never the process.
const (
	maxNesting  = 8
	maxElements = 1 << 16
)

// ErrUnknownKind reports a message kind that this process has no type for.
var ErrUnknownKind = errors.New("wire: unknown message kind")

// Kind numbers a message type. The numbers are part of the protocol.
type Kind uint64

// Message is anything that travels on a link.
type Message interface {
	// Kind gives the number of the message's type.
	Kind() Kind
}

// Proto couples a kind with its decoder. Make one with ProtoOf.
type Proto struct {
	kind   Kind
	decode func(dm cbor.DecMode, data []byte) (Message, []byte, error)
}

// ProtoOf gives the prototype of message type T, whose Kind method must work
// on its zero value.
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

// Codec encodes and decodes the message types it was made with. It is safe for
// concurrent use.
type Codec struct {
	enc    cbor.EncMode
	dec    cbor.DecMode
	protos map[Kind]Proto
}

// NewCodec makes a codec for the given types. It panics on two types with one
// kind, which is a mistake in the program.
func NewCodec(protos ...Proto) *Codec {
	c := &Codec{
		enc:    codec.Encoder(),
		dec:    codec.Decoder(codec.Bounds{Nesting: maxNesting, Items: maxElements, Pairs: maxElements}),
		protos: make(map[Kind]Proto, len(protos)),
	}
	for _, p := range protos {
		if _, twice := c.protos[p.kind]; twice {
			panic(fmt.Sprintf("wire: kind %d registered twice", p.kind))
		}
		c.protos[p.kind] = p
	}
	return c
}

// Memo keeps the encoding of a message that goes to many links, so that it is made once.
// A message type embeds it with the tag `cbor:"-"`; its messages must not change after
// they were first sent.
type Memo struct {
	once sync.Once
	body []byte
	err  error
}

func (m *Memo) encoded(make func() ([]byte, error)) ([]byte, error) {
	m.once.Do(func() { m.body, m.err = make() })
	return m.body, m.err
}

// memoized is a message with a Memo.
type memoized interface {
	encoded(make func() ([]byte, error)) ([]byte, error)
}

// Append encodes m onto dst.
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

// Decode splits the first message off data.
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

// appendUint encodes v as a CBOR unsigned integer (RFC 8949, section 3.1).
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
