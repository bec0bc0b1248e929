package stream

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// packedRun returns the packed run of items.
func packedRun(items ...string) []byte {
	var p []byte
	for _, it := range items {
		p = Append(p, []byte(it))
	}
	return p
}

func TestReceiverFaults(t *testing.T) {
	tests := []struct {
		name    string
		gen     api.GenerationID
		off     uint64
		items   []string
		want    Verdict
		fresh   []string
		nextOff uint64
	}{
		{"next in order", "g1", 2, []string{"c"}, Fresh, []string{"c"}, 3},
		{"exact duplicate", "g1", 0, []string{"a", "b"}, Duplicate, nil, 2},
		{"overlap gives only the new part", "g1", 1, []string{"b", "c", "d"}, Fresh, []string{"c", "d"}, 4},
		{"gap takes nothing", "g1", 3, []string{"d"}, Gap, nil, 2},
		{"other generation takes nothing", "g2", 2, []string{"c"}, OtherGeneration, nil, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r := NewReceiver()
			_, _, _, err := r.Accept("g1", 0, 2, packedRun("a", "b"))
			c.Assert(err, qt.IsNil)
			fresh, _, v, err := r.Accept(tc.gen, tc.off, len(tc.items), packedRun(tc.items...))
			c.Assert(err, qt.IsNil)
			c.Assert(v, qt.Equals, tc.want)
			c.Assert(fresh, qt.DeepEquals, packedRun(tc.fresh...))
			c.Assert(r.Next(), qt.Equals, tc.nextOff)
		})
	}
}

// Guards against a response that passes as complete although items are missing or
// altered, as when an engine dies and its last frames are lost. Missing items must
// be reported as missing, and altered ones must fail the comparison with the final
// frame.
func TestReceiverNeverPassesShortAnswer(t *testing.T) {
	c := qt.New(t)
	b := NewBuffer(1 << 10)
	b.Append([]byte("a"))
	b.Append([]byte("b"))
	r := NewReceiver()
	_, _, _, err := r.Accept("g", 0, 1, packedRun("a"))
	c.Assert(err, qt.IsNil)
	missing, err := r.Complete("g", b.End(), b.Sum())
	c.Assert(err, qt.IsNil)
	c.Assert(missing, qt.IsTrue)
	_, _, _, err = r.Accept("g", 1, 1, packedRun("X"))
	c.Assert(err, qt.IsNil)
	_, err = r.Complete("g", b.End(), b.Sum())
	c.Assert(err, qt.ErrorMatches, "received 2 items.*")
}

func TestReceiverRefusesMiscountedRun(t *testing.T) {
	c := qt.New(t)
	_, _, _, err := NewReceiver().Accept("g", 0, 3, packedRun("a", "b"))
	c.Assert(err, qt.ErrorIs, ErrPacked)
}

// Runs of items are lost or sent again between agent and entry, and the entry
// resumes at its next offset or a few items earlier. The caller must receive every
// item once and in order.
func TestLossyTransferDeliversOnceInOrder(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		b := NewBuffer(64)
		r := NewReceiver()
		var want, got []byte
		total := uint64(50 + rng.IntN(200))
		for r.Next() < total {
			for b.End() < total && rng.IntN(3) > 0 {
				item := fmt.Appendf(nil, "tok%d", b.End())
				want = Append(want, item)
				b.Append(item)
			}
			off := r.Next()
			if back := rng.Uint64N(4); back <= off {
				off -= back
			}
			packed, n, err := b.From(nil, off, 1+rng.IntN(40))
			if err != nil {
				c.Assert(err, qt.ErrorIs, ErrBeforeWindow, qt.Commentf("seed %d", seed))
				continue
			}
			if rng.IntN(4) == 0 {
				continue // the run is lost
			}
			fresh, _, _, err := r.Accept("g", off, n, packed)
			c.Assert(err, qt.IsNil)
			got = append(got, fresh...)
			if rng.IntN(2) == 0 {
				c.Assert(b.Ack(r.Next()), qt.IsNil)
			}
		}
		c.Assert(string(got), qt.Equals, string(want), qt.Commentf("seed %d", seed))
		missing, err := r.Complete("g", b.End(), b.Sum())
		c.Assert(err, qt.IsNil)
		c.Assert(missing, qt.IsFalse)
	}
}

func TestBufferKeepsWindowAndDropsBeyond(t *testing.T) {
	c := qt.New(t)
	b := NewBuffer(100)
	for i := range 1000 {
		b.Append(fmt.Appendf(nil, "%04d", i))
		c.Assert(b.Ack(b.End()), qt.IsNil)
		c.Assert(b.Held() <= 160, qt.IsTrue)
	}
	_, _, err := b.From(nil, 0, 10)
	c.Assert(err, qt.ErrorIs, ErrBeforeWindow)
	packed, n, err := b.From(nil, 990, 1<<10)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 10)
	first, _, err := Next(packed)
	c.Assert(err, qt.IsNil)
	c.Assert(string(first), qt.Equals, "0990")
	c.Assert(b.Ack(2000), qt.ErrorIs, ErrBeyondEnd)
}

func FuzzReceiver(f *testing.F) {
	f.Add(uint64(0), 1, []byte{1, 'a'})
	f.Add(uint64(0), 2, []byte{0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, off uint64, n int, packed []byte) {
		r := NewReceiver()
		if n < 0 {
			return
		}
		before := r.Next()
		_, fresh, v, err := r.Accept("g", off, n, packed)
		if (v != Fresh || err != nil) && r.Next() != before {
			t.Fatalf("state moved on verdict %d", v)
		}
		if v == Fresh && err == nil && uint64(fresh) != r.Next() {
			t.Fatalf("took %d items, next is %d", fresh, r.Next())
		}
	})
}
