package consensus

// maxCommittedBatches bounds the size of the committed entries in one Ready, as a
// multiple of MaxBatchBytes.
const maxCommittedBatches = 4

// HasReady reports whether a new batch of work is available. It returns false
// between Ready and Advance.
func (n *Node) HasReady() bool {
	if n.pendingReady != nil {
		return false
	}
	return len(n.msgs) > 0 || len(n.reads) > 0 || n.receivedSnapshot != nil ||
		n.log.last() > n.log.stable || n.log.commit > n.log.applied ||
		n.hard() != n.prevHardState || n.soft() != n.prevSoftState ||
		n.lead.sendDue || n.readRoundDue()
}

// Ready returns the next batch of work. It returns the same batch until Advance
// is called; Step, Tick and Propose may be called in between.
func (n *Node) Ready() Ready {
	if n.pendingReady != nil {
		return *n.pendingReady
	}
	if n.role == RoleLeader {
		n.flush()
	}
	hard, soft := n.hard(), n.soft()
	rd := Ready{
		HardState:        hard,
		HardStateChanged: hard != n.prevHardState,
		Entries:          n.log.slice(n.log.stable, n.log.last(), int(^uint(0)>>1)),
		Snapshot:         n.receivedSnapshot,
		Messages:         n.msgs,
		Reads:            n.reads,
		Role:             soft.role,
		Leader:           soft.leader,
		LeaderChanged:    soft != n.prevSoftState,
	}
	rd.MustSync = len(rd.Entries) > 0 || hard.Term != n.prevHardState.Term || hard.Vote != n.prevHardState.Vote
	applied := n.log.applied
	if n.receivedSnapshot != nil {
		applied = n.receivedSnapshot.Index
	}
	rd.Committed = n.log.slice(applied, n.log.commit, maxCommittedBatches*n.cfg.MaxBatchBytes)
	if n.canSendEarly() {
		rd.Early, rd.Messages = splitEarly(n.msgs)
	}
	n.msgs, n.reads, n.receivedSnapshot = nil, nil, nil
	n.prevHardState, n.prevSoftState = hard, soft
	n.pendingReady = &rd
	return rd
}

// canSendEarly reports whether this batch may have Early messages. An append can
// be sent before the leader has saved the entries, because the leader's own copy
// counts towards a majority only once it is saved. But the term and the vote with
// which it became leader must already be durable, or after a crash it could vote
// again in a term in which it has led.
func (n *Node) canSendEarly() bool {
	return n.cfg.EarlySend && n.term == n.prevHardState.Term && n.vote == n.prevHardState.Vote
}

// splitEarly separates appends and heartbeats from all other messages.
func splitEarly(msgs []Message) (early, late []Message) {
	for _, m := range msgs {
		if m.Type == MsgAppend || m.Type == MsgHeartbeat {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	return early, late
}

// Advance reports to the Node that the last Ready has been saved, sent and applied.
func (n *Node) Advance() {
	rd := n.pendingReady
	if rd == nil {
		return
	}
	n.pendingReady = nil
	if rd.Snapshot != nil {
		n.log.applied = max(n.log.applied, rd.Snapshot.Index)
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[k-1].Index)
	}
	n.markStable(rd.Entries)
}

// markStable records that the saved entries are durable, except those that have
// been overwritten since the batch was returned.
func (n *Node) markStable(saved []Entry) {
	for i := len(saved) - 1; i >= 0; i-- {
		e := saved[i]
		if !n.log.matches(e.Index, e.Term) {
			continue
		}
		n.log.stable = max(n.log.stable, e.Index)
		break
	}
	if n.role == RoleLeader {
		n.maybeCommit()
	}
}
