package control

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
)

// confirmedRead holds reads that a majority has confirmed and that are answered
// once this member has applied index.
type confirmedRead struct {
	index uint64
	calls []*call
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
