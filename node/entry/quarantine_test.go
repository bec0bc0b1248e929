package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// crashed ends a request as an agent does whose target has crashed.
func (a *fakeAgent) crashed(o *wire.Offer) {
	time.Sleep(60 * time.Millisecond)
	a.send(&wire.Final{
		Key: o.Key, Sum: stream.NewBuffer(0).Sum(), Outcome: api.OutcomeUnknown, Reason: api.ReasonEngineDied,
		Crash: &wire.Crash{At: time.Now().UnixMilli(), InProgress: 60 * time.Millisecond},
	})
}

// crashThreeTimes sends a request that crashes the agent's target each time.
func (h *harness) crashThreeTimes(a *fakeAgent) {
	for range 3 {
		ans := h.start(bookingRequest())
		o := expect[*wire.Offer](a)
		a.accept(o)
		a.crashed(o)
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeUnknown)
		time.Sleep(time.Second)
	}
}

// TestCrashingRequestIsNotOfferedAgain guards against a request that crashes its target and is sent
// on to one agent after the other.
func TestCrashingRequestIsNotOfferedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.agent("t1", 1)
		h.crashThreeTimes(a)
		end := readAll(h.start(bookingRequest())).end
		h.c.Assert(end.Reason, qt.Equals, api.ReasonQuarantined)
		h.c.Assert(end.Outcome, qt.Equals, api.OutcomeNotRun)
		h.c.Assert(end.RetryAfter > time.Minute, qt.IsTrue)
		a.expectNothing()

		other := bookingRequest()
		other.Body = []byte("another body")
		ans := h.start(other)
		o := expect[*wire.Offer](a)
		a.accept(o)
		a.send(&wire.Head{Key: o.Key, Generation: "g-t1", Status: 201})
		a.final(o, "g-t1")
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
	})
}

// TestQueuedRequestIsEndedWhenItIsQuarantined guards against a request that waits at an agent while
// it is found to crash targets, and is started there afterwards.
func TestQueuedRequestIsEndedWhenItIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.agent("t1", 1)
		queued := h.start(bookingRequest())
		waiting := expect[*wire.Offer](a)
		a.accept(waiting)
		h.crashThreeTimes(a)
		h.c.Assert(readAll(queued).end.Reason, qt.Equals, api.ReasonQuarantined)
		for m := range drained(a) {
			if c, ok := m.(*wire.Cancel); ok {
				h.c.Assert(c.Key, qt.Equals, waiting.Key)
				h.c.Assert(c.Hold, qt.Equals, time.Duration(0))
				return
			}
		}
		t.Error("the agent was not told to end the request")
	})
}

// drained returns the messages that were sent to an agent and not yet expected.
func drained(a *fakeAgent) <-chan wire.Message {
	out := make(chan wire.Message, cap(a.link.sent))
	defer close(out)
	for {
		select {
		case m := <-a.link.sent:
			out <- m
		default:
			return out
		}
	}
}
