package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
)

// Bounds for the guarantees that are checked only while the fleet is free of faults.
const (
	// settleTime is the time after the last fault until the fleet counts as calm.
	settleTime = 6 * time.Second
	// propagationBound is the time within which an accepted configuration must be applied
	// by all entries and returned by all control members. drainBound is the time within
	// which a draining target must stop receiving requests. Both are the guaranteed two
	// seconds plus one second for requests that were already in flight.
	propagationBound = 3 * time.Second
	drainBound       = 3 * time.Second
	// evacuationBound is the time within which the targets of an evacuated availability
	// zone must stop receiving new requests.
	evacuationBound = 5 * time.Second
	// minSuccessRatio is the fraction of calls that a calm fleet must answer successfully.
	minSuccessRatio = 0.97
	// retryRatio, retrySlack and retryWindow are the retry budget that the fleet is
	// configured with. The budget is small so that faults exhaust it.
	retryRatio  = 0.02
	retrySlack  = 8.0
	retryWindow = 10 * time.Second
)

// call records a caller's request: its kind, when it was sent, the runs of it that targets
// reported, and whether the caller was told that it did not run.
type call struct {
	kind requestKind
	// entry is the address of the entry that the call was sent to.
	entry   string
	sent    time.Time
	runs    []standin.Run
	refused bool
	// after is the number of the event after which the call takes a stream up, software the version
	// that began the stream; empty before its first event.
	after    int
	software string
	// counts is set if two targets of that version served when the call was sent.
	counts bool
}

// checker records what callers, targets and operators observe and checks it against the
// system's guarantees. Its exported methods may be called concurrently.
type checker struct {
	mu         sync.Mutex
	calls      map[api.RequestID]*call
	violations []string
	drained    map[api.TargetID]time.Time
	// evacuated holds the time at which the current evacuation of a zone was confirmed.
	evacuated map[api.Zone]time.Time
	// serviceByVersion holds the service that the changing route names in each proposed
	// configuration version. acked holds the accepted versions in the order of their
	// acknowledgement.
	serviceByVersion map[uint64]api.ServiceID
	acked            []ack
	// calmSince is the time at which the last fault ended; zero during a fault phase and
	// before the first one.
	calmSince              time.Time
	calmCalls, servedCalls int
	// sent holds the times of all calls; retries holds, for each service, the start times
	// of all runs of a call after its first.
	sent     []time.Time
	retries  map[api.ServiceID][]time.Time
	limits   limits
	backoffs backoffs
	crashes  crashes
	faults   faults
	streams  streams
	// evacuations holds the periods in which a zone was evacuated; to is zero until a period
	// ends.
	evacuations []delayPeriod
	// checkedReleases is the number of targets for which checkReleases had to decide.
	checkedReleases int
}

type ack struct {
	version uint64
	at      time.Time
}

func newChecker() *checker {
	return &checker{
		calls:            make(map[api.RequestID]*call),
		drained:          make(map[api.TargetID]time.Time),
		evacuated:        make(map[api.Zone]time.Time),
		serviceByVersion: make(map[uint64]api.ServiceID),
		retries:          make(map[api.ServiceID][]time.Time),
		limits:           newLimits(),
		backoffs:         newBackoffs(),
		crashes:          crashes{make(map[string][]crashRun)},
		streams:          streams{software: make(map[api.TargetID]string), stopped: make(map[api.TargetID]bool)},
	}
}

// recordViolation records a violated guarantee. The caller must hold k.mu.
func (k *checker) recordViolation(format string, args ...any) {
	k.violations = append(k.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Unwell records a failure of the fleet or of the test setup, such as a process that
// exited unexpectedly.
func (k *checker) Unwell(failure string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordViolation("%s", failure)
}

// Calm records that all faults have ended (true) or that a fault phase begins (false).
func (k *checker) Calm(calm bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calmSince = time.Time{}
	if calm {
		k.calmSince = time.Now()
	}
}

// calmAt reports whether the fleet had been free of faults for more than settleTime at t
// and still is. The caller must hold k.mu.
func (k *checker) calmAt(t time.Time) bool {
	return !k.calmSince.IsZero() && t.Sub(k.calmSince) > settleTime
}

// Sent records a call that is about to be made to an entry.
func (k *checker) Sent(id api.RequestID, kind requestKind, entry string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.calls[id] = &call{kind: kind, entry: entry, sent: now}
	k.sent = append(k.sent, now)
}

// Ran records a target's report that it runs a request, and checks it against the guarantees.
func (k *checker) Ran(r standin.Run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.calls[r.Request]
	if c == nil {
		k.recordViolation("%s ran %q, which nobody sent", r.Target, r.Request)
		return
	}
	c.runs = append(c.runs, r)
	k.recordArrival(c, r)
	k.recordCrashRun(c, r)
	k.limits.arrived[r.Target] = append(k.limits.arrived[r.Target], r.Began)
	if len(c.runs) > 1 {
		k.retries[r.Service] = append(k.retries[r.Service], r.Began)
	}
	if len(c.runs) > 1 && c.kind.atMostOnce {
		k.recordViolation("%s of %s ran at %s and at %s", r.Request, c.kind.path, c.runs[0].Target, r.Target)
	}
	if c.refused {
		k.recordViolation("%s was refused as not run and ran at %s", r.Request, r.Target)
	}
	if at, ok := k.drained[r.Target]; ok && k.calmAt(c.sent) && c.sent.Sub(at) > drainBound {
		k.recordViolation("%s was sent to %s %v after it said that it leaves", r.Request, r.Target, c.sent.Sub(at))
	}
	if at, ok := k.evacuated[r.Zone]; ok && k.calmAt(c.sent) && c.sent.Sub(at) > evacuationBound {
		k.recordViolation("%s was sent to %s in %s %v after its evacuation was confirmed", r.Request, r.Target, r.Zone, c.sent.Sub(at))
	}
	k.checkVersion(c, r)
}

// Evacuated records that the evacuation of a zone was confirmed.
func (k *checker) Evacuated(zone api.Zone, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evacuated[zone] = at
	k.evacuations = append(k.evacuations, delayPeriod{from: at})
}

// TakenBack records that the end of a zone's evacuation is about to be requested.
func (k *checker) TakenBack(zone api.Zone) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.evacuated, zone)
	if n := len(k.evacuations); n > 0 {
		k.evacuations[n-1].to = time.Now()
	}
}

// evacuatedBetween reports whether a zone was evacuated at some time between from and to, or
// returned to service less than evacuationBound before. The caller must hold k.mu.
func (k *checker) evacuatedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(k.evacuations, func(p delayPeriod) bool {
		return p.from.Before(to) && (p.to.IsZero() || from.Before(p.to.Add(evacuationBound)))
	})
}

// checkVersion checks that a run of the changing route went to a service named by one of
// the configuration versions that may be applied at that time. The caller must hold k.mu.
func (k *checker) checkVersion(c *call, r standin.Run) {
	if !c.kind.changing || !k.calmAt(c.sent) {
		return
	}
	minVersion := k.latestAckedBefore(c.sent.Add(-propagationBound))
	for v, service := range k.serviceByVersion {
		if v >= minVersion && service == r.Service {
			return
		}
	}
	k.recordViolation("%s was run by %s, though version %d was accepted %v before", r.Request, r.Service, minVersion, propagationBound)
}

// latestAckedBefore returns the highest version acknowledged before t, or 0 if there is
// none. The caller must hold k.mu.
func (k *checker) latestAckedBefore(t time.Time) uint64 {
	var v uint64
	for _, a := range k.acked {
		if a.at.Before(t) {
			v = max(v, a.version)
		}
	}
	return v
}

// Answered records the response that a caller received and checks it against the guarantees.
func (k *checker) Answered(id api.RequestID, a standin.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.calls[id]
	k.recordLeaving(c, a)
	if c.kind.resumable {
		k.countStream(c, a)
	}
	if k.calmAt(c.sent) && !c.kind.resumable && !k.restricted(c) && !strings.HasPrefix(c.kind.path, crashPrefix) {
		k.calmCalls++
		if a.Status == 200 && a.Whole {
			k.servedCalls++
		}
	}
	switch {
	case a.NotRun():
		c.refused = true
		if len(c.runs) > 0 {
			k.recordViolation("%s got %d, but ran at %s", id, a.Status, c.runs[0].Target)
		}
	case a.Status != 200:
	case c.kind.events > 0:
		k.checkEvents(id, c, a)
	case a.Whole && (a.Request != id || !a.Sealed || !ranAt(c, a.Target)):
		k.recordViolation("%s got an answer to %q by %q, sealed: %v", id, a.Request, a.Target, a.Sealed)
	}
}

// restricted reports whether a service that may serve the call had a target with an announced
// rate limit, or one that rejected or failed requests, when the call was sent or shortly before. The caller
// must hold k.mu.
func (k *checker) restricted(c *call) bool {
	return slices.ContainsFunc(c.kind.services, func(s api.ServiceID) bool {
		return k.limits.limitedAt(s, c.sent) || k.backoffs.rejectingAt(s, c.sent) || s == serviceFaulty && k.faults.failingAt(c.sent)
	})
}

func ranAt(c *call, t api.TargetID) bool {
	return slices.ContainsFunc(c.runs, func(r standin.Run) bool { return r.Target == t })
}

// checkEvents checks that the events of a stream arrived once each, in order, and belong to
// this request. If the request must run at most once, all events must come from the same
// run; a resumable stream may continue on another target. The caller must hold k.mu.
func (k *checker) checkEvents(id api.RequestID, c *call, a standin.Answer) {
	for i, e := range a.Events {
		number := c.after + i + 1
		switch {
		case e.Number != number:
			k.recordViolation("%s: event %d came as number %d", id, number, e.Number)
			return
		case e.Request != id || !ranAt(c, e.Target):
			k.recordViolation("%s: event %d is of %q by %q", id, number, e.Request, e.Target)
			return
		case c.kind.atMostOnce && e.Target != a.Events[0].Target:
			k.recordViolation("%s: event %d is of another run", id, number)
			return
		}
	}
	k.checkSoftware(id, c, a)
	if a.Whole && c.after+len(a.Events) != c.kind.events {
		k.recordViolation("%s looks whole with %d of %d events", id, c.after+len(a.Events), c.kind.events)
	}
}

// Drained records that a control member acknowledged a target's drain notice.
func (k *checker) Drained(t api.TargetID, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drained[t] = at
}

// Proposed records a configuration version before it is sent, with the service that its
// changing route names.
func (k *checker) Proposed(version uint64, changing api.ServiceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serviceByVersion[version] = changing
}

// Accepted records the acknowledgement of a configuration version.
func (k *checker) Accepted(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.acked = append(k.acked, ack{version, time.Now()})
}

// Read checks the configuration version that a control member returned for a read sent at
// the given time. A stale version is a violation even during faults.
func (k *checker) Read(member string, version uint64, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if minVersion := k.latestAckedBefore(sent.Add(-propagationBound)); version < minVersion {
		k.recordViolation("%s gave version %d, %d was accepted %v before", member, version, minVersion, propagationBound)
	}
}

// checkRetries checks the retries in every window against the retry budget, also during
// faults. All calls count as requests for each service, so the bound is looser than the
// budget itself. The caller must hold k.mu.
func (k *checker) checkRetries() {
	for service, list := range k.retries {
		slices.SortFunc(list, time.Time.Compare)
		for _, last := range list {
			end := last.Add(time.Nanosecond)
			from := end.Add(-retryWindow)
			maxRequests := max(
				countBetween(k.sent, from, end),
				countBetween(k.sent, from.Add(-retryWindow), from),
				countBetween(k.sent, from.Add(-retryWindow/2), end.Add(-retryWindow/2)),
			)
			got, bound := countBetween(list, from, end), retryRatio*float64(maxRequests)+retrySlack
			if float64(got) > bound {
				k.recordViolation("%s got %d retries in a window, of %.1f", service, got, bound)
				return
			}
		}
	}
}

// countBetween returns the number of times in list that lie in [from, to).
func countBetween(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// evaluate runs the checks that need the whole run and returns a summary and all violations.
func (k *checker) evaluate() (string, []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkRetries()
	k.checkLimits()
	k.checkBackoffs()
	k.checkLeaving()
	k.checkReleases()
	k.checkCrashes()
	k.checkFaults()
	k.checkStreams()
	violations := slices.Clone(k.violations)
	if k.calmCalls > 0 && float64(k.servedCalls) < minSuccessRatio*float64(k.calmCalls) {
		violations = append(violations, fmt.Sprintf("a calm fleet served %d of %d calls", k.servedCalls, k.calmCalls))
	}
	return fmt.Sprintf("%d calls, %d of %d served while calm, %d configurations accepted, %d released targets checked, %d runs that crashed their target, %d faults of targets checked, %d at-most-once calls lost in them, %d of %d streams began, %d of %d calls that take one up went on", len(k.calls), k.servedCalls, k.calmCalls, len(k.acked), k.checkedReleases, k.crashes.count(), k.faults.checked, k.faults.lostOnce, k.streams.begun, k.streams.asked, k.streams.goneOn, k.streams.takenUp), violations
}
