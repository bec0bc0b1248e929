package consensus

// applyBatches bounds the committed entries of one Ready, in MaxBatchBytes.
const applyBatches = 4

// HasReady tells whether Ready would hold any work.
func (n *Node) HasReady() bool {
	if n.pending != nil {
		return false
	}
	return len(n.msgs) > 0 || len(n.reads) > 0 || n.install != nil ||
		n.log.last() > n.log.stable || n.log.commit > n.log.applied ||
		n.hard() != n.sentHard || n.soft() != n.sentSoft ||
		n.lead.sendDue || n.readRoundDue()
}

// Ready gives the next batch of work. It must be followed by Advance before
// Ready is called again (until then it gives the same batch); Step, Tick and
// Propose may come in between.
func (n *Node) Ready() Ready {
	if n.pending != nil {
		return *n.pending
	}
	if n.role == RoleLeader {
		n.flush()
	}
	hard, soft := n.hard(), n.soft()
	rd := Ready{
		HardState:        hard,
		HardStateChanged: hard != n.sentHard,
		Entries:          n.log.slice(n.log.stable, n.log.last(), int(^uint(0)>>1)),
		Snapshot:         n.install,
		Messages:         n.msgs,
		Reads:            n.reads,
		Role:             soft.role,
		Leader:           soft.leader,
		LeaderChanged:    soft != n.sentSoft,
	}
	rd.MustSync = len(rd.Entries) > 0 || hard.Term != n.sentHard.Term || hard.Vote != n.sentHard.Vote
	applied := n.log.applied
	if n.install != nil {
		applied = n.install.Index
	}
	rd.Committed = n.log.slice(applied, n.log.commit, applyBatches*n.cfg.MaxBatchBytes)
	if n.mayEarly() {
		rd.Early, rd.Messages = splitEarly(n.msgs)
	}
	n.msgs, n.reads, n.install = nil, nil, nil
	n.sentHard, n.sentSoft = hard, soft
	n.pending = &rd
	return rd
}

// mayEarly tells whether this batch may have Early messages. An append promises
// nothing about the leader's own copy, which counts once it is saved; but the
// term and the vote that made it leader must be durable, or it could vote again
// in the term in which it has already led.
func (n *Node) mayEarly() bool {
	return n.cfg.EarlySend && n.term == n.sentHard.Term && n.vote == n.sentHard.Vote
}

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

// Advance tells that the last Ready was saved, sent and applied.
func (n *Node) Advance() {
	rd := n.pending
	if rd == nil {
		return
	}
	n.pending = nil
	if rd.Snapshot != nil {
		n.log.applied = max(n.log.applied, rd.Snapshot.Index)
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[k-1].Index)
	}
	n.stabilize(rd.Entries)
}

// stabilize notes that the saved entries are durable, but for those that were
// overwritten since the batch was taken.
func (n *Node) stabilize(saved []Entry) {
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
