package control

import (
	"sync"
	"time"

	"almondseam.dev/core/consensus"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
)

const (
	// maxPartedBytes bounds a log entry that arrives in parts.
	maxPartedBytes = 32 << 20
	// repeatInterval is how long a message is not sent again after its last part has arrived:
	// the receiver saves it, and acknowledges it only then.
	repeatInterval = 500 * time.Millisecond
)

// Part carries a range of the data of the only entry in Message, whose own Data is empty.
type Part struct {
	Message consensus.Message `cbor:"1,keyasint"`
	Offset  int               `cbor:"2,keyasint,omitempty"`
	Total   int               `cbor:"3,keyasint"`
	Data    []byte            `cbor:"4,keyasint"`
}

// PartAck asks for the part at offset Received.
type PartAck struct {
	Received int `cbor:"1,keyasint"`
}

// Kind implements wire.Message.
func (*Part) Kind() wire.Kind { return kindPart }

// Kind implements wire.Message.
func (*PartAck) Kind() wire.Kind { return kindPartAck }

// sentInParts reports whether m carries an entry that does not fit in a batch. Such an entry is
// the only one of its message.
func sentInParts(m consensus.Message) bool {
	return len(m.Entries) == 1 && len(m.Entries[0].Data) > consensus.DefaultMaxBatchBytes
}

// parts sends and receives large log entries in parts, each after the one before was received, so
// that heartbeats travel between them. It may be used by several goroutines.
//
// Without it, a leader that sends 3 MiB over 10 Mbit/s reaches no follower for 2.5 s and loses
// its leadership.
type parts struct {
	receive  func(consensus.Message)
	mu       sync.Mutex
	outgoing map[*link.Conn]*outgoingEntry
	incoming map[*link.Conn]*incomingEntry
}

// outgoingEntry is the last large entry that was sent on a link.
type outgoingEntry struct {
	message consensus.Message // without the entry's data
	data    []byte
	pieces  link.Pieces
	// ended is when the last part was acknowledged, zero before.
	ended time.Time
}

// incomingEntry is a large entry of which some parts have arrived.
type incomingEntry struct {
	message consensus.Message
	data    []byte
	total   int
}

func newParts(receive func(consensus.Message)) *parts {
	return &parts{
		receive:  receive,
		outgoing: make(map[*link.Conn]*outgoingEntry),
		incoming: make(map[*link.Conn]*incomingEntry),
	}
}

// start sends the first part of m. It drops m, which consensus sends again, while another large
// entry is on the way.
//
// After each heartbeat the leader repeats an entry that is not acknowledged. On a slow link the
// repetitions would delay each other without end.
func (p *parts) start(conn *link.Conn, m consensus.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.outgoing[conn]; last != nil && last.blocks(m) {
		return
	}
	e := m.Entries[0]
	out := &outgoingEntry{message: m, data: e.Data}
	e.Data = nil
	out.message.Entries = []consensus.Entry{e}
	if out.send(conn, 0) == nil {
		p.outgoing[conn] = out
		return
	}
	delete(p.outgoing, conn) // the link may have been forgotten already
}

// blocks reports whether m must not be sent now.
func (o *outgoingEntry) blocks(m consensus.Message) bool {
	if o.ended.IsZero() {
		return true
	}
	return o.message.Term == m.Term && o.message.Index == m.Index && time.Since(o.ended) < repeatInterval
}

// send sends the part at an offset. An error means that the link has ended.
func (o *outgoingEntry) send(conn *link.Conn, offset int) error {
	end := min(offset+o.pieces.Next(), len(o.data))
	return conn.Send(&Part{Message: o.message, Offset: offset, Total: len(o.data), Data: o.data[offset:end]})
}

// receiveAck sends the next part.
func (p *parts) receiveAck(conn *link.Conn, a *PartAck) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.outgoing[conn]
	switch {
	case out == nil || !out.ended.IsZero() || a.Received <= 0:
	case a.Received >= len(out.data):
		out.ended, out.data = time.Now(), nil
	default:
		_ = out.send(conn, a.Received) // fails only on a link that has ended, which is forgotten soon
	}
}

// receivePart adds a part, asks for the next one, and passes on the message once it is whole.
func (p *parts) receivePart(conn *link.Conn, m *Part) {
	whole, ok := p.add(conn, m)
	if !ok {
		conn.Close()
		return
	}
	if whole != nil {
		p.receive(*whole)
	}
	_ = conn.Send(&PartAck{Received: m.Offset + len(m.Data)}) // the link has ended if it fails
}

// add adds a part. It returns the message if it is whole, and false for a part that cannot be
// the next one.
func (p *parts) add(conn *link.Conn, m *Part) (*consensus.Message, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Offset == 0 {
		p.incoming[conn] = &incomingEntry{message: m.Message, total: m.Total}
	}
	in := p.incoming[conn]
	if in == nil || len(m.Data) == 0 || m.Offset != len(in.data) || len(m.Message.Entries) != 1 ||
		m.Total != in.total || m.Total > maxPartedBytes || len(in.data)+len(m.Data) > in.total {
		delete(p.incoming, conn)
		return nil, false
	}
	in.data = append(in.data, m.Data...)
	if len(in.data) < in.total {
		return nil, true
	}
	delete(p.incoming, conn)
	in.message.Entries[0].Data = in.data
	return &in.message, true
}

// forget drops what is kept for a link that has ended.
func (p *parts) forget(conn *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.outgoing, conn)
	delete(p.incoming, conn)
}
