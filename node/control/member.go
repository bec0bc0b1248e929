package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/order"
	"almondseam.dev/core/regroup"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
	"github.com/sourcegraph/conc"
)

// Defaults of Options.
const (
	DefaultTick     = 50 * time.Millisecond
	defaultInbox    = 4096
	defaultQueue    = 8192
	maxBatch        = 512
	clockTick       = 5 * time.Second
	snapshotEntries = 8192
	snapshotBytes   = 16 << 20
	statusRefresh   = 20
	// mendTicks is how many ticks pass between two looks at the group's members: a
	// change takes a round trip, an election ten to twenty ticks.
	mendTicks           = 5
	defaultReplyTimeout = 10 * time.Second
)

// Options of a member.
type Options struct {
	ID       consensus.MemberID
	Restored consensus.Restored
	// Consensus may set bounds of the agreement; ID and Rand are required there.
	Consensus consensus.Config
	Limits    state.Limits
	Storage   Storage
	Transport Transport
	// Tick is the agreement's unit of time.
	Tick     time.Duration
	Validate Validator
	// Pace gives the pace of loads that a valid document sets.
	Pace     Pacer
	Observer Observer
	// SnapshotEntries is how many applied entries make a snapshot due.
	SnapshotEntries uint64
	// Mend lets the group give votes to new members and remove lost ones by
	// itself (core/regroup); without it an operator does so.
	Mend bool
	// Retries bounds the retries that the group grants; the zero value grants none.
	Retries retrybudget.Limits
}

// Member is one member of the control group. Run drives it; all other methods
// may be called from several goroutines.
type Member struct {
	opt       Options
	node      *consensus.Node
	inbox     chan consensus.Message
	proposals chan *call
	done      chan struct{}

	// Used by the driving goroutine only.
	pending     map[uint64]*call
	reads       map[uint64][]*call
	readyReads  []readyRead
	changes     []*call
	seq         uint64
	clock       replicatedClock
	role        consensus.Role
	term        uint64
	lastSnap    uint64
	lastCommand time.Time
	ticks       int
	held        []heldChange
	freezing    bool
	frozen      chan frozen
	encoding    conc.WaitGroup
	members     consensus.Membership
	keeper      *regroup.Planner // of this office; nil when not leading

	// mu guards the state between Apply and its readers.
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{} // closed and replaced at what watchers are told
	applied uint64

	status  atomic.Pointer[consensus.Status]
	reports *reports
	failure atomic.Pointer[error]
}

// ErrStopped reports a member that no longer runs.
var ErrStopped = errors.New("control member has stopped")

// NewMember makes a member from what its folder held. Run starts it.
func NewMember(opt Options) (*Member, error) {
	if opt.Tick == 0 {
		opt.Tick = DefaultTick
	}
	if opt.Observer == nil {
		opt.Observer = noObserver{}
	}
	if opt.Validate == nil {
		opt.Validate = func([]byte) error { return nil }
	}
	if opt.Pace == nil {
		opt.Pace = func([]byte) *order.Pace { return nil }
	}
	if opt.SnapshotEntries == 0 {
		opt.SnapshotEntries = snapshotEntries
	}
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
		opt:       opt,
		node:      node,
		state:     st,
		applied:   opt.Restored.Snapshot.Index,
		lastSnap:  opt.Restored.Snapshot.Index,
		inbox:     make(chan consensus.Message, defaultInbox),
		proposals: make(chan *call, defaultQueue),
		done:      make(chan struct{}),
		changed:   make(chan struct{}),
		frozen:    make(chan frozen, 1),
		pending:   make(map[uint64]*call),
		reads:     make(map[uint64][]*call),
		reports:   newReports(),
	}
	status := node.Status()
	m.status.Store(&status)
	return m, nil
}

// ID gives the member's ID.
func (m *Member) ID() consensus.MemberID { return m.opt.ID }

// Status gives the newest picture of the agreement.
func (m *Member) Status() consensus.Status { return *m.status.Load() }

// ConfigAt gives the newest configuration that this member has applied once that
// is at least a revision; false if it isn't when ctx ends or waitApplied has passed.
func (m *Member) ConfigAt(ctx context.Context, least api.Revision) (state.Config, bool) {
	limit := time.NewTimer(waitApplied)
	defer limit.Stop()
	for {
		m.mu.RLock()
		conf, changed := m.state.Current(), m.changed
		m.mu.RUnlock()
		if conf.Revision >= least {
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

// waitApplied is how long a member that lags may take to apply what a majority
// has accepted before a read is refused.
const waitApplied = 800 * time.Millisecond

// Receive takes a peer's message. It never blocks: when the inbox is full the
// message is dropped, which the agreement tolerates.
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
	m.encoding.Wait()
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
		case c := <-m.proposals:
			m.take(c)
		case f := <-m.frozen:
			if err := m.compact(f); err != nil {
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
	if m.ticks%statusRefresh == 0 {
		m.publish()
	}
	m.releaseChanges()
	if m.role != consensus.RoleLeader {
		m.keeper = nil
		return
	}
	if m.opt.Mend && m.ticks%mendTicks == 0 {
		m.mend()
	}
	if time.Since(m.lastCommand) > clockTick {
		m.keepClock()
	}
}

// mend makes the membership change that is due, if any. A refusal needs no more
// than the next try: the agreement refuses what would cost the majority.
func (m *Member) mend() {
	if m.keeper == nil {
		m.keeper = regroup.NewPlanner(regroup.DefaultLimits())
	}
	st := m.node.Status()
	change := m.keeper.Plan(&st, time.Now())
	if change == nil {
		return
	}
	err := m.node.ProposeChange(*change)
	m.opt.Observer.Mended(*change, err)
}

// step takes a message and whatever else waits, so that one save covers all.
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

// process carries out the agreement's work in the order that its package
// comment demands: save, then send, then apply and answer.
//
// Votes, acknowledgements and replies promise what is on the disk. Nothing but Early leaves
// this function's first half before Save has returned; an append promises nothing about the
// leader's own copy.
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
		m.observeLeader(&rd)
		m.collectReads(rd.Reads)
		m.node.Advance()
		m.answerReads()
		m.answerChanges()
		m.freeze()
		m.publish()
	}
	return nil
}

func (m *Member) save(rd *consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := m.load(rd.Snapshot); err != nil {
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

// load replaces the state by a snapshot that the leader sent.
func (m *Member) load(s *consensus.Snapshot) error {
	st, err := state.Restore(m.opt.Limits, s.Data)
	if err != nil {
		return &api.Error{Step: api.StepRecover, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	if err := m.opt.Storage.SaveSnapshot(*s); err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	m.opt.Observer.Snapshotted(s.Index, len(s.Data), true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = st
	m.applied = s.Index
	m.lastSnap = s.Index
	m.announce()
	return nil
}

func (m *Member) apply(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	m.mu.Lock()
	before := m.watched()
	answers := make([]answer, 0, len(entries))
	for _, e := range entries {
		if e.Type == consensus.EntryCommand {
			answers = append(answers, m.applyCommand(e)...)
		}
		m.applied = e.Index
	}
	if m.watched() != before {
		m.announce()
	}
	m.mu.Unlock()
	m.opt.Observer.Applied(len(entries))
	for _, a := range answers {
		a.call.answer(a.reply)
	}
}

// watched are the versions of what watchers are told.
type watched struct {
	revision           api.Revision
	drained, evacuated uint64
	limits, orders     uint64
}

func (m *Member) watched() watched {
	return watched{
		revision:  m.state.Current().Revision,
		drained:   m.state.DrainIndex(),
		evacuated: m.state.EvacuationIndex(),
		limits:    m.state.LimitsIndex(),
		orders:    m.state.Orders().Version(),
	}
}

// answer is a reply that waits until the state's lock is free.
type answer struct {
	call  *call
	reply *Reply
}

func (m *Member) applyCommand(e consensus.Entry) []answer {
	origin, seq, data, ok := unseal(e.Data)
	if !ok {
		return nil
	}
	result := m.state.Apply(e.Index, data)
	if origin != m.opt.ID {
		return nil
	}
	c := m.pending[seq]
	if c == nil {
		return nil
	}
	delete(m.pending, seq)
	return []answer{{c, &Reply{Outcome: api.OutcomeCompleted, Result: &result}}}
}

// announce wakes the watchers. The state's lock is held.
func (m *Member) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// observeLeader notices the start and the end of this member's office. An
// office is known by its term, for it may be lost and won between two batches.
func (m *Member) observeLeader(rd *consensus.Ready) {
	leads := rd.Role == consensus.RoleLeader
	led := m.role == consensus.RoleLeader
	another := rd.HardState.Term != m.term
	if led && (!leads || another) {
		m.failPending()
	}
	if leads && (!led || another) {
		m.clock = startClock(m.state.Now(), time.Now())
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
	m.announce()
}

// publish shows the agreement's picture to readers and the group's addresses to
// the transport.
func (m *Member) publish() {
	st := m.node.Status()
	m.status.Store(&st)
	if !sameMembers(m.members, st.Membership) {
		m.members = st.Membership
		m.opt.Transport.Members(st.Membership)
	}
}

// stop fails everything that waits.
func (m *Member) stop(err error) {
	if err == nil {
		err = ErrStopped
	}
	m.failure.Store(&err)
	m.failPending()
	close(m.done)
	for {
		select {
		case c := <-m.proposals:
			c.answer(&Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable, Message: ErrStopped.Error()})
		default:
			return
		}
	}
}

func sameMembers(a, b consensus.Membership) bool {
	return fmt.Sprint(a) == fmt.Sprint(b)
}
