package main

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
	qt "github.com/frankban/quicktest"
)

const longAgo = time.Hour

// calmChecker returns a checker whose fleet has been calm for an hour. Versions 4 and 5 were
// acknowledged an hour ago; version 5, the latest, sends the changing route to app-b.
func calmChecker() *checker {
	k := newChecker()
	k.calmSince = time.Now().Add(-longAgo)
	k.Proposed(4, serviceA)
	k.Proposed(5, serviceB)
	k.acked = []ack{{4, time.Now().Add(-longAgo)}, {5, time.Now().Add(-longAgo)}}
	return k
}

func run(id string, t api.TargetID, s api.ServiceID) standin.Run {
	return standin.Run{Request: api.RequestID(id), Target: t, Service: s}
}

// recordLimit records that a target announced a rate limit some time ago, and that n
// requests reach it now.
func recordLimit(k *checker, t api.TargetID, rate float64, since time.Duration, n int) {
	k.Limited(t, serviceA, rate)
	k.limits.periods[t][0].from = time.Now().Add(-since)
	recordArrivals(k, t, n)
}

func recordArrivals(k *checker, t api.TargetID, n int) {
	for range n {
		k.limits.arrived[t] = append(k.limits.arrived[t], time.Now())
	}
}

// recordBackoff records that a target asked for an hour without requests ten seconds ago, and that n
// requests of the same entry reach it now.
func recordBackoff(k *checker, n int) {
	r := run("r", "x", serviceA)
	r.Began = time.Now().Add(-10 * time.Second)
	k.Rejected(r, longAgo)
	for range n {
		r.Began = time.Now()
		k.Rejected(r, 0)
	}
}

// recordLeavingCall records that a call reaches a target, sent the given time after an entry has
// forwarded a response which states that the target is leaving.
func recordLeavingCall(k *checker, after time.Duration) {
	r := run("r", "x", serviceA)
	k.Ran(r)
	k.Answered("r", standin.Answer{Status: 200, Whole: true, Sealed: true, Request: "r", Target: "x", Leaving: true})
	k.Sent("s", requestKind{}, "e")
	k.calls["s"].sent = time.Now().Add(after)
	r.Request, r.Began = "s", time.Now().Add(after)
	k.Ran(r)
}

// recordRelease records that a target stopped rejecting requests long ago.
func recordRelease(k *checker) {
	k.Rejecting(serviceA)
	k.Released(serviceA, "x")
	k.calmSince = k.calmSince.Add(-longAgo)
	k.backoffs.releases[0].at = time.Now().Add(-longAgo)
}

// TestBrokenPromisesAreSeen feeds the checker sequences that keep a guarantee and sequences
// that violate it. It guards against checks that can never fail.
func TestBrokenPromisesAreSeen(t *testing.T) {
	atMostOnce, idempotent, change := requestKind{atMostOnce: true}, requestKind{}, requestKind{changing: true}
	stream, resumable := requestKind{atMostOnce: true, events: 2}, requestKind{events: 2}
	events := func(whole bool, list ...standin.Event) standin.Answer {
		return standin.Answer{Status: 200, Whole: whole, Events: list}
	}
	one, two := standin.Event{Number: 1, Request: "r", Target: "x"}, standin.Event{Number: 2, Request: "r", Target: "x"}
	other := standin.Event{Number: 2, Request: "r", Target: "y"}
	for _, tt := range []struct {
		name   string
		kind   requestKind
		steps  func(k *checker)
		broken bool
	}{
		{"runs once", atMostOnce, func(k *checker) { k.Ran(run("r", "x", serviceA)) }, false},
		{"runs twice", atMostOnce, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Ran(run("r", "y", serviceA)) }, true},
		{"may run twice", idempotent, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Ran(run("r", "y", serviceA)) }, false},
		{"was never sent", idempotent, func(k *checker) { k.Ran(run("s", "x", serviceA)) }, true},
		{"refused, then runs", atMostOnce, func(k *checker) { k.Answered("r", standin.Answer{Status: 503}); k.Ran(run("r", "x", serviceA)) }, true},
		{"runs, then refused", idempotent, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Answered("r", standin.Answer{Status: 503}) }, true},
		{"another's answer", idempotent, func(k *checker) {
			k.Ran(run("r", "x", serviceA))
			k.Answered("r", standin.Answer{Status: 200, Whole: true, Sealed: true, Request: "s", Target: "x"})
		}, true},
		{"its own answer", idempotent, func(k *checker) {
			k.Ran(run("r", "x", serviceA))
			k.Answered("r", standin.Answer{Status: 200, Whole: true, Sealed: true, Request: "r", Target: "x"})
		}, false},
		{"a target that names a limit gets that", idempotent, func(k *checker) { recordLimit(k, "x", 1, longAgo, 11) }, false},
		{"a target that names a limit gets more", idempotent, func(k *checker) { recordLimit(k, "x", 1, longAgo, 12) }, true},
		{"a target that has just begun to name one", idempotent, func(k *checker) { recordLimit(k, "x", 1, time.Second, 12) }, false},
		{"a target that names one no more", idempotent, func(k *checker) { recordLimit(k, "x", 1, longAgo, 0); k.Unlimited("x"); recordArrivals(k, "x", 12) }, false},
		{"a target whose requests were held up", idempotent, func(k *checker) { k.Excuse("x", longAgo); recordLimit(k, "x", 1, longAgo, 12) }, false},
		{"a target that names less than before", idempotent, func(k *checker) { recordLimit(k, "x", 2, longAgo, 17); k.Limited("x", serviceA, 1) }, false},
		{"a target in backoff gets two", idempotent, func(k *checker) { recordBackoff(k, 2) }, false},
		{"a target in backoff gets three", idempotent, func(k *checker) { recordBackoff(k, 3) }, true},
		{"a target in backoff gets three from an entry that was restarted", idempotent, func(k *checker) { recordBackoff(k, 3); k.Disturbed("e") }, false},
		{"a target in backoff gets three that were held up", idempotent, func(k *checker) { recordBackoff(k, 3); k.Excuse("x", longAgo) }, false},
		{"a target that leaves gets a call", idempotent, func(k *checker) { recordLeavingCall(k, leavingLatitude+time.Second) }, true},
		{"a target that leaves gets a call sent before", idempotent, func(k *checker) { recordLeavingCall(k, leavingLatitude-time.Second) }, false},
		{"a target that leaves gets a call from an entry that was restarted", idempotent, func(k *checker) {
			recordLeavingCall(k, leavingLatitude+time.Second)
			k.Disturbed("e")
		}, false},
		{"a target that has ended its rejections gets nothing", idempotent, func(k *checker) { recordRelease(k) }, true},
		{"a target that has ended its rejections gets nothing, long after an evacuation", idempotent, func(k *checker) {
			recordRelease(k)
			k.evacuations = []delayPeriod{{time.Now().Add(-3 * longAgo), time.Now().Add(-2 * longAgo)}}
		}, true},
		{"a target that has ended its rejections gets nothing in an evacuation", idempotent, func(k *checker) {
			recordRelease(k)
			k.Evacuated(otherZone, time.Now().Add(-longAgo))
		}, false},
		{"a target that has ended its rejections and named a limit long before gets nothing", idempotent, func(k *checker) {
			recordRelease(k)
			k.limits.periods["x"] = []limitPeriod{{from: time.Now().Add(-3 * longAgo), to: time.Now().Add(-2 * longAgo)}}
		}, true},
		{"a target that has ended its rejections and names a limit gets nothing", idempotent, func(k *checker) {
			recordRelease(k)
			k.limits.periods["x"] = []limitPeriod{{from: time.Now().Add(-2 * longAgo)}}
		}, false},
		{"a target that has ended its rejections and leaves gets nothing", idempotent, func(k *checker) { recordRelease(k); k.StatesLeaving("x") }, false},
		{"a target that has ended its rejections gets calls", idempotent, func(k *checker) {
			recordRelease(k)
			k.backoffs.arrivals[link{"e", "x"}] = []arrival{{at: k.backoffs.releases[0].at.Add(time.Second)}}
		}, false},
		{"a target rejects what nobody sent", idempotent, func(k *checker) { k.Rejected(run("s", "x", serviceA), 0) }, true},
		{"whole stream", stream, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Answered("r", events(true, one, two)) }, false},
		{"broken stream that says so", stream, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Answered("r", events(false, one)) }, false},
		{"broken stream that looks whole", stream, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Answered("r", events(true, one)) }, true},
		{"an event twice", stream, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Answered("r", events(false, one, one)) }, true},
		{"an event missing", stream, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Answered("r", events(false, two)) }, true},
		{"two runs joined", stream, func(k *checker) {
			k.Ran(run("r", "x", serviceA))
			k.calls["r"].runs = append(k.calls["r"].runs, run("r", "y", serviceA))
			k.Answered("r", events(true, one, other))
		}, true},
		{"two runs of a stream that may go on elsewhere", resumable, func(k *checker) {
			k.Ran(run("r", "x", serviceA))
			k.Ran(run("r", "y", serviceA))
			k.Answered("r", events(true, one, other))
		}, false},
		{"run by what the newest version names", change, func(k *checker) { k.Ran(run("r", "x", serviceB)) }, false},
		{"run by what only an older version names", change, func(k *checker) { k.Ran(run("r", "x", serviceA)) }, true},
		{"the newest version is read", idempotent, func(k *checker) { k.Read("m", 5, time.Now()) }, false},
		{"an older version is read", idempotent, func(k *checker) { k.Read("m", 4, time.Now()) }, true},
		{"sent to one that has left", idempotent, func(k *checker) { k.Drained("x", time.Now().Add(-longAgo)); k.Ran(run("r", "x", serviceA)) }, true},
		{"sent to an evacuated zone", idempotent, func(k *checker) {
			k.Evacuated(otherZone, time.Now().Add(-longAgo))
			k.Ran(standin.Run{Request: "r", Target: "x", Service: serviceA, Zone: otherZone})
		}, true},
		{"sent to a zone that was just evacuated", idempotent, func(k *checker) {
			k.Evacuated(otherZone, time.Now())
			k.Ran(standin.Run{Request: "r", Target: "x", Service: serviceA, Zone: otherZone})
		}, false},
		{"sent to a zone that was taken back", idempotent, func(k *checker) {
			k.Evacuated(otherZone, time.Now().Add(-longAgo))
			k.TakenBack(otherZone)
			k.Ran(standin.Run{Request: "r", Target: "x", Service: serviceA, Zone: otherZone})
		}, false},
		{"a process ends by itself", idempotent, func(k *checker) { k.Unwell("it ended") }, true},
		{"a calm fleet serves nobody", idempotent, func(k *checker) { k.Answered("r", standin.Answer{Status: 502}) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := calmChecker()
			k.Sent("r", tt.kind, "e")
			tt.steps(k)
			if tt.kind.events > 0 {
				k.calmCalls, k.servedCalls = 0, 0 // check the stream's events only, not the success ratio
			}
			_, broken := k.evaluate()
			qt.New(t).Assert(len(broken) > 0, qt.Equals, tt.broken, qt.Commentf("%v", broken))
		})
	}
}

// TestTooManyRetriesAreSeen checks that exactly the budget passes and one retry more is a
// violation. It guards against a check of the retry budget that can never fail.
func TestTooManyRetriesAreSeen(t *testing.T) {
	for extra, broken := range map[int]bool{0: false, 1: true} {
		c := qt.New(t)
		k := newChecker()
		for i := range int(retrySlack) + extra {
			id := api.RequestID(fmt.Sprint(i))
			k.Sent(id, requestKind{}, "e")
			k.Ran(standin.Run{Request: id, Target: "x", Service: serviceA, Began: time.Now()})
			k.Ran(standin.Run{Request: id, Target: "y", Service: serviceA, Began: time.Now()})
		}
		_, seen := k.evaluate()
		c.Assert(len(seen) > 0, qt.Equals, broken, qt.Commentf("%v", seen))
	}
}

// TestCheckerNoticesTwoSoftwareVersions guards against a check that accepts a stream continued at another
// software version, in one answer or by a call that takes it up.
func TestCheckerNoticesTwoSoftwareVersions(t *testing.T) {
	event := func(number int, request api.RequestID, target api.TargetID) standin.Event {
		return standin.Event{Number: number, Request: request, Target: target}
	}
	for _, tt := range []struct {
		name     string
		first    []standin.Event
		then     []standin.Event
		violated bool
	}{
		{"one version", []standin.Event{event(1, "a", "x1"), event(2, "a", "y1")}, []standin.Event{event(3, "b", "y1")}, false},
		{"two in one answer", []standin.Event{event(1, "a", "x1"), event(2, "a", "z2")}, nil, true},
		{"two in two calls", []standin.Event{event(1, "a", "x1")}, []standin.Event{event(2, "b", "z2")}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := newChecker()
			k.Started("x1", serviceDrafts, "v1")
			k.Started("y1", serviceDrafts, "v1")
			k.Started("z2", serviceDrafts, "v2")
			k.Sent("a", draftKind, "e")
			for _, target := range []api.TargetID{"x1", "y1", "z2"} {
				k.Ran(standin.Run{Request: "a", Target: target, Service: serviceDrafts, Zone: ownZone, Began: time.Now()})
			}
			k.Answered("a", standin.Answer{Status: 200, Events: tt.first})
			if tt.then != nil {
				k.TakenUp("b", draftKind, "e", tt.first[len(tt.first)-1])
				for _, target := range []api.TargetID{"y1", "z2"} {
					k.Ran(standin.Run{Request: "b", Target: target, Service: serviceDrafts, Zone: ownZone, Began: time.Now()})
				}
				k.Answered("b", standin.Answer{Status: 200, Events: tt.then})
			}
			qt.Assert(t, len(k.violations) > 0, qt.Equals, tt.violated, qt.Commentf("%v", k.violations))
		})
	}
}
