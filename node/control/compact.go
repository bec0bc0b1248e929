package control

import (
	"almondseam.dev/core/api"
)

// frozen is an encoded snapshot of the state at an index.
type frozen struct {
	index uint64
	data  []byte
	err   error
}

// freeze begins a snapshot when enough has been applied since the last one. The
// copy is made here; sorting and encoding go on beside the driving goroutine.
//
// Encoding a large state takes a good part of an election timeout; the driving goroutine would
// send no heartbeat meanwhile.
func (m *Member) freeze() {
	since := m.applied - m.lastSnap
	if m.freezing || since == 0 || since < m.opt.SnapshotEntries && m.node.Status().LogBytes < snapshotBytes {
		return
	}
	m.freezing = true
	index := m.applied
	copied := m.state.Freeze()
	m.encoding.Go(func() {
		data, err := copied.Encode()
		m.frozen <- frozen{index, data, err}
	})
}

// compact gives an encoded snapshot to the agreement and the disk. One that a
// received snapshot has overtaken is dropped.
func (m *Member) compact(f frozen) error {
	m.freezing = false
	if f.err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: f.err}
	}
	if f.index <= m.lastSnap {
		return nil
	}
	snap, err := m.node.Compact(f.index, f.data)
	if err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	if err := m.opt.Storage.SaveSnapshot(snap); err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	m.lastSnap = f.index
	m.opt.Observer.Snapshotted(snap.Index, len(f.data), false)
	return nil
}
