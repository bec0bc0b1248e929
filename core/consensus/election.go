package consensus

// inLease reports whether this member has heard from a leader within the last
// ElectionTicks, or leads itself. It then ignores requests for votes of a later
// term, unless they are forced. Without this check, a member that returns from a
// partition would make a healthy leader step down, and callers would see a
// needless election. Leader and followers measure time in their own ticks, so the
// lease only avoids disruption; no read relies on it.
func (n *Node) inLease() bool {
	return n.leader != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

// mayCampaign reports whether this member may be a candidate. A voter whose
// removal is in its log but not yet committed may still campaign: it may be the
// only member whose log is up to date enough to win, and without it the group
// could never elect a leader. Its own vote then doesn't count.
func (n *Node) mayCampaign() bool {
	return n.members().IsVoter(n.id) || n.membershipHistory.at(n.log.commit).IsVoter(n.id)
}

// campaign starts a pre-vote or an election, depending on role. A pre-vote changes
// no term, so a member that can't win doesn't raise the terms of the others.
func (n *Node) campaign(role Role) { n.campaignWith(role, false) }

func (n *Node) campaignWith(role Role, force bool) {
	if role == RoleCandidate && !n.leaderSeen {
		n.initialElections++
	}
	n.resetElection()
	n.leader = 0
	n.role = role
	n.votes = map[MemberID]bool{n.id: true}
	request := Message{Type: MsgPreVote, Term: n.term + 1}
	if role == RoleCandidate {
		n.term++
		n.vote = n.id
		request = Message{Type: MsgVote, Term: n.term, Force: force}
	}
	if n.countVotes() {
		return
	}
	request.Index, request.LogTerm = n.log.last(), n.log.lastTerm()
	for _, v := range n.members().Voters {
		if v.ID != n.id {
			request.To = v.ID
			n.send(request)
		}
	}
}

// countVotes changes the role once a majority has granted or rejected the vote,
// and reports whether there was such a majority.
func (n *Node) countVotes() bool {
	granted, rejected := 0, 0
	for _, v := range n.members().Voters {
		switch grant, voted := n.votes[v.ID]; {
		case voted && grant:
			granted++
		case voted:
			rejected++
		}
	}
	quorum := n.members().Quorum()
	switch {
	case granted >= quorum && n.role == RolePreCandidate:
		n.campaign(RoleCandidate)
	case granted >= quorum:
		n.becomeLeader()
	case rejected >= quorum:
		n.becomeFollower(n.term, 0)
	default:
		return false
	}
	return true
}

func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.id
	n.leaderSeen = true
	n.votes = nil
	n.electionElapsed = 0
	n.lead = leaderState{peers: map[MemberID]*peer{}, termStart: n.log.last() + 1, startTick: n.now}
	n.syncPeers()
	for _, e := range n.log.slice(n.log.commit, n.log.last(), int(^uint(0)>>1)) {
		n.lead.uncommitted += entrySize(e)
	}
	// Entries of earlier terms are committed only together with an entry of this
	// term (see maybeCommit); the no-op is such an entry even without proposals.
	n.appendEntry(EntryNoop, nil)
}

func (n *Node) onVoteRequest(m Message) {
	pre := m.Type == MsgPreVote
	ack := Message{Type: MsgVoteAck, To: m.From}
	if pre {
		ack.Type = MsgPreVoteAck
	}
	// A vote is binding for the whole term and is saved in HardState to survive a
	// crash. A granted pre-vote is not binding.
	canVote := n.vote == m.From || (n.vote == 0 && n.leader == 0) || (pre && m.Term > n.term)
	if !canVote || !n.log.isUpToDate(m.Index, m.LogTerm) || pre && n.precedes(m) {
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

// precedes reports whether this member has just begun a pre-vote of its own that goes before a
// candidate's of the same term and the same log.
//
// If two members that lost their leader at the same time grant each other's pre-vote, both vote for
// themselves, and the group waits for another election timeout. The higher ID goes first while
// responses to it may be on the way.
func (n *Node) precedes(m Message) bool {
	sameLog := m.Index == n.log.last() && m.LogTerm == n.log.lastTerm()
	return sameLog && n.role == RolePreCandidate && m.Term == n.term+1 && n.id > m.From && n.electionElapsed <= precedenceTicks
}

// precedenceTicks is how long a member goes before others after it has begun a pre-vote.
const precedenceTicks = 2

func (n *Node) onVoteAck(m Message) {
	expectedRole := RoleCandidate
	term := n.term
	if m.Type == MsgPreVoteAck {
		expectedRole = RolePreCandidate
		if !m.Reject {
			term++
		}
	}
	if n.role != expectedRole || m.Term != term {
		return
	}
	if _, seen := n.votes[m.From]; seen {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// onTimeoutNow starts an election immediately, without a pre-vote. It is the
// leader's request, to transfer leadership or because the leader was removed from
// the group. Force makes voters ignore their lease.
func (n *Node) onTimeoutNow() {
	if n.role != RoleLeader && n.mayCampaign() {
		n.campaignWith(RoleCandidate, true)
	}
}
