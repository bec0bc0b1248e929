package consensus

// peerState says how the leader sends to a peer.
type peerState uint8

const (
	// peerProbe: where the logs agree isn't known; one append at a time.
	peerProbe peerState = iota
	// peerReplicate: appends are sent ahead of their acknowledgements.
	peerReplicate
	// peerSnapshot: the log no longer reaches back; a snapshot is being sent.
	peerSnapshot
)

// peer is what the leader knows of one other member.
type peer struct {
	state    peerState
	match    uint64 // highest index known to be durable there
	next     uint64 // next index to send; above match
	heard    uint64 // tick of the last answer
	paused   bool   // probing, and the probe isn't answered yet
	nudge    bool   // entries may be lost in transit: send an empty append
	told     uint64 // commit index last sent
	inflight []uint64
	snap     *outgoingSnapshot
	round    uint64 // newest read round that it confirmed
	departs  uint64 // index of its removal, zero for a member
	grace    int    // ticks since the removal was committed
}

func (p *peer) probe(next uint64) {
	p.state = peerProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = nil
	p.snap = nil
}

// ack notes that entries up to index are durable at the peer.
func (p *peer) ack(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.state != peerReplicate {
		p.probe(p.match + 1)
		p.state = peerReplicate
		return
	}
	freed := 0
	for freed < len(p.inflight) && p.inflight[freed] <= index {
		freed++
	}
	p.inflight = p.inflight[freed:]
}

// rejected goes back to where the logs may agree. A refusal that is older than
// what is known by now is ignored.
func (p *peer) rejected(refused, next uint64) {
	switch p.state {
	case peerSnapshot:
		return
	case peerReplicate:
		if refused <= p.match {
			return
		}
	case peerProbe:
		if refused != p.next-1 {
			return
		}
	}
	p.probe(min(next, refused))
}
