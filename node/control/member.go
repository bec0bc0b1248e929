package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/regroup"
	"almondseam.dev/core/state"
	"github.com/sourcegraph/conc"
)

// Defaults of Options, and fixed limits and intervals of a member.
const (
	DefaultTick        = 50 * time.Millisecond
	defaultInbox       = 4096
	defaultQueue       = 8192
	maxBatch           = 512
	clockInterval      = 5 * time.Second
	snapshotEntries    = 8192
	snapshotBytes      = 16 << 20
	statusRefreshTicks = 20
	// membershipCheckTicks is how many ticks pass between two checks for a due
	// membership change: a change takes one round trip, an election 10 to 20 ticks.
	membershipCheckTicks = 5
	defaultReplyTimeout  = 10 * time.Second
)

// Member is one member of the control group. Run drives it; all other exported
// methods may be called from several goroutines.
type Member struct {
	opt   Options
	node  *consensus.Node
	inbox chan consensus.Message
	calls chan *call
	done  chan struct{}

	// The fields up to planner are used only by the goroutine of Run.
	pending            map[uint64]*call
	reads              map[uint64][]*call
	confirmedReads     []confirmedRead
	uncommittedChanges []*call
	seq                uint64 // begins at random; see encodeProposal
	clock              replicatedClock
	role               consensus.Role
	term               uint64
	lastSnapshot       uint64
	lastCommand        time.Time
	ticks              int
	delayedChanges     []delayedChange
	encodingSnapshot   bool
	encodedSnapshot    chan encodedSnapshot
	snapshotWorkers    conc.WaitGroup
	members            consensus.Membership
	// committedMembership is the index of the membership that watchers were notified of.
	committedMembership uint64
	planner             *regroup.Planner // of the current leadership; nil while this member is not the leader

	// mu guards state, changed and applied. The goroutine of Run, which alone writes
	// them, may read them without it.
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{} // closed and replaced when watchers have to be notified
	applied uint64

	status    atomic.Pointer[consensus.Status]
	reports   *reports
	stopError atomic.Pointer[error]
}

// ErrStopped is the error of requests to a member that no longer runs.
var ErrStopped = errors.New("control member has stopped")

// NewMember returns a member with the state that was restored from its data
// directory. Run starts it.
func NewMember(opt Options) (*Member, error) {
	opt = opt.withDefaults()
	if err := opt.Limits.Claim.Validate(); err != nil {
		return nil, &api.Error{Step: api.StepRecover, Reason: api.ReasonInternal, Err: err}
	}
	opt.Consensus.ID = opt.ID
	node, err := consensus.New(opt.Consensus, opt.Restored)
	if err != nil {
		return nil, &api.Error{Step: api.StepRecover, Reason: api.ReasonInternal, Err: err}
	}
	st, err := state.Restore(opt.Limits, opt.Restored.Snapshot.Data)
	if err != nil {
		return nil, &api.Error{Step: api.StepRecover, Reason: api.ReasonInternal, Err: err}
	}
	m := &Member{
		opt:             opt,
		node:            node,
		state:           st,
		applied:         opt.Restored.Snapshot.Index,
		lastSnapshot:    opt.Restored.Snapshot.Index,
		inbox:           make(chan consensus.Message, defaultInbox),
		calls:           make(chan *call, defaultQueue),
		done:            make(chan struct{}),
		changed:         make(chan struct{}),
		encodedSnapshot: make(chan encodedSnapshot, 1),
		pending:         make(map[uint64]*call),
		reads:           make(map[uint64][]*call),
		seq:             rand.Uint64(),
		reports:         newReports(),
	}
	status := node.Status()
	m.status.Store(&status)
	return m, nil
}

// ID returns the member's ID.
func (m *Member) ID() consensus.MemberID { return m.opt.ID }

// Status returns the most recently published status of the consensus node.
func (m *Member) Status() consensus.Status { return *m.status.Load() }

// ConfigAt waits until this member has applied at least minRevision and returns the
// newest applied configuration. It returns false if that does not happen before ctx
// ends or applyTimeout has passed.
func (m *Member) ConfigAt(ctx context.Context, minRevision api.Revision) (state.Config, bool) {
	limit := time.NewTimer(applyTimeout)
	defer limit.Stop()
	for {
		m.mu.RLock()
		conf, changed := m.state.Current(), m.changed
		m.mu.RUnlock()
		if conf.Revision >= minRevision {
			return conf, true
		}
		select {
		case <-changed:
		case <-limit.C:
			return conf, false
		case <-ctx.Done():
			return conf, false
		}
	}
}

// applyTimeout is how long a member that lags may take to apply what a majority has
// accepted before a read fails.
const applyTimeout = 800 * time.Millisecond

// Receive queues a consensus message from a peer. It never blocks: if the inbox is
// full, the message is dropped, which the consensus protocol tolerates.
func (m *Member) Receive(msg consensus.Message) {
	select {
	case m.inbox <- msg:
	default:
		m.opt.Observer.InboxFull()
	}
}

// Run drives the member until ctx is done or its storage fails.
func (m *Member) Run(ctx context.Context) error {
	err := m.loop(ctx)
	m.snapshotWorkers.Wait()
	m.stop(err)
	if err != nil {
		m.opt.Observer.Failed(err)
	}
	return err
}

func (m *Member) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.opt.Tick)
	defer ticker.Stop()
	m.publish()
	if err := m.process(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.tick()
		case msg := <-m.inbox:
			m.step(msg)
		case c := <-m.calls:
			m.startCalls(c)
		case enc := <-m.encodedSnapshot:
			if err := m.compact(enc); err != nil {
				return err
			}
		}
		if err := m.process(); err != nil {
			return err
		}
	}
}

func (m *Member) tick() {
	m.node.Tick()
	m.ticks++
	if m.ticks%statusRefreshTicks == 0 {
		m.publish()
	}
	m.startDueChanges()
	if m.role != consensus.RoleLeader {
		m.planner = nil
		return
	}
	if m.opt.ManageMembers && m.ticks%membershipCheckTicks == 0 {
		m.proposeMembershipChange()
	}
	if time.Since(m.lastCommand) > clockInterval {
		m.proposeClockTick()
	}
}

// step processes a message and up to maxBatch more that are queued, so that one
// save covers them all.
func (m *Member) step(msg consensus.Message) {
	_ = m.node.Step(msg)
	for range maxBatch {
		select {
		case msg = <-m.inbox:
			_ = m.node.Step(msg)
		default:
			return
		}
	}
}

// process handles the batches of work of the consensus node in the order that its
// package comment requires: save, then send, then apply and answer.
//
// Votes, acknowledgements and replies are promises about durable data, so nothing except the
// messages in Early is sent before the save has returned. Early holds appends and heartbeats,
// which promise nothing about the leader's own copy.
func (m *Member) process() error {
	for m.node.HasReady() {
		rd := m.node.Ready()
		for _, msg := range rd.Early {
			m.opt.Transport.Send(msg)
		}
		if err := m.save(&rd); err != nil {
			return err
		}
		for _, msg := range rd.Messages {
			m.opt.Transport.Send(msg)
		}
		m.apply(rd.Committed)
		m.handleLeaderChange(&rd)
		m.collectReads(rd.Reads)
		m.node.Advance()
		m.answerReads()
		m.answerChanges()
		m.maybeSnapshot()
		m.publish()
	}
	return nil
}

func (m *Member) save(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := m.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.HardStateChanged && len(rd.Entries) == 0 {
		return nil
	}
	var hs *consensus.HardState
	if rd.HardStateChanged {
		hs = &rd.HardState
	}
	start := time.Now()
	if err := m.opt.Storage.Save(hs, rd.Entries, rd.MustSync); err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	m.opt.Observer.Saved(len(rd.Entries), rd.MustSync, time.Since(start))
	return nil
}

// installSnapshot replaces the state with a snapshot that the leader sent, and saves
// the snapshot.
func (m *Member) installSnapshot(s *consensus.Snapshot) error {
	st, err := state.Restore(m.opt.Limits, s.Data)
	if err != nil {
		return &api.Error{Step: api.StepRecover, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	if err := m.opt.Storage.SaveSnapshot(*s); err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	m.opt.Observer.Snapshotted(s.Index, len(s.Data), true)
	m.opt.Observer.ConfigApplied(st.Current())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = st
	m.applied = s.Index
	m.lastSnapshot = s.Index
	m.wakeWatchers()
	return nil
}

// handleLeaderChange handles the start and the end of this member's leadership.
// It compares the term too, because leadership may be lost and won again between
// two batches.
func (m *Member) handleLeaderChange(rd *consensus.Ready) {
	isLeader := rd.Role == consensus.RoleLeader
	wasLeader := m.role == consensus.RoleLeader
	newTerm := rd.HardState.Term != m.term
	if wasLeader && (!isLeader || newTerm) {
		m.failPending()
	}
	if isLeader && (!wasLeader || newTerm) {
		m.clock = newReplicatedClock(m.state.Now(), time.Now())
	}
	m.role = rd.Role
	m.term = rd.HardState.Term
	if !rd.LeaderChanged {
		return
	}
	m.opt.Observer.LeaderChanged(rd.Leader, rd.HardState.Term)
	m.publish()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeWatchers()
}

// publish stores the status of the consensus node for readers. A changed membership goes to the
// transport at once and to the watchers when it is committed: clients find the group only by the
// addresses that members send them.
func (m *Member) publish() {
	st := m.node.Status()
	m.status.Store(&st)
	if !sameMembers(m.members, st.Membership) {
		m.members = st.Membership
		m.opt.Transport.Members(st.Membership)
	}
	if m.committedMembership == st.CommittedIndex {
		return
	}
	m.committedMembership = st.CommittedIndex
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeWatchers()
}

// stop fails all waiting calls and all calls that are still queued.
func (m *Member) stop(err error) {
	if err == nil {
		err = ErrStopped
	}
	m.stopError.Store(&err)
	m.failPending()
	close(m.done)
	for {
		select {
		case c := <-m.calls:
			c.answer(&Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable, Message: ErrStopped.Error()})
		default:
			return
		}
	}
}

func sameMembers(a, b consensus.Membership) bool {
	return fmt.Sprint(a) == fmt.Sprint(b)
}
