package consensus

// MessageType is the type of a Message.
type MessageType uint8

// The messages between members.
const (
	// MsgAppend carries the entries that follow the entry at (Index, LogTerm). As
	// a probe it carries none.
	MsgAppend MessageType = iota + 1
	// MsgAppendAck answers MsgAppend. Index is the highest index up to which the
	// logs match. If Reject is set, Index is the preceding index that did not
	// match, and (Hint, LogTerm) is the entry at which to probe next. It also
	// acknowledges a complete snapshot, and with Reject set it tells a leader of
	// an earlier term about the receiver's term.
	MsgAppendAck
	// MsgHeartbeat carries the commit index and requests a MsgHeartbeatAck.
	MsgHeartbeat
	// MsgHeartbeatAck answers MsgHeartbeat and echoes its Round.
	MsgHeartbeatAck
	// MsgPreVote asks whether the sender could win an election in Term. It changes
	// no member's term.
	MsgPreVote
	// MsgPreVoteAck answers MsgPreVote.
	MsgPreVoteAck
	// MsgVote requests a vote in Term.
	MsgVote
	// MsgVoteAck answers MsgVote.
	MsgVoteAck
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotAck carries in Hint the offset that the receiver expects next.
	MsgSnapshotAck
	// MsgTimeoutNow tells the receiver to start an election immediately.
	MsgTimeoutNow
)

// Message is a message from one member to another. Messages may be lost,
// duplicated or reordered in transit.
type Message struct {
	Type    MessageType    `cbor:"1,keyasint"`
	From    MemberID       `cbor:"2,keyasint"`
	To      MemberID       `cbor:"3,keyasint"`
	Term    uint64         `cbor:"4,keyasint"`
	Index   uint64         `cbor:"5,keyasint,omitempty"`
	LogTerm uint64         `cbor:"6,keyasint,omitempty"`
	Commit  uint64         `cbor:"7,keyasint,omitempty"`
	Entries []Entry        `cbor:"8,keyasint,omitempty"`
	Reject  bool           `cbor:"9,keyasint,omitempty"`
	Hint    uint64         `cbor:"10,keyasint,omitempty"`
	Round   uint64         `cbor:"11,keyasint,omitempty"`
	Force   bool           `cbor:"12,keyasint,omitempty"`
	Chunk   *SnapshotChunk `cbor:"13,keyasint,omitempty"`
}

// SnapshotChunk is one part of the snapshot at (Message.Index, Message.LogTerm).
// Snapshots are split so that heartbeats on the same connection aren't delayed
// behind megabytes of snapshot data.
type SnapshotChunk struct {
	Membership Membership `cbor:"1,keyasint"`
	Offset     uint64     `cbor:"2,keyasint"`
	Total      uint64     `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}
