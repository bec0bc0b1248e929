package durable

import (
	"fmt"
	"path/filepath"

	"almondseam.dev/core/consensus"
)

// writeFrameFile atomically writes a file that consists of one frame. It writes and
// syncs a temporary file and renames it, so a crash leaves either the old file or
// the complete new one.
func (s *Store) writeFrameFile(name string, fileNumber uint64, v any) error {
	payload, err := consensus.Encode(v)
	if err != nil {
		return s.fail(name, err)
	}
	if len(payload) > maxFramePayload {
		return persistError(name, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(payload)))
	}
	temp := filepath.Join(s.dir, name+tempSuffix)
	file, err := s.fs.Create(temp)
	if err != nil {
		return s.fail(temp, err)
	}
	framed := appendFrame(nil, fileNumber, 0, 0, payload)
	if _, err := file.Write(framed); err != nil {
		_ = file.Close()
		return s.fail(temp, err)
	}
	s.stats.Bytes += uint64(len(framed))
	s.stats.Syncs++
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return s.fail(temp, err)
	}
	if err := file.Close(); err != nil {
		return s.fail(temp, err)
	}
	if err := s.fs.Rename(temp, filepath.Join(s.dir, name)); err != nil {
		return s.fail(temp, err)
	}
	return s.syncDir()
}

// readFrameFile reads a file that writeFrameFile wrote and decodes its frame into v.
func readFrameFile(fs FS, path string, fileNumber uint64, v any) error {
	b, err := fs.ReadFile(path)
	if err != nil {
		return recoverError(path, -1, err)
	}
	f, ok := readFrame(b, fileNumber, 0)
	if !ok || f.size != uint64(len(b)) {
		return damagedError(path, 0, "file is not a single valid frame")
	}
	if err := consensus.Decode(f.payload, v); err != nil {
		return damagedError(path, 0, err.Error())
	}
	return nil
}

// SaveSnapshot stores a snapshot durably and deletes the older snapshots and the
// segments that it makes obsolete. If the log does not contain the snapshot's last
// entry, the snapshot replaces the whole log. A snapshot that is not newer than the
// stored one is ignored.
func (s *Store) SaveSnapshot(sn consensus.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	if sn.Index <= s.snapshotIndex {
		return nil
	}
	if err := s.writeFrameFile(snapshotName(sn.Index), sn.Index, snapshotFile{Version: formatVersion, Snapshot: sn}); err != nil {
		return err
	}
	s.snapshotIndex = sn.Index
	if err := s.rotate(s.headerAfterSnapshot(sn)); err != nil {
		return err
	}
	s.terms.compact(sn.Index)
	return s.removeObsolete()
}

// headerAfterSnapshot returns the header for the segment that follows a snapshot. If
// the log contains the snapshot's last entry, the log continues. Otherwise
// headerAfterSnapshot also resets the in-memory state, and the log begins after the
// snapshot.
func (s *Store) headerAfterSnapshot(sn consensus.Snapshot) header {
	if t, ok := s.terms.at(sn.Index); ok && t == sn.Term {
		return header{PrevIndex: s.lastIndex, PrevTerm: s.lastTerm}
	}
	s.terms.reset(sn.Index, sn.Term)
	s.lastIndex, s.lastTerm = sn.Index, sn.Term
	s.hardState.Commit = max(s.hardState.Commit, sn.Index)
	return header{PrevIndex: sn.Index, PrevTerm: sn.Term, Reset: true}
}

// removeObsolete deletes the segments whose entries the snapshot covers, and older
// snapshots. The files that replace them are already durable. If a crash interrupts
// the deletion, the next Open deletes the rest.
func (s *Store) removeObsolete() error {
	firstKept := startSegment(s.segments, s.snapshotIndex)
	var names []string
	for _, seg := range s.segments[:firstKept] {
		names = append(names, segmentName(seg.seq))
	}
	s.segments = s.segments[firstKept:]
	all, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return s.fail(s.dir, err)
	}
	for _, name := range all {
		if index, ok := parseName(name, snapshotPrefix, snapshotSuffix); ok && index < s.snapshotIndex {
			names = append(names, name)
		}
	}
	for _, name := range names {
		if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
			return s.fail(name, err)
		}
	}
	return nil
}

// startSegment returns the position of the newest segment from which the log can be
// replayed to continue after the snapshot, or -1 if there is none.
func startSegment(list []segmentInfo, snapshot uint64) int {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].prevIndex <= snapshot {
			return i
		}
	}
	return -1
}
