package durable

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/consensus"
	"almondseam.dev/node/durable/memfs"
)

const (
	testDir          = "/data"
	testSegmentBytes = 300
)

// model is the state that a directory must hold after the last confirmed call, and
// the lowest commit index that a crash may bring back.
type model struct {
	consensus.Restored
	syncedCommit uint64
}

// op is one call on the store; apply returns its effect on the model.
type op struct {
	hs       *consensus.HardState
	entries  []consensus.Entry
	snapshot *consensus.Snapshot
}

func (o op) call(s *Store) error {
	if o.snapshot != nil {
		return s.SaveSnapshot(*o.snapshot)
	}
	return s.Save(o.hs, o.entries, false)
}

func (o op) apply(m model) model {
	last := m.Snapshot.Index + uint64(len(m.Entries))
	if sn := o.snapshot; sn != nil {
		if sn.Index <= last && m.Entries[sn.Index-m.Snapshot.Index-1].Term == sn.Term {
			m.Entries = m.Entries[sn.Index-m.Snapshot.Index:]
		} else {
			m.Entries = nil
		}
		m.Snapshot = *sn
		m.HardState.Commit = max(m.HardState.Commit, sn.Index)
		m.syncedCommit = m.HardState.Commit
		return m
	}
	sync := len(o.entries) > 0
	if sync {
		m.Entries = slices.Concat(m.Entries[:o.entries[0].Index-m.Snapshot.Index-1], o.entries)
	}
	if o.hs != nil {
		sync = sync || o.hs.Term != m.HardState.Term || o.hs.Vote != m.HardState.Vote
		m.HardState = *o.hs
	}
	if sync {
		m.syncedCommit = m.HardState.Commit
	}
	return m
}

// nextOp returns a random call that a member could make in state m.
func nextOp(rng *rand.Rand, m model) op {
	last := m.Snapshot.Index + uint64(len(m.Entries))
	hs := m.HardState
	hs.Commit = max(hs.Commit, m.Snapshot.Index)
	switch rng.IntN(8) {
	case 0: // a new term, with a vote
		hs.Term, hs.Vote = hs.Term+1, consensus.MemberID(rng.IntN(3))
		return op{hs: &hs}
	case 1: // commit alone
		hs.Commit += uint64(rng.IntN(int(last-hs.Commit) + 1))
		return op{hs: &hs}
	case 2: // compaction at the commit index
		if hs.Commit > m.Snapshot.Index {
			e := m.Entries[hs.Commit-m.Snapshot.Index-1]
			return op{snapshot: &consensus.Snapshot{Index: e.Index, Term: e.Term, Data: []byte(fmt.Sprint("state", e.Index))}}
		}
	case 3: // a leader's snapshot, past the end of the log or in conflict with it
		if at := hs.Commit + 1 + uint64(rng.IntN(4)); rng.IntN(2) == 0 {
			return op{snapshot: &consensus.Snapshot{Index: at, Term: hs.Term + 1, Data: []byte(fmt.Sprint("leader", at))}}
		}
	}
	first := last + 1
	if rng.IntN(4) == 0 { // a new leader overwrites uncommitted entries
		first = hs.Commit + 1
	}
	hs.Term = max(hs.Term, 1) + uint64(rng.IntN(2))
	if k := len(m.Entries); k > 0 {
		hs.Term = max(hs.Term, m.Entries[k-1].Term)
	}
	hs.Term = max(hs.Term, m.Snapshot.Term)
	var entries []consensus.Entry
	for i := range uint64(1 + rng.IntN(3)) {
		entries = append(entries, consensus.Entry{Index: first + i, Term: hs.Term, Type: consensus.EntryCommand, Data: make([]byte, rng.IntN(40))})
	}
	return op{hs: &hs, entries: entries}
}

func equalEntries(a, b []consensus.Entry) bool {
	return slices.EqualFunc(a, b, func(x, y consensus.Entry) bool {
		return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
	})
}

// checkRecovered returns an error unless got is the confirmed state or the state after
// the call in progress, or has only parts of that call applied.
func checkRecovered(got consensus.Restored, confirmed, next model) error {
	var match *model
	for _, m := range []*model{&confirmed, &next} {
		if reflect.DeepEqual(got.Snapshot, m.Snapshot) && equalEntries(got.Entries, m.Entries) {
			match = m
		}
	}
	hs := got.HardState
	switch {
	case match == nil:
		return fmt.Errorf("log: got %+v, want %+v or %+v", got, confirmed.Restored, next.Restored)
	case (hs.Term != confirmed.HardState.Term || hs.Vote != confirmed.HardState.Vote) && (hs.Term != next.HardState.Term || hs.Vote != next.HardState.Vote):
		return fmt.Errorf("hard state: got %+v, want %+v or %+v", hs, confirmed.HardState, next.HardState)
	case max(hs.Commit, got.Snapshot.Index) < confirmed.syncedCommit || hs.Commit > next.HardState.Commit:
		return fmt.Errorf("commit: got %d, want %d to %d", hs.Commit, confirmed.syncedCommit, next.HardState.Commit)
	}
	_, err := consensus.New(consensus.Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}, got)
	return err
}

// runRandomOps makes up to n random calls, until one fails. It returns the confirmed
// state and the state after the call in progress. A store that failed must reject the
// same call when it is repeated.
func runRandomOps(s *Store, rng *rand.Rand, m model, n int) (confirmed, next model, err error) {
	for range n {
		o := nextOp(rng, m)
		next = o.apply(m)
		if err = o.call(s); err != nil {
			if again := o.call(s); !errors.Is(again, ErrStopped) {
				return m, next, fmt.Errorf("a stopped store returned %w", again)
			}
			return m, next, err
		}
		m = next
	}
	return m, m, nil
}

// Power fails, or the process is killed, at each write, sync, rename and removal,
// and any part of the unsynced data may have reached the disk. Confirmed data must be
// restored, and nothing that was never saved. Then power fails a second time, during
// the recovery or after it.
func TestCrashAtEveryPoint(t *testing.T) {
	recoveries := 0
	for seed := uint64(1); seed <= 6; seed++ {
		for failAt := 1; ; failAt++ {
			m := memfs.New()
			m.FailAt = failAt
			rng := rand.New(rand.NewPCG(seed, 2))
			var confirmed, next model
			s, _, err := open(m, testDir, testSegmentBytes)
			if err == nil {
				confirmed, next, err = runRandomOps(s, rng, model{}, 30)
			}
			if err == nil {
				break // the run has fewer than failAt operations
			}
			if !errors.Is(err, memfs.ErrCrash) {
				t.Fatalf("seed %d, crash at %d (%s): %v", seed, failAt, m.Log[failAt-1], err)
			}
			for outcome, keep := range memfs.PowerLossOutcomes(rand.New(rand.NewPCG(seed, uint64(failAt)))) {
				recoverAndCrashAgain(t, m.AfterPowerLoss(keep), confirmed, next, fmt.Sprintf("seed %d, crash at %d (%s), outcome %d", seed, failAt, m.Log[failAt-1], outcome))
				recoveries++
			}
			recoverAndCrashAgain(t, m.AfterKill(), confirmed, next, fmt.Sprintf("seed %d, killed at %d", seed, failAt))
		}
	}
	if recoveries < 4000 {
		t.Fatalf("only %d recoveries", recoveries)
	}
}

func recoverAndCrashAgain(t *testing.T, m *memfs.FS, confirmed, next model, label string) {
	t.Helper()
	rng := rand.New(rand.NewPCG(uint64(len(label)), 5))
	m.FailAt = 1 + rng.IntN(25)
	s, got, err := open(m, testDir, testSegmentBytes)
	if err == nil {
		if err := checkRecovered(got, confirmed, next); err != nil {
			t.Fatalf("%s: %v", label, err)
		}
		confirmed = model{got, got.HardState.Commit}
		confirmed, next, err = runRandomOps(s, rng, confirmed, 10)
	}
	if err != nil && !errors.Is(err, memfs.ErrCrash) {
		t.Fatalf("%s: recovery: %v", label, err)
	}
	_, got, err = open(m.AfterPowerLoss(memfs.PowerLossOutcomes(rng)[rng.IntN(6)]), testDir, testSegmentBytes)
	if err == nil {
		err = checkRecovered(got, confirmed, next)
	}
	if err != nil {
		t.Fatalf("%s, second crash at %d: %v", label, m.FailAt, err)
	}
}

// One operation fails, for example on a full disk, and all later ones would succeed.
// The store must return that error and confirm nothing afterwards, because a failed
// sync loses the data that it should have made durable.
func TestFailedWriteStopsForGood(t *testing.T) {
	for failAt := 1; ; failAt++ {
		m := memfs.New()
		m.FailAt, m.Mode = failAt, memfs.FailOnce
		rng := rand.New(rand.NewPCG(3, 3))
		var confirmed, next model
		s, _, err := open(m, testDir, testSegmentBytes)
		if err == nil {
			confirmed, next, err = runRandomOps(s, rng, model{}, 40)
		}
		if m.Ops < failAt {
			return
		}
		if !errors.Is(err, memfs.ErrDisk) {
			t.Fatalf("failure at %d (%s): %v", failAt, m.Log[failAt-1], err)
		}
		_, got, err := open(m.AfterPowerLoss(func() float64 { return 0 }), testDir, testSegmentBytes)
		if err == nil {
			err = checkRecovered(got, confirmed, next)
		}
		if err != nil {
			t.Fatalf("failure at %d (%s): %v", failAt, m.Log[failAt-1], err)
		}
	}
}

// intactDir returns a directory with several segments, a snapshot and a newest segment
// of several frames, all durable.
func intactDir(t *testing.T) (*memfs.FS, model) {
	m := memfs.New()
	s, _, err := open(m, testDir, testSegmentBytes)
	if err != nil {
		t.Fatal(err)
	}
	confirmed, _, err := runRandomOps(s, rand.New(rand.NewPCG(16, 16)), model{}, 60)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.sync(); err != nil || len(s.segments) < 3 || s.snapshotIndex == 0 {
		t.Fatalf("%d segments, snapshot %d, %v", len(s.segments), s.snapshotIndex, err)
	}
	return m.AfterPowerLoss(func() float64 { return 1 }), confirmed
}

// One bit is flipped, in each byte of each file in turn. Open must either return
// ErrDamaged with the file's name or, if the damage is in the newest segment's last
// frame and so looks like a torn tail, open the directory without that frame.
func TestEveryByteIsGuarded(t *testing.T) {
	m, want := intactDir(t)
	cut := 0
	for name, n := range m.Visible {
		for at := range n.Visible {
			n.Visible[at] ^= 0x40
			copied := copyVisible(m)
			n.Visible[at] ^= 0x40
			_, got, err := open(copied, testDir, testSegmentBytes)
			var e *Error
			switch {
			case errors.As(err, &e) && errors.Is(err, ErrDamaged) && strings.HasPrefix(e.File, testDir):
			case err == nil && isNewestSegment(m, name) && at >= lastFrameOffset(m, name):
				cut++
			default:
				t.Fatalf("%s, byte %d: %v, got %+v, want %+v", name, at, err, got, want)
			}
		}
	}
	qt.Assert(t, cut > 0, qt.IsTrue)
}

func copyVisible(m *memfs.FS) *memfs.FS {
	out := memfs.New()
	for name, n := range m.Visible {
		out.Visible[name] = &memfs.Inode{Visible: slices.Clone(n.Visible), Durable: slices.Clone(n.Visible)}
		out.Durable[name] = out.Visible[name]
	}
	return out
}

func isNewestSegment(m *memfs.FS, name string) bool {
	for other := range m.Visible {
		if strings.HasSuffix(other, segmentSuffix) && other > name {
			return false
		}
	}
	return strings.HasSuffix(name, segmentSuffix)
}

func lastFrameOffset(m *memfs.FS, name string) int {
	seq, _ := parseName(filepath.Base(name), segmentPrefix, segmentSuffix)
	b, last := m.Visible[name].Visible, uint64(0)
	for at := uint64(0); at < uint64(len(b)); {
		f, _ := readFrame(b, seq, at)
		last, at = at, at+f.size
	}
	return int(last)
}

// A file of the directory is missing. Open must fail, because a member that started
// would have lost votes or entries.
func TestMissingFiles(t *testing.T) {
	m, _ := intactDir(t)
	for name := range m.Visible {
		if isNewestSegment(m, name) {
			continue // no other file records that it existed
		}
		t.Run(filepath.Base(name), func(t *testing.T) {
			copied := copyVisible(m)
			delete(copied.Visible, name)
			_, _, err := open(copied, testDir, testSegmentBytes)
			qt.Assert(t, errors.Is(err, ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// An older segment is truncated at each length in turn. Open must detect it, by an
// invalid frame or by the next header, which names the entry that it follows. Only the
// newest segment may end in a torn tail.
func TestShortenedSegments(t *testing.T) {
	m, _ := intactDir(t)
	for name, n := range m.Visible {
		if !strings.HasSuffix(name, segmentSuffix) || isNewestSegment(m, name) {
			continue
		}
		for size := range n.Visible {
			copied := copyVisible(m)
			copied.Visible[name].Visible = copied.Visible[name].Visible[:size]
			if _, _, err := open(copied, testDir, testSegmentBytes); !errors.Is(err, ErrDamaged) {
				t.Fatalf("%s cut to %d of %d: %v", name, size, len(n.Visible), err)
			}
		}
	}
}

// The whole log is missing, but the identity is not. The directory must not be opened
// as that of a member that has not voted.
func TestIdentityWithoutLog(t *testing.T) {
	m, _ := intactDir(t)
	for name := range m.Visible {
		if filepath.Base(name) != identityFileName {
			delete(m.Visible, name)
		}
	}
	_, _, err := open(m, testDir, testSegmentBytes)
	qt.Assert(t, errors.Is(err, ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
}

// The directory contains another member's snapshot. It conflicts with the log, whose
// commit index is higher; resetting the log to the snapshot would lose entries.
func TestForeignSnapshot(t *testing.T) {
	c := qt.New(t)
	m := memfs.New()
	s, _, err := open(m, testDir, testSegmentBytes)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Save(&consensus.HardState{Term: 1, Commit: 5}, benchEntries(1, 6), true), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	payload, _ := consensus.Encode(snapshotFile{Version: formatVersion, Snapshot: consensus.Snapshot{Index: 3, Term: 7}})
	name := filepath.Join(testDir, snapshotName(3))
	m.Visible[name] = &memfs.Inode{Visible: appendFrame(nil, 3, 0, 0, payload)}
	_, _, err = open(m, testDir, testSegmentBytes)
	c.Assert(errors.Is(err, ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
}

// A disk writes a frame at the wrong offset or into the wrong file. The frame must be
// rejected, because its checksum also covers the file and the offset.
func TestFrameIsOfItsPlace(t *testing.T) {
	c := qt.New(t)
	b := appendFrame(make([]byte, 8), 5, 8, 0, []byte("x"))
	for _, tc := range []struct {
		file, offset uint64
		b            []byte
		want         bool
	}{{5, 8, b, true}, {6, 8, b, false}, {5, 0, b[8:], false}} {
		_, ok := readFrame(tc.b, tc.file, tc.offset)
		c.Assert(ok, qt.Equals, tc.want, qt.Commentf("file %d, offset %d", tc.file, tc.offset))
	}
}

// A directory written by a newer program must be rejected with ErrVersion, not read as
// far as its content can be decoded.
func TestNewerFormatRefused(t *testing.T) {
	c := qt.New(t)
	m := memfs.New()
	s, _, err := open(m, testDir, testSegmentBytes)
	c.Assert(err, qt.IsNil)
	c.Assert(s.rotate(header{}), qt.IsNil)
	payload, _ := consensus.Encode(header{Version: formatVersion + 1, Seq: 2})
	m.Visible[filepath.Join(testDir, segmentName(2))].Visible = appendFrame(nil, 2, 0, 0, payload)
	c.Assert(s.Close(), qt.IsNil)
	_, _, err = open(m, testDir, testSegmentBytes)
	c.Assert(errors.Is(err, ErrVersion), qt.IsTrue)
}

// Two processes that use one directory would overwrite each other's log, so the second
// is rejected until the first releases the lock. The identity stays with the directory.
func TestFolderIsLocked(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(c.TempDir(), "data")
	s, _, err := Open(OS{}, dir)
	c.Assert(err, qt.IsNil)
	_, _, err = Open(OS{}, dir)
	c.Assert(errors.Is(err, ErrLocked), qt.IsTrue)
	hs := consensus.HardState{Term: 3, Vote: s.ID()}
	entries := []consensus.Entry{{Index: 1, Term: 3, Type: consensus.EntryCommand, Data: []byte("x")}}
	c.Assert(s.Save(&hs, entries, true), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	c.Assert(errors.Is(s.Save(&hs, nil, true), ErrStopped), qt.IsTrue)
	again, got, err := Open(OS{}, dir)
	c.Assert(err, qt.IsNil)
	c.Assert(again.ID(), qt.Equals, s.ID())
	c.Assert(got, qt.DeepEquals, consensus.Restored{HardState: hs, Entries: entries})
	c.Assert(again.Close(), qt.IsNil)
}

// Reading a segment with arbitrary frames must not panic or return a log with gaps,
// and every error must name the file.
func FuzzSegment(f *testing.F) {
	entries, _ := consensus.Encode(batch{Entries: []consensus.Entry{{Index: 1, Term: 1, Type: consensus.EntryCommand}}})
	hard, _ := consensus.Encode(batch{Hard: &consensus.HardState{Term: 2, Vote: 1}})
	head, _ := consensus.Encode(header{Version: formatVersion, Seq: 1})
	f.Add(head, entries, hard, []byte("torn"))
	f.Fuzz(func(t *testing.T, h, a, b, tail []byte) {
		file := appendFrame(nil, 1, 0, 0, h)
		file = appendFrame(file, 1, uint64(len(file)), 0, a)
		file = append(appendFrame(file, 1, uint64(len(file)), 0, b), tail...)
		r := &replay{}
		size, err := r.applySegment("log", file, 1, true)
		var e *Error
		if err != nil && (!errors.As(err, &e) || e.File != "log") {
			t.Fatalf("%v", err)
		}
		if err == nil && size > uint64(len(file)) {
			t.Fatalf("length %d of %d", size, len(file))
		}
		for i, e := range r.entries {
			if e.Index != r.baseIndex+1+uint64(i) {
				t.Fatalf("entry %d after base %d at place %d", e.Index, r.baseIndex, i)
			}
		}
	})
}

// A snapshot file with arbitrary content must either be read completely or be rejected
// with an Error.
func FuzzSnapshot(f *testing.F) {
	good, _ := consensus.Encode(snapshotFile{Version: formatVersion, Snapshot: consensus.Snapshot{Index: 7, Term: 2, Data: []byte("x")}})
	f.Add(good, true)
	f.Fuzz(func(t *testing.T, payload []byte, framed bool) {
		m := memfs.New()
		if framed {
			payload = appendFrame(nil, 7, 0, 0, payload)
		}
		m.Visible[filepath.Join(testDir, snapshotName(7))] = &memfs.Inode{Visible: payload}
		s := &Store{fs: m, dir: testDir}
		got, err := s.readSnapshot(dirContents{snapshots: []uint64{7}})
		var e *Error
		if err == nil && got.Index != 7 || err != nil && !errors.As(err, &e) {
			t.Fatalf("%+v, %v", got, err)
		}
	})
}
