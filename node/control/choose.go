package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"almondseam.dev/node/link"
)

const (
	// clientDialMost bounds one dial. Members are milliseconds away; one that
	// takes longer is cut off or without power, and another one may have news.
	clientDialMost = 600 * time.Millisecond
	// avoidFailed is how long an address is passed over after it failed.
	avoidFailed = 3 * time.Second
	// leaderlessFor is how long a client stays with a member that knows of no
	// leader: a little over one election.
	leaderlessFor = 1200 * time.Millisecond
)

// address gives the leader's address if it was told, else any seed.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr := c.next; addr != "" {
		c.next = ""
		c.last = addr
		return addr
	}
	c.last = c.choose(time.Now())
	return c.last
}

// choose gives any known address, one that has not failed of late if there is one.
//
// Members that have failed of late are left out while others are known: several may be cut off
// at once, and a dial to each takes long.
func (c *Client) choose(now time.Time) string {
	known := slices.Concat(c.opt.Seeds, c.members)
	known = slices.DeleteFunc(known, func(a string) bool { return a == c.opt.Not })
	sound := slices.DeleteFunc(slices.Clone(known), func(a string) bool {
		return a == c.last || now.Sub(c.failedAt[a]) < avoidFailed
	})
	switch {
	case len(sound) > 0:
		return sound[rand.IntN(len(sound))]
	case len(known) > 0:
		return known[rand.IntN(len(known))]
	}
	return c.opt.Seeds[rand.IntN(len(c.opt.Seeds))]
}

// fail notes that an address did not answer, or fell silent.
func (c *Client) fail(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[addr] = time.Now()
}

// closer ends a link.
type closer interface{ Close() }

// leader follows what a member says of the leader. A member that knows of none is
// given a while, for an election is mostly over soon, and then left for another
// and passed over: it may be cut off from the majority for as long as a partition
// lasts, together with others, and what the majority accepts meanwhile would not
// arrive here while this client goes to and fro between them. A member that belongs to
// no group is left at once.
func (c *Client) leader(conn closer, m *Leader) {
	if len(m.Members) > 0 {
		c.learn(m.Members)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderless != nil {
		c.leaderless.Stop()
		c.leaderless = nil
	}
	switch {
	case m.Self:
	case m.Addr != "":
		c.next = m.Addr
		// Closing ends the link's own goroutines; it takes no lock of this type.
		conn.Close()
	case m.Groupless:
		c.failedAt[c.last] = time.Now()
		conn.Close()
	default:
		addr := c.last
		c.leaderless = time.AfterFunc(leaderlessFor, func() {
			c.fail(addr)
			conn.Close()
		})
	}
}

// learn keeps the group's addresses, to dial when the seeds don't answer.
func (c *Client) learn(members []string) {
	c.mu.Lock()
	c.members = slices.Clone(members)
	c.mu.Unlock()
	c.opt.OnMembers(members)
}

// move dials another member next and ends the present link. The pause before
// dialling is jittered, so that all entries don't fall upon a new leader at once.
func (c *Client) move(conn *link.Conn, addr string) {
	c.mu.Lock()
	c.next = addr
	c.mu.Unlock()
	conn.Close()
}
