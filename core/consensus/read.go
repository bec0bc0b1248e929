package consensus

// ReadIndex asks for a linearizable read; the answer comes as a ReadState that
// carries ctx. Leader only. A leader that was replaced without knowing would
// answer from old state, so each read waits until a majority of voters has
// confirmed the leader after the read came in.
func (n *Node) ReadIndex(ctx uint64) error {
	if n.role != RoleLeader {
		return n.notLeader()
	}
	if len(n.lead.waiting)+len(n.lead.confirming) >= n.cfg.MaxPendingReads {
		return ErrBusy
	}
	n.lead.waiting = append(n.lead.waiting, ctx)
	return nil
}

// readRoundDue tells whether waiting reads can start a round. Before the first
// commit of its term a leader may not know everything that was committed.
func (n *Node) readRoundDue() bool {
	return n.role == RoleLeader && len(n.lead.waiting) > 0 && len(n.lead.confirming) == 0 &&
		n.log.commit >= n.lead.termStart
}

// startReadRound sends one round of heartbeats for all reads that wait. One
// round is under way at a time, so reads cost messages by round trip, not each.
func (n *Node) startReadRound() {
	if !n.readRoundDue() {
		return
	}
	n.lead.round++
	n.lead.readIndex = n.log.commit
	n.lead.confirming, n.lead.waiting = n.lead.waiting, nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

func (n *Node) confirmReads() {
	if len(n.lead.confirming) == 0 {
		return
	}
	m := n.members()
	confirmed := 0
	for _, v := range m.Voters {
		if p := n.lead.peers[v.ID]; v.ID == n.id || p != nil && p.round >= n.lead.round {
			confirmed++
		}
	}
	if confirmed < m.Quorum() {
		return
	}
	for _, ctx := range n.lead.confirming {
		n.reads = append(n.reads, ReadState{Ctx: ctx, Index: n.lead.readIndex})
	}
	n.lead.confirming = nil
}

// dropReads answers the reads of an ending office as lost.
func (n *Node) dropReads() {
	for _, ctx := range n.lead.confirming {
		n.reads = append(n.reads, ReadState{Ctx: ctx, Lost: true})
	}
	for _, ctx := range n.lead.waiting {
		n.reads = append(n.reads, ReadState{Ctx: ctx, Lost: true})
	}
}
