package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const kindCounted Kind = 7

// countedMessage counts how often it is encoded.
type countedMessage struct {
	Memo     `cbor:"-"`
	marshals *int
}

func (*countedMessage) Kind() Kind { return kindCounted }

func (m *countedMessage) MarshalCBOR() ([]byte, error) {
	*m.marshals++
	return []byte{0xa0}, nil
}

// TestMessageToManyLinksIsEncodedOnce guards against a member of the control group whose
// work grows with the square of the number of entries. The member sends the reports of
// all entries to each entry; it must encode them once, not once for each link.
func TestMessageToManyLinksIsEncodedOnce(t *testing.T) {
	c := qt.New(t)
	codec, count := NewCodec(), 0
	m := &countedMessage{marshals: &count}
	first, err := codec.Append(nil, m)
	c.Assert(err, qt.IsNil)
	second, err := codec.Append([]byte{1}, m)
	c.Assert(err, qt.IsNil)
	c.Assert(second[1:], qt.DeepEquals, first)
	c.Assert(count, qt.Equals, 1)
}
