package consensus

// inLease tells whether this member has heard from a live leader so recently
// that it helps nobody to replace it. Without this guard a member that comes
// back from a partition makes a healthy leader step down: callers see an
// election for nothing. Leader and followers measure in their own ticks, so
// this is for steadiness only; no read relies on it.
func (n *Node) inLease() bool {
	return n.leader != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

// mayStand tells whether this member may be a candidate. A voter whose removal
// is in its log but not committed still stands: it may be the only one whose log
// is long enough to win, and without it the group would elect nobody for ever.
// Its own vote then doesn't count.
func (n *Node) mayStand() bool {
	return n.members().IsVoter(n.id) || n.mems.at(n.log.commit).IsVoter(n.id)
}

// campaign starts a pre-vote or a real election. A pre-vote moves no term, so a
// member that can't win doesn't drive up the terms of others with its own.
func (n *Node) campaign(role Role) { n.campaignWith(role, false) }

func (n *Node) campaignWith(role Role, force bool) {
	n.resetElection()
	n.leader = 0
	n.role = role
	n.votes = map[MemberID]bool{n.id: true}
	ask := Message{Type: MsgPreVote, Term: n.term + 1}
	if role == RoleCandidate {
		n.term++
		n.vote = n.id
		ask = Message{Type: MsgVote, Term: n.term, Force: force}
	}
	if n.countVotes() {
		return
	}
	ask.Index, ask.LogTerm = n.log.last(), n.log.lastTerm()
	for _, v := range n.members().Voters {
		if v.ID != n.id {
			ask.To = v.ID
			n.send(ask)
		}
	}
}

// countVotes acts on a majority for or against, and tells whether there was one.
func (n *Node) countVotes() bool {
	granted, refused := 0, 0
	for _, v := range n.members().Voters {
		switch yes, answered := n.votes[v.ID]; {
		case answered && yes:
			granted++
		case answered:
			refused++
		}
	}
	quorum := n.members().Quorum()
	switch {
	case granted >= quorum && n.role == RolePreCandidate:
		n.campaign(RoleCandidate)
	case granted >= quorum:
		n.becomeLeader()
	case refused >= quorum:
		n.becomeFollower(n.term, 0)
	default:
		return false
	}
	return true
}

func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.id
	n.knewLeader = true
	n.votes = nil
	n.electionElapsed = 0
	n.lead = leaderState{peers: map[MemberID]*peer{}, termStart: n.log.last() + 1}
	n.syncPeers()
	for _, e := range n.log.slice(n.log.commit, n.log.last(), int(^uint(0)>>1)) {
		n.lead.uncommitted += entrySize(e)
	}
	// Entries of earlier terms are committed only along with one of this term
	// (see maybeCommit); the no-op makes that happen without a proposal.
	n.appendOwn(EntryNoop, nil)
}

func (n *Node) onVoteRequest(m Message) {
	pre := m.Type == MsgPreVote
	ack := Message{Type: MsgVoteAck, To: m.From}
	if pre {
		ack.Type = MsgPreVoteAck
	}
	// The vote given stays given for the whole term; HardState carries it over
	// a crash. A pre-vote promises nothing.
	free := n.vote == m.From || (n.vote == 0 && n.leader == 0) || (pre && m.Term > n.term)
	if !free || !n.log.upToDate(m.Index, m.LogTerm) {
		ack.Reject = true
		n.send(ack)
		return
	}
	if pre {
		ack.Term = m.Term
		n.send(ack)
		return
	}
	n.vote = m.From
	n.electionElapsed = 0
	n.send(ack)
}

func (n *Node) onVoteAck(m Message) {
	wanted := RoleCandidate
	term := n.term
	if m.Type == MsgPreVoteAck {
		wanted = RolePreCandidate
		if !m.Reject {
			term++
		}
	}
	if n.role != wanted || m.Term != term {
		return
	}
	if _, seen := n.votes[m.From]; seen {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// onTimeoutNow starts an election at once: the leader asked for it and has made
// sure that this log is whole. Force lets voters leave their lease.
func (n *Node) onTimeoutNow() {
	if n.role != RoleLeader && n.mayStand() {
		n.campaignWith(RoleCandidate, true)
	}
}
