package control

import (
	"almondseam.dev/core/api"
)

// encodedSnapshot is the encoded state at a log index, or the error of encoding it.
type encodedSnapshot struct {
	index uint64
	data  []byte
	err   error
}

// maybeSnapshot starts a snapshot if SnapshotEntries entries have been applied since
// the last one or the log has grown to snapshotBytes. It copies the state on the
// goroutine of Run; another goroutine sorts and encodes the copy.
//
// Encoding a large state takes a good part of an election timeout, during which the
// goroutine of Run would send no heartbeats.
func (m *Member) maybeSnapshot() {
	since := m.applied - m.lastSnapshot
	if m.encodingSnapshot || since == 0 || since < m.opt.SnapshotEntries && m.node.Status().LogBytes < snapshotBytes {
		return
	}
	m.encodingSnapshot = true
	index := m.applied
	copied := m.state.Freeze()
	m.snapshotWorkers.Go(func() {
		data, err := copied.Encode()
		m.encodedSnapshot <- encodedSnapshot{index, data, err}
	})
}

// compact passes an encoded snapshot to the consensus node, which drops the log
// entries it covers, and saves it. It drops the snapshot if a newer one has been
// received from the leader in the meantime.
func (m *Member) compact(enc encodedSnapshot) error {
	m.encodingSnapshot = false
	if enc.err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: enc.err}
	}
	if enc.index <= m.lastSnapshot {
		return nil
	}
	snap, err := m.node.Compact(enc.index, enc.data)
	if err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	if err := m.opt.Storage.SaveSnapshot(snap); err != nil {
		return &api.Error{Step: api.StepPersist, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: err}
	}
	m.lastSnapshot = enc.index
	m.opt.Observer.Snapshotted(snap.Index, len(enc.data), false)
	return nil
}
