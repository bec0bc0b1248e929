package durable

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"

	"almondseam.dev/core/consensus"
)

// DefaultSegmentBytes is the segment size from which on Save begins a new segment.
const DefaultSegmentBytes = 8 << 20

// Stats counts the operations of a store since Open.
type Stats struct {
	Syncs    uint64 // of files and directories
	Bytes    uint64 // written, including frame headers
	Entries  uint64 // saved
	Segments int    // currently in the directory
}

// Store is an open data directory. It must be used from one goroutine only.
//
// After any failed write, sync, rename or other file operation, all further writes
// fail with ErrStopped. After a failed fsync the kernel may drop the dirty pages and
// report success for the next fsync, so a retry could confirm data that is not on
// disk.
type Store struct {
	fs           FS
	dir          string
	lock         io.Closer
	id           consensus.MemberID
	initialID    consensus.MemberID // ID for a directory without an identity; 0 selects a random one
	segmentBytes uint64

	segments      []segmentInfo // oldest first; the last one is open for writing
	file          File
	size          uint64 // of the open segment
	syncedSize    uint64 // of the open segment, as of the last sync
	hardState     consensus.HardState
	lastIndex     uint64
	lastTerm      uint64
	terms         termIndex
	snapshotIndex uint64 // index of the newest snapshot
	buf           []byte
	failed        error
	stats         Stats
}

// segmentInfo is the part of a segment's header that decides whether the segment
// can be deleted.
type segmentInfo struct {
	seq       uint64
	prevIndex uint64 // last entry before the segment
}

// Open locks the data directory, creating it if needed, and returns the state that
// it holds.
func Open(fs FS, dir string) (*Store, consensus.Restored, error) {
	return open(fs, dir, DefaultSegmentBytes)
}

// OpenAs is like Open, but a directory without an identity gets the given ID. It is
// for the founding members of a group, which must know each other's IDs before any
// of them runs.
func OpenAs(fs FS, dir string, id consensus.MemberID) (*Store, consensus.Restored, error) {
	return openWith(fs, dir, DefaultSegmentBytes, id)
}

func open(fs FS, dir string, segmentBytes uint64) (*Store, consensus.Restored, error) {
	return openWith(fs, dir, segmentBytes, 0)
}

func openWith(fs FS, dir string, segmentBytes uint64, id consensus.MemberID) (*Store, consensus.Restored, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, consensus.Restored{}, recoverError(dir, -1, err)
	}
	lockName := filepath.Join(dir, lockFileName)
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, consensus.Restored{}, recoverError(lockName, -1, err)
	}
	s := &Store{fs: fs, dir: dir, lock: lock, segmentBytes: segmentBytes, initialID: id}
	r, err := s.recover()
	if err != nil {
		_ = s.Close()
		return nil, consensus.Restored{}, err
	}
	return s, r, nil
}

// ID returns the ID of the member that the directory belongs to.
func (s *Store) ID() consensus.MemberID { return s.id }

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	st := s.stats
	st.Segments = len(s.segments)
	return st
}

// Close closes the open segment and releases the lock. It does not sync; data that
// was saved with a sync is durable without Close.
func (s *Store) Close() error {
	if s.failed == nil {
		s.failed = ErrStopped
	}
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// fail stops the store permanently and returns the error for the caller.
func (s *Store) fail(file string, err error) error {
	err = persistError(file, err)
	s.failed = fmt.Errorf("%w: %w", ErrStopped, err)
	return err
}

// Save appends entries, replacing the stored ones from the first one's index on, and
// stores hs if it is not nil. If sync is set, or if there are entries or a changed
// term or vote, Save returns only after everything is durable, because the member
// acknowledges those to other members. A changed commit index alone may be lost in
// a crash; the leader sends it again.
func (s *Store) Save(hs *consensus.HardState, entries []consensus.Entry, sync bool) error {
	if s.failed != nil {
		return s.failed
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := s.checkEntries(entries); err != nil {
		return err
	}
	for _, b := range splitBatches(hs, entries) {
		if err := s.writeFrame(b); err != nil {
			return err
		}
	}
	if hs != nil {
		sync = sync || hs.Term != s.hardState.Term || hs.Vote != s.hardState.Vote
		s.hardState = *hs
	}
	s.trackEntries(entries)
	if sync || len(entries) > 0 {
		if err := s.sync(); err != nil {
			return err
		}
	}
	if s.size >= s.segmentBytes {
		return s.rotate(header{PrevIndex: s.lastIndex, PrevTerm: s.lastTerm})
	}
	return nil
}

func (s *Store) checkEntries(entries []consensus.Entry) error {
	for i, e := range entries {
		if len(e.Data) > maxEntryBytes {
			return persistError(s.segmentName(), fmt.Errorf("%w: entry %d has %d bytes", ErrTooLarge, e.Index, len(e.Data)))
		}
		if e.Index != entries[0].Index+uint64(i) {
			return persistError(s.segmentName(), fmt.Errorf("found entry %d where entry %d was expected", e.Index, entries[0].Index+uint64(i)))
		}
	}
	if len(entries) > 0 && (entries[0].Index > s.lastIndex+1 || entries[0].Index <= s.snapshotIndex) {
		return persistError(s.segmentName(), fmt.Errorf("first entry %d does not fit a log that ends at entry %d and a snapshot at entry %d", entries[0].Index, s.lastIndex, s.snapshotIndex))
	}
	return nil
}

// trackEntries updates the in-memory state after entries were written.
func (s *Store) trackEntries(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	s.terms.append(entries)
	last := entries[len(entries)-1]
	s.lastIndex, s.lastTerm = last.Index, last.Term
	s.stats.Entries += uint64(len(entries))
}

// segmentName returns the path of the open segment.
func (s *Store) segmentName() string {
	return filepath.Join(s.dir, segmentName(s.segments[len(s.segments)-1].seq))
}

// writeFrame encodes v and appends it to the open segment as one frame, without a
// sync.
func (s *Store) writeFrame(v any) error {
	payload, err := consensus.Encode(v)
	if err != nil {
		return s.fail(s.segmentName(), err)
	}
	s.buf = appendFrame(s.buf[:0], s.segments[len(s.segments)-1].seq, s.size, s.syncedSize, payload)
	if _, err := s.file.Write(s.buf); err != nil {
		return s.fail(s.segmentName(), err)
	}
	s.size += uint64(len(s.buf))
	s.stats.Bytes += uint64(len(s.buf))
	if cap(s.buf) > maxFrameBytes {
		s.buf = nil
	}
	return nil
}

func (s *Store) sync() error {
	s.stats.Syncs++
	if err := s.file.Sync(); err != nil {
		return s.fail(s.segmentName(), err)
	}
	s.syncedSize = s.size
	return nil
}

func (s *Store) syncDir() error {
	s.stats.Syncs++
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.fail(s.dir, err)
	}
	return nil
}

// rotate begins a new segment. It sets the version, sequence number and hard state in
// the header h. It syncs the previous segment first, because recovery accepts a torn
// tail only in the newest one.
func (s *Store) rotate(h header) error {
	if s.file != nil {
		if err := s.sync(); err != nil {
			return err
		}
		if err := s.file.Close(); err != nil {
			return s.fail(s.segmentName(), err)
		}
	}
	h.Version, h.Hard = formatVersion, s.hardState
	h.Seq = 1
	if k := len(s.segments); k > 0 {
		h.Seq = s.segments[k-1].seq + 1
	}
	s.segments = append(s.segments, segmentInfo{seq: h.Seq, prevIndex: h.PrevIndex})
	file, err := s.fs.Create(s.segmentName())
	if err != nil {
		return s.fail(s.segmentName(), err)
	}
	s.file, s.size, s.syncedSize = file, 0, 0
	if err := s.writeFrame(h); err != nil {
		return err
	}
	if err := s.sync(); err != nil {
		return err
	}
	return s.syncDir()
}

func randomID() (consensus.MemberID, error) {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			return 0, err
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return consensus.MemberID(id), nil
		}
	}
}
