package durable

import (
	"fmt"

	"almondseam.dev/core/consensus"
)

// formatVersion is the format version written to segments, snapshots and the
// identity file.
const formatVersion = 1

// Limits for one frame of entries. However many entries one Save receives, these
// limits keep each batch within the decoder's limit on array items and within
// maxFramePayload.
const (
	maxFrameEntries = 8192
	maxFrameBytes   = 4 << 20
	maxEntryBytes   = 32 << 20
)

// header is the payload of the first frame of a segment. It holds all that a
// reader needs to know about earlier segments, so that those can be removed.
type header struct {
	Version   int                 `cbor:"1,keyasint"`
	Seq       uint64              `cbor:"2,keyasint"`
	PrevIndex uint64              `cbor:"3,keyasint"` // last entry before this segment
	PrevTerm  uint64              `cbor:"4,keyasint"`
	Reset     bool                `cbor:"5,keyasint,omitempty"` // a snapshot replaced the log before this segment
	Hard      consensus.HardState `cbor:"6,keyasint"`
}

// batch is the payload of every later frame of a segment: entries, a hard state, or
// both. If the first entry's index is already in the log, the batch replaces the
// log from that index on.
type batch struct {
	Entries []consensus.Entry    `cbor:"1,keyasint,omitempty"`
	Hard    *consensus.HardState `cbor:"2,keyasint,omitempty"`
}

// snapshotFile is the payload of the only frame in a snapshot file.
type snapshotFile struct {
	Version  int                `cbor:"1,keyasint"`
	Snapshot consensus.Snapshot `cbor:"2,keyasint"`
}

// identityFile is the payload of the only frame in the identity file.
type identityFile struct {
	Version int                `cbor:"1,keyasint"`
	ID      consensus.MemberID `cbor:"2,keyasint"`
}

func checkVersion(v int) error {
	if v != formatVersion {
		return fmt.Errorf("%w %d; this program reads version %d", ErrVersion, v, formatVersion)
	}
	return nil
}

// splitBatches splits the input of one Save into batches within the limits. The
// hard state goes into the last batch. A crash between batches can then leave
// entries with a term above that of the stored hard state, which consensus.New
// accepts, but never a commit index beyond the last entry.
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
