package agent

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// The caller sees one answer. The first Accepted is lost with its link, so the
// entry sends the offer again under its key through another: the agent must
// accept it as the one it has, else the engine would run the request twice.
func TestOfferTwiceRunsOnce(t *testing.T) {
	inBench(t, Config{}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		first := one[*wire.Accepted](b.c, b.link)
		other, _ := b.attach()
		b.agent.Handle(other, offerOf("r1"))
		b.c.Assert(one[*wire.Accepted](b.c, other).Generation, qt.Equals, first.Generation)
		b.c.Assert(b.target.count(), qt.Equals, 1)
	})
}

// The caller's request is moved elsewhere at once, on a proof. An offer comes
// that this agent must not run: each Refused promises that it never will, so the
// target must not have seen the request, then or later.
func TestRefusedOffers(t *testing.T) {
	late := claim.DefaultWindow().Start + time.Second
	for _, tc := range []struct {
		name   string
		before func(b *bench, o *wire.Offer)
		want   api.Reason
	}{
		{"earlier incarnation", func(_ *bench, o *wire.Offer) { o.Incarnation-- }, api.ReasonIncarnation},
		{"later incarnation", func(_ *bench, o *wire.Offer) { o.Incarnation++ }, api.ReasonIncarnation},
		{"leaving", func(b *bench, _ *wire.Offer) { b.agent.Leave() }, api.ReasonTargetLeaving},
		{"drained", func(b *bench, _ *wire.Offer) { b.say(&wire.Drain{Incarnation: incarnation}) }, api.ReasonTargetLeaving},
		{"tombstoned", func(b *bench, o *wire.Offer) { b.say(&wire.Tombstone{Key: o.Key, Incarnation: incarnation}) }, api.ReasonTombstoned},
		{"claimed long ago", func(b *bench, o *wire.Offer) {
			o.Claimed = true
			b.pass(late)
		}, api.ReasonTimeout},
		{"claimed in another incarnation's time", func(_ *bench, o *wire.Offer) {
			o.Claimed = true
			o.Echo = time.Hour
		}, api.ReasonTimeout},
		{"slots taken", func(b *bench, _ *wire.Offer) { b.say(callOf("r0")) }, api.ReasonQueueFull},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBench(t, Config{CallSlots: 1}, 8, func(b *bench) {
				o := callOf("r1")
				tc.before(b, o)
				runs := b.target.count()
				b.say(o)
				b.c.Assert(one[*wire.Refused](b.c, b.link).Reason, qt.Equals, tc.want)
				b.pass(time.Second)
				b.c.Assert(b.target.count(), qt.Equals, runs)
			})
		})
	}
}

// A drain meant for an earlier start of this agent comes late: the target that
// an operator has just restarted must not leave again.
func TestLateDrainIsDropped(t *testing.T) {
	inBench(t, Config{}, 8, func(b *bench) {
		b.say(&wire.Drain{Incarnation: incarnation - 1})
		b.say(offerOf("r1"))
		one[*wire.Accepted](b.c, b.link)
	})
}

// The waiting caller's request moves on, the running one's is finished here. The
// target leaves with one sequence running and one waiting; it may go only when
// the entry has acknowledged the end of what ran.
func TestLeaveHandsBackWhatWaits(t *testing.T) {
	inBench(t, Config{}, 1, func(b *bench) {
		b.say(offerOf("r1"))
		b.say(offerOf("r2"))
		b.c.Assert(b.target.count(), qt.Equals, 1)
		b.agent.Leave()
		f := one[*wire.Final](b.c, b.link)
		b.c.Assert(f.Key, qt.Equals, key("r2"))
		b.c.Assert(f.Outcome, qt.Equals, api.OutcomeNotRun)
		b.c.Assert(f.Reason, qt.Equals, api.ReasonTargetLeaving)
		b.say(&wire.Ack{Key: key("r2"), End: true})
		b.c.Assert(b.agent.Idle(), qt.IsFalse)
		run := b.target.run(0)
		run.say("a", "b")
		close(run.items)
		f = one[*wire.Final](b.c, b.link)
		b.c.Assert(f.Outcome, qt.Equals, api.OutcomeCompleted)
		b.c.Assert(f.Count, qt.Equals, uint64(2))
		b.c.Assert(b.agent.Idle(), qt.IsFalse)
		b.say(&wire.Ack{Key: key("r1"), Offset: 2, End: true})
		b.c.Assert(b.agent.Idle(), qt.IsTrue)
		b.c.Assert(b.target.count(), qt.Equals, 1)
	})
}

// The caller is told not_run, or may be moved, only on NotRun. The entry has
// lost sight of its offer and buries the key; whatever state the request is in,
// it must not start afterwards, and what may have started proves nothing.
func TestTombstone(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(b *bench)
		inc    api.Incarnation
		notRun bool
		after  api.Reason // of the final frame, "" for none
	}{
		{"before the offer", func(*bench) {}, incarnation, true, ""},
		{"queued", func(b *bench) {
			b.say(offerOf("r0"))
			b.say(offerOf("r1"))
		}, incarnation, true, api.ReasonCancelled},
		{"running", func(b *bench) { b.say(offerOf("r1")) }, incarnation, false, api.ReasonCancelled},
		{"ended", func(b *bench) {
			b.say(offerOf("r1"))
			close(b.target.run(0).items)
			heard[*wire.Final](b.link)
		}, incarnation, false, ""},
		{"refused by the target", func(b *bench) {
			b.target.refuse = api.NotRun(api.StepEngine, "", api.ReasonEngineRefused, nil)
			b.say(offerOf("r1"))
			heard[*wire.Final](b.link)
		}, incarnation, true, ""},
		{"another incarnation", func(*bench) {}, incarnation - 1, false, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBench(t, Config{}, 1, func(b *bench) {
				tc.before(b)
				runs := b.target.count()
				b.say(&wire.Tombstone{Key: key("r1"), Incarnation: tc.inc})
				b.c.Assert(one[*wire.Tombstoned](b.c, b.link).NotRun, qt.Equals, tc.notRun)
				if tc.after != "" {
					b.c.Assert(one[*wire.Final](b.c, b.link).Reason, qt.Equals, tc.after)
				}
				for i := range runs {
					b.target.run(i).Close()
				}
				heard[*wire.Accepted](b.link)
				late := offerOf("r1")
				late.Incarnation = tc.inc
				b.say(late)
				b.pass(time.Second)
				b.c.Assert(b.target.count(), qt.Equals, runs)
			})
		})
	}
}

// A caller goes while its request waits: the final frame says not_run, and the
// engine never sees it, also when room comes free.
func TestCancelOfAWaitingRequest(t *testing.T) {
	inBench(t, Config{}, 1, func(b *bench) {
		b.say(offerOf("r1"))
		b.say(offerOf("r2"))
		b.say(&wire.Cancel{Key: key("r2")})
		f := one[*wire.Final](b.c, b.link)
		b.c.Assert(f.Key, qt.Equals, key("r2"))
		b.c.Assert(f.Outcome, qt.Equals, api.OutcomeNotRun)
		close(b.target.run(0).items)
		b.pass(time.Second)
		b.c.Assert(b.target.count(), qt.Equals, 1)
	})
}

// A caller goes while the engine writes for it: the engine's work is cancelled.
// A plain call that its service has keeps the outcome unknown.
func TestCancelOfARunningRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		offer *wire.Offer
		fails error
		want  api.Outcome
	}{
		"generation": {offerOf("r1"), nil, api.OutcomeInterrupted},
		"call":       {callOf("r1"), nil, api.OutcomeInterrupted},
		"call without a head": {callOf("r1"), &api.Error{Step: api.StepEngine, Outcome: api.OutcomeUnknown, Reason: api.ReasonEngineDied},
			api.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			inBench(t, Config{}, 8, func(b *bench) {
				b.target.refuse = tc.fails
				b.say(tc.offer)
				run := b.target.run(0)
				b.say(&wire.Cancel{Key: key("r1")})
				b.c.Assert(run.cancelled(), qt.IsTrue)
				b.c.Assert(one[*wire.Final](b.c, b.link).Outcome, qt.Equals, tc.want)
				b.c.Assert(b.agent.Idle(), qt.IsTrue)
			})
		})
	}
}

// A caller that loses its connection comes back through another entry and gets
// the rest of the same generation; another customer that has learnt the request
// ID gets the answer that it would get for one that does not exist.
func TestHoldAndResume(t *testing.T) {
	inBench(t, Config{}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		gen := one[*wire.Accepted](b.c, b.link).Generation
		run := b.target.run(0)
		run.say("a", "b")
		b.c.Assert(text(b.c, heard[*wire.Data](b.link)), qt.Equals, "ab")
		b.say(&wire.Cancel{Key: key("r1"), Hold: 10 * time.Second})
		run.say("c")
		b.pass(5 * time.Second)
		b.c.Assert(run.cancelled(), qt.IsFalse)
		b.c.Assert(heard[*wire.Data](b.link), qt.HasLen, 0)

		other, _ := b.attach()
		latest := wire.Key{Request: "r1"}
		for _, m := range []*wire.Resume{
			{Key: latest, Generation: gen, Customer: "c2"},
			{Key: latest, Generation: gen + "x", Customer: "c1"},
			{Key: wire.Key{Request: "r9"}, Generation: gen, Customer: "c1"},
		} {
			b.agent.Handle(other, m)
			b.c.Assert(one[*wire.ResumeRefused](b.c, other).Reason, qt.Equals, api.ReasonTargetGone)
			b.c.Assert(heard[*wire.Data](other), qt.HasLen, 0)
		}
		b.agent.Handle(other, &wire.Resume{Key: latest, Generation: gen, Customer: "c1", Offset: 1})
		run.say("d")
		close(run.items)
		b.c.Assert(text(b.c, heard[*wire.Data](other)), qt.Equals, "bcd")
		b.c.Assert(one[*wire.Final](b.c, other).Count, qt.Equals, uint64(4))
		b.c.Assert(heard[*wire.Final](b.link), qt.HasLen, 0)
	})
}

// Nobody comes back to a held request: it is cancelled when the hold is over,
// and a hold longer than the agent's grace is cut to it.
func TestHoldEnds(t *testing.T) {
	for name, hold := range map[string]time.Duration{"short": 10 * time.Second, "longer than grace": time.Hour} {
		t.Run(name, func(t *testing.T) {
			inBench(t, Config{Grace: 30 * time.Second}, 8, func(b *bench) {
				b.say(offerOf("r1"))
				run := b.target.run(0)
				b.say(&wire.Cancel{Key: key("r1"), Hold: hold})
				end := min(hold, 30*time.Second)
				b.pass(end - time.Second)
				b.c.Assert(run.cancelled(), qt.IsFalse)
				b.pass(2 * time.Second)
				b.c.Assert(run.cancelled(), qt.IsTrue)
			})
		})
	}
}

// A caller comes back too late, or with an offset that was never sent: it is
// told so, and never given an answer with a hole.
func TestResumeOutsideTheWindow(t *testing.T) {
	inBench(t, Config{Replay: 100}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		item := strings.Repeat("x", 50)
		b.target.run(0).say(item, item, item, item, item, item)
		heard[*wire.Data](b.link)
		b.say(&wire.Ack{Key: key("r1"), Offset: 6})
		b.say(&wire.Resume{Key: key("r1"), Customer: "c1"})
		b.c.Assert(one[*wire.ResumeRefused](b.c, b.link).Reason, qt.Equals, api.ReasonReplayWindowPassed)
		b.say(&wire.Resume{Key: key("r1"), Customer: "c1", Offset: 7})
		b.c.Assert(one[*wire.ResumeRefused](b.c, b.link).Reason, qt.Equals, api.ReasonIntegrity)
		b.say(&wire.Resume{Key: key("r1"), Customer: "c1", Offset: 5})
		b.c.Assert(text(b.c, heard[*wire.Data](b.link)), qt.Equals, item)
	})
}

// A slow caller costs bounded memory: while its bytes are unacknowledged the
// engine's stream is not read on, and an acknowledgement frees it. An
// acknowledgement of what was never sent frees nothing.
func TestSlowCallerHoldsTheEngineBack(t *testing.T) {
	inBench(t, Config{Unacked: 100}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		run := b.target.run(0)
		item := strings.Repeat("x", 19) // 20 bytes packed
		for range 100 {
			run.say(item)
		}
		b.c.Assert(heard[*wire.Data](b.link), qt.HasLen, 6) // the first beyond the bound included
		b.say(&wire.Ack{Key: key("r1"), Offset: 50})
		b.c.Assert(heard[*wire.Data](b.link), qt.HasLen, 0)
		b.say(&wire.Ack{Key: key("r1"), Offset: 3})
		b.c.Assert(heard[*wire.Data](b.link), qt.HasLen, 3)
		b.c.Assert(run.items, qt.HasLen, 90) // nine sent, one in the agent's hand
		b.say(&wire.Cancel{Key: key("r1")})
		b.c.Assert(one[*wire.Final](b.c, b.link).Count, qt.Equals, uint64(9))
	})
}

// The caller's entry is killed. Its link goes; for the grace the engine writes on
// for an entry that redials, then the work is given up, for nobody can ask for
// it, and the agent may go.
func TestLinkLost(t *testing.T) {
	inBench(t, Config{Grace: 30 * time.Second}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		run := b.target.run(0)
		b.detach()
		b.pass(20 * time.Second)
		run.say("a")
		again, lose := b.attach()
		b.agent.Handle(again, &wire.Resume{Key: key("r1"), Customer: "c1"})
		b.c.Assert(text(b.c, heard[*wire.Data](again)), qt.Equals, "a")
		b.pass(time.Minute)
		b.c.Assert(run.cancelled(), qt.IsFalse)
		lose()
		b.pass(31 * time.Second)
		b.c.Assert(run.cancelled(), qt.IsTrue)
		b.c.Assert(b.agent.Idle(), qt.IsTrue)
	})
}

// An agent leaves only when no token is lost by it: an end that the entry has
// not acknowledged keeps it, unless nobody waits for that end any more.
func TestIdle(t *testing.T) {
	for name, tc := range map[string]struct {
		then func(b *bench)
		want bool
	}{
		"not acknowledged":    {func(*bench) {}, false},
		"items only":          {func(b *bench) { b.say(&wire.Ack{Key: key("r1"), Offset: 1}) }, false},
		"acknowledged":        {func(b *bench) { b.say(&wire.Ack{Key: key("r1"), Offset: 1, End: true}) }, true},
		"cancelled":           {func(b *bench) { b.say(&wire.Cancel{Key: key("r1")}) }, true},
		"link just lost":      {func(b *bench) { b.detach() }, false},
		"link lost for grace": {func(b *bench) { b.detach(); b.pass(31 * time.Second) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			inBench(t, Config{}, 8, func(b *bench) {
				b.say(offerOf("r1"))
				b.target.run(0).say("a")
				close(b.target.run(0).items)
				one[*wire.Final](b.c, b.link)
				tc.then(b)
				b.c.Assert(b.agent.Idle(), qt.Equals, tc.want)
			})
		})
	}
}

// The caller sees one run's text. The engine's memory fills: of two running
// sequences the one that has produced nothing gives way. Its first token comes
// all the same, from a connection that is closing; it must not become the head
// of what the second run writes.
func TestYield(t *testing.T) {
	inBench(t, Config{}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		b.c.Assert(b.target.count(), qt.Equals, 1)
		b.say(offerOf("r2"))
		first, second := b.target.run(0), b.target.run(1)
		first.say("x")
		b.c.Assert(text(b.c, heard[*wire.Data](b.link)), qt.Equals, "x")
		second.deaf = true
		heard[*wire.State](b.link)
		b.agent.observe(TargetLoad{Free: 0})
		b.c.Assert(one[*wire.State](b.c, b.link).Phase, qt.Equals, wire.PhaseQueued)
		b.c.Assert(second.cancelled(), qt.IsTrue)
		b.c.Assert(first.cancelled(), qt.IsFalse)
		second.say("late")
		close(first.items)
		b.pass(time.Second)
		again := b.target.run(2)
		b.c.Assert(again.work.Request, qt.Equals, api.RequestID("r2"))
		again.say("fresh")
		close(again.items)
		b.c.Assert(text(b.c, heard[*wire.Data](b.link)), qt.Equals, "fresh")
		finals := heard[*wire.Final](b.link)
		b.c.Assert(finals, qt.HasLen, 2)
		b.c.Assert(finals[1].Outcome, qt.Equals, api.OutcomeCompleted)
		b.c.Assert(finals[1].Count, qt.Equals, uint64(1))
	})
}

// A sequence whose first token comes just before its yield keeps running.
func TestYieldComesTooLate(t *testing.T) {
	inBench(t, Config{}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		s := b.agent.sessions[key("r1")]
		b.target.run(0).say("a")
		heard[*wire.Data](b.link)
		b.c.Assert(s.yield(), qt.IsFalse)
		b.c.Assert(b.target.run(0).cancelled(), qt.IsFalse)
	})
}

// A caller goes while its request has given way and the engine has not let go of
// it yet, while nothing may start. The request must leave the queue as well: it
// would be started later, when nothing of it is known here any more.
func TestCancelWhileYielding(t *testing.T) {
	inBench(t, Config{}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		b.c.Assert(b.target.count(), qt.Equals, 1)
		b.say(offerOf("r2"))
		b.target.run(0).say("x")
		second := b.target.run(1)
		heard[*wire.Data](b.link)
		b.agent.mu.Lock()
		id, ok := b.admit.Yield(0)
		b.admit.Preempted("r1", 1, time.Now())
		b.agent.mu.Unlock()
		b.c.Assert(ok, qt.IsTrue)
		b.c.Assert(id, qt.Equals, api.RequestID("r2"))
		b.c.Assert(b.agent.sessions[key("r2")].yield(), qt.IsTrue)
		b.say(&wire.Cancel{Key: key("r2")})
		b.c.Assert(second.cancelled(), qt.IsTrue)
		b.c.Assert(heard[*wire.Final](b.link), qt.HasLen, 1)
		b.agent.mu.Lock()
		waiting := b.admit.Snapshot(time.Now()).Waiting
		b.agent.mu.Unlock()
		b.c.Assert(waiting, qt.Equals, 0)
		b.pass(DefaultReplayTime + time.Second)
		b.target.run(0).say("y")
		b.pass(time.Second)
		b.c.Assert(b.target.count(), qt.Equals, 2)
	})
}

// A caller's connection breaks, it comes back at once, and only then does its
// first entry notice and cancel. That cancel is for the caller that left: the
// one that has come back must get its answer to the end.
func TestLateCancelOfALeftEntry(t *testing.T) {
	inBench(t, Config{}, 8, func(b *bench) {
		b.say(offerOf("r1"))
		run := b.target.run(0)
		run.say("a")
		heard[*wire.Data](b.link)
		other, _ := b.attach()
		back := wire.Key{Request: "r1"}
		b.agent.Handle(other, &wire.Resume{Key: back, Customer: "c1"})
		for _, hold := range []time.Duration{0, time.Minute} {
			b.say(&wire.Cancel{Key: key("r1"), Hold: hold})
			b.c.Assert(run.cancelled(), qt.IsFalse)
		}
		run.say("b")
		b.c.Assert(text(b.c, heard[*wire.Data](other)), qt.Equals, "ab")
		b.agent.Handle(other, &wire.Cancel{Key: back})
		b.c.Assert(run.cancelled(), qt.IsTrue)
	})
}

// loadFailures counts what the agent tells of failed load reports.
type loadFailures struct {
	noObserver
	n atomic.Int32
}

func (l *loadFailures) LoadFailed(error) { l.n.Add(1) }

// The engine stops reporting its load, comes back and stops again, each for many
// polls. The log tells twice: a line for each poll would hide all others.
func TestFailedLoadIsToldOnceEach(t *testing.T) {
	told := &loadFailures{}
	inBench(t, Config{Observer: told}, 1, func(b *bench) {
		for i, err := range []error{nil, errors.New("down"), nil, errors.New("down")} {
			b.target.mu.Lock()
			b.target.noLoad = err
			b.target.mu.Unlock()
			b.pass(10 * DefaultLoadEvery)
			b.c.Assert(told.n.Load(), qt.Equals, int32((i+1)/2))
		}
	})
}
