package state

import (
	"strings"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
	qt "github.com/frankban/quicktest"
)

// TestReportOfAnyPathIsApplied guards against paths that callers choose and that make a report of a
// crash too long or impossible to decode.
func TestReportOfAnyPathIsApplied(t *testing.T) {
	c := qt.New(t)
	for _, uri := range []string{"/x", "/\xff\xfe", "/" + strings.Repeat("\u00e9", 4000), ""} {
		l := newLog(t)
		for i := range 3 {
			crash := quarantine.Crash{Target: "t", Born: int64(i + 1), Service: "s", Targets: 12, Lost: []quarantine.Lost{{URI: quarantine.ShortURI(uri), InProgress: 1}}}
			r := l.apply(Command{Now: int64(1000 * i), Quarantine: &quarantine.Command{Crash: &crash}})
			c.Assert(r.Reason, qt.Equals, api.Reason(""), qt.Commentf("%q: %s", uri, r.Message))
			l.reload()
		}
		c.Assert(l.s.Quarantine().Records, qt.HasLen, 1)
		c.Assert(l.s.Quarantine().Records[0].Quarantined(), qt.IsTrue)
	}
}
