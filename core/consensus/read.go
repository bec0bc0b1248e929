package consensus

// ReadIndex requests a linearizable read. Its result is a ReadState that carries
// ctx. Only the leader accepts it. A leader that doesn't know that it has been
// replaced would serve stale state, so each read waits until a majority of voters
// has confirmed the leader after the read was requested.
func (n *Node) ReadIndex(ctx uint64) error {
	if n.role != RoleLeader {
		return n.notLeader()
	}
	if len(n.lead.queuedReads)+len(n.lead.roundReads) >= n.cfg.MaxPendingReads {
		return ErrBusy
	}
	n.lead.queuedReads = append(n.lead.queuedReads, ctx)
	return nil
}

// readRoundDue reports whether a read round can start for the queued reads. Until
// a leader has committed an entry of its term, it may not know of all committed
// entries.
func (n *Node) readRoundDue() bool {
	return n.role == RoleLeader && len(n.lead.queuedReads) > 0 && len(n.lead.roundReads) == 0 &&
		n.log.commit >= n.lead.termStart
}

// startReadRound sends one round of heartbeats for all queued reads. Only one
// round is in progress at a time, so the number of messages depends on the round
// trips and not on the number of reads.
func (n *Node) startReadRound() {
	if !n.readRoundDue() {
		return
	}
	n.lead.readRound++
	n.lead.readIndex = n.log.commit
	n.lead.roundReads, n.lead.queuedReads = n.lead.queuedReads, nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads completes the reads of the current round once a majority of voters
// has confirmed it.
func (n *Node) confirmReads() {
	if len(n.lead.roundReads) == 0 {
		return
	}
	m := n.members()
	confirmed := 0
	for _, v := range m.Voters {
		if p := n.lead.peers[v.ID]; v.ID == n.id || p != nil && p.readRound >= n.lead.readRound {
			confirmed++
		}
	}
	if confirmed < m.Quorum() {
		return
	}
	for _, ctx := range n.lead.roundReads {
		n.reads = append(n.reads, ReadState{Ctx: ctx, Index: n.lead.readIndex})
	}
	n.lead.roundReads = nil
}

// failPendingReads reports all pending reads as lost, because leadership ends.
func (n *Node) failPendingReads() {
	for _, ctx := range n.lead.roundReads {
		n.reads = append(n.reads, ReadState{Ctx: ctx, Lost: true})
	}
	for _, ctx := range n.lead.queuedReads {
		n.reads = append(n.reads, ReadState{Ctx: ctx, Lost: true})
	}
}
