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

func retryRequest(id int) Request {
	return Request{Command: &state.Command{Retry: &retrybudget.Ask{ID: fmt.Sprint(id), Service: "s", Purpose: retrybudget.PurposeResume}}}
}

// countGrants asks for retries until one is refused and returns how many were granted.
func (g *group) countGrants(from int) int {
	g.t.Helper()
	for n := 0; ; n++ {
		if !g.mustDo(retryRequest(from + n)).Result.Retry.Granted {
			return n
		}
	}
}

// leaderFaults are the ways in which the leadership of a group ends in the tests below,
// and "none", which keeps the leader.
var leaderFaults = map[string]func(g *group){
	"none":                func(*group) {},
	"the leader is cut":   func(g *group) { g.isolate(g.leader(), true) },
	"the leader is lost":  func(g *group) { g.kill(g.leader()) },
	"all are killed":      (*group).restartAll,
	"a snapshot is taken": func(g *group) { g.snapshotEvery = 1; g.restartAll() },
}

// TestRetriesAreCountedWhoeverLeads guards against a budget that is granted twice: by an
// isolated leader and its successor, or before and after a restart of all members.
func TestRetriesAreCountedWhoeverLeads(t *testing.T) {
	for name, fault := range leaderFaults {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, g *group) {
				c := qt.New(t)
				g.retries = tenRetries
				g.form(3)
				for i := range 6 {
					c.Assert(g.mustDo(retryRequest(i)).Result.Retry.Granted, qt.IsTrue)
				}
				fault(g)
				c.Assert(g.countGrants(100), qt.Equals, 4)
				time.Sleep(2 * tenRetries.Window)
				c.Assert(g.countGrants(200), qt.Equals, 10)
			})
		})
	}
}

func (g *group) restartAll() {
	runningIDs := g.runningIDs()
	g.stopAll()
	for _, id := range runningIDs {
		g.start(id)
	}
}

// TestRetriesGoByTheMembersLimits guards against an entry that sends its own limits,
// because its settings differ or it is compromised.
func TestRetriesGoByTheMembersLimits(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.retries = retrybudget.Limits{Slack: 1, Window: 10 * time.Second}
		g.form(1)
		req := retryRequest(1)
		req.Command.Retry.Limits = retrybudget.Limits{Slack: 1000, Window: time.Nanosecond}
		c := qt.New(t)
		c.Assert(g.mustDo(req).Result.Retry.Granted, qt.IsTrue)
		c.Assert(g.countGrants(2), qt.Equals, 0)
	})
}

// TestRefusedRetriesAreNotInTheLog guards against a log that grows with every request
// that fails while the retry budget is exhausted.
func TestRefusedRetriesAreNotInTheLog(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		c := qt.New(t)
		g.retries = retrybudget.Limits{Slack: 1, Window: 10 * time.Second}
		g.form(1)
		c.Assert(g.countGrants(0), qt.Equals, 1)
		before := g.member(consensus.MemberID(1)).Status().Last
		for i := range 50 {
			r := g.mustDo(retryRequest(10 + i))
			c.Assert(r.Result.Reason, qt.Equals, api.ReasonRetryBudget)
			c.Assert(r.Result.Retry.RetryAfter > 0, qt.IsTrue)
		}
		c.Assert(g.member(consensus.MemberID(1)).Status().Last, qt.Equals, before)
	})
}

// TestKnownLimitsAreNotInTheLog guards against a log that grows with every entry that
// reports the same limit of a target.
func TestKnownLimitsAreNotInTheLog(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		c := qt.New(t)
		g.form(1)
		stated := Request{Command: &state.Command{Limit: &state.LimitStatement{Target: "t", Limited: true, Rate: 2}}}
		g.mustDo(stated)
		before := g.member(consensus.MemberID(1)).Status().Last
		for range 50 {
			c.Assert(g.mustDo(stated).Outcome, qt.Equals, api.OutcomeCompleted)
		}
		c.Assert(g.member(consensus.MemberID(1)).Status().Last, qt.Equals, before)
		c.Assert(g.member(consensus.MemberID(1)).TargetLimits().List, qt.HasLen, 1)
	})
}

// TestPaceOutlivesLeaders guards against a target that gets requests at twice its limit,
// because an isolated leader and its successor both grant them, or because the members lost
// the count in a restart.
func TestPaceOutlivesLeaders(t *testing.T) {
	for name, fault := range leaderFaults {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, g *group) {
				c := qt.New(t)
				g.form(3)
				start, granted := time.Now(), 0
				ask := func() {
					r := g.mustDo(Request{Command: &state.Command{Retry: &retrybudget.Ask{
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
				elapsed := time.Since(start).Seconds()
				c.Assert(float64(granted) <= 4*(elapsed+1)+1, qt.IsTrue, qt.Commentf("%d in %.1f s", granted, elapsed))
				c.Assert(granted >= 10, qt.IsTrue, qt.Commentf("%d in %.1f s", granted, elapsed))
			})
		})
	}
}
