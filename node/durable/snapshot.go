package durable

import (
	"fmt"
	"path/filepath"

	"almondseam.dev/core/consensus"
)

// writeWhole puts a file of one frame in place in one step: a crash leaves the
// old one or the new one, never a part.
func (s *Store) writeWhole(name string, number uint64, v any) error {
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
	framed := appendFrame(nil, number, 0, 0, payload)
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

// readWhole reads what writeWhole wrote.
func readWhole(fs FS, path string, number uint64, v any) error {
	b, err := fs.ReadFile(path)
	if err != nil {
		return recoverError(path, -1, err)
	}
	f, ok := readFrame(b, number, 0)
	if !ok || f.size != uint64(len(b)) {
		return damaged(path, 0, "checksum of the file")
	}
	if err := consensus.Decode(f.payload, v); err != nil {
		return damaged(path, 0, err.Error())
	}
	return nil
}

// SaveSnapshot stores a snapshot durably and lets go of what it replaces. If the
// log doesn't hold the entry that it ends with, it replaces the whole log.
func (s *Store) SaveSnapshot(sn consensus.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	if sn.Index <= s.snapshot {
		return nil
	}
	if err := s.writeWhole(snapshotName(sn.Index), sn.Index, snapshotFile{Version: formatVersion, Snapshot: sn}); err != nil {
		return err
	}
	s.snapshot = sn.Index
	if err := s.rotate(s.headerAfter(sn)); err != nil {
		return err
	}
	s.terms.compact(sn.Index)
	return s.removeOld()
}

// headerAfter begins the segment that follows a snapshot: the log goes on, or
// starts anew where the snapshot ends.
func (s *Store) headerAfter(sn consensus.Snapshot) header {
	if t, ok := s.terms.at(sn.Index); ok && t == sn.Term {
		return header{PrevIndex: s.lastIndex, PrevTerm: s.lastTerm}
	}
	s.terms.reset(sn.Index, sn.Term)
	s.lastIndex, s.lastTerm = sn.Index, sn.Term
	s.hard.Commit = max(s.hard.Commit, sn.Index)
	return header{PrevIndex: sn.Index, PrevTerm: sn.Term, Reset: true}
}

// removeOld deletes the segments whose entries the snapshot stands for, and
// older snapshots. The new ones are durable by now; a crash in between leaves
// files that the next Open deletes.
func (s *Store) removeOld() error {
	keep := startSegment(s.segments, s.snapshot)
	var names []string
	for _, g := range s.segments[:keep] {
		names = append(names, segmentName(g.seq))
	}
	s.segments = s.segments[keep:]
	all, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return s.fail(s.dir, err)
	}
	for _, name := range all {
		if index, ok := parseName(name, snapshotPrefix, snapshotSuffix); ok && index < s.snapshot {
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

// startSegment finds the newest segment from which the log can be read on from
// the snapshot; -1 if none.
func startSegment(list []segmentInfo, snapshot uint64) int {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].prevIndex <= snapshot {
			return i
		}
	}
	return -1
}
