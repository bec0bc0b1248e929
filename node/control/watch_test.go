package control

import (
	"slices"
	"testing"
	"time"

	"almondseam.dev/core/consensus"
	qt "github.com/frankban/quicktest"
)

// TestMembershipReachesWatchers guards against clients that keep the addresses of members which are gone,
// because nothing but the group's membership has changed since they linked.
func TestMembershipReachesWatchers(t *testing.T) {
	runInBubble(t, func(t *testing.T, g *group) {
		g.form(3)
		g.waitAllApplied()
		time.Sleep(time.Second)
		const joined = "m9"
		changes := map[consensus.MemberID]<-chan struct{}{}
		for id := range consensus.MemberID(3) {
			_, changes[id+1] = g.member(id + 1).watcherView()
		}
		g.mustDo(Request{Change: &MemberChange{Type: consensus.ChangeAddLearner, ID: 9, Addr: joined}})
		time.Sleep(time.Second)
		for id, changed := range changes {
			select {
			case <-changed:
			default:
				t.Errorf("watchers of member %d are not notified", id)
			}
			view, _ := g.member(id).watcherView()
			qt.Check(t, slices.Contains(view.leader.Members, joined), qt.IsTrue, qt.Commentf("member %d", id))
		}
	})
}
