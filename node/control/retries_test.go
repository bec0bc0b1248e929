package control

import (
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
	qt "github.com/frankban/quicktest"
)

var tenRetries = retrybudget.Limits{Slack: 10, Window: 10 * time.Second}

func askRetry(id int) Request {
	return Request{Command: &state.Command{Retry: &retrybudget.Ask{ID: fmt.Sprint(id), Service: "s", Purpose: retrybudget.PurposeResume}}}
}

// grants asks until it is refused and gives how many were granted.
func (g *group) grants(from int) int {
	g.t.Helper()
	for n := 0; ; n++ {
		if !g.must(askRetry(from + n)).Result.Retry.Granted {
			return n
		}
	}
}

// leaderFaults end the office of a group's leader in each way, or not at all.
var leaderFaults = map[string]func(g *group){
	"none":                func(*group) {},
	"the leader is cut":   func(g *group) { g.isolate(g.leader(), true) },
	"the leader is lost":  func(g *group) { g.kill(g.leader()) },
	"all are killed":      (*group).killAndStartAll,
	"a snapshot is taken": func(g *group) { g.every = 1; g.killAndStartAll() },
}

// TestRetriesAreCountedWhoeverLeads guards against retries that are granted twice: by a
// leader that was cut off and the one after it, or before and after all were killed.
func TestRetriesAreCountedWhoeverLeads(t *testing.T) {
	for name, fault := range leaderFaults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g *group) {
				c := qt.New(t)
				g.retries = tenRetries
				g.form(3)
				for i := range 6 {
					c.Assert(g.must(askRetry(i)).Result.Retry.Granted, qt.IsTrue)
				}
				fault(g)
				c.Assert(g.grants(100), qt.Equals, 4)
				time.Sleep(2 * tenRetries.Window)
				c.Assert(g.grants(200), qt.Equals, 10)
			})
		})
	}
}

func (g *group) killAndStartAll() {
	ids := g.ids()
	g.stopAll()
	for _, id := range ids {
		g.start(id)
	}
}

// TestRetriesGoByTheMembersLimits guards against an entry whose settings differ, or that
// was taken over, and names its own limits.
func TestRetriesGoByTheMembersLimits(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		g.retries = retrybudget.Limits{Slack: 1, Window: 10 * time.Second}
		g.form(1)
		req := askRetry(1)
		req.Command.Retry.Limits = retrybudget.Limits{Slack: 1000, Window: time.Nanosecond}
		c := qt.New(t)
		c.Assert(g.must(req).Result.Retry.Granted, qt.IsTrue)
		c.Assert(g.grants(2), qt.Equals, 0)
	})
}

// TestRefusedRetriesAreNotInTheLog guards against a log that grows with every request
// that fails while the budget is spent.
func TestRefusedRetriesAreNotInTheLog(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		c := qt.New(t)
		g.retries = retrybudget.Limits{Slack: 1, Window: 10 * time.Second}
		g.form(1)
		c.Assert(g.grants(0), qt.Equals, 1)
		before := g.member(consensus.MemberID(1)).Status().Last
		for i := range 50 {
			r := g.must(askRetry(10 + i))
			c.Assert(r.Result.Reason, qt.Equals, api.ReasonRetryBudget)
			c.Assert(r.Result.Retry.RetryAfter > 0, qt.IsTrue)
		}
		c.Assert(g.member(consensus.MemberID(1)).Status().Last, qt.Equals, before)
	})
}

// TestKnownLimitsAreNotInTheLog guards against a log that grows with every entry that hears
// the same limit of a target.
func TestKnownLimitsAreNotInTheLog(t *testing.T) {
	inBubble(t, func(t *testing.T, g *group) {
		c := qt.New(t)
		g.form(1)
		stated := Request{Command: &state.Command{Limit: &state.LimitStatement{Target: "t", Limited: true, Rate: 2}}}
		g.must(stated)
		before := g.member(consensus.MemberID(1)).Status().Last
		for range 50 {
			c.Assert(g.must(stated).Outcome, qt.Equals, api.OutcomeCompleted)
		}
		c.Assert(g.member(consensus.MemberID(1)).Status().Last, qt.Equals, before)
		c.Assert(g.member(consensus.MemberID(1)).TargetLimits().List, qt.HasLen, 1)
	})
}

// TestPaceOutlivesLeaders guards against a target that is sent its limit twice: by a leader
// that was cut off and the one after it, or before and after all were killed.
func TestPaceOutlivesLeaders(t *testing.T) {
	for name, fault := range leaderFaults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g *group) {
				c := qt.New(t)
				g.form(3)
				began, granted := time.Now(), 0
				ask := func() {
					r := g.must(Request{Command: &state.Command{Retry: &retrybudget.Ask{
						ID: fmt.Sprint(time.Now().UnixNano()), Service: "s", Target: "t", Purpose: retrybudget.PurposeLimited, Rate: 4,
					}}})
					if r.Result.Retry.Granted {
						granted++
					}
				}
				for i := range 200 {
					if i == 100 {
						fault(g)
					}
					ask()
					time.Sleep(20 * time.Millisecond)
				}
				took := time.Since(began).Seconds()
				c.Assert(float64(granted) <= 4*(took+1)+1, qt.IsTrue, qt.Commentf("%d in %.1f s", granted, took))
				c.Assert(granted >= 10, qt.IsTrue, qt.Commentf("%d in %.1f s", granted, took))
			})
		})
	}
}
