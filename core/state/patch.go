package state

import (
	"bytes"
	"crypto/sha256"
)

// Patch turns one document into the next: all but the first Prefix and the last
// Suffix bytes are replaced by Middle, or by what Pieces give. It needs no knowledge
// of the format.
type Patch struct {
	Prefix int      `cbor:"1,keyasint"`
	Suffix int      `cbor:"2,keyasint"`
	Middle []byte   `cbor:"3,keyasint,omitempty"`
	Sum    [32]byte `cbor:"4,keyasint"`
	// Pieces stand for a large middle, most of which is in the old document.
	Pieces []Piece `cbor:"5,keyasint,omitempty"`
}

// Piece is Length bytes of the old document from Offset on, and then Text.
type Piece struct {
	Offset int    `cbor:"1,keyasint,omitempty"`
	Length int    `cbor:"2,keyasint,omitempty"`
	Text   []byte `cbor:"3,keyasint,omitempty"`
}

const (
	// piecesFrom is the middle from which on pieces are looked for: a smaller one is
	// sent in some milliseconds over the slowest links, of 10 Mbit/s.
	piecesFrom = 4 << 10
	// maxPieces bounds them; a document that has changed in more places goes whole.
	maxPieces = 512
	// maxSegment bounds a segment, and with it what is sent for one changed byte.
	maxSegment = 1 << 10
)

// MakePatch gives the patch from one document to another.
//
// A document may change in two places far apart, its version at the beginning and a route in the
// middle; a patch of one piece would hold nearly all between them.
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
	if len(p.Middle) < piecesFrom {
		return p
	}
	if pieces := makePieces(from, p.Middle); pieces != nil {
		p.Middle, p.Pieces = nil, pieces
	}
	return p
}

// makePieces describes a text by what it shares with an old document; nil where that
// takes too many pieces.
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

// segment gives the beginning of a text up to its next opening brace, so that a
// change within one object leaves the others alike.
func segment(text []byte) []byte {
	end := bytes.IndexByte(text[1:], '{') + 1
	if end == 0 {
		end = len(text)
	}
	return text[:min(end, maxSegment)]
}

// Apply gives the patched document; false when from isn't the document that the
// patch was made of.
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
