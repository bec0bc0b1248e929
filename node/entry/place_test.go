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

// meter counts the decisions of the retry policy.
type meter map[string]int

func (m meter) Retried(r api.Reason)  { m[string(r)]++ }
func (m meter) Denied(w retry.Denial) { m["not: "+string(w)]++ }

func newRetryHarness(t *testing.T, o retry.Options) (*harness, meter) {
	h, m := newHarness(t), meter{}
	h.entry.retrier = NewRetries(o, m)
	return h, m
}

// refuseBid waits for a bid request and refuses it.
func (a *fakeAgent) refuseBid(reason api.Reason, after time.Duration) {
	a.c.Helper()
	a.send(&wire.Bid{Key: a.expectBidRequest().Key, Refuse: reason, RetryAfter: after})
}

// expectBidRequest waits for a bid request and leaves it unanswered.
func (a *fakeAgent) expectBidRequest() *wire.BidRequest {
	a.c.Helper()
	m, ok := (<-a.link.sent).(*wire.BidRequest)
	a.c.Assert(ok, qt.IsTrue)
	return m
}

// acceptAndComplete accepts a request and completes it without any items.
func (a *fakeAgent) acceptAndComplete(o *wire.Offer) {
	a.accept(o)
	a.final(o, "g-"+api.GenerationID(a.id))
}

// One target refuses to bid and the other accepts the request. The caller must not
// notice, and no retry is counted.
func TestBidRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, m := newRetryHarness(t, retry.Options{})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		ans := h.start(generationRequest())
		a1.refuseBid(api.ReasonQueueFull, time.Second)
		a2.acceptAndComplete(expect[*wire.Offer](a2))
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		h.c.Assert(m, qt.HasLen, 0)
		a1.expectNothing()
	})
}

// The bid of one target arrives after the timeout. The other target's bid must be
// used, and the late bid must not count as the answer to anything else.
func TestBidExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newRetryHarness(t, retry.Options{})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		ans := h.start(generationRequest())
		late := a1.expectBidRequest()
		a2.send(&wire.Bid{Key: a2.expectBidRequest().Key, Wait: time.Second})
		time.Sleep(DefaultBid + time.Millisecond)
		a1.send(&wire.Bid{Key: late.Key})
		a2.acceptAndComplete(expect[*wire.Offer](a2))
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		a1.expectNothing()
	})
}

// Both targets bid and reserve memory for the request. The entry must cancel the
// reservation of the target that is not chosen at once. Otherwise that target would
// make other requests wait for one that never comes.
func TestPlaceOfTheOtherBidIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newRetryHarness(t, retry.Options{})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		ans := h.start(generationRequest())
		bid := a2.expectBidRequest()
		a2.send(&wire.Bid{Key: bid.Key, Wait: time.Second})
		a1.acceptAndComplete(expect[*wire.Offer](a1))
		h.c.Assert(expect[*wire.Cancel](a2).Key, qt.Equals, bid.Key)
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
	})
}

// Every target refuses because its queue is full. The caller must get that reason
// with the shortest RetryAfter of all targets, and no target is asked twice.
func TestAllTargetsCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, m := newRetryHarness(t, retry.Options{})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		ans := h.start(generationRequest())
		a1.refuseBid(api.ReasonQueueFull, 8*time.Second)
		a2.refuseBid(api.ReasonQueueFull, 5*time.Second)
		end := readAll(ans).end
		h.c.Assert(end.Outcome, qt.Equals, api.OutcomeNotRun)
		h.c.Assert(end.Reason, qt.Equals, api.ReasonQueueFull)
		h.c.Assert(end.RetryAfter, qt.Equals, 5*time.Second)
		h.c.Assert(m["queue_full"], qt.Equals, 1)
		a1.expectNothing()
		a2.expectNothing()
	})
}

// The caller's deadline passes before the targets accept requests again. The caller
// must get the refusal at once and not after a useless wait.
func TestNoRetryPastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, m := newRetryHarness(t, retry.Options{})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		r, start := generationRequest(), time.Now()
		r.Patience = 3 * time.Second
		ans := h.start(r)
		a1.refuseBid(api.ReasonQueueFull, 8*time.Second)
		a2.refuseBid(api.ReasonQueueFull, 5*time.Second)
		h.c.Assert(readAll(ans).end.Reason, qt.Equals, api.ReasonQueueFull)
		h.c.Assert(m, qt.DeepEquals, meter{"not: deadline": 1})
		h.c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Refused requests are retried until the retry budget is spent. From then on the
// caller must get the refusal itself, so that retries do not double the load.
func TestRetryBudgetSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := retry.BudgetOptions{Max: 1}
		h, m := newRetryHarness(t, retry.Options{Customer: one, Overall: one})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		refuse := func(a *fakeAgent, o *wire.Offer) {
			a.send(&wire.Refused{Key: o.Key, Reason: api.ReasonQueueFull, RetryAfter: 2 * time.Second})
		}
		ans := h.start(generationRequest())
		refuse(a1, expect[*wire.Offer](a1))
		a2.acceptAndComplete(expect[*wire.Offer](a2))
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		time.Sleep(time.Minute)
		ans = h.start(generationRequest())
		refuse(a1, expect[*wire.Offer](a1))
		end := readAll(ans).end
		h.c.Assert(end.Reason, qt.Equals, api.ReasonQueueFull)
		h.c.Assert(end.RetryAfter, qt.Equals, 2*time.Second)
		h.c.Assert(m, qt.DeepEquals, meter{"queue_full": 1, "not: budget": 1})
	})
}

// A target begins to leave before the offer reaches it, and refuses the offer. The
// request must move to the other target. Once the entry has received the
// announcement, it must not ask the leaving target again.
func TestTargetLeavesBetweenBidAndOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, m := newRetryHarness(t, retry.Options{})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		ans := h.start(bookingRequest())
		o := expect[*wire.Offer](a1)
		a1.send(&wire.Announce{Target: "t1", Incarnation: 1, Zone: "a", Models: []api.ModelID{"m"}, Services: []api.ServiceID{"s"}, Leaving: true})
		a1.send(&wire.Refused{Key: o.Key, Reason: api.ReasonTargetLeaving})
		a2.acceptAndComplete(expect[*wire.Offer](a2))
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		h.c.Assert(m, qt.DeepEquals, meter{"target_leaving": 1})
		ans = h.start(generationRequest())
		a2.acceptAndComplete(expect[*wire.Offer](a2))
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		a1.expectNothing()
	})
}

// The entry's view is stale: it sends the offer to an incarnation that is gone. The
// agent refuses the wrong incarnation, which proves that the request did not run,
// so it must move to the other target.
func TestStaleViewOfAnIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, m := newRetryHarness(t, retry.Options{})
		a1, a2 := h.agent("t1", 1), h.agent("t2", 1)
		ans := h.start(bookingRequest())
		o := expect[*wire.Offer](a1)
		h.c.Assert(o.Incarnation, qt.Equals, api.Incarnation(1))
		a1.send(&wire.Refused{Key: o.Key, Reason: api.ReasonIncarnation})
		a2.acceptAndComplete(expect[*wire.Offer](a2))
		h.c.Assert(readAll(ans).end.Outcome, qt.Equals, api.OutcomeCompleted)
		h.c.Assert(m, qt.DeepEquals, meter{"wrong_incarnation": 1})
	})
}
