package consensus

// MemberID identifies a member for the lifetime of its data directory. It is
// chosen at random when the directory is created. A member whose directory was
// lost or replaced rejoins under a new MemberID, because a voter that has lost
// its vote could vote twice in one term. Zero means no member.
type MemberID uint64

// EntryType is the type of an entry's Data.
type EntryType uint8

// The entry types.
const (
	// EntryCommand carries a command for the replicated state machine.
	EntryCommand EntryType = iota + 1
	// EntryMembership carries an encoded Membership.
	EntryMembership
	// EntryNoop is appended by a new leader to commit an entry of its own term.
	EntryNoop
)

// Entry is one record of the replicated log. Index starts at 1 and has no gaps;
// Term is the term of the leader that created the entry. Data is immutable once
// the entry has been created.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Type  EntryType `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the state, apart from the log, that must survive a crash of the
// member.
type HardState struct {
	Term   uint64   `cbor:"1,keyasint"`
	Vote   MemberID `cbor:"2,keyasint"`
	Commit uint64   `cbor:"3,keyasint"`
}

// Member is one member of the group and the address that its peers dial.
type Member struct {
	ID   MemberID `cbor:"1,keyasint"`
	Addr string   `cbor:"2,keyasint"`
}

// Membership lists all members of the group. Voters take part in elections and
// in commit majorities; learners only receive the log. No member is in both
// lists; each list is sorted by ID.
type Membership struct {
	Voters   []Member `cbor:"1,keyasint"`
	Learners []Member `cbor:"2,keyasint,omitempty"`
	// Absences are a hint for the leader; members of earlier releases ignore them.
	Absences []Absence `cbor:"3,keyasint,omitempty"`
}

// Snapshot replaces all entries up to and including Index. Data is the encoded
// state of the state machine and is opaque to this package.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}

// Restored is the state that a member has read from its data directory. The zero
// value belongs to a member that has never been part of a group and waits to be
// added to one.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // the entries after Snapshot.Index, contiguous
}

// Role is a member's current Raft role.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role in lower case, as status pages print it.
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

// ChangeType is the type of a membership Change.
type ChangeType uint8

// The membership changes. The only way to add a voter is to promote a learner.
const (
	ChangeAddLearner ChangeType = iota + 1
	ChangePromote
	ChangeRemove
)

// String returns the type of the change as logs print it.
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

// Change adds, promotes or removes one member. Addr is used by ChangeAddLearner
// only.
type Change struct {
	Type ChangeType
	ID   MemberID
	Addr string
}

// ReadState is the result of one ReadIndex call. If Lost is false, the read is
// linearizable once the state machine has applied Index. If Lost is true,
// leadership ended before a majority confirmed it, and the read must be retried.
type ReadState struct {
	Ctx   uint64
	Index uint64
	Lost  bool
}

// Ready is one batch of work; see the package comment for the order in which the
// caller processes it. The caller may use the slices until Advance but must not
// modify them.
type Ready struct {
	// HardState is the current value. It must be saved when HardStateChanged is
	// set.
	HardState HardState
	// HardStateChanged reports whether HardState differs from the value in the
	// previous Ready.
	HardStateChanged bool
	// Entries must be saved. If the index of the first one is at or below the
	// last saved index, they replace every saved entry from that index on.
	Entries []Entry
	// MustSync reports that there are Entries to save or that Term or Vote
	// changed, so the save must be durable before Messages are sent. A change of
	// Commit alone needs no fsync.
	MustSync bool
	// Snapshot must be saved and then loaded, replacing the current state of the
	// state machine. It is nil in most batches.
	Snapshot *Snapshot
	// Early holds messages that may be sent before or during the save. It is
	// empty unless Config.EarlySend is set.
	Early []Message
	// Messages must be sent only after the save. A lost message is harmless.
	Messages []Message
	// Committed holds entries to apply in order. They include membership and
	// no-op entries, which a state machine skips.
	Committed []Entry
	// Reads holds the results of ReadIndex calls.
	Reads []ReadState
	// Role and Leader are the values at the time of the batch; Leader is zero if
	// unknown. LeaderChanged reports whether the role, the leader or the term
	// differs from the previous Ready.
	Role          Role
	Leader        MemberID
	LeaderChanged bool
}

// Progress is the leader's view of the replication to one member.
type Progress struct {
	ID              MemberID
	Addr            string
	Voter           bool
	Match           uint64 // highest index known to be durable on the member
	Lag             uint64 // number of entries behind the leader's last entry
	Active          bool   // the member has responded within the last ElectionTicks
	SendingSnapshot bool   // the leader is sending a snapshot to the member
	// Absent lists the voters that are not known to have responded since the member was added;
	// it is empty if that was before the leader's term and no Absence says so.
	Absent []MemberID
}

// Status describes the state of one member for operators and metrics.
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
	LogBytes      uint64 // size of the entries in memory: their data plus a fixed overhead each
	PendingReads  int
	Transferee    MemberID
	Membership    Membership // the latest in the log, committed or not
	Committed     Membership // the latest that this member knows to be committed
	// CommittedIndex orders the committed memberships of all members: a member that a membership
	// leaves out, and that does not know it, has a lower one.
	CommittedIndex uint64
	ChangePending  bool
	// LeaderSeen is set once a leader has been known since the start.
	LeaderSeen bool
	Members    []Progress // set on the leader only, sorted by ID
}
