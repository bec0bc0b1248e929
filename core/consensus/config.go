package consensus

import (
	"cmp"
	"fmt"
	"math/rand/v2"
)

// Config holds the settings of a Node. ID and Rand are required. The numeric
// settings take their defaults if they are zero.
type Config struct {
	// ID identifies this member. It must not be reused with another data
	// directory; see MemberID for the reason.
	ID MemberID
	// ElectionTicks is the shortest time without contact from a leader after
	// which a follower starts an election, and the time after which a leader that
	// hears from no majority steps down. The election timeout is drawn at random
	// from [ElectionTicks, 2*ElectionTicks). Both bounds are halved in the first
	// elections of a member that has known no leader since its start.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats. It is at most a third of
	// ElectionTicks, so that a single lost heartbeat starts no election.
	HeartbeatTicks int
	// MaxBatchBytes bounds the size of one append message and of one snapshot chunk.
	// Entries count with a fixed overhead each. An entry that is larger is sent as the
	// only one of its message.
	MaxBatchBytes int
	// MaxEntryBytes bounds the size of one proposed command with its overhead; zero means
	// MaxBatchBytes.
	MaxEntryBytes int
	// MaxInflight bounds the unacknowledged append messages to one peer.
	MaxInflight int
	// MaxUncommittedBytes bounds the size of the entries that are proposed but not
	// yet committed. Propose returns ErrBusy when the bound would be exceeded.
	MaxUncommittedBytes int
	// MaxPendingReads bounds the reads that wait for confirmation by a majority.
	MaxPendingReads int
	// MaxSnapshotBytes bounds the size of a snapshot that this member accepts.
	MaxSnapshotBytes int
	// KeepEntries is the maximum number of entries covered by a snapshot that stay
	// in memory, so that a peer that lags slightly needs no snapshot.
	KeepEntries uint64
	// KeepBytes bounds the size of the entries that stay because of KeepEntries.
	// Without it, a log of large entries would stay large after compaction, and a
	// caller that compacts by log size would do so at every batch.
	KeepBytes int
	// EarlySend makes Ready return a leader's appends and heartbeats in Early, so
	// that followers save at the same time as the leader and a write waits for one
	// fsync less. The caller must then send Ready.Early.
	EarlySend bool
	// Rand is the source of randomness for election timeouts.
	Rand *rand.Rand
}

// Default values of Config fields.
const (
	DefaultElectionTicks       = 10
	DefaultHeartbeatTicks      = 2
	DefaultMaxBatchBytes       = 256 << 10
	DefaultMaxInflight         = 16
	DefaultMaxUncommittedBytes = 8 << 20
	DefaultMaxPendingReads     = 4096
	DefaultMaxSnapshotBytes    = 64 << 20
	DefaultKeepEntries         = 1024
	DefaultKeepBytes           = 4 << 20
)

func (c *Config) normalize() error {
	c.ElectionTicks = cmp.Or(c.ElectionTicks, DefaultElectionTicks)
	c.HeartbeatTicks = cmp.Or(c.HeartbeatTicks, DefaultHeartbeatTicks)
	c.MaxBatchBytes = cmp.Or(c.MaxBatchBytes, DefaultMaxBatchBytes)
	c.MaxEntryBytes = cmp.Or(c.MaxEntryBytes, c.MaxBatchBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, DefaultMaxInflight)
	c.MaxUncommittedBytes = cmp.Or(c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	c.MaxPendingReads = cmp.Or(c.MaxPendingReads, DefaultMaxPendingReads)
	c.MaxSnapshotBytes = cmp.Or(c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	c.KeepBytes = cmp.Or(c.KeepBytes, DefaultKeepBytes)
	c.KeepEntries = cmp.Or(c.KeepEntries, DefaultKeepEntries)
	switch {
	case c.ID == 0:
		return fmt.Errorf("%w: ID is zero", ErrBadConfig)
	case c.Rand == nil:
		return fmt.Errorf("%w: Rand is nil", ErrBadConfig)
	case c.HeartbeatTicks < 1 || c.ElectionTicks < 3*c.HeartbeatTicks:
		return fmt.Errorf("%w: ElectionTicks %d is below three times HeartbeatTicks %d", ErrBadConfig, c.ElectionTicks, c.HeartbeatTicks)
	case c.MaxBatchBytes < 1 || c.MaxInflight < 1 || c.MaxUncommittedBytes < max(c.MaxBatchBytes, c.MaxEntryBytes) || c.MaxPendingReads < 1 || c.MaxSnapshotBytes < 1:
		return fmt.Errorf("%w: a bound is too small", ErrBadConfig)
	}
	return nil
}
