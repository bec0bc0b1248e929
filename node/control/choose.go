package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"almondseam.dev/node/link"
)

const (
	// maxClientDialTimeout bounds one dial. Members are milliseconds away; one that
	// takes longer is partitioned or down, and another member may have a newer
	// configuration.
	maxClientDialTimeout = 600 * time.Millisecond
	// failedAddressPause is how long an address is avoided after it failed.
	failedAddressPause = 3 * time.Second
	// leaderlessTimeout is how long a client stays with a member that knows no
	// leader: a little longer than one election.
	leaderlessTimeout = 1200 * time.Millisecond
	// failedLeaderPause is how long a client does not dial a leader that has failed: by
	// then most elections are over, and the other members name the next leader.
	failedLeaderPause = time.Second
)

// nextAddress returns the address to dial next: the leader's if a member has named
// it, otherwise a random known address.
func (c *Client) nextAddress() string {
	c.updateSeeds(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr := c.nextAddr; addr != "" {
		c.nextAddr = ""
		c.lastAddr = addr
		return addr
	}
	c.lastAddr = c.chooseAddress(time.Now())
	return c.lastAddr
}

// chooseAddress returns a random known address. It avoids the address that was dialled last
// and addresses that failed less than failedAddressPause ago, as long as others are known:
// several members may be partitioned at once, and a dial to each of them takes long.
func (c *Client) chooseAddress(now time.Time) string {
	known, untried := c.knownAddresses(), c.untriedAddresses(now)
	switch {
	case len(untried) > 0:
		return untried[rand.IntN(len(untried))]
	case len(known) > 0:
		return known[rand.IntN(len(known))]
	}
	return c.seeds[rand.IntN(len(c.seeds))]
}

// untriedAddresses returns the known addresses other than the last one that have not failed of late. c.mu
// must be held.
func (c *Client) untriedAddresses(now time.Time) []string {
	return slices.DeleteFunc(c.knownAddresses(), func(a string) bool {
		return a == c.lastAddr || now.Sub(c.failedAt[a]) < failedAddressPause
	})
}

// knownAddresses returns the addresses that may be dialled. c.mu must be held.
func (c *Client) knownAddresses() []string {
	known := slices.Concat(c.seeds, c.members)
	return slices.DeleteFunc(known, func(a string) bool { return a == c.opt.AvoidAddr })
}

// allFailed reports whether every known address has failed since the seeds were read last. How long ago is
// no criterion: many addresses that do not answer take longer to dial than any one of them is avoided. c.mu
// must be held.
func (c *Client) allFailed() bool {
	return !slices.ContainsFunc(c.knownAddresses(), func(a string) bool {
		failed, ok := c.failedAt[a]
		return !ok || !failed.After(c.seedsReadAt)
	})
}

// updateSeeds reads the seeds again if all known addresses have failed: all members may have been replaced
// while this process had no link to any, and then only its settings name the present ones.
func (c *Client) updateSeeds(now time.Time) {
	c.mu.Lock()
	lost := c.opt.ReadSeeds != nil && c.nextAddr == "" && c.allFailed()
	if lost {
		c.seedsReadAt = now
	}
	c.mu.Unlock()
	if !lost {
		return
	}
	seeds := c.opt.ReadSeeds()
	c.mu.Lock()
	changed := len(seeds) > 0 && !slices.Equal(seeds, c.seeds)
	if changed {
		c.seeds = slices.Clone(seeds)
	}
	c.mu.Unlock()
	if changed {
		c.opt.Observer.SeedsChanged(seeds)
	}
}

// markFailed records that a dial to the address failed, that its link went silent
// or that its member knows no leader.
func (c *Client) markFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[addr] = time.Now()
}

// markSilent records that the link to the address was closed for silence.
func (c *Client) markSilent(addr string) {
	c.markFailed(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes.extend()
}

// leaderPause returns how long the client must wait before it dials the leader at addr. For
// about the time of an election the other members still name a leader that is gone, and a
// client that followed them would spend that time dialling it. c.mu must be held.
func (c *Client) leaderPause(addr string, now time.Time) time.Duration {
	failed, ok := c.failedAt[addr]
	if !ok {
		return 0
	}
	return max(0, failedLeaderPause-now.Sub(failed))
}

// linkCloser is the part of a link that handleLeader uses.
type linkCloser interface{ Close() }

// leave ends the use of a link. If attempts on it wait for replies, the link is closed when these
// have arrived or the attempts have ended: an attempt without a reply may have had an effect. c.mu
// must be held.
func (c *Client) leave(conn linkCloser) {
	l, ok := conn.(*link.Conn)
	if !ok || !c.awaitsReply(l) {
		// Close takes no lock of Client, so it may be called with mu held.
		conn.Close()
		return
	}
	if c.conn == l {
		c.release(l)
		close(c.left)
	}
}

// awaitsReply reports whether an attempt on the link waits for a reply. c.mu must be held.
func (c *Client) awaitsReply(conn *link.Conn) bool {
	for _, w := range c.waiting {
		if w.conn == conn {
			return true
		}
	}
	return false
}

// handleLeader handles a member's statement about the leader. If another member is
// the leader, the client closes this link and dials the leader. If the member knows
// no leader, the client waits for leaderlessTimeout, since most elections are over by
// then, and closes the link afterwards and avoids the member for a while. Several
// members may be partitioned from the majority together, and a client that moved
// between them would miss what the majority accepts until the partition ends. A member
// that belongs to no group is left at once if another address may be dialled.
func (c *Client) handleLeader(conn linkCloser, m *Leader) {
	if len(m.Members) > 0 {
		c.setMembers(m.Members, m.Index)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLeaderTimer()
	if !m.Groupless {
		c.grouplessPause = 0
	}
	switch {
	case m.Self:
	case m.Addr != "":
		c.followLeader(conn, m.Addr)
	case m.Groupless:
		c.leaveGroupless(conn, time.Now())
	default:
		addr := c.lastAddr
		c.leaderTimer = time.AfterFunc(leaderlessTimeout, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failedAt[addr] = time.Now()
			c.leave(conn)
		})
	}
}

// leaveGroupless leaves a member that belongs to no group. If all other known addresses have failed, the
// client stays for a pause that doubles each time, from retryMin to retryMax: it would come back at once, and
// the member states its group on the link as soon as it has one. c.mu must be held.
func (c *Client) leaveGroupless(conn linkCloser, now time.Time) {
	c.failedAt[c.lastAddr] = now
	if len(c.untriedAddresses(now)) > 0 {
		c.leave(conn)
		return
	}
	c.grouplessPause = max(retryMin, min(2*c.grouplessPause, retryMax))
	c.leaderTimer = time.AfterFunc(c.grouplessPause/2+rand.N(c.grouplessPause), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.leave(conn)
	})
}

// setMembers stores the group's addresses, which are dialled in addition to the
// seeds. It ignores a list that is older than the one known: a member that was removed while
// it was cut off states the members of that time.
func (c *Client) setMembers(members []string, index uint64) {
	c.mu.Lock()
	outdated := index > 0 && index < c.membersIndex
	if !outdated {
		c.members, c.membersIndex = slices.Clone(members), max(index, c.membersIndex)
	}
	c.mu.Unlock()
	if outdated {
		return
	}
	c.opt.OnMembers(members)
}

// redirect makes the client follow the leader that a reply names.
func (c *Client) redirect(conn linkCloser, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := conn.(*link.Conn); ok && c.conn != l {
		return // the link was left already
	}
	c.followLeader(conn, addr)
}

// followLeader leaves the link and makes the client dial the leader next. If the leader has
// failed a moment ago the client stays with this member for the rest of failedLeaderPause. c.mu
// must be held.
func (c *Client) followLeader(conn linkCloser, addr string) {
	pause := c.leaderPause(addr, time.Now())
	if pause == 0 {
		c.nextAddr = addr
		c.leave(conn)
		return
	}
	c.stopLeaderTimer()
	c.leaderTimer = time.AfterFunc(pause, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.nextAddr = addr
		c.leave(conn)
	})
}

// stopLeaderTimer cancels what was to follow from an earlier statement about the leader. c.mu must
// be held.
func (c *Client) stopLeaderTimer() {
	if c.leaderTimer != nil {
		c.leaderTimer.Stop()
		c.leaderTimer = nil
	}
}
