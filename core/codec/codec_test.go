package codec

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

type pair struct {
	A []int          `cbor:"1,keyasint,omitempty"`
	B map[string]int `cbor:"2,keyasint,omitempty"`
}

func TestDecoderRefuses(t *testing.T) {
	lax := Bounds{Nesting: 4, Items: 16, Pairs: 16}
	strict := lax
	strict.Strict = true
	tests := []struct {
		name   string
		bounds Bounds
		data   []byte
		ok     bool
	}{
		{"a small value", lax, []byte{0xa1, 0x01, 0x81, 0x07}, true},
		{"an unknown key in a message", lax, []byte{0xa1, 0x09, 0x07}, true},
		{"an unknown key in a document", strict, []byte{0xa1, 0x09, 0x07}, false},
		{"a repeated key", lax, []byte{0xa2, 0x01, 0x80, 0x01, 0x80}, false},
		{"a declared length far beyond the data", lax, []byte{0xa1, 0x01, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, false},
		{"an indefinite length", lax, []byte{0xa1, 0x01, 0x9f, 0x07, 0xff}, false},
		{"a tag", lax, []byte{0xa1, 0x01, 0xc1, 0x07}, false},
		{"deep nesting", lax, []byte{0xa1, 0x09, 0x81, 0x81, 0x81, 0x81, 0x81, 0x00}, false},
		{"trailing bytes", lax, []byte{0xa0, 0xa0}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var p pair
			err := Decoder(tc.bounds).Unmarshal(tc.data, &p)
			qt.Assert(t, err == nil, qt.Equals, tc.ok, qt.Commentf("%v", err))
		})
	}
}

func TestEncoderIsDeterministic(t *testing.T) {
	c := qt.New(t)
	m := map[string]int{"a": 1, "b": 2, "c": 3, "d": 4, "e": 5, "f": 6}
	first, err := Encoder().Marshal(pair{B: m})
	c.Assert(err, qt.IsNil)
	for range 50 {
		again, err := Encoder().Marshal(pair{B: m})
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, first)
	}
}
