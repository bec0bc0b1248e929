package control

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// visitGroupless lets the client dial for the given time members that belong to no group. It returns how often
// it dialled.
func visitGroupless(client *Client, during time.Duration) (dials int) {
	for began := time.Now(); time.Since(began) < during; dials++ {
		client.nextAddress()
		time.Sleep(time.Millisecond) // the dial
		conn := &closeCounter{}
		client.handleLeader(conn, &Leader{Groupless: true})
		for conn.calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(retryMin)
	}
	return dials
}

// TestLoneGrouplessMemberIsDialledWithPauses guards against a process that dials its only seeds without end, and
// reads its settings as often, as long as these belong to no group.
func TestLoneGrouplessMemberIsDialledWithPauses(t *testing.T) {
	for name, seeds := range map[string][]string{"one": {"empty"}, "two": {"empty1", "empty2"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				reads := 0
				client := NewClient(ClientOptions{Seeds: seeds, ReadSeeds: func() []string {
					reads++
					return seeds
				}})
				const growth, during = time.Second, 20 * time.Second
				visitGroupless(client, growth)
				reads = 0
				dials := visitGroupless(client, during)
				c.Logf("%d dials and %d reads of the settings in %v", dials, reads, during)
				c.Assert(dials <= int(during/(retryMax/2)), qt.IsTrue)
				c.Assert(reads <= dials, qt.IsTrue)
				c.Assert(reads > 0, qt.IsTrue)
			})
		})
	}
}

// TestPausesDoNotHideAMemberWithAGroup guards against an entry that finds its group late because of the pauses at
// members without one: an address that has not failed is dialled at once, however long they have grown.
func TestPausesDoNotHideAMemberWithAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		seeds := []string{"empty"}
		client := NewClient(ClientOptions{Seeds: seeds, ReadSeeds: func() []string { return seeds }})
		visitGroupless(client, 5*time.Second)
		seeds = []string{"empty", "good"}
		c.Assert(client.nextAddress(), qt.Equals, "good")
		client.markFailed("good")
		time.Sleep(failedAddressPause)
		client.lastAddr = "empty"
		conn := &closeCounter{}
		client.handleLeader(conn, &Leader{Groupless: true})
		c.Assert(conn.calls.Load(), qt.Equals, int32(1))
		c.Assert(client.nextAddress(), qt.Equals, "good")
	})
}

// TestClientStaysWithAMemberThatJoins guards against a client that leaves its only member, which belonged to no
// group a moment ago and has just joined one.
func TestClientStaysWithAMemberThatJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := NewClient(ClientOptions{Seeds: []string{"joins"}})
		visitGroupless(client, time.Second)
		client.nextAddress()
		conn := &closeCounter{}
		client.handleLeader(conn, &Leader{Groupless: true})
		client.handleLeader(conn, &Leader{Self: true})
		time.Sleep(10 * retryMax)
		c.Assert(conn.calls.Load(), qt.Equals, int32(0))
	})
}
