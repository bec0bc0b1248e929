package durable

import (
	"fmt"

	"almondseam.dev/core/consensus"
)

// formatVersion is that of segments, snapshots and the identity.
const formatVersion = 1

// Bounds on one frame of entries. They keep a batch within what the codec
// decodes, whatever is saved at once.
const (
	maxFrameEntries = 8192
	maxFrameBytes   = 4 << 20
	maxEntryBytes   = 32 << 20
)

// header is the first frame of a segment: all that a reader needs to know of the
// segments before it, so that those can be removed.
type header struct {
	Version   int                 `cbor:"1,keyasint"`
	Seq       uint64              `cbor:"2,keyasint"`
	PrevIndex uint64              `cbor:"3,keyasint"` // last entry before this segment
	PrevTerm  uint64              `cbor:"4,keyasint"`
	Reset     bool                `cbor:"5,keyasint,omitempty"` // a snapshot replaced the log
	Hard      consensus.HardState `cbor:"6,keyasint"`
}

// batch is every other frame: entries, a hard state, or both. The first entry's
// index may lie within the log, which is then cut there.
type batch struct {
	Entries []consensus.Entry    `cbor:"1,keyasint,omitempty"`
	Hard    *consensus.HardState `cbor:"2,keyasint,omitempty"`
}

// snapshotFile is the one frame of a snapshot.
type snapshotFile struct {
	Version  int                `cbor:"1,keyasint"`
	Snapshot consensus.Snapshot `cbor:"2,keyasint"`
}

// identityFile is the one frame of the identity.
type identityFile struct {
	Version int                `cbor:"1,keyasint"`
	ID      consensus.MemberID `cbor:"2,keyasint"`
}

func checkVersion(v int) error {
	if v != formatVersion {
		return fmt.Errorf("%w %d; this program knows %d", ErrVersion, v, formatVersion)
	}
	return nil
}

// splitBatches cuts a save into batches within the bounds. The hard state goes
// with the last: a crash in between leaves entries whose term is ahead of it,
// which the agreement allows for, but never a commit past the entries.
func splitBatches(hs *consensus.HardState, entries []consensus.Entry) []batch {
	var out []batch
	start, size := 0, 0
	for i, e := range entries {
		if i > start && (size+len(e.Data) > maxFrameBytes || i-start == maxFrameEntries) {
			out = append(out, batch{Entries: entries[start:i]})
			start, size = i, 0
		}
		size += len(e.Data)
	}
	return append(out, batch{Entries: entries[start:], Hard: hs})
}
