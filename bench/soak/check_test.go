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

// calmChecker has been calm for long, with version 5 in force for as long and the
// changing route at app-b since.
func calmChecker() *checker {
	k := newChecker()
	k.calmFrom = time.Now().Add(-longAgo)
	k.Proposed(4, serviceA)
	k.Proposed(5, serviceB)
	k.acked = []ack{{4, time.Now().Add(-longAgo)}, {5, time.Now().Add(-longAgo)}}
	return k
}

func run(id string, t api.TargetID, s api.ServiceID) standin.Run {
	return standin.Run{Request: api.RequestID(id), Target: t, Service: s}
}

// limited lets a target name a limit since some time, and lets so many requests reach it now.
func limited(k *checker, t api.TargetID, rate float64, since time.Duration, n int) {
	k.Limited(t, serviceA, rate)
	k.limits.spans[t][0].from = time.Now().Add(-since)
	arrive(k, t, n)
}

func arrive(k *checker, t api.TargetID, n int) {
	for range n {
		k.limits.arrived[t] = append(k.limits.arrived[t], time.Now())
	}
}

// Each promise, once kept and once broken: a check that can't fail proves nothing.
func TestBrokenPromisesAreSeen(t *testing.T) {
	once, look, change := traffic{once: true}, traffic{}, traffic{changing: true}
	stream, resumable := traffic{once: true, events: 2}, traffic{events: 2}
	events := func(whole bool, list ...standin.Event) standin.Answer {
		return standin.Answer{Status: 200, Whole: whole, Events: list}
	}
	one, two := standin.Event{Number: 1, Request: "r", Target: "x"}, standin.Event{Number: 2, Request: "r", Target: "x"}
	other := standin.Event{Number: 2, Request: "r", Target: "y"}
	for _, tt := range []struct {
		name   string
		what   traffic
		steps  func(k *checker)
		broken bool
	}{
		{"runs once", once, func(k *checker) { k.Ran(run("r", "x", serviceA)) }, false},
		{"runs twice", once, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Ran(run("r", "y", serviceA)) }, true},
		{"may run twice", look, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Ran(run("r", "y", serviceA)) }, false},
		{"was never sent", look, func(k *checker) { k.Ran(run("s", "x", serviceA)) }, true},
		{"refused, then runs", once, func(k *checker) { k.Answered("r", standin.Answer{Status: 503}); k.Ran(run("r", "x", serviceA)) }, true},
		{"runs, then refused", look, func(k *checker) { k.Ran(run("r", "x", serviceA)); k.Answered("r", standin.Answer{Status: 503}) }, true},
		{"another's answer", look, func(k *checker) {
			k.Ran(run("r", "x", serviceA))
			k.Answered("r", standin.Answer{Status: 200, Whole: true, Sealed: true, Request: "s", Target: "x"})
		}, true},
		{"its own answer", look, func(k *checker) {
			k.Ran(run("r", "x", serviceA))
			k.Answered("r", standin.Answer{Status: 200, Whole: true, Sealed: true, Request: "r", Target: "x"})
		}, false},
		{"a target that names a limit gets that", look, func(k *checker) { limited(k, "x", 1, longAgo, 11) }, false},
		{"a target that names a limit gets more", look, func(k *checker) { limited(k, "x", 1, longAgo, 12) }, true},
		{"a target that has just begun to name one", look, func(k *checker) { limited(k, "x", 1, time.Second, 12) }, false},
		{"a target that names one no more", look, func(k *checker) { limited(k, "x", 1, longAgo, 0); k.Unlimited("x"); arrive(k, "x", 12) }, false},
		{"a target whose requests were held up", look, func(k *checker) { k.Excuse("x", longAgo); limited(k, "x", 1, longAgo, 12) }, false},
		{"a target that names less than before", look, func(k *checker) { limited(k, "x", 2, longAgo, 17); k.Limited("x", serviceA, 1) }, false},
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
		{"the newest version is read", look, func(k *checker) { k.Read("m", 5, time.Now()) }, false},
		{"an older version is read", look, func(k *checker) { k.Read("m", 4, time.Now()) }, true},
		{"sent to one that has left", look, func(k *checker) { k.Drained("x", time.Now().Add(-longAgo)); k.Ran(run("r", "x", serviceA)) }, true},
		{"sent to an evacuated zone", look, func(k *checker) {
			k.Evacuated(otherZone, time.Now().Add(-longAgo))
			k.Ran(standin.Run{Request: "r", Target: "x", Service: serviceA, Zone: otherZone})
		}, true},
		{"sent to a zone that was just evacuated", look, func(k *checker) {
			k.Evacuated(otherZone, time.Now())
			k.Ran(standin.Run{Request: "r", Target: "x", Service: serviceA, Zone: otherZone})
		}, false},
		{"sent to a zone that was taken back", look, func(k *checker) {
			k.Evacuated(otherZone, time.Now().Add(-longAgo))
			k.TakenBack(otherZone)
			k.Ran(standin.Run{Request: "r", Target: "x", Service: serviceA, Zone: otherZone})
		}, false},
		{"a process ends by itself", look, func(k *checker) { k.Unwell("it ended") }, true},
		{"a calm fleet serves nobody", look, func(k *checker) { k.Answered("r", standin.Answer{Status: 502}) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := calmChecker()
			k.Sent("r", tt.what)
			tt.steps(k)
			if tt.what.events > 0 {
				k.calm, k.served = 0, 0 // only the stream's own promises here
			}
			_, broken := k.verdict()
			qt.New(t).Assert(len(broken) > 0, qt.Equals, tt.broken, qt.Commentf("%v", broken))
		})
	}
}

// TestTooManyRetriesAreSeen: a check of the retry budget that can't fail proves nothing.
func TestTooManyRetriesAreSeen(t *testing.T) {
	for extra, broken := range map[int]bool{0: false, 1: true} {
		c := qt.New(t)
		k := newChecker()
		for i := range int(retrySlack) + extra {
			id := api.RequestID(fmt.Sprint(i))
			k.Sent(id, traffic{})
			k.Ran(standin.Run{Request: id, Target: "x", Service: serviceA, Began: time.Now()})
			k.Ran(standin.Run{Request: id, Target: "y", Service: serviceA, Began: time.Now()})
		}
		_, seen := k.verdict()
		c.Assert(len(seen) > 0, qt.Equals, broken, qt.Commentf("%v", seen))
	}
}
