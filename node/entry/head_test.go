package entry

import (
	"fmt"
	"testing"
	"testing/synctest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// badHeads are heads that are no final response's.
func badHeads() map[string]wire.Head {
	heads := make(map[string]wire.Head)
	for _, status := range []int{-1, 0, 1, 99, 100, 101, 103, 199, 600, 999, 1200} {
		heads[fmt.Sprint(status)] = wire.Head{Status: status}
	}
	for _, name := range []string{"", " ", "X Bad", "X-Bad ", " X-Bad", "X\tBad", "X\x00Bad", "X\r\nBad", "X:Bad", "X-B\xe4d", "Content-Length "} {
		heads[fmt.Sprintf("%q", name)] = wire.Head{Status: 200, Headers: []wire.Header{{Name: "X", Value: "v"}, {Name: name, Value: "v"}}}
	}
	return heads
}

// TestHeadThatIsNoAnswerReachesNoCaller guards against an agent of another version that reports a status which is no
// final answer, or a field without a valid name: what may be repeated is served elsewhere, and what must not ends as
// unknown.
func TestHeadThatIsNoAnswerReachesNoCaller(t *testing.T) {
	for name, head := range badHeads() {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/repeatable=%v", name, repeatable), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t)
					a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
					ans := h.start(&Request{Service: "s", Query: routing.Query{Service: "s"}, Method: "GET", Repeatable: repeatable})
					o := expect[*wire.Offer](a1)
					a1.accept(o)
					bad := head
					bad.Key, bad.Generation = o.Key, "g-t1"
					a1.send(&bad)
					a1.data(o, "g-t1", 0, "bad")
					a1.final(o, "g-t1", "bad")
					want := callerResult{end: End{Outcome: api.OutcomeUnknown, Reason: api.ReasonEngineDied}}
					synctest.Wait()
					if repeatable {
						h.c.Assert(a2.link.sent, qt.HasLen, 1, qt.Commentf("not sent elsewhere"))
						o2 := expect[*wire.Offer](a2)
						a2.accept(o2)
						a2.send(&wire.Head{Key: o2.Key, Generation: "g-t2", Status: 200})
						a2.data(o2, "g-t2", 0, "own")
						a2.final(o2, "g-t2", "own")
						want = callerResult{text: "own", end: End{Outcome: api.OutcomeCompleted}}
					}
					got := readAll(ans)
					h.c.Assert(got.text, qt.Equals, want.text)
					h.c.Assert(got.end.Outcome, qt.Equals, want.end.Outcome)
					h.c.Assert(got.end.Reason, qt.Equals, want.end.Reason)
				})
			})
		}
	}
}

// TestRareStatusReachesItsCaller guards against an answer that is lost because its status is rare.
func TestRareStatusReachesItsCaller(t *testing.T) {
	for _, status := range []int{200, 204, 299, 304, 451, 500, 599} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			a := h.agent("t1", 1)
			ans := h.start(bookingRequest())
			o := expect[*wire.Offer](a)
			a.accept(o)
			a.send(&wire.Head{Key: o.Key, Generation: "g-t1", Status: status})
			a.final(o, "g-t1")
			h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		})
	}
}
