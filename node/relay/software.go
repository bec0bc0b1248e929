package relay

import (
	"fmt"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/origin"
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

// origin returns the origin of the streams that the target begins.
func (t *Target) origin() origin.Origin {
	return origin.Of(t.Service, t.SoftwareVersion(), t.Target, t.Born)
}

// mayContinueAt reports whether the target runs the software that began the request's stream. A
// stream without any event may be served by any target.
func (req *Request) mayContinueAt(t *Target) bool {
	o := req.origin.Load()
	return o == nil || o.Allows(t.origin())
}

// OtherSoftwareError reports a stream that was not continued at a target, because the target may run
// other software than the one that began the stream.
type OtherSoftwareError struct {
	Peer api.TargetID
	// Began began the stream; Has is the target's.
	Began, Has origin.Origin
}

// Error implements error.
func (e *OtherSoftwareError) Error() string {
	return fmt.Sprintf("continue a stream at %s: its software is %s, the stream began at %s", e.Peer, describe(e.Has), describe(e.Began))
}

func describe(o origin.Origin) string {
	switch {
	case o.Software != "":
		return fmt.Sprintf("%s %q", o.Service, string(o.Software))
	case o.Born != 0:
		return fmt.Sprintf("%s of run %d of %s", o.Service, o.Born, o.Target)
	}
	return "unknown"
}

// checkSoftware returns an error if the request's stream must not be continued at the target.
func (req *Request) checkSoftware(t *Target) error {
	if req.mayContinueAt(t) {
		return nil
	}
	return &OtherSoftwareError{Peer: t.Target, Began: *req.origin.Load(), Has: t.origin()}
}

// recordOrigin records the software that brought the stream's first event.
func (s *streamRun) recordOrigin(l *leg) {
	if s.req.origin.Load() != nil {
		return
	}
	began := l.target.origin()
	s.req.origin.Store(&began)
}
