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

// call is one request on its way through the driving goroutine. done is called
// exactly once, on that goroutine or the caller's, and must not block.
type call struct {
	req  *Request
	done func(*Reply)
}

func (c *call) answer(r *Reply) {
	r.ID = c.req.ID
	c.done(r)
}

// readyRead is a read that a majority has confirmed and that waits until its
// index has been applied.
type readyRead struct {
	index uint64
	calls []*call
}

// replicatedClock gives the time that commands carry: the state's own time when
// this member became leader, and what has passed since on its monotonic clock.
//
// The wall clock is not used: a leader whose clock is ahead would let claims expire that are
// still in use. Counting only what passes during an office, the replicated clock is never
// ahead of real elapsed time.
type replicatedClock struct {
	base    int64
	started time.Time
}

func startClock(base int64, now time.Time) replicatedClock {
	return replicatedClock{base: base, started: now}
}

func (c replicatedClock) at(now time.Time) int64 {
	return c.base + now.Sub(c.started).Milliseconds()
}

const sealSize = 16

// seal puts the proposing member and its own number for the proposal before the
// command, so that the member finds whom to answer when the entry comes back.
func seal(id consensus.MemberID, seq uint64, command []byte) []byte {
	b := make([]byte, sealSize, sealSize+len(command))
	binary.BigEndian.PutUint64(b, uint64(id))
	binary.BigEndian.PutUint64(b[8:], seq)
	return append(b, command...)
}

func unseal(b []byte) (consensus.MemberID, uint64, []byte, bool) {
	if len(b) < sealSize {
		return 0, 0, nil, false
	}
	return consensus.MemberID(binary.BigEndian.Uint64(b)), binary.BigEndian.Uint64(b[8:]), b[sealSize:], true
}

// Submit carries out a request at this member; done gets the one reply. It
// doesn't block. A leader that loses its majority gives up its office within an
// election timeout, so done is always called while the member runs.
func (m *Member) Submit(req *Request, done func(*Reply)) {
	c := &call{req: req, done: done}
	if r := m.refuseEarly(req); r != nil {
		c.answer(r)
		return
	}
	select {
	case <-m.done:
		c.answer(m.refused(req, api.ReasonControlUnavailable, ErrStopped.Error()))
		return
	default:
	}
	select {
	case m.proposals <- c:
	default:
		c.answer(m.refused(req, api.ReasonQueueFull, "too many requests wait at this member"))
	}
}

// Do is Submit that waits. When ctx ends first, the outcome of a request that
// changes something is unknown.
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

// refuseEarly checks what needs no agreement.
func (m *Member) refuseEarly(req *Request) *Reply {
	if req.Command == nil {
		return nil
	}
	if req.Command.Retry != nil {
		m.stampRetry(req)
		return nil
	}
	if req.Command.Evacuation != nil {
		m.stampEvacuation(req)
		return nil
	}
	if req.Command.Config == nil {
		return nil
	}
	if err := m.opt.Validate(req.Command.Config.Document); err != nil {
		return m.refused(req, api.ReasonBadRequest, err.Error())
	}
	// The command is copied: an earlier call of the same caller may still be
	// encoding its own.
	command, put := *req.Command, *req.Command.Config
	put.Pace = m.opt.Pace(put.Document)
	command.Config = &put
	req.Command = &command
	return nil
}

func (m *Member) refused(req *Request, reason api.Reason, message string) *Reply {
	m.opt.Observer.Refused(reason)
	return &Reply{ID: req.ID, Outcome: api.OutcomeNotRun, Reason: reason, Message: message}
}

// take starts a call and those that wait behind it: commands go into the log as
// one batch, and all reads share one round to the majority.
func (m *Member) take(first *call) {
	var commands, reads []*call
	for c, n := first, 0; c != nil && n < maxBatch; c, n = m.waiting(), n+1 {
		switch {
		case c.req.Command != nil:
			if !m.refuseRetry(c) && !m.knowsLimit(c) {
				commands = append(commands, c)
			}
		case c.req.Read:
			reads = append(reads, c)
		case c.req.Change != nil:
			m.takeChange(c)
		case c.req.Status:
			m.answerStatus(c)
		default:
			c.answer(m.refused(c.req, api.ReasonBadRequest, "empty request"))
		}
	}
	m.propose(commands)
	m.startReads(reads)
}

func (m *Member) waiting() *call {
	select {
	case c := <-m.proposals:
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
			c.answer(m.refused(c.req, api.ReasonBadRequest, err.Error()))
			continue
		}
		m.seq++
		data = append(data, seal(m.opt.ID, m.seq, b))
		m.pending[m.seq] = c
		started = append(started, c)
	}
	if err := m.node.Propose(data...); err != nil {
		m.withdraw(len(started), started, err)
		return
	}
	m.lastCommand = now
}

// withdraw answers calls whose batch was refused. The batch is all or nothing,
// so when it was too much each command is tried alone, once.
func (m *Member) withdraw(n int, calls []*call, err error) {
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
		c.answer(m.refusal(c.req, err))
	}
}

// refusal turns an error of the agreement into a reply. Nothing of a refused
// request is in the log, so its outcome is not_run.
func (m *Member) refusal(req *Request, err error) *Reply {
	var notLeader *consensus.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		r := m.refused(req, api.ReasonControlUnavailable, err.Error())
		r.Leader = notLeader.Addr
		return r
	case errors.Is(err, consensus.ErrBusy):
		return m.refused(req, api.ReasonQueueFull, err.Error())
	case errors.Is(err, consensus.ErrTooLarge):
		return m.refused(req, api.ReasonTooLarge, err.Error())
	case errors.Is(err, consensus.ErrNotReady), errors.Is(err, consensus.ErrTransferring):
		return m.refused(req, api.ReasonControlUnavailable, err.Error())
	}
	return m.refused(req, api.ReasonBadRequest, err.Error())
}

func (m *Member) startReads(calls []*call) {
	if len(calls) == 0 {
		return
	}
	m.seq++
	if err := m.node.ReadIndex(m.seq); err != nil {
		for _, c := range calls {
			c.answer(m.refusal(c.req, err))
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
				c.answer(m.refused(c.req, api.ReasonControlUnavailable, "leadership ended before a majority had answered"))
			}
			continue
		}
		m.readyReads = append(m.readyReads, readyRead{rs.Index, calls})
	}
}

func (m *Member) answerReads() {
	kept := m.readyReads[:0]
	for _, r := range m.readyReads {
		if r.index > m.applied {
			kept = append(kept, r)
			continue
		}
		revision, evacuated := m.state.Current().Revision, m.state.Evacuated()
		for _, c := range r.calls {
			c.answer(&Reply{Outcome: api.OutcomeCompleted, Revision: revision, Evacuated: &evacuated})
		}
	}
	m.readyReads = kept
}

// heldChange is a membership change that waits for its tick.
type heldChange struct {
	call *call
	due  int
}

// takeChange starts a change, or holds it for a while when it takes a vote away
// or gives one.
//
// A member that has just died counts as active for an election timeout. Held for as long, the
// check counts only members that have answered since the operator asked, and the group that
// is left has a majority.
func (m *Member) takeChange(c *call) {
	if c.req.Change.Type == consensus.ChangeAddLearner || m.role != consensus.RoleLeader {
		m.startChange(c)
		return
	}
	m.held = append(m.held, heldChange{c, m.ticks + m.electionTicks() + 1})
}

func (m *Member) electionTicks() int {
	if n := m.opt.Consensus.ElectionTicks; n > 0 {
		return n
	}
	return consensus.DefaultElectionTicks
}

func (m *Member) releaseChanges() {
	for len(m.held) > 0 && m.held[0].due <= m.ticks {
		c := m.held[0].call
		m.held = m.held[1:]
		m.startChange(c)
	}
}

func (m *Member) startChange(c *call) {
	ch := c.req.Change
	err := m.node.ProposeChange(consensus.Change{Type: ch.Type, ID: ch.ID, Addr: ch.Addr})
	if err != nil {
		c.answer(m.refusal(c.req, err))
		return
	}
	m.changes = append(m.changes, c)
}

// answerChanges answers a membership change once it is committed. There is only
// ever one, for the agreement refuses a second.
func (m *Member) answerChanges() {
	if len(m.changes) == 0 || m.node.Status().ChangePending {
		return
	}
	for _, c := range m.changes {
		c.answer(&Reply{Outcome: api.OutcomeCompleted})
	}
	m.changes = nil
}

// failPending answers everything that waits for a commit when the office is
// lost. The entries may still be committed by the next leader, so the outcome is
// unknown; reads changed nothing.
func (m *Member) failPending() {
	for seq, c := range m.pending {
		delete(m.pending, seq)
		c.answer(lost(c.req))
	}
	for _, c := range m.changes {
		c.answer(lost(c.req))
	}
	m.changes = nil
	for _, h := range m.held {
		h.call.answer(m.refused(h.call.req, api.ReasonControlUnavailable, "leadership lost"))
	}
	m.held = nil
	for ctx, calls := range m.reads {
		delete(m.reads, ctx)
		for _, c := range calls {
			c.answer(&Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable, Message: "leadership lost"})
		}
	}
}

func lost(req *Request) *Reply {
	return &Reply{ID: req.ID, Outcome: api.OutcomeUnknown, Reason: api.ReasonControlUnavailable, Message: "leadership lost; it may still take effect"}
}

// keepClock moves the replicated clock while nothing else does.
func (m *Member) keepClock() {
	m.propose([]*call{{req: &Request{Command: &state.Command{}}, done: func(*Reply) {}}})
}

func (m *Member) answerStatus(c *call) {
	st := m.node.Status()
	if st.Role != consensus.RoleLeader {
		c.answer(m.refusal(c.req, &consensus.NotLeaderError{Leader: st.Leader, Addr: addressOf(st.Membership, st.Leader)}))
		return
	}
	b, err := m.statusJSON(&st)
	if err != nil {
		c.answer(m.refused(c.req, api.ReasonInternal, fmt.Sprintf("encode status: %v", err)))
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
