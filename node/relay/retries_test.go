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

// scripted is a grantor that answers after a while as it is told.
type scripted struct {
	answer retrybudget.Answer
	err    error
	after  time.Duration
	asks   []retrybudget.Ask
}

func (s *scripted) Retry(ctx context.Context, ask retrybudget.Ask) (retrybudget.Answer, error) {
	s.asks = append(s.asks, ask)
	select {
	case <-time.After(s.after):
		return s.answer, s.err
	case <-ctx.Done():
		return retrybudget.Answer{}, ctx.Err()
	}
}

var someRetries = retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second}

// Where a retry is paid from, and why it is denied.
func TestRetryIsPaid(t *testing.T) {
	for _, tt := range []struct {
		name    string
		firsts  int
		grantor scripted
		paid    string
		reason  api.Reason
		asks    int
	}{
		{"by the entry's own requests", 10, scripted{}, paidOwn, "", 0},
		{"by the shared budget", 9, scripted{answer: retrybudget.Answer{Granted: true}, after: 5 * time.Millisecond}, paidPool, "", 1},
		{"the shared budget is spent", 0, scripted{answer: retrybudget.Answer{Reason: api.ReasonRetryBudget}}, "", api.ReasonRetryBudget, 1},
		{"no member answers", 0, scripted{after: time.Hour}, "", api.ReasonControlUnavailable, 1},
		{"no member is reached", 0, scripted{err: errors.New("no link")}, "", api.ReasonControlUnavailable, 1},
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
				c.Assert(v.Took <= askWithin, qt.IsTrue)
				if v.OK {
					c.Assert(taken.valid(time.Now()), qt.IsTrue)
				}
			})
		})
	}
}

// TestRefusalStandsForAWhile guards against a group that is asked by every request that
// fails while nothing is left.
func TestRefusalStandsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &scripted{answer: retrybudget.Answer{Reason: api.ReasonRetryBudget, RetryAfter: time.Hour}}
		r := NewRetries(someRetries, g)
		take := func(p retrybudget.Purpose) { r.Take(context.Background(), service, p) }
		for range 50 {
			take(retrybudget.PurposeRetry)
		}
		c.Assert(g.asks, qt.HasLen, 1)
		take(retrybudget.PurposeResume)
		c.Assert(g.asks, qt.HasLen, 2)
		time.Sleep(refusedFor)
		take(retrybudget.PurposeRetry)
		c.Assert(g.asks, qt.HasLen, 3)
	})
}

// TestUnusedRetryIsReturned guards against a budget that is spent on runs that could not
// be stopped after all.
func TestUnusedRetryIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &scripted{answer: retrybudget.Answer{Granted: true}}
		r := NewRetries(someRetries, g)
		taken, _ := r.Take(context.Background(), service, retrybudget.PurposeResume)
		r.GiveBack(taken)
		r.Wait()
		c.Assert(g.asks, qt.HasLen, 2)
		c.Assert(g.asks[1].Return, qt.IsTrue)
		c.Assert(g.asks[1].ID, qt.Equals, g.asks[0].ID)
	})
}

// TestLeaseOfAMoveEnds guards against a retry that is sent long after it was granted,
// when the group counts it no more: the copy of a stopped run may take seconds.
func TestLeaseOfAMoveEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := NewRetries(someRetries, &scripted{answer: retrybudget.Answer{Granted: true}})
		taken, _ := r.Take(context.Background(), service, retrybudget.PurposeResume)
		time.Sleep(retrybudget.LeaseTime)
		c.Assert(taken.valid(time.Now()), qt.IsFalse)
	})
}

// TestFailuresDoNotWaitForALeader guards against requests that are each held for the time
// of an ask while the control group has no leader. A stream that has begun asks again.
func TestFailuresDoNotWaitForALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &scripted{after: time.Hour}
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
