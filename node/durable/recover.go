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

// The names in the folder.
const (
	lockFile       = "lock"
	identityName   = "identity"
	tempSuffix     = ".tmp"
	segmentPrefix  = "log-"
	segmentSuffix  = ".seg"
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".snap"
	numberBase     = 16
	numberDigits   = 16
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

// contents is what the folder holds, by kind.
type contents struct {
	segments  []uint64 // ascending
	snapshots []uint64 // ascending
	temps     []string
	identity  bool
}

func (s *Store) list() (contents, error) {
	var c contents
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
			c.temps = append(c.temps, name)
		}
		c.identity = c.identity || name == identityName
	}
	slices.Sort(c.segments)
	slices.Sort(c.snapshots)
	return c, nil
}

// recover reads the folder, cuts what a crash left unconfirmed, and opens the
// newest segment to go on with. It changes nothing before the whole folder has proved sound.
func (s *Store) recover() (consensus.Restored, error) {
	var r consensus.Restored
	c, err := s.list()
	if err != nil {
		return r, err
	}
	if err := s.readIdentity(c); err != nil {
		return r, err
	}
	if r.Snapshot, err = s.readSnapshot(c); err != nil {
		return r, err
	}
	s.snapshot = r.Snapshot.Index
	next, err := s.readLog(&r, c.segments)
	if err != nil {
		return r, err
	}
	if s.id == 0 && (r.Snapshot.Index > 0 || len(r.Entries) > 0 || r.HardState != (consensus.HardState{})) {
		return r, damaged(filepath.Join(s.dir, identityName), -1, "missing beside a log that was used")
	}
	if s.file == nil || next.Reset {
		if err := s.rotate(next); err != nil {
			return r, err
		}
	}
	if err := s.makeIdentity(); err != nil {
		return r, err
	}
	return r, s.tidy(c)
}

func (s *Store) readSnapshot(c contents) (consensus.Snapshot, error) {
	if len(c.snapshots) == 0 {
		return consensus.Snapshot{}, nil
	}
	index := c.snapshots[len(c.snapshots)-1]
	path := filepath.Join(s.dir, snapshotName(index))
	var f snapshotFile
	if err := readWhole(s.fs, path, index, &f); err != nil {
		return f.Snapshot, err
	}
	if err := checkVersion(f.Version); err != nil {
		return f.Snapshot, recoverError(path, 0, err)
	}
	if f.Snapshot.Index != index {
		return f.Snapshot, damaged(path, 0, fmt.Sprintf("holds the snapshot of %d", f.Snapshot.Index))
	}
	return f.Snapshot, nil
}

// segmentData is a segment read whole.
type segmentData struct {
	segmentInfo
	path string
	b    []byte
}

// readSegments reads the segments and their headers. The newest may lack its
// header, if a crash came while it was begun: the next one takes its name then.
func (s *Store) readSegments(seqs []uint64) ([]segmentData, error) {
	var out []segmentData
	for i, seq := range seqs {
		path := filepath.Join(s.dir, segmentName(seq))
		b, err := s.fs.ReadFile(path)
		if err != nil {
			return nil, recoverError(path, -1, err)
		}
		h, _, err := readHeader(path, b, seq)
		if errors.Is(err, ErrDamaged) && i == len(seqs)-1 && !onceDurable(b, seq, 0) {
			break
		}
		if err != nil {
			return nil, err
		}
		out = append(out, segmentData{segmentInfo{seq, h.PrevIndex}, path, b})
	}
	return out, nil
}

// readLog fills r from the segments and gives the header of the next one.
func (s *Store) readLog(r *consensus.Restored, seqs []uint64) (header, error) {
	list, err := s.readSegments(seqs)
	if err != nil {
		return header{}, err
	}
	if len(list) == 0 {
		return s.emptyLog(r)
	}
	for _, g := range list {
		s.segments = append(s.segments, g.segmentInfo)
	}
	start := startSegment(s.segments, r.Snapshot.Index)
	if start < 0 {
		return header{}, damaged(list[0].path, 0, fmt.Sprintf("log begins after entry %d, but the snapshot ends with %d", list[0].prevIndex, r.Snapshot.Index))
	}
	log, size, err := replayAll(list[start:])
	if err != nil {
		return header{}, err
	}
	newest := list[len(list)-1]
	entries, whole := log.after(r.Snapshot)
	if last := r.Snapshot.Index + uint64(len(entries)); log.hard.Commit > last {
		return header{}, damaged(newest.path, int64(size), fmt.Sprintf("log ends with entry %d, but %d were committed", last, log.hard.Commit))
	}
	if err := s.goOn(newest, size); err != nil {
		return header{}, err
	}
	r.HardState, r.Entries = log.hard, entries
	return s.resume(*r, whole), nil
}

// goOn opens the newest segment to write on after its whole frames. It syncs what
// it read: where only the process had died, frames may have been read that are
// not on the disk yet. The member would answer for them, and lose them if the
// power fails next.
func (s *Store) goOn(newest segmentData, size uint64) error {
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

// resume sets the store to what was read and gives the header of the next
// segment.
func (s *Store) resume(r consensus.Restored, whole bool) header {
	s.hard = r.HardState
	s.terms.reset(r.Snapshot.Index, r.Snapshot.Term)
	s.lastIndex, s.lastTerm = r.Snapshot.Index, r.Snapshot.Term
	s.noteEntries(r.Entries)
	s.stats = Stats{}
	return header{PrevIndex: s.lastIndex, PrevTerm: s.lastTerm, Reset: !whole}
}

// emptyLog is right for a folder in its first start only.
func (s *Store) emptyLog(r *consensus.Restored) (header, error) {
	if s.id != 0 || r.Snapshot.Index > 0 {
		return header{}, damaged(s.dir, -1, "the log is missing")
	}
	s.terms.reset(0, 0)
	return header{}, nil
}

// replayAll reads the segments, and gives the length up to which the newest is
// whole.
func replayAll(list []segmentData) (*replay, uint64, error) {
	r := &replay{}
	size := uint64(0)
	for i, g := range list {
		if i > 0 && g.seq != list[i-1].seq+1 {
			return nil, 0, damaged(g.path, 0, fmt.Sprintf("segment %d before it is missing", g.seq-1))
		}
		var err error
		size, err = r.segment(g.path, g.b, g.seq, i == len(list)-1)
		if err != nil {
			return nil, 0, err
		}
	}
	return r, size, nil
}

// readIdentity reads the member's ID if the folder has one.
func (s *Store) readIdentity(c contents) error {
	if !c.identity {
		return nil
	}
	path := filepath.Join(s.dir, identityName)
	var f identityFile
	if err := readWhole(s.fs, path, 0, &f); err != nil {
		return err
	}
	if err := checkVersion(f.Version); err != nil {
		return recoverError(path, 0, err)
	}
	if f.ID == 0 {
		return damaged(path, 0, "member ID is zero")
	}
	s.id = f.ID
	return nil
}

// makeIdentity draws an ID at the first start. The log is made before it, so an
// identity without a log means that the log was lost, not that it is new.
func (s *Store) makeIdentity() error {
	if s.id != 0 {
		return nil
	}
	id := s.firstID
	if id == 0 {
		var err error
		if id, err = randomID(); err != nil {
			return recoverError(identityName, -1, err)
		}
	}
	if err := s.writeWhole(identityName, 0, identityFile{Version: formatVersion, ID: id}); err != nil {
		return err
	}
	s.id = id
	return nil
}

// tidy deletes what a crash left of files that were replaced or not finished.
func (s *Store) tidy(c contents) error {
	for _, name := range c.temps {
		err := s.fs.Remove(filepath.Join(s.dir, name))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return recoverError(name, -1, err)
		}
	}
	return s.removeOld()
}
