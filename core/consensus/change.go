package consensus

// promoteLag is how many entries a learner may lack when it is promoted: few
// enough to catch up within a round trip, so that the new majority doesn't wait.
const promoteLag = 64

// noteMemberships puts the membership entries among entries into force.
func (n *Node) noteMemberships(entries []Entry) error {
	for _, e := range entries {
		if e.Type != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		n.mems = append(n.mems, membershipAt{index: e.Index, m: m})
	}
	return nil
}

func (n *Node) changePending() bool { return n.mems.latest().index > n.log.commit }

// ProposeChange appends one membership change. It is refused while another one
// is uncommitted, and until the leader has committed an entry of its own term.
func (n *Node) ProposeChange(c Change) error {
	if n.role != RoleLeader {
		return n.notLeader()
	}
	if n.lead.transferee != 0 {
		return ErrTransferring
	}
	// Majorities of memberships one step apart overlap, those of two steps
	// needn't: two leaders could commit different entries at one index.
	if n.changePending() {
		return ErrChangePending
	}
	// A leader may not know of a change that an earlier leader left on a
	// minority. Its own committed entry rules that change out; before it, both
	// changes could take effect side by side.
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
	n.appendOwn(EntryMembership, encodeMembership(next))
	n.mems = append(n.mems, membershipAt{index: n.log.last(), m: next})
	n.syncPeers()
	return nil
}

// checkReachable refuses a change after which no majority would answer: the
// group could then neither write nor take the change back.
func (n *Node) checkReachable(c Change, next Membership) error {
	if c.Type == ChangePromote {
		p := n.lead.peers[c.ID]
		if p == nil || !n.isActive(c.ID) || p.match+promoteLag < n.log.last() {
			return ErrNotCaughtUp
		}
	}
	if len(next.Voters) == 0 || !n.activeQuorum(next) {
		return ErrWouldLoseQuorum
	}
	return nil
}

// stepDownIfRemoved ends the office of a leader whose own removal is
// committed, and asks the voter that is furthest along to follow at once.
func (n *Node) stepDownIfRemoved() {
	m := n.members()
	if n.changePending() || m.IsVoter(n.id) {
		return
	}
	var heir MemberID
	var best uint64
	n.eachPeer(func(id MemberID, p *peer) {
		if m.IsVoter(id) && p.match > best {
			heir, best = id, p.match
		}
	})
	if heir != 0 {
		n.send(Message{Type: MsgTimeoutNow, To: heir})
	}
	n.becomeFollower(n.term, 0)
}

// TransferLeadership hands the office to a voter that has caught up. Proposals
// are refused until it is done or an election timeout has passed.
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
	n.maybeHandOver(to, n.lead.peers[to])
	return nil
}

// maybeHandOver tells the transferee to stand once its log is whole.
func (n *Node) maybeHandOver(id MemberID, p *peer) {
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
