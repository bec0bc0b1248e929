package consensus

import (
	"maps"
	"slices"
)

// leaderState is what only a leader holds; it is dropped with the office.
type leaderState struct {
	peers            map[MemberID]*peer
	order            []MemberID // of peers, ascending
	heartbeatElapsed int
	termStart        uint64 // index of this term's first entry
	uncommitted      int    // bytes appended and not yet committed
	sendDue          bool   // Ready has to look for something to send

	transferee      MemberID
	transferElapsed int

	round      uint64 // newest read round sent
	readIndex  uint64
	confirming []uint64 // reads of that round
	waiting    []uint64 // reads for the next round
}

// syncPeers makes the table of peers agree with the newest membership. A member
// that is being removed stays a while, so that it learns of it: else it would
// go on asking for votes that nobody gives.
func (n *Node) syncPeers() {
	m := n.members()
	for id, p := range n.lead.peers {
		if !m.IsVoter(id) && !m.IsLearner(id) && p.departs == 0 {
			p.departs = n.log.last()
		}
	}
	for _, x := range slices.Concat(m.Voters, m.Learners) {
		if x.ID == n.id {
			continue
		}
		if n.lead.peers[x.ID] == nil {
			n.lead.peers[x.ID] = &peer{next: n.log.last() + 1, heard: n.now}
		}
		n.lead.peers[x.ID].departs, n.lead.peers[x.ID].grace = 0, 0
	}
	n.orderPeers()
	n.lead.sendDue = true
}

func (n *Node) orderPeers() {
	n.lead.order = slices.Sorted(maps.Keys(n.lead.peers))
}

// dropDeparted forgets removed members one election timeout after the commit of
// their removal: several heartbeats have told it by then.
func (n *Node) dropDeparted() {
	for _, id := range n.lead.order {
		p := n.lead.peers[id]
		if p.departs == 0 {
			continue
		}
		if p.departs <= n.log.commit {
			p.grace++
		}
		if p.grace > n.cfg.ElectionTicks {
			delete(n.lead.peers, id)
		}
	}
	if len(n.lead.order) != len(n.lead.peers) {
		n.orderPeers()
	}
}

// eachPeer visits the peers in the order of their IDs: the same run must give
// the same messages every time.
func (n *Node) eachPeer(f func(MemberID, *peer)) {
	for _, id := range n.lead.order {
		f(id, n.lead.peers[id])
	}
}

func (n *Node) isActive(id MemberID) bool {
	if id == n.id {
		return true
	}
	p := n.lead.peers[id]
	return p != nil && n.now-p.heard < uint64(n.cfg.ElectionTicks)
}

// activeQuorum tells whether a majority of m has answered lately.
func (n *Node) activeQuorum(m Membership) bool {
	active := 0
	for _, v := range m.Voters {
		if n.isActive(v.ID) {
			active++
		}
	}
	return active >= m.Quorum()
}

func (n *Node) appendOwn(t EntryType, data []byte) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Type: t, Data: data}
	n.log.append([]Entry{e})
	n.lead.uncommitted += entrySize(e)
	n.lead.sendDue = true
}

// maybeCommit moves the commit index to what a majority of voters holds
// durably; learners don't count.
func (n *Node) maybeCommit() {
	m := n.members()
	n.scratch = n.scratch[:0]
	for _, v := range m.Voters {
		if v.ID == n.id {
			n.scratch = append(n.scratch, n.log.stable)
		} else if p := n.lead.peers[v.ID]; p != nil {
			n.scratch = append(n.scratch, p.match)
		}
	}
	if len(n.scratch) < m.Quorum() {
		return
	}
	slices.Sort(n.scratch)
	index := n.scratch[len(n.scratch)-m.Quorum()]
	// An entry of an earlier term that a majority holds may still be
	// overwritten by a leader whose last entry has a later term; callers would
	// see an applied command vanish. Once an entry of this term is held by a
	// majority, no such leader can be elected any more.
	if t, _ := n.log.term(index); index <= n.log.commit || t != n.term {
		return
	}
	n.commitTo(index)
	n.lead.sendDue = true
	n.stepDownIfRemoved()
}

func (n *Node) commitTo(index uint64) {
	index = min(index, n.log.last())
	if index <= n.log.commit {
		return
	}
	if n.role == RoleLeader {
		for _, e := range n.log.entries[n.log.commit-n.log.base : index-n.log.base] {
			n.lead.uncommitted -= entrySize(e)
		}
	}
	n.log.commit = index
}

// flush queues what each peer may be sent now. It runs once per Ready, so that
// proposals made in between leave in one batch.
func (n *Node) flush() {
	n.startReadRound()
	if !n.lead.sendDue {
		return
	}
	n.lead.sendDue = false
	n.eachPeer(n.sendTo)
}

func (n *Node) sendTo(id MemberID, p *peer) {
	if p.state != peerSnapshot && p.next <= n.log.base {
		p.startSnapshot(n.log.snap)
	}
	switch p.state {
	case peerSnapshot:
		n.sendChunk(id, p)
	case peerProbe:
		if !p.paused {
			n.sendAppend(id, p, n.log.slice(p.next-1, n.log.last(), n.cfg.MaxBatchBytes))
			p.paused = true
		}
	case peerReplicate:
		n.sendAhead(id, p)
	}
}

func (n *Node) sendAhead(id MemberID, p *peer) {
	for p.next <= n.log.last() && len(p.inflight) < n.cfg.MaxInflight {
		batch := n.log.slice(p.next-1, n.log.last(), n.cfg.MaxBatchBytes)
		n.sendAppend(id, p, batch)
		p.next += uint64(len(batch))
		p.inflight = append(p.inflight, p.next-1)
	}
	if p.nudge || p.told < n.log.commit {
		n.sendAppend(id, p, nil)
	}
}

func (n *Node) sendAppend(id MemberID, p *peer, entries []Entry) {
	prevTerm, _ := n.log.term(p.next - 1)
	n.send(Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: prevTerm, Commit: n.log.commit, Entries: entries})
	p.told = n.log.commit
	p.nudge = false
}

func (n *Node) broadcastHeartbeat() {
	n.lead.heartbeatElapsed = 0
	n.eachPeer(func(id MemberID, p *peer) {
		// A peer may hold other entries past match, so it must not be told of
		// a commit beyond it.
		n.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit), Round: n.lead.round})
	})
}

func (n *Node) onAppendAck(p *peer, m Message) {
	if m.Reject {
		agree, _ := n.log.conflictHint(m.Hint, m.LogTerm)
		p.rejected(m.Index, agree+1)
		n.lead.sendDue = true
		return
	}
	if m.Index > n.log.last() {
		return
	}
	n.lead.sendDue = true
	if p.state == peerSnapshot && m.Index < n.log.base {
		p.snapshotAcked(m.Index)
		return
	}
	p.ack(m.Index)
	n.maybeCommit()
	n.maybeHandOver(m.From, p)
}

func (n *Node) onHeartbeatAck(p *peer, m Message) {
	p.round = max(p.round, min(m.Round, n.lead.round))
	n.confirmReads()
	if p.snap != nil {
		p.snap.age()
		n.lead.sendDue = true
	}
	if p.match < n.log.last() {
		p.paused = false
		p.nudge = true
		n.lead.sendDue = true
	}
}

func (n *Node) onAppend(m Message) {
	n.incoming = nil
	// What is committed here agrees with any leader's log; skip it.
	if skip := n.log.commit - min(n.log.commit, m.Index); skip > 0 {
		t, _ := n.log.term(n.log.commit)
		m.Entries = m.Entries[min(skip, uint64(len(m.Entries))):]
		m.Index, m.LogTerm = n.log.commit, t
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint, term := n.log.conflictHint(m.Index, m.LogTerm)
		n.send(Message{Type: MsgAppendAck, To: m.From, Index: m.Index, Reject: true, Hint: hint, LogTerm: term})
		return
	}
	n.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.send(Message{Type: MsgAppendAck, To: m.From, Index: last})
}

// merge takes in entries that follow an agreed one. Only a real conflict
// truncates: a delayed append must not take back entries that came after it
// and were acknowledged.
func (n *Node) merge(entries []Entry) {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
			n.mems = n.mems.truncate(e.Index)
		}
		n.log.append(entries[i:])
		if err := n.noteMemberships(entries[i:]); err != nil {
			panic(err) // validate has decoded each of them
		}
		return
	}
}

func (n *Node) onHeartbeat(m Message) {
	n.commitTo(m.Commit)
	n.send(Message{Type: MsgHeartbeatAck, To: m.From, Round: m.Round})
}
