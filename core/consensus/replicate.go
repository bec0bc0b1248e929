package consensus

import (
	"maps"
	"slices"
)

// leaderState is the state that only a leader has. It is discarded when the member
// stops leading.
type leaderState struct {
	peers            map[MemberID]*peer
	order            []MemberID // keys of peers, ascending
	heartbeatElapsed int
	termStart        uint64 // index of this term's first entry
	startTick        uint64 // tick at which this member became the leader
	uncommitted      int    // size of the entries that are not yet committed
	sendDue          bool   // the next Ready must check every peer for something to send

	transferee      MemberID
	transferElapsed int

	readRound   uint64   // latest read round that was started
	readIndex   uint64   // commit index at the start of that round
	roundReads  []uint64 // reads waiting for the confirmation of that round
	queuedReads []uint64 // reads waiting for the next round
}

// syncPeers updates the peers to the latest membership. A removed member stays a
// peer for some time so that it learns of its removal; otherwise it would keep
// requesting votes that no member grants.
func (n *Node) syncPeers() {
	m := n.members()
	for id, p := range n.lead.peers {
		if !m.IsVoter(id) && !m.IsLearner(id) && p.removalIndex == 0 {
			p.removalIndex = n.log.last()
		}
	}
	for _, x := range slices.Concat(m.Voters, m.Learners) {
		if x.ID == n.id {
			continue
		}
		p := n.lead.peers[x.ID]
		if p == nil {
			p = &peer{next: n.log.last() + 1, lastAckTick: n.now, joinedTick: n.now, added: n.log.last() >= n.lead.termStart}
			n.lead.peers[x.ID] = p
		}
		if p.removalIndex != 0 {
			p.joinedTick, p.added = n.now, true
		}
		p.removalIndex, p.removedTicks = 0, 0
	}
	n.sortPeers()
	n.lead.sendDue = true
}

func (n *Node) sortPeers() {
	n.lead.order = slices.Sorted(maps.Keys(n.lead.peers))
}

// dropRemovedPeers drops removed members more than ElectionTicks ticks after their
// removal was committed. By then several heartbeats have told them the commit index.
func (n *Node) dropRemovedPeers() {
	for _, id := range n.lead.order {
		p := n.lead.peers[id]
		if p.removalIndex == 0 {
			continue
		}
		if p.removalIndex <= n.log.commit {
			p.removedTicks++
		}
		if p.removedTicks > n.cfg.ElectionTicks {
			delete(n.lead.peers, id)
		}
	}
	if len(n.lead.order) != len(n.lead.peers) {
		n.sortPeers()
	}
}

// eachPeer calls f for each peer in the order of IDs, so that the same inputs
// always produce the same messages.
func (n *Node) eachPeer(f func(MemberID, *peer)) {
	for _, id := range n.lead.order {
		f(id, n.lead.peers[id])
	}
}

// isActive reports whether id is this member, or a peer that has responded within
// the last ElectionTicks.
func (n *Node) isActive(id MemberID) bool {
	if id == n.id {
		return true
	}
	p := n.lead.peers[id]
	return p != nil && n.now-p.lastAckTick < uint64(n.cfg.ElectionTicks)
}

// activeQuorum reports whether a majority of the voters in m is active.
func (n *Node) activeQuorum(m Membership) bool {
	active := 0
	for _, v := range m.Voters {
		if n.isActive(v.ID) {
			active++
		}
	}
	return active >= m.Quorum()
}

func (n *Node) appendEntry(t EntryType, data []byte) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Type: t, Data: data}
	n.log.append([]Entry{e})
	n.lead.uncommitted += entrySize(e)
	n.lead.sendDue = true
}

// maybeCommit advances the commit index to the highest index that is durable on a
// majority of voters, provided that its entry is of the current term. Learners
// don't count.
func (n *Node) maybeCommit() {
	m := n.members()
	n.matchScratch = n.matchScratch[:0]
	for _, v := range m.Voters {
		if v.ID == n.id {
			n.matchScratch = append(n.matchScratch, n.log.stable)
		} else if p := n.lead.peers[v.ID]; p != nil {
			n.matchScratch = append(n.matchScratch, p.match)
		}
	}
	if len(n.matchScratch) < m.Quorum() {
		return
	}
	slices.Sort(n.matchScratch)
	index := n.matchScratch[len(n.matchScratch)-m.Quorum()]
	// An entry of an earlier term that a majority holds may still be overwritten
	// by a leader whose last entry has a later term, and an applied command would
	// disappear. Once a majority holds an entry of this term, no such leader can
	// be elected.
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

// flush queues all messages that can be sent to the peers now. It runs once per
// Ready, so that proposals made between two batches are sent together.
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
		n.sendPipelined(id, p)
	}
}

// sendPipelined sends appends without waiting for their acknowledgements, up to
// MaxInflight of them.
func (n *Node) sendPipelined(id MemberID, p *peer) {
	for p.next <= n.log.last() && len(p.inflight) < n.cfg.MaxInflight {
		batch := n.log.slice(p.next-1, n.log.last(), n.cfg.MaxBatchBytes)
		n.sendAppend(id, p, batch)
		p.next += uint64(len(batch))
		p.inflight = append(p.inflight, p.next-1)
	}
	if p.emptyAppendDue || p.sentCommit < n.log.commit {
		n.sendAppend(id, p, nil)
	}
}

func (n *Node) sendAppend(id MemberID, p *peer, entries []Entry) {
	prevTerm, _ := n.log.term(p.next - 1)
	n.send(Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: prevTerm, Commit: n.log.commit, Entries: entries})
	p.sentCommit = n.log.commit
	p.emptyAppendDue = false
}

func (n *Node) broadcastHeartbeat() {
	n.lead.heartbeatElapsed = 0
	n.eachPeer(func(id MemberID, p *peer) {
		// The peer's entries after match may differ from the leader's, so the
		// commit index sent must not exceed match.
		n.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit), Round: n.lead.readRound})
	})
}

func (n *Node) onAppendAck(p *peer, m Message) {
	if m.Reject {
		candidate, _ := n.log.conflictHint(m.Hint, m.LogTerm)
		p.handleReject(m.Index, candidate+1)
		n.lead.sendDue = true
		return
	}
	if m.Index > n.log.last() {
		return
	}
	n.lead.sendDue = true
	if p.state == peerSnapshot && m.Index < n.log.base {
		p.handleAckBeforeLog(m.Index)
		return
	}
	p.handleAck(m.Index)
	n.maybeCommit()
	n.maybeSendTimeoutNow(m.From, p)
}

func (n *Node) onHeartbeatAck(p *peer, m Message) {
	p.readRound = max(p.readRound, min(m.Round, n.lead.readRound))
	n.confirmReads()
	if p.snap != nil {
		p.snap.countHeartbeatAck()
		n.lead.sendDue = true
	}
	if p.match < n.log.last() {
		p.paused = false
		p.emptyAppendDue = true
		n.lead.sendDue = true
	}
}

func (n *Node) onAppend(m Message) {
	n.incoming = nil
	// Committed entries match the log of every later leader, so skip them.
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

// merge adds entries that follow a matching entry. It truncates the log only at a
// conflicting entry: a delayed append must not remove later entries that have
// been acknowledged.
func (n *Node) merge(entries []Entry) {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
			n.membershipHistory = n.membershipHistory.truncate(e.Index)
		}
		n.log.append(entries[i:])
		if err := n.recordMemberships(entries[i:]); err != nil {
			panic(err) // unreachable: validate has already decoded each of them
		}
		return
	}
}

func (n *Node) onHeartbeat(m Message) {
	n.commitTo(m.Commit)
	n.send(Message{Type: MsgHeartbeatAck, To: m.From, Round: m.Round})
}
