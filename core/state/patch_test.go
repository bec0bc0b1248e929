package state

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// routes returns a document with n routes.
func routes(version, n int, timeout func(i int) int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%d","path_prefix":"/p%d/","timeout_ms":%d,"split":[{"service":"a","weight":90},{"service":"b","weight":10}]},`, i, i, timeout(i))
	}
	b.WriteString(`{}]}`)
	return b.String()
}

// Guards against a patch that carries nearly the whole of a large document when only
// its version and one route in the middle change. That would occupy a slow link for
// half a second per change, and entry instances would apply a series of changes
// seconds late.
func TestPatchOfTwoPlacesIsSmall(t *testing.T) {
	c := qt.New(t)
	from := routes(38, 2800, func(int) int { return 500 })
	to := routes(39, 2800, func(i int) int {
		if i == 1400 {
			return 750
		}
		return 500
	})
	p := MakePatch([]byte(from), []byte(to))
	size := len(p.Middle)
	for _, piece := range p.Pieces {
		size += len(piece.Text)
	}
	c.Assert(size < 2<<10, qt.IsTrue, qt.Commentf("%d of %d bytes", size, len(to)))
	c.Assert(len(p.Pieces) < 8, qt.IsTrue, qt.Commentf("%d pieces", len(p.Pieces)))
	got, ok := p.Apply([]byte(from))
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(got), qt.Equals, to)
}

// Checks that a patch of any change gives the new document, and that applied to a
// document other than its base it gives the new document or fails.
func TestPatchesOfRandomChanges(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		n, m := rng.IntN(120), rng.IntN(120)
		changed := rng.IntN(20)
		any := func(int) int { return rng.IntN(1+changed) * 100 }
		from, to := []byte(routes(rng.IntN(9), n, any)), []byte(routes(rng.IntN(9), m, any))
		p := MakePatch(from, to)
		got, ok := p.Apply(from)
		c.Assert(ok, qt.IsTrue)
		c.Assert(string(got), qt.Equals, string(to))
		got, ok = p.Apply(to)
		c.Assert(!ok || string(got) == string(to), qt.IsTrue)
	}
}

// Checks that a patch whose pieces refer to bytes outside the old document is rejected.
func TestPatchOutOfBounds(t *testing.T) {
	for _, piece := range []Piece{{Offset: -1, Length: 1}, {Offset: 1, Length: 9}, {Offset: 9}, {Length: -1}} {
		_, ok := Patch{Pieces: []Piece{piece}}.Apply([]byte("abc"))
		qt.New(t).Assert(ok, qt.IsFalse)
	}
}
