package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const kindNews Kind = 7

// news counts how often it is encoded.
type news struct {
	Memo     `cbor:"-"`
	marshals *int
}

func (*news) Kind() Kind { return kindNews }

func (n *news) MarshalCBOR() ([]byte, error) {
	*n.marshals++
	return []byte{0xa0}, nil
}

// TestMessageToManyLinksIsEncodedOnce guards against a member whose work grows with the
// square of the fleet: it tells each entry what all entries report.
func TestMessageToManyLinksIsEncodedOnce(t *testing.T) {
	c := qt.New(t)
	codec, count := NewCodec(), 0
	m := &news{marshals: &count}
	first, err := codec.Append(nil, m)
	c.Assert(err, qt.IsNil)
	second, err := codec.Append([]byte{1}, m)
	c.Assert(err, qt.IsNil)
	c.Assert(second[1:], qt.DeepEquals, first)
	c.Assert(count, qt.Equals, 1)
}
