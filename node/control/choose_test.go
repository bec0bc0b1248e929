package control

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two members of five are cut off, and an entry was linked to one of them. It must
// come to one of the other three at once: what they accept has to be in force
// within two seconds. Only when all have failed is any of them tried again.
func TestClientLeavesOutWhatFailedOfLate(t *testing.T) {
	c := qt.New(t)
	cl := NewClient(ClientOptions{Seeds: []string{"a", "b", "c"}})
	cl.setMembers([]string{"a", "b", "c", "d", "e"})
	now := time.Now()
	cl.markFailed("a")
	cl.markFailed("b")
	seen := map[string]bool{}
	for range 200 {
		seen[cl.chooseAddress(now)] = true
	}
	c.Assert(seen, qt.DeepEquals, map[string]bool{"c": true, "d": true, "e": true})
	for _, a := range []string{"c", "d", "e"} {
		cl.markFailed(a)
	}
	c.Assert(cl.chooseAddress(now), qt.Not(qt.Equals), "")
	seen = map[string]bool{}
	for range 200 {
		seen[cl.chooseAddress(now.Add(2*failedAddressPause))] = true
	}
	c.Assert(seen, qt.HasLen, 5)
}

type closed struct{ n atomic.Int32 }

func (c *closed) Close() { c.n.Add(1) }

// Two members are cut off from the majority, and entries still reach both. Neither
// knows a leader. An entry that goes from one to the other and back hears of no
// configuration for as long as the partition lasts; it must not come back.
func TestClientDoesNotComeBackToAMemberWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := NewClient(ClientOptions{Seeds: []string{"cut1", "cut2", "good"}})
		for _, addr := range []string{"cut1", "cut2"} {
			cl.lastAddr = addr
			conn := &closed{}
			cl.handleLeader(conn, &Leader{})
			time.Sleep(leaderlessTimeout + time.Millisecond)
			c.Assert(conn.n.Load(), qt.Equals, int32(1))
		}
		for range 100 {
			c.Assert(cl.chooseAddress(time.Now()), qt.Equals, "good")
		}
	})
}

// An election is over before the client gives up: it stays.
func TestClientStaysThroughAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := NewClient(ClientOptions{Seeds: []string{"a"}})
		conn := &closed{}
		cl.handleLeader(conn, &Leader{})
		time.Sleep(leaderlessTimeout / 2)
		cl.handleLeader(conn, &Leader{Self: true})
		time.Sleep(2 * leaderlessTimeout)
		qt.New(t).Assert(conn.n.Load(), qt.Equals, int32(0))
	})
}

// TestClientLeavesAMemberWithoutAGroup guards against an entry that has just started and
// waits, without a configuration, for a member that lost its disk to be added again.
func TestClientLeavesAMemberWithoutAGroup(t *testing.T) {
	c := qt.New(t)
	cl := NewClient(ClientOptions{Seeds: []string{"empty", "good"}})
	cl.lastAddr = "empty"
	conn := &closed{}
	cl.handleLeader(conn, &Leader{Groupless: true})
	c.Assert(conn.n.Load(), qt.Equals, int32(1))
	for range 100 {
		c.Assert(cl.chooseAddress(time.Now()), qt.Equals, "good")
	}
}
