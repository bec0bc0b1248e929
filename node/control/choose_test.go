package control

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two of five members are partitioned, and both have failed for a client. The client
// must choose one of the other three, because a configuration that they accept has to
// be applied within two seconds. It retries failed members only if all have failed or
// failedAddressPause is over.
func TestClientLeavesOutWhatFailedOfLate(t *testing.T) {
	c := qt.New(t)
	client := NewClient(ClientOptions{Seeds: []string{"a", "b", "c"}})
	client.setMembers([]string{"a", "b", "c", "d", "e"}, 1)
	now := time.Now()
	client.markFailed("a")
	client.markFailed("b")
	seen := map[string]bool{}
	for range 200 {
		seen[client.chooseAddress(now)] = true
	}
	c.Assert(seen, qt.DeepEquals, map[string]bool{"c": true, "d": true, "e": true})
	for _, a := range []string{"c", "d", "e"} {
		client.markFailed(a)
	}
	c.Assert(client.chooseAddress(now), qt.Not(qt.Equals), "")
	seen = map[string]bool{}
	for range 200 {
		seen[client.chooseAddress(now.Add(2*failedAddressPause))] = true
	}
	c.Assert(seen, qt.HasLen, 5)
}

type closeCounter struct{ calls atomic.Int32 }

func (c *closeCounter) Close() { c.calls.Add(1) }

// Two members are partitioned from the majority but reachable for entries. Neither
// knows a leader. An entry that alternates between them gets no configuration until
// the partition ends, so it must not return to the first one.
func TestClientDoesNotComeBackToAMemberWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := NewClient(ClientOptions{Seeds: []string{"cut1", "cut2", "good"}})
		for _, addr := range []string{"cut1", "cut2"} {
			client.lastAddr = addr
			conn := &closeCounter{}
			client.handleLeader(conn, &Leader{})
			time.Sleep(leaderlessTimeout + time.Millisecond)
			c.Assert(conn.calls.Load(), qt.Equals, int32(1))
		}
		for range 100 {
			c.Assert(client.chooseAddress(time.Now()), qt.Equals, "good")
		}
	})
}

// The client keeps its link if an election ends before leaderlessTimeout.
func TestClientStaysThroughAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientOptions{Seeds: []string{"a"}})
		conn := &closeCounter{}
		client.handleLeader(conn, &Leader{})
		time.Sleep(leaderlessTimeout / 2)
		client.handleLeader(conn, &Leader{Self: true})
		time.Sleep(2 * leaderlessTimeout)
		qt.New(t).Assert(conn.calls.Load(), qt.Equals, int32(0))
	})
}

// TestClientLeavesAMemberWithoutAGroup guards against an entry that has just started and
// stays without a configuration because it waits for a member that has lost its disk and
// has not been added to the group again.
func TestClientLeavesAMemberWithoutAGroup(t *testing.T) {
	c := qt.New(t)
	client := NewClient(ClientOptions{Seeds: []string{"empty", "good"}})
	client.lastAddr = "empty"
	conn := &closeCounter{}
	client.handleLeader(conn, &Leader{Groupless: true})
	c.Assert(conn.calls.Load(), qt.Equals, int32(1))
	for range 100 {
		c.Assert(client.chooseAddress(time.Now()), qt.Equals, "good")
	}
}

// TestClientDoesNotFollowADeadLeader guards against clients that dial a leader that has just
// failed for as long as the other members name it, and miss the next one.
func TestClientDoesNotFollowADeadLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := NewClient(ClientOptions{Seeds: []string{"dead", "follower"}})
		client.markSilent("dead")
		conn := &closeCounter{}
		client.handleLeader(conn, &Leader{Addr: "dead"})
		client.redirect(conn, "dead")
		time.Sleep(failedLeaderPause / 2)
		c.Assert(conn.calls.Load(), qt.Equals, int32(0))
		client.handleLeader(conn, &Leader{Addr: "next"})
		c.Assert(conn.calls.Load(), qt.Equals, int32(1))
		c.Assert(client.nextAddress(), qt.Equals, "next")
		time.Sleep(failedLeaderPause)
		c.Assert(conn.calls.Load(), qt.Equals, int32(1))
	})
}

// TestClientReturnsToALeaderThatIsBack guards against a client that stays away from a leader
// after a single failure.
func TestClientReturnsToALeaderThatIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := NewClient(ClientOptions{Seeds: []string{"leader", "follower"}})
		client.markFailed("leader")
		conn := &closeCounter{}
		client.handleLeader(conn, &Leader{Addr: "leader"})
		time.Sleep(failedLeaderPause + time.Millisecond)
		c.Assert(conn.calls.Load(), qt.Equals, int32(1))
		c.Assert(client.nextAddress(), qt.Equals, "leader")
	})
}

// TestProbePatienceGrows guards against clients that keep a busy member busy by leaving it and
// dialling again.
func TestProbePatienceGrows(t *testing.T) {
	c := qt.New(t)
	var p probePatience
	var timeouts []time.Duration
	for range 5 {
		timeouts = append(timeouts, p.timeout())
		p.extend()
	}
	c.Assert(timeouts, qt.DeepEquals, []time.Duration{minProbeTimeout, 2 * minProbeTimeout, 4 * minProbeTimeout, maxProbeTimeout, maxProbeTimeout})
	p.reset()
	c.Assert(p.timeout(), qt.Equals, minProbeTimeout)
}

// TestOutdatedMembersAreIgnored guards against a client that leaves the present members because one that was
// removed while it was cut off states those of its time.
func TestOutdatedMembersAreIgnored(t *testing.T) {
	var stated [][]string
	client := NewClient(ClientOptions{Seeds: []string{"seed"}, OnMembers: func(addrs []string) { stated = append(stated, addrs) }})
	conn := &closeCounter{}
	present, removed := []string{"d", "e", "f"}, []string{"a", "b", "c"}
	client.handleLeader(conn, &Leader{Self: true, Members: present, Index: 9})
	client.handleLeader(conn, &Leader{Members: removed, Index: 4})
	qt.Assert(t, client.members, qt.DeepEquals, present)
	client.handleLeader(conn, &Leader{Self: true, Members: present, Index: 9})
	qt.Assert(t, stated, qt.DeepEquals, [][]string{present, present})
}
