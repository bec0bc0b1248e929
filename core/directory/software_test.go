package directory

import (
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// stated returns a record of a target that states a software version.
func stated(born int64, sequence uint64, software api.SoftwareVersion) Record {
	return Record{Target: "t", Service: "s", Address: "10.0.0.1:80", Born: born, Sequence: sequence, State: StateReady, Software: software}
}

// TestSoftwareVersionOfARun guards against a stream that is continued at another software version
// because the directory holds the version of an earlier run, or of none.
func TestSoftwareVersionOfARun(t *testing.T) {
	for _, tt := range []struct {
		name    string
		records []Record
		want    api.SoftwareVersion
	}{
		{"stated", []Record{stated(1, 1, "v1")}, "v1"},
		{"a later run states another", []Record{stated(1, 9, "v1"), stated(2, 1, "v2")}, "v2"},
		{"a late statement of an earlier run", []Record{stated(2, 1, "v2"), stated(1, 9, "v1")}, "v2"},
		{"missing in a later statement of the run", []Record{stated(1, 1, "v1"), stated(1, 2, "")}, "v1"},
		{"missing in the first statement of a later run", []Record{stated(1, 1, "v1"), stated(2, 1, "")}, ""},
		{"passed on without it first", []Record{stated(1, 1, ""), stated(1, 1, "v1")}, "v1"},
		{"passed on without it later", []Record{stated(1, 1, "v1"), stated(1, 1, "")}, "v1"},
		{"starts unstated, sequence begun anew", []Record{stated(0, 9, "v1"), stated(0, 1, "v2")}, ""},
		{"starts unstated, stated again", []Record{stated(0, 9, "v1"), stated(0, 1, "v2"), stated(0, 10, "v2")}, "v2"},
		{"starts unstated, missing later", []Record{stated(0, 1, "v1"), stated(0, 2, "")}, ""},
	} {
		for name, apply := range map[string]func(*Directory, Record){
			"announced": func(d *Directory, r Record) { d.Announce(r, time.Unix(0, 0)) },
			"merged":    func(d *Directory, r Record) { d.Merge(r, time.Unix(0, 0)) },
		} {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				d := New()
				for _, r := range tt.records {
					apply(d, r)
				}
				r, ok := d.Get("t")
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, r.Software, qt.Equals, tt.want)
			})
		}
	}
}

// TestLongSoftwareVersions guards against records that grow with what a target states, and against
// two long versions that are taken for one.
func TestLongSoftwareVersions(t *testing.T) {
	long := strings.Repeat("v", 4096)
	a, b := SoftwareVersion(long+"a"), SoftwareVersion(long+"b")
	qt.Assert(t, a, qt.Not(qt.Equals), b)
	qt.Assert(t, SoftwareVersion(long+"a"), qt.Equals, a)
	qt.Assert(t, len(a) <= maxSoftwareVersion, qt.IsTrue)
	qt.Assert(t, SoftwareVersion("v1"), qt.Equals, api.SoftwareVersion("v1"))
	qt.Assert(t, SoftwareVersion(""), qt.Equals, api.SoftwareVersion(""))
}
