package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFreshness guards against taking the configuration in force for the newest when nothing confirms it.
func TestFreshness(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	steps := []struct {
		name   string
		do     func(f *Freshness)
		newest bool // as of second 10
	}{
		{"nothing known", func(*Freshness) {}, false},
		{"in force, never confirmed", func(f *Freshness) { f.PutInForce(3) }, false},
		{"confirmed by an earlier query", func(f *Freshness) { f.Confirm(at(9), 3) }, false},
		{"a newer revision exists", func(f *Freshness) { f.Confirm(at(10), 4) }, false},
		{"an older reply comes late", func(f *Freshness) { f.Confirm(at(8), 3) }, false},
		{"the newer revision is in force", func(f *Freshness) { f.PutInForce(4) }, true},
		{"an even newer one is in force", func(f *Freshness) { f.PutInForce(6) }, true},
		{"an older one is put in force", func(f *Freshness) { f.PutInForce(2) }, true},
	}
	var f Freshness
	for _, s := range steps {
		s.do(&f)
		qt.Assert(t, f.NewestSince(at(10)), qt.Equals, s.newest, qt.Commentf("%s", s.name))
	}
}
