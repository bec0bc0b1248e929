package state

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Operators send whole documents under version numbers that they choose themselves:
// concurrently, out of order, and again when an answer was lost. Every put must be
// accepted, and only the highest version may be in force.
func TestHighestVersionIsInForce(t *testing.T) {
	type put struct {
		version uint64
		text    string
	}
	for _, tt := range []struct {
		name string
		puts []put
		want string
	}{
		{"in order", []put{{3, "three"}, {7, "seven"}}, "seven"},
		{"an older one comes late", []put{{7, "seven"}, {3, "three"}}, "seven"},
		{"sent again", []put{{3, "three"}, {3, "three"}}, "three"},
		{"other content under the version held", []put{{3, "three"}, {3, "other"}}, "three"},
		{"sent again after a later one", []put{{3, "three"}, {7, "seven"}, {3, "three"}}, "seven"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := New(DefaultLimits())
			for i, p := range tt.puts {
				data, err := Encode(Command{Config: &ConfigPut{Version: p.version, Document: []byte(p.text)}})
				c.Assert(err, qt.IsNil)
				r := s.Apply(uint64(i+1), data)
				c.Assert(r.Config.Accepted, qt.IsTrue)
			}
			c.Assert(string(s.Current().Document), qt.Equals, tt.want)
		})
	}
}

// Checks that a document that is too large is refused and does not advance the version.
func TestVersionedDocumentIsBounded(t *testing.T) {
	c := qt.New(t)
	limits := DefaultLimits()
	limits.Config.MaxDocument = 4
	s := New(limits)
	data, err := Encode(Command{Config: &ConfigPut{Version: 1, Document: []byte("too long")}})
	c.Assert(err, qt.IsNil)
	c.Assert(s.Apply(1, data).Config.Accepted, qt.IsFalse)
	c.Assert(s.Current().Version, qt.Equals, uint64(0))
}
