package consensus

// maxPromoteLag is the number of entries by which a learner may lag when it is
// promoted. It is low enough to catch up within a round trip, so that commits
// don't wait for the new voter.
const maxPromoteLag = 64

// recordMemberships applies the membership entries among entries, whether
// committed or not.
func (n *Node) recordMemberships(entries []Entry) error {
	for _, e := range entries {
		if e.Type != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		n.membershipHistory = append(n.membershipHistory, membershipAt{index: e.Index, membership: membership})
	}
	return nil
}

func (n *Node) changePending() bool { return n.membershipHistory.latest().index > n.log.commit }

// ProposeChange appends one membership change. It is rejected while another change
// is uncommitted, and until the leader has committed an entry of its own term.
func (n *Node) ProposeChange(c Change) error {
	if n.role != RoleLeader {
		return n.notLeader()
	}
	if n.lead.transferee != 0 {
		return ErrTransferring
	}
	// Majorities of memberships that differ by one change overlap. With two
	// changes they might not, and two leaders could commit different entries at
	// the same index.
	if n.changePending() {
		return ErrChangePending
	}
	// An earlier leader may have left a change on a minority of members that this
	// leader doesn't know of. Once an entry of this term is committed, that change
	// can't be committed any more; before, both changes could take effect.
	if n.log.commit < n.lead.termStart {
		return ErrNotReady
	}
	next, err := n.members().apply(c)
	if err != nil {
		return err
	}
	if err := n.checkReachable(c, next); err != nil {
		return err
	}
	n.recordAbsences(c, &next)
	n.appendEntry(EntryMembership, encodeMembership(next))
	n.membershipHistory = append(n.membershipHistory, membershipAt{index: n.log.last(), membership: next})
	n.syncPeers()
	return nil
}

// checkReachable rejects a change after which no majority of voters is active,
// because the group could then neither commit writes nor revert the change. It
// also rejects the promotion of a learner that is inactive, has acknowledged nothing or
// lags too far behind.
func (n *Node) checkReachable(c Change, next Membership) error {
	if c.Type == ChangePromote {
		p := n.lead.peers[c.ID]
		if p == nil || !n.isActive(c.ID) || p.match == 0 || p.match+maxPromoteLag < n.log.last() {
			return ErrNotCaughtUp
		}
	}
	if len(next.Voters) == 0 || !n.activeQuorum(next) {
		return ErrWouldLoseQuorum
	}
	return nil
}

// stepDownIfRemoved makes a leader step down once its own removal is committed. It
// tells the voter with the highest match index to start an election immediately.
func (n *Node) stepDownIfRemoved() {
	m := n.members()
	if n.changePending() || m.IsVoter(n.id) {
		return
	}
	var successor MemberID
	var highestMatch uint64
	n.eachPeer(func(id MemberID, p *peer) {
		if m.IsVoter(id) && p.match > highestMatch {
			successor, highestMatch = id, p.match
		}
	})
	if successor != 0 {
		n.send(Message{Type: MsgTimeoutNow, To: successor})
	}
	n.becomeFollower(n.term, 0)
}

// TransferLeadership starts a transfer of leadership to an active voter, which
// completes once that voter has the whole log. Proposals and membership changes
// are rejected until the transfer completes or ElectionTicks have passed.
func (n *Node) TransferLeadership(to MemberID) error {
	if n.role != RoleLeader {
		return n.notLeader()
	}
	if !n.members().IsVoter(to) {
		return ErrUnknownMember
	}
	if to == n.id {
		return nil
	}
	if !n.isActive(to) {
		return ErrNotCaughtUp
	}
	n.lead.transferee, n.lead.transferElapsed = to, 0
	n.maybeSendTimeoutNow(to, n.lead.peers[to])
	return nil
}

// maybeSendTimeoutNow tells the transferee to start an election once it has the
// whole log.
func (n *Node) maybeSendTimeoutNow(id MemberID, p *peer) {
	if n.role == RoleLeader && id == n.lead.transferee && p.match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: id})
	}
}

func (n *Node) tickTransfer() {
	if n.lead.transferee == 0 {
		return
	}
	n.lead.transferElapsed++
	if n.lead.transferElapsed >= n.cfg.ElectionTicks {
		n.lead.transferee = 0
	}
}
