package state

import (
	"bytes"
	"crypto/sha256"
)

// Patch turns one document into the next: the bytes between the first Prefix and the
// last Suffix bytes are replaced by Middle, or by the bytes that Pieces describe. It
// does not depend on the format of the document. Sum is the SHA-256 of the result.
type Patch struct {
	Prefix int      `cbor:"1,keyasint"`
	Suffix int      `cbor:"2,keyasint"`
	Middle []byte   `cbor:"3,keyasint,omitempty"`
	Sum    [32]byte `cbor:"4,keyasint"`
	// Pieces replace Middle if it is large: they assemble it from ranges of the old
	// document and new text.
	Pieces []Piece `cbor:"5,keyasint,omitempty"`
}

// Piece is Length bytes of the old document, starting at Offset, followed by Text.
type Piece struct {
	Offset int    `cbor:"1,keyasint,omitempty"`
	Length int    `cbor:"2,keyasint,omitempty"`
	Text   []byte `cbor:"3,keyasint,omitempty"`
}

const (
	// minSplitSize is the size from which on a middle is split into pieces. A smaller one
	// takes a few milliseconds over the slowest links, of 10 Mbit/s.
	minSplitSize = 4 << 10
	// maxPieces bounds the pieces before the last one. If a document has changed in more
	// places, the patch carries the whole middle.
	maxPieces = 512
	// maxSegment bounds the size of a segment, and so the bytes sent for one changed byte.
	maxSegment = 1 << 10
)

// MakePatch returns the patch from one document to another.
//
// A document may change in two distant places, such as its version at the beginning and a route
// in the middle. A patch with a single range would carry everything between them, which is why a
// large middle is split into pieces.
func MakePatch(from, to []byte) Patch {
	shorter := min(len(from), len(to))
	p := Patch{Sum: sha256.Sum256(to)}
	for p.Prefix < shorter && from[p.Prefix] == to[p.Prefix] {
		p.Prefix++
	}
	for p.Suffix < shorter-p.Prefix && from[len(from)-1-p.Suffix] == to[len(to)-1-p.Suffix] {
		p.Suffix++
	}
	p.Middle = to[p.Prefix : len(to)-p.Suffix]
	if len(p.Middle) < minSplitSize {
		return p
	}
	if pieces := makePieces(from, p.Middle); pieces != nil {
		p.Middle, p.Pieces = nil, pieces
	}
	return p
}

// makePieces describes text by the segments that it shares with the document from. It
// returns nil if that takes too many pieces.
func makePieces(from, text []byte) []Piece {
	known := make(map[string]int)
	for offset := 0; offset < len(from); {
		seg := segment(from[offset:])
		known[string(seg)] = offset
		offset += len(seg)
	}
	var out []Piece
	var piece Piece
	for len(text) > 0 {
		seg := segment(text)
		text = text[len(seg):]
		next := piece.Offset + piece.Length
		offset, ok := known[string(seg)]
		switch {
		case len(piece.Text) == 0 && piece.Length > 0 && bytes.HasPrefix(from[next:], seg):
			piece.Length += len(seg)
		case ok:
			out = append(out, piece)
			piece = Piece{Offset: offset, Length: len(seg)}
		default:
			piece.Text = append(piece.Text, seg...)
		}
		if len(out) > maxPieces {
			return nil
		}
	}
	return append(out, piece)
}

// segment returns the beginning of text up to the next opening brace after its first
// byte, at most maxSegment bytes. Cutting at braces lets the segments of other objects
// match when one object changes.
func segment(text []byte) []byte {
	end := bytes.IndexByte(text[1:], '{') + 1
	if end == 0 {
		end = len(text)
	}
	return text[:min(end, maxSegment)]
}

// Apply returns the patched document. It reports false if the result does not have the
// digest Sum, as when from is not the document that the patch was made from.
func (p Patch) Apply(from []byte) ([]byte, bool) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > len(from) {
		return nil, false
	}
	to := append([]byte(nil), from[:p.Prefix]...)
	to = append(to, p.Middle...)
	for _, piece := range p.Pieces {
		if piece.Offset < 0 || piece.Length < 0 || piece.Offset > len(from) || piece.Length > len(from)-piece.Offset {
			return nil, false
		}
		to = append(to, from[piece.Offset:piece.Offset+piece.Length]...)
		to = append(to, piece.Text...)
	}
	to = append(to, from[len(from)-p.Suffix:]...)
	return to, sha256.Sum256(to) == p.Sum
}
