package control

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

// call is one request to this member. done is called exactly once, on the
// goroutine of Run or on the caller's, and must not block.
type call struct {
	req  *Request
	done func(*Reply)
}

func (c *call) answer(r *Reply) {
	r.ID = c.req.ID
	c.done(r)
}

// confirmedRead holds reads that a majority has confirmed and that are answered
// once this member has applied index.
type confirmedRead struct {
	index uint64
	calls []*call
}

// replicatedClock computes the timestamps of the commands that this member proposes: the
// time in the replicated state when this member became leader, plus the time since then by
// its monotonic clock.
//
// The wall clock is not used: a leader whose clock is ahead would let claims expire that are
// still in use. Since only the time under a leader counts, the replicated clock is never
// ahead of real elapsed time.
type replicatedClock struct {
	baseMillis int64
	started    time.Time
}

func newReplicatedClock(baseMillis int64, now time.Time) replicatedClock {
	return replicatedClock{baseMillis: baseMillis, started: now}
}

func (c replicatedClock) at(now time.Time) int64 {
	return c.baseMillis + now.Sub(c.started).Milliseconds()
}

const proposalHeaderSize = 16

// encodeProposal prefixes the command with the ID of the proposing member and that
// member's sequence number, by which the member finds the waiting call when it
// applies the entry.
func encodeProposal(id consensus.MemberID, seq uint64, command []byte) []byte {
	b := make([]byte, proposalHeaderSize, proposalHeaderSize+len(command))
	binary.BigEndian.PutUint64(b, uint64(id))
	binary.BigEndian.PutUint64(b[8:], seq)
	return append(b, command...)
}

func decodeProposal(b []byte) (consensus.MemberID, uint64, []byte, bool) {
	if len(b) < proposalHeaderSize {
		return 0, 0, nil, false
	}
	return consensus.MemberID(binary.BigEndian.Uint64(b)), binary.BigEndian.Uint64(b[8:]), b[proposalHeaderSize:], true
}

// Submit starts a request at this member without blocking and calls done once
// with the reply. A leader that loses its majority steps down within an election
// timeout, so done is always called while the member runs.
func (m *Member) Submit(req *Request, done func(*Reply)) {
	c := &call{req: req, done: done}
	if r := m.prepare(req); r != nil {
		c.answer(r)
		return
	}
	select {
	case <-m.done:
		c.answer(m.rejection(req, api.ReasonControlUnavailable, ErrStopped.Error()))
		return
	default:
	}
	select {
	case m.calls <- c:
	default:
		c.answer(m.rejection(req, api.ReasonQueueFull, "too many requests wait at this member"))
	}
}

// Do submits a request and waits for the reply. If ctx ends first, the reply has
// outcome unknown: a change may still take effect.
func (m *Member) Do(ctx context.Context, req *Request) *Reply {
	replies := make(chan *Reply, 1)
	m.Submit(req, func(r *Reply) { replies <- r })
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
		return &Reply{ID: req.ID, Outcome: api.OutcomeUnknown, Reason: api.ReasonTimeout, Message: "no answer in time; it may still take effect"}
	case <-m.done:
	}
	select {
	case r := <-replies:
		return r
	default:
		return &Reply{ID: req.ID, Outcome: api.OutcomeUnknown, Reason: api.ReasonControlUnavailable, Message: ErrStopped.Error()}
	}
}

// prepare sets the fields of a command that the receiving member determines: the
// limits of a retry, the base of an evacuation and the load pace of a configuration.
// It returns a reply if the configuration is invalid, and nil otherwise.
func (m *Member) prepare(req *Request) *Reply {
	if req.Command == nil {
		return nil
	}
	if req.Command.Retry != nil {
		m.setRetryLimits(req)
		return nil
	}
	if req.Command.Evacuation != nil {
		m.setEvacuationBase(req)
		return nil
	}
	if req.Command.Config == nil {
		return nil
	}
	if err := m.opt.Validate(req.Command.Config.Document); err != nil {
		return m.rejection(req, api.ReasonBadRequest, err.Error())
	}
	// The command is copied because an earlier call with the same request may
	// still be encoding it.
	command, put := *req.Command, *req.Command.Config
	put.Pace = m.opt.Pace(put.Document)
	command.Config = &put
	req.Command = &command
	return nil
}

func (m *Member) rejection(req *Request, reason api.Reason, message string) *Reply {
	m.opt.Observer.Refused(reason)
	return &Reply{ID: req.ID, Outcome: api.OutcomeNotRun, Reason: reason, Message: message}
}

// startCalls starts a call and those queued behind it, at most maxBatch. Commands
// are proposed as one batch, and all reads share one round trip to a majority.
func (m *Member) startCalls(first *call) {
	var commands, reads []*call
	for c, n := first, 0; c != nil && n < maxBatch; c, n = m.nextCall(), n+1 {
		switch {
		case c.req.Command != nil:
			if !m.answerRefusedRetry(c) && !m.answerKnownLimit(c) && !m.answerKnownQuarantine(c) {
				commands = append(commands, c)
			}
		case c.req.Read:
			reads = append(reads, c)
		case c.req.Change != nil:
			m.scheduleChange(c)
		case c.req.Status:
			m.answerStatus(c)
		default:
			c.answer(m.rejection(c.req, api.ReasonBadRequest, "empty request"))
		}
	}
	m.propose(commands)
	m.startReads(reads)
}

func (m *Member) nextCall() *call {
	select {
	case c := <-m.calls:
		return c
	default:
		return nil
	}
}

func (m *Member) propose(calls []*call) {
	if len(calls) == 0 {
		return
	}
	now := time.Now()
	data := make([][]byte, 0, len(calls))
	started := make([]*call, 0, len(calls))
	for _, c := range calls {
		command := *c.req.Command
		command.Now = m.clock.at(now)
		command.Wall = now.UnixMilli()
		b, err := state.Encode(command)
		if err != nil {
			c.answer(m.rejection(c.req, api.ReasonBadRequest, err.Error()))
			continue
		}
		m.seq++
		data = append(data, encodeProposal(m.opt.ID, m.seq, b))
		m.pending[m.seq] = c
		started = append(started, c)
	}
	if err := m.node.Propose(data...); err != nil {
		m.rejectBatch(len(started), started, err)
		return
	}
	m.lastCommand = now
}

// rejectBatch handles a batch of n commands that was rejected as a whole. If its
// size was the reason (ErrTooLarge or ErrBusy), each command is proposed once more
// by itself; otherwise every call is answered with the error.
func (m *Member) rejectBatch(n int, calls []*call, err error) {
	for i := range n {
		delete(m.pending, m.seq-uint64(i))
	}
	if n > 1 && (errors.Is(err, consensus.ErrTooLarge) || errors.Is(err, consensus.ErrBusy)) {
		for _, c := range calls {
			m.propose([]*call{c})
		}
		return
	}
	for _, c := range calls {
		c.answer(m.errorReply(c.req, err))
	}
}

// errorReply converts an error of the consensus node into a reply. A rejected
// request is not in the log, so its outcome is not_run.
func (m *Member) errorReply(req *Request, err error) *Reply {
	var notLeader *consensus.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		r := m.rejection(req, api.ReasonControlUnavailable, err.Error())
		r.Leader = notLeader.Addr
		return r
	case errors.Is(err, consensus.ErrBusy):
		return m.rejection(req, api.ReasonQueueFull, err.Error())
	case errors.Is(err, consensus.ErrTooLarge):
		return m.rejection(req, api.ReasonTooLarge, err.Error())
	case errors.Is(err, consensus.ErrNotReady), errors.Is(err, consensus.ErrTransferring):
		return m.rejection(req, api.ReasonControlUnavailable, err.Error())
	}
	return m.rejection(req, api.ReasonBadRequest, err.Error())
}

func (m *Member) startReads(calls []*call) {
	if len(calls) == 0 {
		return
	}
	m.seq++
	if err := m.node.ReadIndex(m.seq); err != nil {
		for _, c := range calls {
			c.answer(m.errorReply(c.req, err))
		}
		return
	}
	m.reads[m.seq] = calls
}

func (m *Member) collectReads(states []consensus.ReadState) {
	for _, rs := range states {
		calls := m.reads[rs.Ctx]
		delete(m.reads, rs.Ctx)
		if rs.Lost {
			for _, c := range calls {
				c.answer(m.rejection(c.req, api.ReasonControlUnavailable, "leadership ended before a majority had answered"))
			}
			continue
		}
		m.confirmedReads = append(m.confirmedReads, confirmedRead{rs.Index, calls})
	}
}

func (m *Member) answerReads() {
	kept := m.confirmedReads[:0]
	for _, r := range m.confirmedReads {
		if r.index > m.applied {
			kept = append(kept, r)
			continue
		}
		revision, evacuated := m.state.Current().Revision, m.state.Evacuated()
		for _, c := range r.calls {
			c.answer(&Reply{Outcome: api.OutcomeCompleted, Revision: revision, Evacuated: &evacuated})
		}
	}
	m.confirmedReads = kept
}

// delayedChange is a membership change that is proposed at tick due.
type delayedChange struct {
	call *call
	due  int
}

// scheduleChange proposes a membership change. A leader delays promotions and
// removals.
//
// A member that has just crashed counts as active for an election timeout. After a delay of
// the same length, the check for a remaining majority counts only members that have responded
// since the change was requested.
func (m *Member) scheduleChange(c *call) {
	if c.req.Change.Type == consensus.ChangeAddLearner || m.role != consensus.RoleLeader {
		m.startChange(c)
		return
	}
	m.delayedChanges = append(m.delayedChanges, delayedChange{c, m.ticks + m.electionTicks() + 1})
}

func (m *Member) electionTicks() int {
	if n := m.opt.Consensus.ElectionTicks; n > 0 {
		return n
	}
	return consensus.DefaultElectionTicks
}

func (m *Member) startDueChanges() {
	for len(m.delayedChanges) > 0 && m.delayedChanges[0].due <= m.ticks {
		c := m.delayedChanges[0].call
		m.delayedChanges = m.delayedChanges[1:]
		m.startChange(c)
	}
}

func (m *Member) startChange(c *call) {
	ch := c.req.Change
	err := m.node.ProposeChange(consensus.Change{Type: ch.Type, ID: ch.ID, Addr: ch.Addr})
	if err != nil {
		c.answer(m.errorReply(c.req, err))
		return
	}
	m.uncommittedChanges = append(m.uncommittedChanges, c)
}

// answerChanges answers a membership change once it is committed. There is at
// most one, because a second is rejected while the first is uncommitted.
func (m *Member) answerChanges() {
	if len(m.uncommittedChanges) == 0 || m.node.Status().ChangePending {
		return
	}
	for _, c := range m.uncommittedChanges {
		c.answer(&Reply{Outcome: api.OutcomeCompleted})
	}
	m.uncommittedChanges = nil
}

// failPending answers all calls that wait when leadership is lost. Proposed
// entries may still be committed by the next leader, so the outcome of their calls
// is unknown; delayed membership changes and reads had no effect.
func (m *Member) failPending() {
	for seq, c := range m.pending {
		delete(m.pending, seq)
		c.answer(unknownOutcome(c.req))
	}
	for _, c := range m.uncommittedChanges {
		c.answer(unknownOutcome(c.req))
	}
	m.uncommittedChanges = nil
	for _, delayed := range m.delayedChanges {
		delayed.call.answer(m.rejection(delayed.call.req, api.ReasonControlUnavailable, "leadership lost"))
	}
	m.delayedChanges = nil
	for ctx, calls := range m.reads {
		delete(m.reads, ctx)
		for _, c := range calls {
			c.answer(&Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable, Message: "leadership lost"})
		}
	}
}

func unknownOutcome(req *Request) *Reply {
	return &Reply{ID: req.ID, Outcome: api.OutcomeUnknown, Reason: api.ReasonControlUnavailable, Message: "leadership lost; it may still take effect"}
}

// proposeClockTick proposes an empty command, which advances the replicated clock
// of a group that has no other commands.
func (m *Member) proposeClockTick() {
	m.propose([]*call{{req: &Request{Command: &state.Command{}}, done: func(*Reply) {}}})
}

func (m *Member) answerStatus(c *call) {
	st := m.node.Status()
	if st.Role != consensus.RoleLeader {
		c.answer(m.errorReply(c.req, &consensus.NotLeaderError{Leader: st.Leader, Addr: addressOf(st.Membership, st.Leader)}))
		return
	}
	b, err := m.statusJSON(&st)
	if err != nil {
		c.answer(m.rejection(c.req, api.ReasonInternal, fmt.Sprintf("encode status: %v", err)))
		return
	}
	c.answer(&Reply{Outcome: api.OutcomeCompleted, Status: b})
}

func addressOf(g consensus.Membership, id consensus.MemberID) string {
	for _, list := range [][]consensus.Member{g.Voters, g.Learners} {
		for _, member := range list {
			if member.ID == id {
				return member.Addr
			}
		}
	}
	return ""
}
