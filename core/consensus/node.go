package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// Node is the consensus state of one member. It is not safe for concurrent use.
type Node struct {
	cfg               Config
	id                MemberID
	log               *entryLog
	membershipHistory memberships

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID

	now             uint64 // ticks since New
	electionElapsed int
	electionTimeout int // drawn at random by each resetElection
	// leaderSeen is set once a leader has been known since the start.
	leaderSeen bool
	// initialElections counts the elections that this member started before leaderSeen.
	initialElections int
	votes            map[MemberID]bool

	lead leaderState // used on the leader only

	incoming         *incomingSnapshot // being received from the leader
	receivedSnapshot *Snapshot         // received completely, not yet returned by Ready

	msgs  []Message
	reads []ReadState

	pendingReady  *Ready    // returned by Ready, waiting for Advance
	prevHardState HardState // as of the previous Ready
	prevSoftState softState // as of the previous Ready
	matchScratch  []uint64  // buffer reused by maybeCommit
}

// softState is the volatile leadership state. A Ready reports that it has changed,
// but it is not saved.
type softState struct {
	role   Role
	leader MemberID
	term   uint64
}

// Bootstrap returns the initial state for the first voters of a new group. All of
// them must be given the same membership, and the caller must save the state
// durably before New. Usually the group starts with one voter, and the other
// members are added as learners and then promoted. Data is the initial snapshot
// of the state machine.
func Bootstrap(m Membership, data []byte) (Restored, error) {
	m = m.clone()
	sortMembers(m.Voters)
	sortMembers(m.Learners)
	if len(m.Voters) == 0 || m.validate() != nil {
		return Restored{}, ErrInvalidBootstrap
	}
	const first = 1
	return Restored{
		HardState: HardState{Term: first, Commit: first},
		Snapshot:  Snapshot{Index: first, Term: first, Membership: m, Data: data},
	}, nil
}

// New returns a Node that starts from the state restored from its data directory.
func New(cfg Config, r Restored) (*Node, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	l, err := newEntryLog(r)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, id: cfg.ID, log: l, term: r.HardState.Term, vote: r.HardState.Vote}
	n.membershipHistory = memberships{{index: r.Snapshot.Index, membership: r.Snapshot.Membership.clone()}}
	if err := n.recordMemberships(r.Entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRestored, err)
	}
	// A crash after entries were saved but before the hard state was saved leaves
	// entries of a later term. Messages wait until both are saved, so this member
	// cannot have sent a vote in that term.
	if t := l.lastTerm(); t > n.term {
		n.term, n.vote = t, 0
	}
	n.resetElection()
	n.prevHardState = r.HardState
	n.prevSoftState = n.soft()
	return n, nil
}

func (n *Node) hard() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

func (n *Node) soft() softState { return softState{role: n.role, leader: n.leader, term: n.term} }

func (n *Node) members() Membership { return n.membershipHistory.latest().membership }

func (n *Node) notLeader() error {
	return &NotLeaderError{Leader: n.leader, Addr: n.members().Addr(n.leader)}
}

// send queues m for the next Ready. It fills in the current term unless m has a
// term already, as pre-vote messages do.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.msgs = append(n.msgs, m)
}

// Tick advances the member's logical clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	if n.mayCampaign() {
		n.campaign(RolePreCandidate)
		return
	}
	n.leader = 0
	n.resetElection()
}

func (n *Node) tickLeader() {
	if !n.activeQuorum(n.members()) {
		// A leader that is cut off from the majority can't commit anything. If it
		// kept the role, callers would wait on it for as long as the partition
		// lasts, so it steps down after ElectionTicks without hearing from a majority.
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	n.dropRemovedPeers()
	n.lead.heartbeatElapsed++
	if n.lead.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// resetElection restarts the election timer with a new random timeout.
//
// A member that has known no leader since its start uses a shorter timeout, so that a group
// whose members were all stopped elects a leader sooner. If the group does have a leader, the
// other members ignore or reject the pre-votes and the leader is not disturbed. Where messages and
// saves take longer than that timeout, such elections end before their votes arrive, so only the
// first few use it.
func (n *Node) resetElection() {
	n.electionElapsed = 0
	minTicks := n.cfg.ElectionTicks
	if !n.leaderSeen && n.initialElections <= maxInitialElections {
		minTicks = max(minTicks/initialElectionDivisor, 1)
	}
	n.electionTimeout = minTicks + n.cfg.Rand.IntN(minTicks)
}

// initialElectionDivisor divides the election timeout of a member that has known no leader
// since its start.
const initialElectionDivisor = 2

// maxInitialElections bounds the elections that use the shorter timeout.
const maxInitialElections = 2

// becomeFollower switches to the follower role, adopts a later term and marks
// pending reads as lost. The leader is zero if unknown.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.failPendingReads()
	n.lead = leaderState{}
	n.votes = nil
	n.role, n.leader = RoleFollower, leader
	n.leaderSeen = n.leaderSeen || leader != 0
	n.resetElection()
}

// Propose appends commands to the log in order; either all of them are appended
// or none. It keeps the slices, so the caller must not modify them afterwards. A
// nil error means only that the commands were appended to the leader's log; they
// are committed once they are returned in Ready.Committed. If the leader loses
// leadership, they may be dropped without notice, so after Ready.LeaderChanged a
// caller that still waits must treat the outcome as unknown.
func (n *Node) Propose(data ...[]byte) error {
	if n.role != RoleLeader {
		return n.notLeader()
	}
	if n.lead.transferee != 0 {
		return ErrTransferring
	}
	total := 0
	for _, d := range data {
		size := len(d) + entryOverhead
		if size > n.cfg.MaxEntryBytes {
			return ErrTooLarge
		}
		total += size
	}
	if total > n.cfg.MaxUncommittedBytes {
		return ErrTooLarge
	}
	if n.lead.uncommitted+total > n.cfg.MaxUncommittedBytes {
		return ErrBusy
	}
	for _, d := range data {
		n.appendEntry(EntryCommand, d)
	}
	return nil
}

// Compact returns a snapshot of the applied state at index, with data as the
// encoded state machine, and drops the entries that it covers, except those that
// KeepEntries and KeepBytes retain. The caller must save the snapshot durably.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= n.log.snap.Index {
		return Snapshot{}, ErrCompacted
	}
	if index > n.log.applied {
		return Snapshot{}, ErrNotApplied
	}
	t, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: t, Membership: n.membershipHistory.at(index).clone(), Data: data}
	n.log.snap = s
	n.membershipHistory = n.membershipHistory.compact(index)
	n.log.compact(n.log.compactionIndex(index, n.cfg.KeepEntries, n.cfg.KeepBytes))
	return s, nil
}

// Status returns the member's current state for operators and metrics.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Leader: n.leader, Term: n.term, Vote: n.vote,
		Commit: n.log.commit, Applied: n.log.applied, First: n.log.base + 1, Last: n.log.last(),
		SnapshotIndex: n.log.snap.Index, LogBytes: n.log.bytes,
		PendingReads: len(n.lead.queuedReads) + len(n.lead.roundReads),
		Transferee:   n.lead.transferee,
		Membership:   n.members().clone(), ChangePending: n.changePending(),
		LeaderSeen: n.leaderSeen,
	}
	committed := n.membershipHistory.entryAt(n.log.commit)
	s.Committed, s.CommittedIndex = committed.membership.clone(), committed.index
	if n.role != RoleLeader {
		return s
	}
	for _, m := range slices.Concat(s.Membership.Voters, s.Membership.Learners) {
		s.Members = append(s.Members, n.progressOf(m))
	}
	slices.SortFunc(s.Members, func(a, b Progress) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

func (n *Node) progressOf(m Member) Progress {
	out := Progress{ID: m.ID, Addr: m.Addr, Voter: n.members().IsVoter(m.ID)}
	if m.ID == n.id {
		out.Match, out.Active = n.log.stable, true
	} else if p := n.lead.peers[m.ID]; p != nil {
		out.Match = p.match
		out.Active = n.isActive(m.ID)
		out.SendingSnapshot = p.state == peerSnapshot
	}
	out.Lag = n.log.last() - out.Match
	out.Absent = n.absentSince(m.ID)
	return out
}
