package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

// Calls to a restarted leader are answered with the results of its commands before the restart.
func TestAnswerBelongsToItsOwnProposal(t *testing.T) {
	for name, tc := range map[string]struct {
		request func(n uint64) Request
		answers func(r *state.Result, n uint64) bool
	}{
		"config": {versionPut, func(r *state.Result, n uint64) bool { return r.Config != nil && r.Config.Version >= n }},
		"claim": {claimRequest, func(r *state.Result, n uint64) bool {
			return r.Claim != nil && r.Claim.Record.Request == api.RequestID(claimName(n))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, g *group) {
				m := g.restartLeaderWithTail(tc.request)
				replies := make(chan *Reply, callsAfterRestart)
				for i := range uint64(callsAfterRestart) {
					req := tc.request(callsBeforeRestart + i + 1)
					req.ID = i
					m.Submit(&req, func(r *Reply) { replies <- r })
				}
				for range callsAfterRestart {
					r := <-replies
					n := callsBeforeRestart + r.ID + 1
					qt.Assert(t, r.Outcome, qt.Equals, api.OutcomeCompleted, qt.Commentf("%+v", r))
					qt.Check(t, tc.answers(r.Result, n), qt.IsTrue, qt.Commentf("call %d: %+v %+v", n, r.Result.Config, r.Result.Claim))
				}
			})
		})
	}
}

const (
	callsBeforeRestart = 8
	callsAfterRestart  = 4
	// slowSync is longer than a tick, so that calls arrive at a leader that has not committed yet.
	slowSync = 4 * DefaultTick
)

// restartLeaderWithTail kills a leader whose last commands are not committed, and returns it
// when it leads again and has not committed them yet.
func (g *group) restartLeaderWithTail(request func(n uint64) Request) *Member {
	g.form(3)
	leaderID := g.leader()
	g.isolate(leaderID, true)
	for n := range uint64(callsBeforeRestart) {
		req := request(n + 1)
		g.member(leaderID).Submit(&req, func(*Reply) {})
	}
	time.Sleep(DefaultTick)
	g.stopAll()
	g.isolate(leaderID, false)
	follower := leaderID%3 + 1
	g.storages[follower].syncTime = slowSync
	g.start(follower)
	m := g.start(leaderID)
	for m.Status().Role != consensus.RoleLeader {
		time.Sleep(DefaultTick)
	}
	st := m.Status()
	qt.Assert(g.t, st.Commit < st.Last, qt.IsTrue)
	return m
}

func versionPut(n uint64) Request {
	return Request{Command: &state.Command{Config: &state.ConfigPut{Version: n, Document: fmt.Append(nil, "version ", n)}}}
}

func claimName(n uint64) string { return fmt.Sprint("request ", n) }

func claimRequest(n uint64) Request {
	return Request{Command: &state.Command{Claim: &claim.Request{
		Key: claim.Key{Customer: "atlas", Name: claimName(n)}, Claimant: "entry", Request: api.RequestID(claimName(n)),
	}}}
}
