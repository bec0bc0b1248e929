package consensus

import "fmt"

// chunkRetryHeartbeats is the number of heartbeat acknowledgements after which an
// unacknowledged chunk is sent again.
const chunkRetryHeartbeats = 2

// outgoingSnapshot is a snapshot that is being sent to one peer, one chunk at a
// time. It is not replaced when the leader compacts again during the transfer.
type outgoingSnapshot struct {
	snap          Snapshot
	offset        uint64
	sent          bool
	heartbeatAcks int
}

func (p *peer) startSnapshot(s Snapshot) {
	p.startProbe(s.Index + 1)
	p.state = peerSnapshot
	p.snap = &outgoingSnapshot{snap: s}
}

// handleAckBeforeLog records an acknowledgement of an index before the first entry
// in the log. If it covers the snapshot that was sent, the log has since been
// compacted beyond that snapshot, and a newer one must be sent.
func (p *peer) handleAckBeforeLog(index uint64) {
	p.match = max(p.match, index)
	if index >= p.snap.snap.Index {
		p.startProbe(index + 1)
	}
}

func (o *outgoingSnapshot) countHeartbeatAck() {
	o.heartbeatAcks++
	if o.heartbeatAcks >= chunkRetryHeartbeats {
		o.sent = false
	}
}

func (n *Node) sendChunk(id MemberID, p *peer) {
	o := p.snap
	if o.sent {
		return
	}
	total := uint64(len(o.snap.Data))
	end := min(o.offset+uint64(n.cfg.MaxBatchBytes), total)
	n.send(Message{Type: MsgSnapshot, To: id, Index: o.snap.Index, LogTerm: o.snap.Term, Chunk: &SnapshotChunk{
		Membership: o.snap.Membership, Offset: o.offset, Total: total, Data: o.snap.Data[o.offset:end],
	}})
	o.sent, o.heartbeatAcks = true, 0
}

func (n *Node) onSnapshotAck(p *peer, m Message) {
	if p.snap == nil || m.Index != p.snap.snap.Index || m.Hint > uint64(len(p.snap.snap.Data)) || m.Hint == p.snap.offset {
		return
	}
	p.snap.offset = m.Hint
	p.snap.sent = false
	n.lead.sendDue = true
}

// incomingSnapshot is a snapshot that is being received. All its chunks come from
// one leader in one term: two leaders may encode the same state differently, and
// a mixture of their chunks would be corrupt.
type incomingSnapshot struct {
	from    MemberID
	term    uint64
	index   uint64
	logTerm uint64
	total   uint64
	data    []byte
}

func (in *incomingSnapshot) matches(m Message) bool {
	return in != nil && in.from == m.From && in.term == m.Term && in.index == m.Index &&
		in.logTerm == m.LogTerm && in.total == m.Chunk.Total
}

func (n *Node) validateChunk(m Message) error {
	c := m.Chunk
	if m.Index == 0 || m.LogTerm == 0 || c.Total > uint64(n.cfg.MaxSnapshotBytes) ||
		c.Offset > c.Total || uint64(len(c.Data)) > c.Total-c.Offset {
		return fmt.Errorf("%w: chunk of %d bytes at %d of %d", ErrMalformed, len(c.Data), c.Offset, c.Total)
	}
	return c.Membership.validate()
}

func (n *Node) onSnapshot(m Message) {
	if m.Index <= n.log.commit {
		n.incoming = nil
		n.send(Message{Type: MsgAppendAck, To: m.From, Index: n.log.commit})
		return
	}
	if !n.incoming.matches(m) {
		n.incoming = &incomingSnapshot{from: m.From, term: m.Term, index: m.Index, logTerm: m.LogTerm, total: m.Chunk.Total}
	}
	in := n.incoming
	if m.Chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk.Data...)
	}
	if uint64(len(in.data)) < in.total {
		n.send(Message{Type: MsgSnapshotAck, To: m.From, Index: m.Index, Hint: uint64(len(in.data))})
		return
	}
	n.incoming = nil
	n.installSnapshot(Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Chunk.Membership.clone(), Data: in.data})
	n.send(Message{Type: MsgAppendAck, To: m.From, Index: m.Index})
}

// installSnapshot replaces the log with the snapshot, unless the log already holds
// the last entry that the snapshot covers. In that case the later entries may have
// been acknowledged and must be kept.
func (n *Node) installSnapshot(s Snapshot) {
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(s)
	n.membershipHistory = memberships{{index: s.Index, membership: s.Membership}}
	n.receivedSnapshot = &s
}
