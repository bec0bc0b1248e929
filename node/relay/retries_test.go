package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retrybudget"
	qt "github.com/frankban/quicktest"
)

// scriptedGrantor returns a fixed answer after a delay, and records the requests.
type scriptedGrantor struct {
	answer retrybudget.Answer
	err    error
	after  time.Duration
	asks   []retrybudget.Ask
}

func (s *scriptedGrantor) Retry(ctx context.Context, ask retrybudget.Ask) (retrybudget.Answer, error) {
	s.asks = append(s.asks, ask)
	select {
	case <-time.After(s.after):
		return s.answer, s.err
	case <-ctx.Done():
		return retrybudget.Answer{}, ctx.Err()
	}
}

var someRetries = retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second}

// TestRetryIsPaid checks from which budget a retry is paid, and why it is denied.
func TestRetryIsPaid(t *testing.T) {
	for _, tt := range []struct {
		name    string
		firsts  int
		grantor scriptedGrantor
		paid    string
		reason  api.Reason
		asks    int
	}{
		{"from the entry's own budget", 10, scriptedGrantor{}, paidOwn, "", 0},
		{"from the shared pool", 9, scriptedGrantor{answer: retrybudget.Answer{Granted: true}, after: 5 * time.Millisecond}, paidPool, "", 1},
		{"the shared pool is exhausted", 0, scriptedGrantor{answer: retrybudget.Answer{Reason: api.ReasonRetryBudget}}, "", api.ReasonRetryBudget, 1},
		{"no member answers", 0, scriptedGrantor{after: time.Hour}, "", api.ReasonControlUnavailable, 1},
		{"no member is reached", 0, scriptedGrantor{err: errors.New("no link")}, "", api.ReasonControlUnavailable, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := NewRetries(someRetries, &tt.grantor)
				for range tt.firsts {
					r.First(service, time.Now())
				}
				taken, v := r.Take(context.Background(), service, retrybudget.PurposeResume)
				c.Assert(v.OK, qt.Equals, tt.paid != "")
				c.Assert(v.Paid, qt.Equals, tt.paid)
				c.Assert(v.Reason, qt.Equals, tt.reason)
				c.Assert(tt.grantor.asks, qt.HasLen, tt.asks)
				c.Assert(v.Took <= grantTimeout, qt.IsTrue)
				if v.OK {
					c.Assert(taken.valid(time.Now()), qt.IsTrue)
				}
			})
		})
	}
}

// TestRefusalStandsForAWhile guards against asking the control group for every failed request
// while the budget is exhausted.
func TestRefusalStandsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &scriptedGrantor{answer: retrybudget.Answer{Reason: api.ReasonRetryBudget, RetryAfter: time.Hour}}
		r := NewRetries(someRetries, g)
		take := func(p retrybudget.Purpose) { r.Take(context.Background(), service, p) }
		for range 50 {
			take(retrybudget.PurposeRetry)
		}
		c.Assert(g.asks, qt.HasLen, 1)
		take(retrybudget.PurposeResume)
		c.Assert(g.asks, qt.HasLen, 2)
		time.Sleep(maxRefusalTime)
		take(retrybudget.PurposeRetry)
		c.Assert(g.asks, qt.HasLen, 3)
	})
}

// TestUnusedRetryIsReturned guards against spending the budget on runs that then could not be
// stopped.
func TestUnusedRetryIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &scriptedGrantor{answer: retrybudget.Answer{Granted: true}}
		r := NewRetries(someRetries, g)
		taken, _ := r.Take(context.Background(), service, retrybudget.PurposeResume)
		r.GiveBack(taken)
		r.Wait()
		c.Assert(g.asks, qt.HasLen, 2)
		c.Assert(g.asks[1].Return, qt.IsTrue)
		c.Assert(g.asks[1].ID, qt.Equals, g.asks[0].ID)
	})
}

// TestLeaseOfAMoveEnds guards against using a retry long after it was granted, when the control
// group no longer counts it. Copying a stopped run can take that long: several seconds.
func TestLeaseOfAMoveEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := NewRetries(someRetries, &scriptedGrantor{answer: retrybudget.Answer{Granted: true}})
		taken, _ := r.Take(context.Background(), service, retrybudget.PurposeResume)
		time.Sleep(retrybudget.LeaseTime)
		c.Assert(taken.valid(time.Now()), qt.IsFalse)
	})
}

// TestFailuresDoNotWaitForALeader guards against each failed request waiting for the full
// timeout while the control group has no leader. The retry of a stream that has begun still
// asks.
func TestFailuresDoNotWaitForALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &scriptedGrantor{after: time.Hour}
		r := NewRetries(someRetries, g)
		for i := range 5 {
			began := time.Now()
			_, v := r.Take(context.Background(), service, retrybudget.PurposeRetry)
			c.Assert(v.Reason, qt.Equals, api.ReasonControlUnavailable)
			c.Assert(time.Since(began) > 0, qt.Equals, i == 0)
		}
		r.Take(context.Background(), service, retrybudget.PurposeResume)
		c.Assert(g.asks, qt.HasLen, 2)
	})
}
