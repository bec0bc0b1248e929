package control

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
)

func (m *Member) apply(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	m.mu.Lock()
	before := m.watchedVersions()
	answers := make([]answer, 0, len(entries))
	for _, e := range entries {
		if e.Type == consensus.EntryCommand {
			answers = append(answers, m.applyCommand(e)...)
		}
		m.applied = e.Index
	}
	if m.watchedVersions() != before {
		m.wakeWatchers()
	}
	newest := m.state.Current()
	m.mu.Unlock()
	if newest.Revision != before.revision {
		m.opt.Observer.ConfigApplied(newest)
	}
	m.opt.Observer.Applied(len(entries))
	for _, a := range answers {
		a.call.answer(a.reply)
	}
}

// watchedVersions holds the versions of everything that watchers are sent.
type watchedVersions struct {
	revision                    api.Revision
	drainsIndex, evacuatedIndex uint64
	limitsIndex, ordersVersion  uint64
	quarantineIndex             uint64
}

func (m *Member) watchedVersions() watchedVersions {
	return watchedVersions{
		revision:       m.state.Current().Revision,
		drainsIndex:    m.state.DrainIndex(),
		evacuatedIndex: m.state.EvacuationIndex(),
		limitsIndex:    m.state.LimitsIndex(),
		ordersVersion:  m.state.Orders().Version(),

		quarantineIndex: m.state.QuarantineIndex(),
	}
}

// answer is a reply to a call that is sent once mu has been released.
type answer struct {
	call  *call
	reply *Reply
}

func (m *Member) applyCommand(e consensus.Entry) []answer {
	proposer, seq, data, ok := decodeProposal(e.Data)
	if !ok {
		return nil
	}
	result := m.state.Apply(e.Index, data)
	if proposer != m.opt.ID {
		return nil
	}
	c := m.pending[seq]
	if c == nil {
		return nil
	}
	delete(m.pending, seq)
	return []answer{{c, &Reply{Outcome: api.OutcomeCompleted, Result: &result}}}
}

// wakeWatchers notifies the watchers of a change. The caller holds mu.
func (m *Member) wakeWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}
