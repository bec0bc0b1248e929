package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"almondseam.dev/core/consensus"
)

// File names in the data directory.
const (
	lockFileName     = "lock"
	identityFileName = "identity"
	tempSuffix       = ".tmp"
	segmentPrefix    = "log-"
	segmentSuffix    = ".seg"
	snapshotPrefix   = "snapshot-"
	snapshotSuffix   = ".snap"
	numberBase       = 16
	numberDigits     = 16
)

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%0*x%s", segmentPrefix, numberDigits, seq, segmentSuffix)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%0*x%s", snapshotPrefix, numberDigits, index, snapshotSuffix)
}

func parseName(name, prefix, suffix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	digits, ok = strings.CutSuffix(digits, suffix)
	if !ok || len(digits) != numberDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, numberBase, 64)
	return n, err == nil
}

// dirContents lists the files of the data directory by kind.
type dirContents struct {
	segments    []uint64 // ascending
	snapshots   []uint64 // ascending
	tempFiles   []string
	hasIdentity bool
}

func (s *Store) listFiles() (dirContents, error) {
	var c dirContents
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return c, recoverError(s.dir, -1, err)
	}
	for _, name := range names {
		if seq, ok := parseName(name, segmentPrefix, segmentSuffix); ok {
			c.segments = append(c.segments, seq)
		} else if index, ok := parseName(name, snapshotPrefix, snapshotSuffix); ok {
			c.snapshots = append(c.snapshots, index)
		} else if strings.HasSuffix(name, tempSuffix) {
			c.tempFiles = append(c.tempFiles, name)
		}
		c.hasIdentity = c.hasIdentity || name == identityFileName
	}
	slices.Sort(c.segments)
	slices.Sort(c.snapshots)
	return c, nil
}

// recover reads the data directory, cuts off a torn tail that a crash left, and
// opens the newest segment for further writing. It changes nothing until it has
// verified the identity, the snapshot and the log after the snapshot. Only after
// cutting off the tail does it check that the identity is not missing.
func (s *Store) recover() (consensus.Restored, error) {
	var r consensus.Restored
	c, err := s.listFiles()
	if err != nil {
		return r, err
	}
	if err := s.readIdentity(c); err != nil {
		return r, err
	}
	if r.Snapshot, err = s.readSnapshot(c); err != nil {
		return r, err
	}
	s.snapshotIndex = r.Snapshot.Index
	nextHeader, err := s.readLog(&r, c.segments)
	if err != nil {
		return r, err
	}
	if s.id == 0 && (r.Snapshot.Index > 0 || len(r.Entries) > 0 || r.HardState != (consensus.HardState{})) {
		return r, damagedError(filepath.Join(s.dir, identityFileName), -1, "missing, but the directory holds a log or a snapshot with state")
	}
	if s.file == nil || nextHeader.Reset {
		if err := s.rotate(nextHeader); err != nil {
			return r, err
		}
	}
	if err := s.createIdentity(); err != nil {
		return r, err
	}
	return r, s.removeLeftovers(c)
}

func (s *Store) readSnapshot(c dirContents) (consensus.Snapshot, error) {
	if len(c.snapshots) == 0 {
		return consensus.Snapshot{}, nil
	}
	index := c.snapshots[len(c.snapshots)-1]
	path := filepath.Join(s.dir, snapshotName(index))
	var f snapshotFile
	if err := readFrameFile(s.fs, path, index, &f); err != nil {
		return f.Snapshot, err
	}
	if err := checkVersion(f.Version); err != nil {
		return f.Snapshot, recoverError(path, 0, err)
	}
	if f.Snapshot.Index != index {
		return f.Snapshot, damagedError(path, 0, fmt.Sprintf("file contains the snapshot of index %d", f.Snapshot.Index))
	}
	return f.Snapshot, nil
}

// segmentData is a segment with its file's content.
type segmentData struct {
	segmentInfo
	path string
	b    []byte
}

// readSegments reads the segment files and their headers. If a crash interrupted
// the creation of the newest segment, it may have no valid header. It is then left
// out of the result, and the next segment to be created reuses its name.
func (s *Store) readSegments(seqs []uint64) ([]segmentData, error) {
	var out []segmentData
	for i, seq := range seqs {
		path := filepath.Join(s.dir, segmentName(seq))
		b, err := s.fs.ReadFile(path)
		if err != nil {
			return nil, recoverError(path, -1, err)
		}
		h, _, err := readHeader(path, b, seq)
		if errors.Is(err, ErrDamaged) && i == len(seqs)-1 && !wasDurable(b, seq, 0) {
			break
		}
		if err != nil {
			return nil, err
		}
		out = append(out, segmentData{segmentInfo{seq, h.PrevIndex}, path, b})
	}
	return out, nil
}

// readLog reads the hard state and the entries after the snapshot into r, opens the
// newest segment, and returns the header for the segment that follows.
func (s *Store) readLog(r *consensus.Restored, seqs []uint64) (header, error) {
	list, err := s.readSegments(seqs)
	if err != nil {
		return header{}, err
	}
	if len(list) == 0 {
		return s.startEmptyLog(r)
	}
	for _, seg := range list {
		s.segments = append(s.segments, seg.segmentInfo)
	}
	start := startSegment(s.segments, r.Snapshot.Index)
	if start < 0 {
		return header{}, damagedError(list[0].path, 0, fmt.Sprintf("log begins after entry %d, but the snapshot ends at entry %d", list[0].prevIndex, r.Snapshot.Index))
	}
	log, size, err := replaySegments(list[start:])
	if err != nil {
		return header{}, err
	}
	newest := list[len(list)-1]
	entries, continues := log.entriesAfter(r.Snapshot)
	if last := r.Snapshot.Index + uint64(len(entries)); log.hardState.Commit > last {
		return header{}, damagedError(newest.path, int64(size), fmt.Sprintf("log ends at entry %d, but the commit index is %d", last, log.hardState.Commit))
	}
	if err := s.reopenSegment(newest, size); err != nil {
		return header{}, err
	}
	r.HardState, r.Entries = log.hardState, entries
	return s.restoreState(*r, continues), nil
}

// reopenSegment opens the newest segment for appending and cuts off everything
// beyond size. It also syncs the frames that were read: if only the process had
// crashed, they may be in the page cache but not on disk yet. The member would act
// on them, and lose them if the power failed next.
func (s *Store) reopenSegment(newest segmentData, size uint64) error {
	if size < uint64(len(newest.b)) {
		if err := s.fs.Truncate(newest.path, int64(size)); err != nil {
			return recoverError(newest.path, int64(size), err)
		}
	}
	file, err := s.fs.Append(newest.path)
	if err != nil {
		return recoverError(newest.path, -1, err)
	}
	s.file, s.size = file, size
	if err := s.sync(); err != nil {
		return err
	}
	return s.syncDir()
}

// restoreState sets the in-memory state to the restored state and returns the
// header for the next segment. If the log does not continue from the snapshot, that
// header resets the log.
func (s *Store) restoreState(r consensus.Restored, continues bool) header {
	s.hardState = r.HardState
	s.terms.reset(r.Snapshot.Index, r.Snapshot.Term)
	s.lastIndex, s.lastTerm = r.Snapshot.Index, r.Snapshot.Term
	s.trackEntries(r.Entries)
	s.stats = Stats{}
	return header{PrevIndex: s.lastIndex, PrevTerm: s.lastTerm, Reset: !continues}
}

// startEmptyLog starts with an empty log. A directory without a valid segment is
// accepted only if it has neither an identity nor a snapshot. Otherwise it was used
// before, and its log was lost.
func (s *Store) startEmptyLog(r *consensus.Restored) (header, error) {
	if s.id != 0 || r.Snapshot.Index > 0 {
		return header{}, damagedError(s.dir, -1, "the log is missing")
	}
	s.terms.reset(0, 0)
	return header{}, nil
}

// replaySegments rebuilds the log from the segments. It returns the length of the
// valid part of the newest one.
func replaySegments(list []segmentData) (*replay, uint64, error) {
	r := &replay{}
	size := uint64(0)
	for i, seg := range list {
		if i > 0 && seg.seq != list[i-1].seq+1 {
			return nil, 0, damagedError(seg.path, 0, fmt.Sprintf("preceding segment %d is missing", seg.seq-1))
		}
		var err error
		size, err = r.applySegment(seg.path, seg.b, seg.seq, i == len(list)-1)
		if err != nil {
			return nil, 0, err
		}
	}
	return r, size, nil
}

// readIdentity reads the member's ID if the directory has an identity file.
func (s *Store) readIdentity(c dirContents) error {
	if !c.hasIdentity {
		return nil
	}
	path := filepath.Join(s.dir, identityFileName)
	var f identityFile
	if err := readFrameFile(s.fs, path, 0, &f); err != nil {
		return err
	}
	if err := checkVersion(f.Version); err != nil {
		return recoverError(path, 0, err)
	}
	if f.ID == 0 {
		return damagedError(path, 0, "member ID is zero")
	}
	s.id = f.ID
	return nil
}

// createIdentity stores the member's ID at the first start: initialID, or a random
// ID if that is 0. The log is created before the identity, so an identity without a
// log means that the log was lost, not that the directory is new.
func (s *Store) createIdentity() error {
	if s.id != 0 {
		return nil
	}
	id := s.initialID
	if id == 0 {
		var err error
		if id, err = randomID(); err != nil {
			return recoverError(identityFileName, -1, err)
		}
	}
	if err := s.writeFrameFile(identityFileName, 0, identityFile{Version: formatVersion, ID: id}); err != nil {
		return err
	}
	s.id = id
	return nil
}

// removeLeftovers deletes temporary files and obsolete files that a crash left
// behind.
func (s *Store) removeLeftovers(c dirContents) error {
	for _, name := range c.tempFiles {
		err := s.fs.Remove(filepath.Join(s.dir, name))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return recoverError(name, -1, err)
		}
	}
	return s.removeObsolete()
}
