package consensus

// Node is one member's agreement state. Not safe for concurrent use.
type Node struct {
	cfg Config
}

// Bootstrap gives the state with which the first voters of a new group start.
// All of them must be given the same membership; save it durably before New.
// The customary way is a group of one, which adds the others as learners and
// promotes them.
func Bootstrap(m Membership, data []byte) (Restored, error) { return Restored{}, ErrInvalidBootstrap }

// New starts a member from what its folder held.
func New(cfg Config, r Restored) (*Node, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	return &Node{cfg: cfg}, nil
}

// Tick moves the member's clock by one tick.
func (n *Node) Tick() {}

// Step takes one message of a peer. An error (ErrWrongMember, ErrMalformed)
// means that the message was dropped without any effect.
func (n *Node) Step(m Message) error { return nil }

// Propose appends commands to the log as one batch, in order. Success means
// only that they will be sent; they count once they come back in Committed.
// A leader that loses its office may drop them without a word, so the caller
// must give up with an unknown outcome when LeaderChanged says so.
func (n *Node) Propose(data ...[]byte) error { return &NotLeaderError{} }

// ProposeChange appends one membership change. One at a time, and only after
// the leader has committed an entry of its own term.
func (n *Node) ProposeChange(c Change) error { return &NotLeaderError{} }

// ReadIndex asks for a linearizable read; the answer comes as a ReadState that
// carries ctx. Leader only.
func (n *Node) ReadIndex(ctx uint64) error { return &NotLeaderError{} }

// TransferLeadership hands the office to a voter that has caught up. Proposals
// are refused until it is done or an election timeout has passed.
func (n *Node) TransferLeadership(to MemberID) error { return &NotLeaderError{} }

// HasReady tells whether Ready would hold any work.
func (n *Node) HasReady() bool { return false }

// Ready gives the next batch of work. It must be followed by Advance before
// Ready is called again; Step, Tick and Propose may come in between.
func (n *Node) Ready() Ready { return Ready{} }

// Advance tells that the last Ready was saved, sent and applied.
func (n *Node) Advance() {}

// Compact makes a snapshot of the applied state at index, whose state machine
// bytes are data, and lets go of the entries that it stands for. The caller
// saves the answer durably.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) { return Snapshot{}, ErrNotApplied }

// Status gives a picture for operators.
func (n *Node) Status() Status { return Status{} }
