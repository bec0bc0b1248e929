package consensus

// MessageType says what a Message asks or answers.
type MessageType uint8

// The messages between members.
const (
	// MsgAppend carries entries, or none as a probe, after the entry (Index, LogTerm).
	MsgAppend MessageType = iota + 1
	// MsgAppendAck answers MsgAppend: Index is the highest index that agrees;
	// on Reject, Index is the one refused and Hint where to look next.
	MsgAppendAck
	// MsgHeartbeat tells the commit index and asks for a sign of life.
	MsgHeartbeat
	// MsgHeartbeatAck answers MsgHeartbeat and echoes its Round.
	MsgHeartbeatAck
	// MsgPreVote asks whether an election at Term could be won, without moving any term.
	MsgPreVote
	// MsgPreVoteAck answers MsgPreVote.
	MsgPreVoteAck
	// MsgVote asks for a vote in Term.
	MsgVote
	// MsgVoteAck answers MsgVote.
	MsgVoteAck
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotAck tells the offset that the receiver expects next.
	MsgSnapshotAck
	// MsgTimeoutNow tells the receiver to start an election at once.
	MsgTimeoutNow
)

// Message is one datagram between two members. Order, duplicates and loss in
// transit are all tolerated.
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

// SnapshotChunk is a piece of the snapshot at (Message.Index, Message.LogTerm).
// Pieces keep one message small, so that heartbeats on the same link aren't
// held up behind megabytes.
type SnapshotChunk struct {
	Membership Membership `cbor:"1,keyasint"`
	Offset     uint64     `cbor:"2,keyasint"`
	Total      uint64     `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}
