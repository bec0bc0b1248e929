package relay

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// TestBodiesOccupyBoundedMemory guards against bodies of many callers that take an instance over its memory,
// and against memory that stays counted.
func TestBodiesOccupyBoundedMemory(t *testing.T) {
	const size, bound = 1 << 20, 8 << 20
	sent := bytes.Repeat([]byte("b"), size)
	for _, length := range []int64{size, -1} {
		m := &callerMemory{bound: bound}
		var held []int
		for {
			b, err := m.readBody(iotest.HalfReader(bytes.NewReader(sent)), length)
			if err != nil {
				qt.Assert(t, err, qt.Equals, errBodyMemory)
				break
			}
			qt.Assert(t, bytes.Equal(b, sent), qt.IsTrue)
			held = append(held, cap(b))
		}
		sum := 0
		for _, n := range held {
			sum += n
			m.releaseBody(n)
		}
		qt.Assert(t, sum <= bound/bodyMemoryDivisor, qt.IsTrue)
		qt.Assert(t, len(held) > 0, qt.IsTrue)
		qt.Assert(t, m.bodies.Load(), qt.Equals, int64(0))
		failure := errors.New("reset")
		_, err := m.readBody(io.MultiReader(bytes.NewReader(sent[:10]), iotest.ErrReader(failure)), length)
		qt.Assert(t, err, qt.Equals, failure)
		qt.Assert(t, m.bodies.Load(), qt.Equals, int64(0))
	}
	m := &callerMemory{}
	_, err := m.readBody(bytes.NewReader(sent), 1<<50)
	qt.Assert(t, err, qt.IsNil) // the length is not believed
	b, err := m.readBody(bytes.NewReader(nil), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b, qt.HasLen, 0)
}
