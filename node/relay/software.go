package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/origin"
	"almondseam.dev/core/routeconf"
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

const (
	// originKept is how long after the end of a request the origin of its stream is kept: callers take
	// a stream up soon after it has broken off.
	originKept = time.Minute
	// retryFresh is the time after which a caller whose stream cannot be continued may begin anew.
	retryFresh = 50 * time.Millisecond
)

// originTTL returns how long the origin of the request's stream is kept.
func originTTL(req *Request) time.Duration { return time.Until(req.Deadline) + originKept }

// errNotNamed reports a request that takes up a stream without naming what brought its first event.
var errNotNamed = errors.New("the request does not name the one that began the stream")

// resolveOrigin determines which software may serve a request that takes a stream up. If it returns
// false, the request has been answered: it is refused if it is not known what began the stream, since
// any choice of a target could join two versions.
func (r *Relay) resolveOrigin(ctx context.Context, req *Request) bool {
	if req.Route.Kind != routeconf.KindStream || req.Ask.Resumes == "" && req.Ask.LastEvent == "" {
		return true
	}
	began := time.Now()
	var o origin.Origin
	var source string
	err := errNotNamed
	key := origin.KeyOf(req.customerID(), req.Ask.Resumes)
	if req.Ask.Resumes != "" {
		find, cancel := context.WithDeadline(ctx, startupDeadline(req))
		o, source, err = r.origins.Find(find, key)
		cancel()
	}
	found := o
	o = r.targets.resolve(found)
	r.obs.OriginFound(req, o, source, time.Since(began), err)
	switch {
	case err != nil && req.callerGone():
		r.failCancelled(req)
		return false
	case err != nil:
		return r.refuse(req, http.StatusServiceUnavailable, api.ReasonOriginUnknown, retryFresh)
	case o.Software == "" && !r.targets.knowsRun(o):
		// The run has not announced itself here yet, or has ended before it did.
		return r.refuse(req, http.StatusServiceUnavailable, api.ReasonOriginUnknown, retryNoTarget)
	case !req.Route.SendsTo(o.Service):
		return r.refuse(req, http.StatusServiceUnavailable, api.ReasonVersionGone, retryFresh)
	}
	req.Service = o.Service
	req.origin.Store(&o)
	r.origins.Began(key, found, originTTL(req)) // the caller may take it up once more
	return true
}

// noneContinues reports whether the request's stream has begun and no target that takes requests runs
// the software that may continue it.
func (r *Relay) noneContinues(req *Request) bool {
	if req.origin.Load() == nil {
		return false
	}
	list := r.targets.Of(req.Service)
	for _, t := range list {
		if req.mayContinueAt(t) && !t.isDraining() {
			return false
		}
	}
	return len(list) > 0
}
