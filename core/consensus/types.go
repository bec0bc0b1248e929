package consensus

// MemberID names one member for the life of its data folder. It is drawn at
// random when the folder is made; a member whose folder was lost or replaced
// comes back as a new MemberID, because a voter that forgot its vote could vote
// twice in one term. Zero is nobody.
type MemberID uint64

// EntryType says what an entry's Data holds.
type EntryType uint8

// The entry types.
const (
	// EntryCommand carries data of the replicated state machine.
	EntryCommand EntryType = iota + 1
	// EntryMembership carries an encoded Membership.
	EntryMembership
	// EntryNoop is what a new leader writes to commit in its own term.
	EntryNoop
)

// Entry is one record of the replicated log. Index starts at 1 and has no gaps;
// Term is that of the leader that made the entry. Data is never changed after
// the entry was made.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Type  EntryType `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a member must remember over a crash besides its log.
type HardState struct {
	Term   uint64   `cbor:"1,keyasint"`
	Vote   MemberID `cbor:"2,keyasint"`
	Commit uint64   `cbor:"3,keyasint"`
}

// Member is one member of the group and the address its peers dial.
type Member struct {
	ID   MemberID `cbor:"1,keyasint"`
	Addr string   `cbor:"2,keyasint"`
}

// Membership is the whole group. Voters elect and commit; learners only receive
// the log. No member is in both lists; each list is sorted by ID.
type Membership struct {
	Voters   []Member `cbor:"1,keyasint"`
	Learners []Member `cbor:"2,keyasint,omitempty"`
}

// Snapshot stands for all entries up to and including Index. Data is opaque to
// this package.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}

// Restored is what a member read back from its data folder. The zero value is
// a member that has never been part of a group: it waits to be added.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // those after Snapshot.Index, contiguous
}

// Role is what a member does at present.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String gives the role in lower case, as status pages print it.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "precandidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "unknown"
}

// ChangeType says what a Change does.
type ChangeType uint8

// The membership changes. A voter is only ever made by promoting a learner.
const (
	ChangeAddLearner ChangeType = iota + 1
	ChangePromote
	ChangeRemove
)

// String gives the change as logs print it.
func (t ChangeType) String() string {
	switch t {
	case ChangeAddLearner:
		return "add_learner"
	case ChangePromote:
		return "promote"
	case ChangeRemove:
		return "remove"
	}
	return "unknown"
}

// Change is one step of membership. Addr matters for ChangeAddLearner only.
type Change struct {
	Type ChangeType
	ID   MemberID
	Addr string
}

// ReadState answers one ReadIndex call. With Lost false, a read is linearizable
// once the state machine has applied Index. With Lost true leadership ended
// before a majority had confirmed it, and the read must be asked again.
type ReadState struct {
	Ctx   uint64
	Index uint64
	Lost  bool
}

// Ready is one batch of work; see the package comment for the order in which it
// is carried out. Slices belong to the caller until Advance and are read-only.
type Ready struct {
	// HardState is the newest value; save it whenever it differs from the last.
	HardState HardState
	// HardStateChanged says that HardState differs from the last Ready's.
	HardStateChanged bool
	// Entries are to be saved. The first one's index may lie at or below the
	// last saved index: then everything saved from there on is replaced.
	Entries []Entry
	// MustSync says that Entries, Term or Vote changed, so the save has to be
	// durable before Messages go out. A moved Commit alone needs no fsync.
	MustSync bool
	// Snapshot is to be saved and loaded in place of the state machine's state.
	// Nil almost always.
	Snapshot *Snapshot
	// Early are messages that may be sent before the save, and so while it is
	// under way. Empty unless Config.EarlySend is set.
	Early []Message
	// Messages are to be sent after the save. A lost message is harmless.
	Messages []Message
	// Committed entries are to be applied in order. They include membership
	// and no-op entries, which a state machine skips.
	Committed []Entry
	// Reads are answers to ReadIndex.
	Reads []ReadState
	// Role and Leader hold at the time of the batch; Leader is zero if unknown.
	Role          Role
	Leader        MemberID
	LeaderChanged bool
}

// Progress is what the leader knows of one member.
type Progress struct {
	ID              MemberID
	Addr            string
	Voter           bool
	Match           uint64 // highest index known to be durable there
	Lag             uint64 // entries behind the leader's last
	Active          bool   // has answered within the last election timeout
	SendingSnapshot bool   // is being sent a snapshot
}

// Status is a picture of one member for operators and metrics.
type Status struct {
	ID            MemberID
	Role          Role
	Leader        MemberID
	Term          uint64
	Vote          MemberID
	Commit        uint64
	Applied       uint64
	First         uint64 // first index still in the log
	Last          uint64
	SnapshotIndex uint64
	LogBytes      uint64 // data bytes of the entries in memory
	PendingReads  int
	Transferee    MemberID
	Membership    Membership // newest in the log, committed or not
	ChangePending bool
	Members       []Progress // on the leader only, sorted by ID
}
