package consensus

import "fmt"

// Step processes one message from a peer. It keeps the message's slices. An error
// (ErrWrongMember or ErrMalformed) means that the message was dropped without any
// effect.
func (n *Node) Step(m Message) error {
	// The sender may mean an earlier member at this address, which had another
	// data directory. If this member responded in its place, it could vote a second
	// time in a term in which the earlier member has voted.
	if m.To != n.id {
		return ErrWrongMember
	}
	if err := n.validate(m); err != nil {
		return err
	}
	if m.Term < n.term {
		n.replyToStale(m)
		return nil
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return nil
	}
	n.dispatch(m)
	return nil
}

// adoptTerm handles a message of a later term. It adopts that term, except for a
// pre-vote request or a granted pre-vote, and reports whether m is to be
// processed. While the leader lease holds, pre-vote requests and vote requests
// without Force are dropped.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return !n.inLease()
	case MsgPreVoteAck:
		if m.Reject {
			n.becomeFollower(m.Term, 0)
		}
		return true
	case MsgVote:
		if n.inLease() && !m.Force {
			return false
		}
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// replyToStale informs a sender of an earlier term about the current term. A
// leader must learn of it. Otherwise a member that raised its term and then lost
// its connection would reject that leader forever, while the leader's lease keeps
// the other members from voting.
func (n *Node) replyToStale(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendAck, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteAck, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteAck, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.onVoteRequest(m)
	case MsgPreVoteAck, MsgVoteAck:
		n.onVoteAck(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.handleLeaderMessage(m)
	case MsgTimeoutNow:
		n.onTimeoutNow()
	case MsgAppendAck, MsgHeartbeatAck, MsgSnapshotAck:
		n.handlePeerResponse(m)
	}
}

func (n *Node) handleLeaderMessage(m Message) {
	if n.role == RoleLeader {
		return // a term has only one leader, so never follow another one
	}
	if n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.electionElapsed = 0
	switch m.Type {
	case MsgAppend:
		n.onAppend(m)
	case MsgHeartbeat:
		n.onHeartbeat(m)
	case MsgSnapshot:
		n.onSnapshot(m)
	}
}

func (n *Node) handlePeerResponse(m Message) {
	if n.role != RoleLeader {
		return
	}
	p := n.lead.peers[m.From]
	if p == nil {
		return
	}
	p.lastAckTick, p.heard = n.now, true
	switch m.Type {
	case MsgAppendAck:
		n.onAppendAck(p, m)
	case MsgHeartbeatAck:
		n.onHeartbeatAck(p, m)
	case MsgSnapshotAck:
		n.onSnapshotAck(p, m)
	}
}

func (n *Node) validate(m Message) error {
	if m.Type < MsgAppend || m.Type > MsgTimeoutNow || m.From == 0 || m.From == n.id || m.Term == 0 {
		return fmt.Errorf("%w: type %d from %x in term %d", ErrMalformed, m.Type, uint64(m.From), m.Term)
	}
	if len(m.Entries) > 0 && m.Type != MsgAppend {
		return fmt.Errorf("%w: entries in type %d", ErrMalformed, m.Type)
	}
	if (m.Chunk != nil) != (m.Type == MsgSnapshot) {
		return fmt.Errorf("%w: chunk and type %d", ErrMalformed, m.Type)
	}
	if m.LogTerm > m.Term {
		return fmt.Errorf("%w: log term %d is past term %d", ErrMalformed, m.LogTerm, m.Term)
	}
	if m.Chunk != nil {
		return n.validateChunk(m)
	}
	return validateEntries(m)
}

func validateEntries(m Message) error {
	if err := checkContiguous(m.Index, m.LogTerm, m.Entries); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for _, e := range m.Entries {
		if e.Term > m.Term || e.Type < EntryCommand || e.Type > EntryNoop {
			return fmt.Errorf("%w: entry %d has term %d and type %d", ErrMalformed, e.Index, e.Term, e.Type)
		}
		if e.Type != EntryMembership {
			continue
		}
		if _, err := DecodeMembership(e.Data); err != nil {
			return err
		}
	}
	return nil
}
