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
)

const (
	testDir      = "/data"
	tinySegments = 300
)

// model is what a folder must hold: the state after the last confirmed call, and
// the lowest commit index that a crash may bring back.
type model struct {
	consensus.Restored
	syncedCommit uint64
}

// op is one call on the store and what it does to the model.
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

// nextOp draws a call that a member could make in state m.
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
	if rng.IntN(4) == 0 { // a new leader overwrites what wasn't committed
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

// accept tells whether got is a state between confirmed and confirmed plus the
// call under way.
func accept(got consensus.Restored, confirmed, next model) error {
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

// drive makes n random calls, until one fails; it gives the state confirmed and
// the one under way. A store that failed must refuse everything from then on.
func drive(s *Store, rng *rand.Rand, m model, n int) (confirmed, next model, err error) {
	for range n {
		o := nextOp(rng, m)
		next = o.apply(m)
		if err = o.call(s); err != nil {
			if again := o.call(s); !errors.Is(again, ErrStopped) {
				return m, next, fmt.Errorf("a stopped store answered %w", again)
			}
			return m, next, err
		}
		m = next
	}
	return m, m, nil
}

// A member loses power at any point: before each write, sync, rename and
// removal, with any part of what wasn't synced on the disk, in any order. What
// it had confirmed must be there again, and nothing that was never saved. Then
// power fails once more, in the recovery or after it.
func TestCrashAtEveryPoint(t *testing.T) {
	recoveries := 0
	for seed := uint64(1); seed <= 6; seed++ {
		for failAt := 1; ; failAt++ {
			m := newMemFS()
			m.failAt = failAt
			rng := rand.New(rand.NewPCG(seed, 2))
			var confirmed, next model
			s, _, err := open(m, testDir, tinySegments)
			if err == nil {
				confirmed, next, err = drive(s, rng, model{}, 30)
			}
			if err == nil {
				break // the run has fewer operations
			}
			if !errors.Is(err, errCrash) {
				t.Fatalf("seed %d, crash at %d (%s): %v", seed, failAt, m.log[failAt-1], err)
			}
			for way, keep := range survivals(rand.New(rand.NewPCG(seed, uint64(failAt)))) {
				crashTwice(t, m.survive(keep), confirmed, next, fmt.Sprintf("seed %d, crash at %d (%s), way %d", seed, failAt, m.log[failAt-1], way))
				recoveries++
			}
			crashTwice(t, m.killed(), confirmed, next, fmt.Sprintf("seed %d, killed at %d", seed, failAt))
		}
	}
	if recoveries < 4000 {
		t.Fatalf("only %d recoveries", recoveries)
	}
}

func crashTwice(t *testing.T, m *memFS, confirmed, next model, what string) {
	t.Helper()
	rng := rand.New(rand.NewPCG(uint64(len(what)), 5))
	m.failAt = 1 + rng.IntN(25)
	s, got, err := open(m, testDir, tinySegments)
	if err == nil {
		if err := accept(got, confirmed, next); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		confirmed = model{got, got.HardState.Commit}
		confirmed, next, err = drive(s, rng, confirmed, 10)
	}
	if err != nil && !errors.Is(err, errCrash) {
		t.Fatalf("%s: recovery: %v", what, err)
	}
	_, got, err = open(m.survive(survivals(rng)[rng.IntN(6)]), testDir, tinySegments)
	if err == nil {
		err = accept(got, confirmed, next)
	}
	if err != nil {
		t.Fatalf("%s, second crash at %d: %v", what, m.failAt, err)
	}
}

// The disk is full, or a sync fails, at any one operation; everything after
// would succeed. The member must stop with that error and never confirm
// anything again: the failed sync has lost what it was to keep.
func TestFailedWriteStopsForGood(t *testing.T) {
	for failAt := 1; ; failAt++ {
		m := newMemFS()
		m.failAt, m.how = failAt, failOnce
		rng := rand.New(rand.NewPCG(3, 3))
		var confirmed, next model
		s, _, err := open(m, testDir, tinySegments)
		if err == nil {
			confirmed, next, err = drive(s, rng, model{}, 40)
		}
		if m.ops < failAt {
			return
		}
		if !errors.Is(err, errDisk) {
			t.Fatalf("failure at %d (%s): %v", failAt, m.log[failAt-1], err)
		}
		_, got, err := open(m.survive(func() float64 { return 0 }), testDir, tinySegments)
		if err == nil {
			err = accept(got, confirmed, next)
		}
		if err != nil {
			t.Fatalf("failure at %d (%s): %v", failAt, m.log[failAt-1], err)
		}
	}
}

// sound gives a folder with several segments, a snapshot and a newest segment
// of several frames, all durable.
func sound(t *testing.T) (*memFS, model) {
	m := newMemFS()
	s, _, err := open(m, testDir, tinySegments)
	if err != nil {
		t.Fatal(err)
	}
	confirmed, _, err := drive(s, rand.New(rand.NewPCG(16, 16)), model{}, 60)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.sync(); err != nil || len(s.segments) < 3 || s.snapshotIndex == 0 {
		t.Fatalf("%d segments, snapshot %d, %v", len(s.segments), s.snapshotIndex, err)
	}
	return m.survive(func() float64 { return 1 }), confirmed
}

// One byte of the folder is damaged, anywhere. The member either refuses to
// start and names the file, or, where the damage can't be told from a torn
// tail (the last frame of all), starts without that frame.
func TestEveryByteIsGuarded(t *testing.T) {
	m, want := sound(t)
	cut := 0
	for name, n := range m.seen {
		for at := range n.seen {
			n.seen[at] ^= 0x40
			copied := m.copySeen()
			n.seen[at] ^= 0x40
			_, got, err := open(copied, testDir, tinySegments)
			var e *Error
			switch {
			case errors.As(err, &e) && errors.Is(err, ErrDamaged) && strings.HasPrefix(e.File, testDir):
			case err == nil && isNewest(m, name) && at >= lastFrame(m, name):
				cut++
			default:
				t.Fatalf("%s, byte %d: %v, got %+v, want %+v", name, at, err, got, want)
			}
		}
	}
	qt.Assert(t, cut > 0, qt.IsTrue)
}

func (m *memFS) copySeen() *memFS {
	out := newMemFS()
	for name, n := range m.seen {
		out.seen[name] = &inode{seen: slices.Clone(n.seen), durable: slices.Clone(n.seen)}
		out.durable[name] = out.seen[name]
	}
	return out
}

func isNewest(m *memFS, name string) bool {
	for other := range m.seen {
		if strings.HasSuffix(other, segmentSuffix) && other > name {
			return false
		}
	}
	return strings.HasSuffix(name, segmentSuffix)
}

func lastFrame(m *memFS, name string) int {
	seq, _ := parseName(filepath.Base(name), segmentPrefix, segmentSuffix)
	b, last := m.seen[name].seen, uint64(0)
	for at := uint64(0); at < uint64(len(b)); {
		f, _ := readFrame(b, seq, at)
		last, at = at, at+f.size
	}
	return int(last)
}

// A file of the folder is gone. A member that went on would have forgotten votes
// or entries; it refuses.
func TestMissingFiles(t *testing.T) {
	m, _ := sound(t)
	for name := range m.seen {
		if isNewest(m, name) {
			continue // nothing else in the folder tells of it; see the design note
		}
		t.Run(filepath.Base(name), func(t *testing.T) {
			copied := m.copySeen()
			delete(copied.seen, name)
			_, _, err := open(copied, testDir, tinySegments)
			qt.Assert(t, errors.Is(err, ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Segments are cut short. An older one must show it by what the next one says
// of its end; the newest may be read up to its last whole frame.
func TestShortenedSegments(t *testing.T) {
	m, _ := sound(t)
	for name, n := range m.seen {
		if !strings.HasSuffix(name, segmentSuffix) || isNewest(m, name) {
			continue
		}
		for size := range n.seen {
			copied := m.copySeen()
			copied.seen[name].seen = copied.seen[name].seen[:size]
			if _, _, err := open(copied, testDir, tinySegments); !errors.Is(err, ErrDamaged) {
				t.Fatalf("%s cut to %d of %d: %v", name, size, len(n.seen), err)
			}
		}
	}
}

// The whole log is gone and the identity is still there: the folder must not
// come back as a member that has voted for nobody.
func TestIdentityWithoutLog(t *testing.T) {
	m, _ := sound(t)
	for name := range m.seen {
		if filepath.Base(name) != identityFileName {
			delete(m.seen, name)
		}
	}
	_, _, err := open(m, testDir, tinySegments)
	qt.Assert(t, errors.Is(err, ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
}

// Somebody put another member's snapshot into the folder. It doesn't agree with
// the log, which has committed more; dropping the log would lose entries.
func TestForeignSnapshot(t *testing.T) {
	c := qt.New(t)
	m := newMemFS()
	s, _, err := open(m, testDir, tinySegments)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Save(&consensus.HardState{Term: 1, Commit: 5}, benchEntries(1, 6), true), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	payload, _ := consensus.Encode(snapshotFile{Version: formatVersion, Snapshot: consensus.Snapshot{Index: 3, Term: 7}})
	name := filepath.Join(testDir, snapshotName(3))
	m.seen[name] = &inode{seen: appendFrame(nil, 3, 0, 0, payload)}
	_, _, err = open(m, testDir, tinySegments)
	c.Assert(errors.Is(err, ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
}

// A disk that puts a frame at the wrong place, or into the wrong file, leaves
// bytes whose checksum would be right were the place no part of it.
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

// A folder of a newer program is refused by name of its version, not read as
// far as it seems to fit.
func TestNewerFormatRefused(t *testing.T) {
	c := qt.New(t)
	m := newMemFS()
	s, _, err := open(m, testDir, tinySegments)
	c.Assert(err, qt.IsNil)
	c.Assert(s.rotate(header{}), qt.IsNil)
	payload, _ := consensus.Encode(header{Version: formatVersion + 1, Seq: 2})
	m.seen[filepath.Join(testDir, segmentName(2))].seen = appendFrame(nil, 2, 0, 0, payload)
	c.Assert(s.Close(), qt.IsNil)
	_, _, err = open(m, testDir, tinySegments)
	c.Assert(errors.Is(err, ErrVersion), qt.IsTrue)
}

// Two processes on one folder would overwrite each other's log; the second is
// refused until the first lets go. The identity stays with the folder.
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

// Whatever a segment's frames hold, reading them neither panics nor gives a log
// with gaps, and every refusal names the file.
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

// Whatever a snapshot file holds, it is read whole or refused by name.
func FuzzSnapshot(f *testing.F) {
	good, _ := consensus.Encode(snapshotFile{Version: formatVersion, Snapshot: consensus.Snapshot{Index: 7, Term: 2, Data: []byte("x")}})
	f.Add(good, true)
	f.Fuzz(func(t *testing.T, payload []byte, framed bool) {
		m := newMemFS()
		if framed {
			payload = appendFrame(nil, 7, 0, 0, payload)
		}
		m.seen[filepath.Join(testDir, snapshotName(7))] = &inode{seen: payload}
		s := &Store{fs: m, dir: testDir}
		got, err := s.readSnapshot(dirContents{snapshots: []uint64{7}})
		var e *Error
		if err == nil && got.Index != 7 || err != nil && !errors.As(err, &e) {
			t.Fatalf("%+v, %v", got, err)
		}
	})
}
