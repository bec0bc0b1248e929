package consensus

import (
	"cmp"
	"fmt"
	"math/rand/v2"
)

// Config holds what a Node needs to know. Zero fields other than ID and Rand
// take the defaults.
type Config struct {
	// ID names this member; see MemberID for why it must die with its folder.
	ID MemberID
	// ElectionTicks is the shortest silence after which a follower stands for
	// election, and the time after which a leader without a majority steps
	// down. The real timeout is drawn from [ElectionTicks, 2*ElectionTicks), and from
	// half of that until a leader was known since the start.
	ElectionTicks int
	// HeartbeatTicks is the pause between heartbeats; at most a third of
	// ElectionTicks, so that one lost heartbeat starts no election.
	HeartbeatTicks int
	// MaxBatchBytes bounds the data of one append message, of one snapshot
	// chunk and of one entry.
	MaxBatchBytes int
	// MaxInflight bounds the unacknowledged append messages to one peer.
	MaxInflight int
	// MaxUncommittedBytes bounds the data proposed and not yet committed;
	// beyond it Propose answers ErrBusy.
	MaxUncommittedBytes int
	// MaxPendingReads bounds the reads waiting for a majority.
	MaxPendingReads int
	// MaxSnapshotBytes bounds the snapshot that this member accepts.
	MaxSnapshotBytes int
	// KeepEntries is how many entries before a snapshot stay in memory, so
	// that a peer that lags a little needs no snapshot.
	KeepEntries uint64
	// KeepBytes bounds what KeepEntries keeps. Without it, a log of large
	// entries stays large over a compaction, and a caller that compacts by
	// size would do so at every batch.
	KeepBytes int
	// EarlySend makes Ready give a leader's appends and heartbeats as Early, so
	// that followers save at the same time as the leader and a write takes one
	// fsync less. The caller must then send Ready.Early.
	EarlySend bool
	// Rand draws election timeouts.
	Rand *rand.Rand
}

// Defaults of Config.
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
	case c.MaxBatchBytes < 1 || c.MaxInflight < 1 || c.MaxUncommittedBytes < c.MaxBatchBytes || c.MaxPendingReads < 1 || c.MaxSnapshotBytes < 1:
		return fmt.Errorf("%w: a bound is too small", ErrBadConfig)
	}
	return nil
}
