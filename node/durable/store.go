package durable

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"

	"almondseam.dev/core/consensus"
)

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 8 << 20

// Stats counts what the store has done since Open.
type Stats struct {
	Syncs    uint64 // of files and folders
	Bytes    uint64 // written, with all framing
	Entries  uint64
	Segments int // in the folder now
}

// Store is an open data folder. It is used from one goroutine.
//
// Any failed write, sync or rename stops it for good (ErrStopped). After a
// failed fsync the kernel may drop the dirty pages and report success the next
// time, so a second try would confirm what is not on the disk.
type Store struct {
	fs           FS
	dir          string
	lock         io.Closer
	id           consensus.MemberID
	firstID      consensus.MemberID // given to a folder without an identity; 0 draws one
	segmentBytes uint64

	segments  []segmentInfo // oldest first; the last one is open
	file      File
	size      uint64 // of the open segment
	synced    uint64 // of the open segment
	hard      consensus.HardState
	lastIndex uint64
	lastTerm  uint64
	terms     termIndex
	snapshot  uint64 // index of the newest
	buf       []byte
	failed    error
	stats     Stats
}

// segmentInfo is what is needed to know when a segment may go.
type segmentInfo struct {
	seq       uint64
	prevIndex uint64
}

// Open locks the folder, making it if need be, and reads back what it holds.
func Open(fs FS, dir string) (*Store, consensus.Restored, error) {
	return open(fs, dir, DefaultSegmentBytes)
}

// OpenAs is Open that gives a folder without an identity this one. It is for the
// founders of a group, who must know each other's IDs before any of them runs.
func OpenAs(fs FS, dir string, id consensus.MemberID) (*Store, consensus.Restored, error) {
	return openWith(fs, dir, DefaultSegmentBytes, id)
}

func open(fs FS, dir string, segmentBytes uint64) (*Store, consensus.Restored, error) {
	return openWith(fs, dir, segmentBytes, 0)
}

func openWith(fs FS, dir string, segmentBytes uint64, first consensus.MemberID) (*Store, consensus.Restored, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, consensus.Restored{}, recoverError(dir, -1, err)
	}
	lockName := filepath.Join(dir, lockFile)
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, consensus.Restored{}, recoverError(lockName, -1, err)
	}
	s := &Store{fs: fs, dir: dir, lock: lock, segmentBytes: segmentBytes, firstID: first}
	r, err := s.recover()
	if err != nil {
		_ = s.Close()
		return nil, consensus.Restored{}, err
	}
	return s, r, nil
}

// ID is the member that this folder belongs to.
func (s *Store) ID() consensus.MemberID { return s.id }

// Stats gives the counters.
func (s *Store) Stats() Stats {
	st := s.stats
	st.Segments = len(s.segments)
	return st
}

// Close gives the folder free. What was saved with sync is safe without it.
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

// fail stops the store for good and gives the error to return.
func (s *Store) fail(file string, err error) error {
	err = persistError(file, err)
	s.failed = fmt.Errorf("%w: %w", ErrStopped, err)
	return err
}

// Save appends entries, replacing what is stored from the first one's index on,
// and stores hs when it isn't nil. It returns only once all of it is durable if
// sync is set, or if there are entries or a changed term or vote: those are
// answered for. A moved commit alone may be lost; the leader tells it again.
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
		sync = sync || hs.Term != s.hard.Term || hs.Vote != s.hard.Vote
		s.hard = *hs
	}
	s.noteEntries(entries)
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
			return persistError(s.segmentName(), fmt.Errorf("entry %d where %d belongs", e.Index, entries[0].Index+uint64(i)))
		}
	}
	if len(entries) > 0 && (entries[0].Index > s.lastIndex+1 || entries[0].Index <= s.snapshot) {
		return persistError(s.segmentName(), fmt.Errorf("entry %d after entry %d, snapshot %d", entries[0].Index, s.lastIndex, s.snapshot))
	}
	return nil
}

func (s *Store) noteEntries(entries []consensus.Entry) {
	if len(entries) == 0 {
		return
	}
	s.terms.append(entries)
	last := entries[len(entries)-1]
	s.lastIndex, s.lastTerm = last.Index, last.Term
	s.stats.Entries += uint64(len(entries))
}

func (s *Store) segmentName() string {
	return filepath.Join(s.dir, segmentName(s.segments[len(s.segments)-1].seq))
}

// writeFrame appends one frame to the open segment, without a sync.
func (s *Store) writeFrame(v any) error {
	payload, err := consensus.Encode(v)
	if err != nil {
		return s.fail(s.segmentName(), err)
	}
	s.buf = appendFrame(s.buf[:0], s.segments[len(s.segments)-1].seq, s.size, s.synced, payload)
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
	s.synced = s.size
	return nil
}

func (s *Store) syncDir() error {
	s.stats.Syncs++
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.fail(s.dir, err)
	}
	return nil
}

// rotate begins a new segment. The old one is synced first: a reader takes a
// torn tail only in the newest.
func (s *Store) rotate(h header) error {
	if s.file != nil {
		if err := s.sync(); err != nil {
			return err
		}
		if err := s.file.Close(); err != nil {
			return s.fail(s.segmentName(), err)
		}
	}
	h.Version, h.Hard = formatVersion, s.hard
	h.Seq = 1
	if k := len(s.segments); k > 0 {
		h.Seq = s.segments[k-1].seq + 1
	}
	s.segments = append(s.segments, segmentInfo{seq: h.Seq, prevIndex: h.PrevIndex})
	file, err := s.fs.Create(s.segmentName())
	if err != nil {
		return s.fail(s.segmentName(), err)
	}
	s.file, s.size, s.synced = file, 0, 0
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
