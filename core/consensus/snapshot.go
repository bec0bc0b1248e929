package consensus

import "fmt"

// chunkRetryAge is how many heartbeat answers may pass before a chunk that
// wasn't acknowledged is sent again.
const chunkRetryAge = 2

// outgoingSnapshot is a snapshot on its way to one peer, one chunk at a time.
// It stays the same one even if the leader compacts again meanwhile.
type outgoingSnapshot struct {
	snap   Snapshot
	offset uint64
	sent   bool
	aged   int
}

func (p *peer) startSnapshot(s Snapshot) {
	p.probe(s.Index + 1)
	p.state = peerSnapshot
	p.snap = &outgoingSnapshot{snap: s}
}

// snapshotAcked notes an acknowledgement from before the start of the log. Once
// it covers the snapshot that was sent, the log has been compacted past it
// meanwhile, and a newer snapshot has to follow.
func (p *peer) snapshotAcked(index uint64) {
	p.match = max(p.match, index)
	if index >= p.snap.snap.Index {
		p.probe(index + 1)
	}
}

func (o *outgoingSnapshot) age() {
	o.aged++
	if o.aged >= chunkRetryAge {
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
	o.sent, o.aged = true, 0
}

func (n *Node) onSnapshotAck(p *peer, m Message) {
	if p.snap == nil || m.Index != p.snap.snap.Index || m.Hint > uint64(len(p.snap.snap.Data)) || m.Hint == p.snap.offset {
		return
	}
	p.snap.offset = m.Hint
	p.snap.sent = false
	n.lead.sendDue = true
}

// incomingSnapshot is a snapshot that is being received. It belongs to one
// leader and term: two leaders may encode one state in different bytes, and a
// mixture would be neither.
type incomingSnapshot struct {
	from    MemberID
	term    uint64
	index   uint64
	logTerm uint64
	total   uint64
	data    []byte
}

func (in *incomingSnapshot) belongs(m Message) bool {
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
	if !n.incoming.belongs(m) {
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

// installSnapshot replaces the log, unless the log already holds the entry that
// the snapshot ends with: then the entries after it may have been acknowledged
// and must stay.
func (n *Node) installSnapshot(s Snapshot) {
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(s)
	n.mems = memberships{{index: s.Index, m: s.Membership}}
	n.install = &s
}
