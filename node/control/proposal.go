package control

import (
	"encoding/binary"
	"errors"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

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
//
// Sequence numbers begin at random in each process: entries that this member proposed
// before a restart may still be uncommitted when it proposes new ones, and their results
// must not answer the new calls.
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

// proposeClockTick proposes an empty command, which advances the replicated clock
// of a group that has no other commands.
func (m *Member) proposeClockTick() {
	m.propose([]*call{{req: &Request{Command: &state.Command{}}, done: func(*Reply) {}}})
}
