package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// Node is one member's agreement state. Not safe for concurrent use.
type Node struct {
	cfg  Config
	id   MemberID
	log  *entryLog
	mems memberships

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID

	now             uint64 // ticks since New
	electionElapsed int
	electionTimeout int // drawn anew at each reset
	// knewLeader tells that a leader was known since the start.
	knewLeader bool
	votes      map[MemberID]bool

	lead leaderState // meaningful on the leader only

	incoming *incomingSnapshot // being received from the leader
	install  *Snapshot         // received whole, not yet handed out

	msgs  []Message
	reads []ReadState

	pending  *Ready // handed out, not yet advanced
	sentHard HardState
	sentSoft softState
	scratch  []uint64
}

// softState is what a Ready tells of leadership.
type softState struct {
	role   Role
	leader MemberID
	term   uint64
}

// Bootstrap gives the state with which the first voters of a new group start.
// All of them must be given the same membership; save it durably before New.
// The customary way is a group of one, which adds the others as learners and
// promotes them. Data is the state machine's first snapshot.
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

// New starts a member from what its folder held.
func New(cfg Config, r Restored) (*Node, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	l, err := newEntryLog(r)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, id: cfg.ID, log: l, term: r.HardState.Term, vote: r.HardState.Vote}
	n.mems = memberships{{index: r.Snapshot.Index, m: r.Snapshot.Membership.clone()}}
	if err := n.noteMemberships(r.Entries); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRestored, err)
	}
	// A crash between the save of entries and that of the hard state leaves
	// entries of a later term. Nothing was sent in that term, since messages
	// wait for the whole save, so no vote of it can have been given.
	if t := l.lastTerm(); t > n.term {
		n.term, n.vote = t, 0
	}
	n.resetElection()
	n.sentHard = r.HardState
	n.sentSoft = n.soft()
	return n, nil
}

func (n *Node) hard() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

func (n *Node) soft() softState { return softState{role: n.role, leader: n.leader, term: n.term} }

func (n *Node) members() Membership { return n.mems.latest().m }

func (n *Node) notLeader() error {
	return &NotLeaderError{Leader: n.leader, Addr: n.members().Addr(n.leader)}
}

// send queues m for the next Ready. A term already set (pre-vote) is kept.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.msgs = append(n.msgs, m)
}

// Tick moves the member's clock by one tick.
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
	if n.mayStand() {
		n.campaign(RolePreCandidate)
		return
	}
	n.leader = 0
	n.resetElection()
}

func (n *Node) tickLeader() {
	if !n.activeQuorum(n.members()) {
		// A leader cut off from the majority can commit nothing and must not
		// answer as if it led; callers would wait on it for as long as the
		// partition lasts. It steps down after one silent election timeout.
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	n.dropDeparted()
	n.lead.heartbeatElapsed++
	if n.lead.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// resetElection draws the silence after which this member stands.
//
// A member that has known no leader since its start has none to take for silent, so that it
// stands sooner and a group that was stopped whole has a leader sooner; if there is one all the
// same, the others refuse it their pre-votes and nothing is disturbed.
func (n *Node) resetElection() {
	n.electionElapsed = 0
	least := n.cfg.ElectionTicks
	if !n.knewLeader {
		least = max(least/firstElectionShare, 1)
	}
	n.electionTimeout = least + n.cfg.Rand.IntN(least)
}

// firstElectionShare makes the first election timeouts after a start shorter, one part
// in so many.
const firstElectionShare = 2

// becomeFollower ends any other role. Leader is zero when it isn't known.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.dropReads()
	n.lead = leaderState{}
	n.votes = nil
	n.role, n.leader = RoleFollower, leader
	n.knewLeader = n.knewLeader || leader != 0
	n.resetElection()
}

// Propose appends commands to the log as one batch, in order; it keeps the
// slices, which must not change afterwards. Success means only that they will
// be sent; they count once they come back in Committed. A leader that loses its
// office may drop them without a word, so a caller that waits must end with an
// unknown outcome when LeaderChanged says so.
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
		if size > n.cfg.MaxBatchBytes {
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
		n.appendOwn(EntryCommand, d)
	}
	return nil
}

// Compact makes a snapshot of the applied state at index, whose state machine
// bytes are data, and lets go of the entries that it stands for. The caller
// saves the answer durably.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= n.log.snap.Index {
		return Snapshot{}, ErrCompacted
	}
	if index > n.log.applied {
		return Snapshot{}, ErrNotApplied
	}
	t, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: t, Membership: n.mems.at(index).clone(), Data: data}
	n.log.snap = s
	n.mems = n.mems.compact(index)
	n.log.compact(n.log.keepFrom(index, n.cfg.KeepEntries, n.cfg.KeepBytes))
	return s, nil
}

// Status gives a picture for operators.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Leader: n.leader, Term: n.term, Vote: n.vote,
		Commit: n.log.commit, Applied: n.log.applied, First: n.log.base + 1, Last: n.log.last(),
		SnapshotIndex: n.log.snap.Index, LogBytes: n.log.bytes,
		PendingReads: len(n.lead.waiting) + len(n.lead.confirming),
		Transferee:   n.lead.transferee,
		Membership:   n.members().clone(), ChangePending: n.changePending(),
	}
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
	return out
}
