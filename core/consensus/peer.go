package consensus

// peerState is the mode in which the leader replicates to a peer.
type peerState uint8

const (
	// peerProbe: the last matching index is unknown; one append is sent at a time.
	peerProbe peerState = iota
	// peerReplicate: appends are pipelined, without waiting for acknowledgements.
	peerReplicate
	// peerSnapshot: the entries that the peer needs have been compacted; a
	// snapshot is being sent.
	peerSnapshot
)

// peer is the leader's replication state for one other member.
type peer struct {
	state          peerState
	match          uint64   // highest index known to be durable on the peer
	next           uint64   // next index to send, always above match
	lastAckTick    uint64   // tick of the last response, at first the tick of creation
	heard          bool     // the peer has responded to this leader
	joinedTick     uint64   // tick at which this leader added it, or became the leader
	added          bool     // this leader added it
	paused         bool     // a probe was sent and no response has resumed sending yet
	emptyAppendDue bool     // send an empty append, as entries may have been lost in transit
	sentCommit     uint64   // commit index in the last append sent
	inflight       []uint64 // last entry index of each pipelined, unacknowledged append
	snap           *outgoingSnapshot
	readRound      uint64 // latest read round that the peer has confirmed
	removalIndex   uint64 // index of the entry that removes the peer, zero if there is none
	removedTicks   int    // ticks since that entry was committed
}

// startProbe switches to probing from next, or from the index after match if
// that is higher.
func (p *peer) startProbe(next uint64) {
	p.state = peerProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = nil
	p.snap = nil
}

// handleAck records that entries up to index are durable on the peer.
func (p *peer) handleAck(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.state != peerReplicate {
		p.startProbe(p.match + 1)
		p.state = peerReplicate
		return
	}
	freed := 0
	for freed < len(p.inflight) && p.inflight[freed] <= index {
		freed++
	}
	p.inflight = p.inflight[freed:]
}

// handleReject restarts probing at next, or at rejected if that is lower. It
// ignores a stale rejection and any rejection while a snapshot is being sent.
func (p *peer) handleReject(rejected, next uint64) {
	switch p.state {
	case peerSnapshot:
		return
	case peerReplicate:
		if rejected <= p.match {
			return
		}
	case peerProbe:
		if rejected != p.next-1 {
			return
		}
	}
	p.startProbe(min(next, rejected))
}
