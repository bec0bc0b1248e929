package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// meter counts what the retry policy decides.
type meter map[string]int

func (m meter) Retried(r api.Reason)  { m[string(r)]++ }
func (m meter) Denied(w retry.Denial) { m["not: "+string(w)]++ }

func newRetryBench(t *testing.T, o retry.Options) (*bench, meter) {
	b, m := newBench(t), meter{}
	b.entry.retrier = NewRetries(o, m)
	return b, m
}

func (a *fakeAgent) refuseBid(reason api.Reason, after time.Duration) {
	a.c.Helper()
	a.say(&wire.Bid{Key: a.asked().Key, Refuse: reason, RetryAfter: after})
}

// asked waits for a bid request and leaves it unanswered.
func (a *fakeAgent) asked() *wire.BidRequest {
	a.c.Helper()
	m, ok := (<-a.link.sent).(*wire.BidRequest)
	a.c.Assert(ok, qt.IsTrue)
	return m
}

func (a *fakeAgent) finish(o *wire.Offer) {
	a.accept(o)
	a.final(o, "g-"+api.GenerationID(a.id))
}

// One target refuses to bid, the other takes the request: the caller notices
// nothing.
func TestBidRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, m := newRetryBench(t, retry.Options{})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		ans := b.start(generation())
		a1.refuseBid(api.ReasonQueueFull, time.Second)
		a2.finish(hear[*wire.Offer](a2))
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		b.c.Assert(m, qt.HasLen, 0)
		a1.hush()
	})
}

// One target's bid comes after its time. The other's counts, and the late one
// must not be taken for an answer to anything else.
func TestBidExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newRetryBench(t, retry.Options{})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		ans := b.start(generation())
		late := a1.asked()
		a2.say(&wire.Bid{Key: a2.asked().Key, Wait: time.Second})
		time.Sleep(DefaultBid + time.Millisecond)
		a1.say(&wire.Bid{Key: late.Key})
		a2.finish(hear[*wire.Offer](a2))
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		a1.hush()
	})
}

// Both targets bid and keep a place. The one that isn't chosen gets its place
// back at once, or others would be told to wait for a request that never comes.
func TestPlaceOfTheOtherBidIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newRetryBench(t, retry.Options{})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		ans := b.start(generation())
		bid := a2.asked()
		a2.say(&wire.Bid{Key: bid.Key, Wait: time.Second})
		a1.finish(hear[*wire.Offer](a1))
		b.c.Assert(hear[*wire.Cancel](a2).Key, qt.Equals, bid.Key)
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
	})
}

// Every target is crowded. The caller is told so, with the time that the
// soonest of them gave, and no target is asked twice.
func TestAllTargetsCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, m := newRetryBench(t, retry.Options{})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		ans := b.start(generation())
		a1.refuseBid(api.ReasonQueueFull, 8*time.Second)
		a2.refuseBid(api.ReasonQueueFull, 5*time.Second)
		end := read(ans).end
		b.c.Assert(end.Outcome, qt.Equals, api.OutcomeNotRun)
		b.c.Assert(end.Reason, qt.Equals, api.ReasonQueueFull)
		b.c.Assert(end.RetryAfter, qt.Equals, 5*time.Second)
		b.c.Assert(m["queue_full"], qt.Equals, 1)
		a1.hush()
		a2.hush()
	})
}

// The deadline passes before the targets want to be asked again: the caller is
// told at once instead of after a wait in vain.
func TestNoRetryPastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, m := newRetryBench(t, retry.Options{})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		r, start := generation(), time.Now()
		r.Patience = 3 * time.Second
		ans := b.start(r)
		a1.refuseBid(api.ReasonQueueFull, 8*time.Second)
		a2.refuseBid(api.ReasonQueueFull, 5*time.Second)
		b.c.Assert(read(ans).end.Reason, qt.Equals, api.ReasonQueueFull)
		b.c.Assert(m, qt.DeepEquals, meter{"not: deadline": 1})
		b.c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Refusals of all requests come back as retries until the budget is spent; from
// then on the caller gets the refusal itself, and the load is not doubled.
func TestRetryBudgetSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := retry.BudgetOptions{Max: 1}
		b, m := newRetryBench(t, retry.Options{Customer: one, Overall: one})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		refuse := func(a *fakeAgent, o *wire.Offer) {
			a.say(&wire.Refused{Key: o.Key, Reason: api.ReasonQueueFull, RetryAfter: 2 * time.Second})
		}
		ans := b.start(generation())
		refuse(a1, hear[*wire.Offer](a1))
		a2.finish(hear[*wire.Offer](a2))
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		time.Sleep(time.Minute)
		ans = b.start(generation())
		refuse(a1, hear[*wire.Offer](a1))
		end := read(ans).end
		b.c.Assert(end.Reason, qt.Equals, api.ReasonQueueFull)
		b.c.Assert(end.RetryAfter, qt.Equals, 2*time.Second)
		b.c.Assert(m, qt.DeepEquals, meter{"queue_full": 1, "not: budget": 1})
	})
}

// A target bids and begins to leave before the offer reaches it. It refuses, the
// request goes elsewhere, and once the entry has heard, nobody asks it again.
func TestTargetLeavesBetweenBidAndOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, m := newRetryBench(t, retry.Options{})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		ans := b.start(booking())
		o := hear[*wire.Offer](a1)
		a1.say(&wire.Announce{Target: "t1", Incarnation: 1, Zone: "a", Models: []api.ModelID{"m"}, Services: []api.ServiceID{"s"}, Leaving: true})
		a1.say(&wire.Refused{Key: o.Key, Reason: api.ReasonTargetLeaving})
		a2.finish(hear[*wire.Offer](a2))
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		b.c.Assert(m, qt.DeepEquals, meter{"target_leaving": 1})
		ans = b.start(generation())
		a2.finish(hear[*wire.Offer](a2))
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		a1.hush()
	})
}

// The entry's view is stale: it believes in the incarnation that has gone. The
// agent refuses by incarnation, which proves that nothing ran.
func TestStaleViewOfAnIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, m := newRetryBench(t, retry.Options{})
		a1, a2 := b.agent("t1", 1), b.agent("t2", 1)
		ans := b.start(booking())
		o := hear[*wire.Offer](a1)
		b.c.Assert(o.Incarnation, qt.Equals, api.Incarnation(1))
		a1.say(&wire.Refused{Key: o.Key, Reason: api.ReasonIncarnation})
		a2.finish(hear[*wire.Offer](a2))
		b.c.Assert(read(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		b.c.Assert(m, qt.DeepEquals, meter{"wrong_incarnation": 1})
	})
}
