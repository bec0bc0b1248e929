package entry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// Frames are repeated, lost, reordered and mixed with those of another
// generation. The caller gets every item once, in order, and the entry asks for
// the missing ones once, not once for each frame behind the gap.
func TestFramesThatCross(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, a, ans, o := accepted(t)
		a.data(o, "g-t1", 0, "a", "b")
		a.data(o, "g-t1", 0, "a", "b") // repeated
		a.data(o, "other", 2, "X")     // another generation
		a.data(o, "g-t1", 3, "d")      // "c" is missing
		a.data(o, "g-t1", 4, "e")
		r := hear[*wire.Resume](a)
		b.c.Assert(r.Offset, qt.Equals, uint64(2))
		b.c.Assert(r.Generation, qt.Equals, api.GenerationID("g-t1"))
		a.hush()
		a.data(o, "g-t1", 1, "b", "c", "d", "e") // overlaps what is there
		a.final(o, "g-t1", "a", "b", "c", "d", "e")
		b.c.Assert(read(ans), qt.Equals, told{text: "abcde", end: End{Outcome: api.OutcomeCompleted}})
		b.c.Assert(b.drops.n, qt.DeepEquals, map[string]int{"duplicate": 1, "foreign": 1, "gap": 2})
		a.data(o, "g-t1", 5, "late")
		b.c.Assert(b.drops.n["late"], qt.Equals, 1)
	})
}

// The final frame overtakes items, or its checksum disagrees. The first is
// mended by asking for the rest; the second must reach the caller as an error.
func TestFinalThatDoesNotAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, a, ans, o := accepted(t)
		a.data(o, "g-t1", 0, "a")
		a.final(o, "g-t1", "a", "b")
		b.c.Assert(hear[*wire.Resume](a).Offset, qt.Equals, uint64(1))
		a.data(o, "g-t1", 1, "X")
		a.final(o, "g-t1", "a", "b")
		got := read(ans)
		b.c.Assert(got.end.Outcome, qt.Equals, api.OutcomeInterrupted)
		b.c.Assert(got.end.Reason, qt.Equals, api.ReasonIntegrity)
	})
}

// An offer is held up in the link of an agent that does not answer. Before the
// request may be started elsewhere, a tombstone forbids the late offer and the
// agent's answer proves that nothing ran.
func TestSilentAgentIsBuriedBeforeTheRequestMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		ans := b.start(booking())
		o1 := hear[*wire.Offer](a1)
		a2.hush()
		ts := hear[*wire.Tombstone](a1)
		b.c.Assert(ts.Key, qt.Equals, o1.Key)
		a2.hush()
		a1.say(&wire.Tombstoned{Key: ts.Key, NotRun: true})
		o2 := hear[*wire.Offer](a2)
		b.c.Assert(o2.Key.Attempt, qt.Equals, api.Attempt(2))
		a2.accept(o2)
		a2.say(&wire.Head{Key: o2.Key, Generation: "g-t2", Status: 201})
		a2.final(o2, "g-t2")
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
	})
}

// What a caller is told of a booking after each fault, and whether the other
// target was asked. Only a proof lets the booking go there.
func TestBookingAfterFaults(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(b *bench, a *fakeAgent, o *wire.Offer)
		outcome api.Outcome
		moves   bool
	}{
		{"refused", func(_ *bench, a *fakeAgent, o *wire.Offer) {
			a.say(&wire.Refused{Key: o.Key, Reason: api.ReasonTargetLeaving})
		}, api.OutcomeCompleted, true},
		{"agent answers nothing at all", func(_ *bench, a *fakeAgent, o *wire.Offer) {
			hear[*wire.Tombstone](a)
		}, api.OutcomeUnknown, false},
		{"tombstone comes too late", func(_ *bench, a *fakeAgent, o *wire.Offer) {
			a.say(&wire.Tombstoned{Key: hear[*wire.Tombstone](a).Key})
		}, api.OutcomeUnknown, false},
		{"target never reached", func(_ *bench, a *fakeAgent, o *wire.Offer) {
			a.accept(o)
			a.fail(o, api.OutcomeNotRun, api.ReasonEngineUnreachable)
		}, api.OutcomeCompleted, true},
		{"service closes after reading", func(_ *bench, a *fakeAgent, o *wire.Offer) {
			a.accept(o)
			a.fail(o, api.OutcomeUnknown, api.ReasonEngineDied)
		}, api.OutcomeUnknown, false},
		{"link lost and agent stays away", func(_ *bench, a *fakeAgent, o *wire.Offer) {
			a.accept(o)
			a.lose()
		}, api.OutcomeUnknown, false},
		{"agent restarts", func(b *bench, a *fakeAgent, o *wire.Offer) {
			a.lose()
			b.agent("t1", 2)
		}, api.OutcomeUnknown, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
				ans := b.start(booking())
				tc.fault(b, a1, hear[*wire.Offer](a1))
				if tc.moves {
					o := hear[*wire.Offer](a2)
					a2.accept(o)
					a2.final(o, "g-t2")
				}
				b.c.Assert(read(ans).end.Outcome, qt.Equals, tc.outcome)
				a2.hush()
			})
		})
	}
}

// The link is lost before the agent has answered the offer, and comes back. The
// offer is sent again under the same key, which the agent recognises.
func TestUnansweredOfferIsSentAgainUnderItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.agent("t1", 1)
		ans := b.start(booking())
		o := hear[*wire.Offer](a)
		a.lose()
		back := b.agent("t1", 1)
		again := hear[*wire.Offer](back)
		b.c.Assert(again.Key, qt.Equals, o.Key)
		back.accept(again)
		back.final(again, "g-t1")
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
	})
}

// The caller goes while its request waits for a lost agent. The request ends at
// once, not after the wait.
func TestCallerGoesWhileAgentIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.agent("t1", 1)
		ans := b.start(generation())
		a.accept(hear[*wire.Offer](a))
		a.lose()
		synctest.Wait()
		start := time.Now()
		ans.Cancel(0)
		b.c.Assert(read(ans).end.Reason, qt.Equals, api.ReasonCancelled)
		b.c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// The machine is so busy that the driver runs again only after the deadline of
// the offer, with the agent's acceptance waiting for it. It must not bury the
// request: the agent would cut off what is running.
func TestLateDriverDoesNotBuryARunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 { // the runtime chooses at random between what is ready
			b := newBench(t)
			a := b.agent("t1", 1)
			p := b.entry.peers.get("t1")
			g := newLeg(&Request{ID: "r1"}, newAnswer(), 1, p, b.drops)
			b.entry.legs.add(g)
			f := follower{e: b.entry, g: g, deadline: time.NewTimer(time.Second)}
			a.say(&wire.Accepted{Key: g.key, Generation: "g"})
			time.Sleep(2 * time.Second)
			for range 2 {
				done, err := f.step(t.Context())
				b.c.Assert(done, qt.IsFalse, qt.Commentf("%v", err))
				if f.accepted {
					break
				}
			}
			a.hush()
		}
	})
}

// An answer of large items, such as chunks with log probabilities, comes one
// item at a time. The entry must acknowledge by bytes handed out: an agent stops
// at its bound of unacknowledged bytes, long before a count of items is reached,
// and the answer would stand still for good.
func TestLargeItemsAreAcknowledgedByTheirBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, a, ans, o := accepted(t)
		item := strings.Repeat("x", 1<<10)
		var acked uint64
		for i := range uint64(32) {
			a.data(o, "g-t1", i, item)
			for ans.Next(time.Hour).Kind != EventItems {
			}
			ans.Next(0)
			select {
			case m := <-a.link.sent:
				acked = m.(*wire.Ack).Offset
			default:
			}
			b.c.Assert(i+1-acked <= ackEvery>>10, qt.IsTrue, qt.Commentf("%d items, acknowledged up to %d", i+1, acked))
		}
		ans.Cancel(0)
	})
}

// The agent sends the last items and the final frame and is killed, and the
// driver comes to run only then. The caller must get its whole answer at once,
// since all of it has arrived, and not wait for an agent that is gone.
func TestFinalFrameGoesBeforeTheEndOfItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 { // the runtime chooses at random between what is ready
			b := newBench(t)
			a := b.agent("t1", 1)
			g := newLeg(&Request{ID: "r1"}, newAnswer(), 1, b.entry.peers.get("t1"), b.drops)
			b.entry.legs.add(g)
			f := follower{e: b.entry, g: g, accepted: true, deadline: stoppedTimer()}
			o := &wire.Offer{Key: g.key}
			a.data(o, "g", 0, "a")
			a.final(o, "g", "a")
			a.lose()
			done, err := f.step(t.Context())
			b.c.Assert(err, qt.IsNil)
			b.c.Assert(done, qt.IsTrue)
		}
	})
}

// What an entry tells of a target that starts, leaves, starts anew on another
// link and loses it: each once, though an agent announces itself again and again.
func TestTargetsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.agent("t1", 1)
		leaving := &wire.Announce{Target: "t1", Incarnation: 1, Leaving: true}
		a.say(leaving)
		a.say(leaving)
		next := b.agent("t1", 2)
		a.lose() // the newer link has replaced it already
		next.lose()
		b.c.Assert(b.drops.targets, qt.DeepEquals, []string{"announced 1", "leaving 1", "announced 2", "gone 2"})
	})
}

// A customer comes back for its answer; another one, who has learnt the request's
// ID, asks for it at the same entry. The agent has accepted the first alone, and
// not one item may reach the other, nor be kept from the first.
func TestStrangerGetsNothingOfARequestItNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.agent("t1", 1)
		place := ResumePoint{Target: "t1", Generation: "g-t1", Offset: 1}
		request := func(c api.CustomerID) *Request { return &Request{ID: "r1", Size: wire.Size{Customer: c}} }
		o := &wire.Offer{Key: wire.Key{Request: "r1", Attempt: 2}}

		early, err := b.entry.Resume(t.Context(), request("stranger"), place)
		b.c.Assert(err, qt.IsNil)
		asked := hear[*wire.Resume](a)
		a.data(o, "g-t1", 1, "secret") // for its owner, on the same link
		a.say(&wire.Returned{Key: asked.Key, Reason: api.ReasonTargetGone})
		got := read(early)
		b.c.Assert(got.text, qt.Equals, "")
		b.c.Assert(got.end.Reason, qt.Equals, api.ReasonTargetGone)
		synctest.Wait()

		owner, err := b.entry.Resume(t.Context(), request("owner"), place)
		b.c.Assert(err, qt.IsNil)
		asked = hear[*wire.Resume](a)
		a.say(&wire.Accepted{Key: asked.Key, Generation: "g-t1"})
		_, err = b.entry.Resume(t.Context(), request("stranger"), place)
		b.c.Assert(api.AsError(err).Reason, qt.Equals, api.ReasonTargetGone)
		a.data(o, "g-t1", 1, "b", "c")
		a.say(&wire.Final{Key: o.Key, Generation: "g-t1", Count: 3, Outcome: api.OutcomeCompleted})
		b.c.Assert(read(owner), qt.Equals, told{text: "bc", end: End{Outcome: api.OutcomeCompleted}})
	})
}
