package control

import (
	"context"
	"errors"
	"fmt"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
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
	if size, allowed := len(req.Command.Config.Document), m.opt.Limits.Config.MaxDocument; size > allowed {
		return m.rejection(req, api.ReasonTooLarge, fmt.Sprintf("document has %d bytes; %d are allowed", size, allowed))
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
