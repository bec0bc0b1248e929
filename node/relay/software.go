package relay

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
)

// SoftwareVersion returns the version of the target's software, empty if it is unknown.
func (t *Target) SoftwareVersion() api.SoftwareVersion {
	if v := t.software.Load(); v != nil {
		return *v
	}
	return ""
}

func (t *Target) setSoftware(v api.SoftwareVersion) { t.software.Store(&v) }

// isSameRun reports whether a record describes this run of the target. A target that does not state
// the start of its runs is taken for another run if it states another software version.
func (t *Target) isSameRun(r directory.Record) bool {
	if t.Born != r.Born || t.Address != r.Address || t.Service != r.Service {
		return false
	}
	known := t.SoftwareVersion()
	return r.Born != 0 || known == "" || r.Software == "" || known == r.Software
}

// stateSoftware applies the software version of a record of this run. It is unknown from then on if
// the record contradicts an earlier one, or if it is missing from a record that may be of another
// run.
func (t *Target) stateSoftware(r directory.Record) {
	known := t.SoftwareVersion()
	switch {
	case known == r.Software:
	case known == "":
		t.setSoftware(r.Software)
	case r.Software != "" || r.Born == 0:
		t.setSoftware("")
	}
}
