package durable

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

var (
	errCrash = errors.New("process is gone")
	errDisk  = errors.New("no space left on device")
)

// inode is one file: what a reader sees, what is durable, and the writes between.
type inode struct {
	seen    []byte
	durable []byte
	pending []write
}

type write struct {
	at int
	b  []byte
}

// dirOp is a change of the folder that isn't durable yet.
type dirOp struct {
	name, gone string // name gets node, gone disappears; either may be empty
	node       *inode
}

func (op dirOp) do(dir map[string]*inode) {
	if op.gone != "" {
		delete(dir, op.gone)
	}
	if op.name != "" {
		dir[op.name] = op.node
	}
}

// failure says what happens at one operation that changes the disk.
type failure int

const (
	failCrash failure = iota // the process ends before it, a write half done
	failOnce                 // an error; a failed sync loses what it should have kept
)

// memFS is a file system in memory that fails at a chosen operation, and of
// which a crash keeps only what was synced, plus any part of the rest.
type memFS struct {
	seen    map[string]*inode
	durable map[string]*inode
	pending []dirOp
	ops     int
	failAt  int // 0 for never
	how     failure
	log     []string
	locked  bool
}

func newMemFS() *memFS {
	return &memFS{seen: map[string]*inode{}, durable: map[string]*inode{}}
}

// step counts an operation and tells whether it fails.
func (m *memFS) step(what string) error {
	m.ops++
	m.log = append(m.log, what)
	switch {
	case m.failAt == 0 || m.ops < m.failAt || m.how == failOnce && m.ops > m.failAt:
		return nil
	case m.how == failOnce:
		return errDisk
	}
	return errCrash
}

// survive gives the file system as a restart finds it. Keep chooses, for each
// write and each change of the folder that wasn't synced, how much of it the
// disk had taken: of a write, from 0 to 1 of its length.
func (m *memFS) survive(keep func() float64) *memFS {
	out := newMemFS()
	dir := map[string]*inode{}
	for name, n := range m.durable {
		dir[name] = n
	}
	for _, op := range m.pending {
		if keep() >= 0.5 {
			op.do(dir)
		}
	}
	names := make([]string, 0, len(dir))
	for name := range dir {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b := slices.Clone(dir[name].durable)
		for _, w := range dir[name].pending {
			if part := w.b[:int(float64(len(w.b))*keep())]; len(part) > 0 {
				if grow := w.at + len(part) - len(b); grow > 0 {
					b = append(b, make([]byte, grow)...)
				}
				copy(b[w.at:], part)
			}
		}
		n := &inode{seen: b, durable: slices.Clone(b)}
		out.seen[name], out.durable[name] = n, n
	}
	return out
}

// killed gives the file system as a restart finds it when only the process has
// died: all that was written can be read, but what wasn't synced is still only
// in memory.
func (m *memFS) killed() *memFS {
	m.failAt, m.ops, m.locked, m.log = 0, 0, false, nil
	return m
}

// survivals are ways in which a crash may treat what wasn't synced.
func survivals(rng *rand.Rand) []func() float64 {
	all := []func() float64{func() float64 { return 0 }, func() float64 { return 1 }}
	for range 4 {
		all = append(all, func() float64 { return []float64{0, 1, rng.Float64()}[rng.IntN(3)] })
	}
	return all
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return unlock{m}, nil
}

type unlock struct{ m *memFS }

func (u unlock) Close() error { u.m.locked = false; return nil }

func (m *memFS) Create(name string) (File, error) {
	if err := m.step("create " + filepath.Base(name)); err != nil {
		return nil, err
	}
	n := &inode{}
	m.seen[name] = n
	m.pending = append(m.pending, dirOp{name: name, node: n})
	return &memFile{m, n, name}, nil
}

func (m *memFS) Append(name string) (File, error) {
	if m.seen[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &memFile{m, m.seen[name], name}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if n := m.seen[name]; n != nil {
		return slices.Clone(n.seen), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range m.seen {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Truncate(name string, size int64) error {
	if err := m.step("truncate " + filepath.Base(name)); err != nil {
		return err
	}
	n := m.seen[name]
	n.seen = n.seen[:size]
	n.durable, n.pending = slices.Clone(n.seen), nil
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step("rename " + filepath.Base(to)); err != nil {
		return err
	}
	op := dirOp{name: to, gone: from, node: m.seen[from]}
	op.do(m.seen)
	m.pending = append(m.pending, op)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.step("remove " + filepath.Base(name)); err != nil {
		return err
	}
	if m.seen[name] == nil {
		return fs.ErrNotExist
	}
	op := dirOp{gone: name}
	op.do(m.seen)
	m.pending = append(m.pending, op)
	return nil
}

func (m *memFS) SyncDir(string) error {
	err := m.step("sync folder")
	if err == nil {
		for _, op := range m.pending {
			op.do(m.durable)
		}
	}
	if err != errCrash {
		m.pending = nil
	}
	return err
}

type memFile struct {
	m    *memFS
	n    *inode
	name string
}

func (f *memFile) Write(b []byte) (int, error) {
	err := f.m.step("write " + filepath.Base(f.name))
	if err != nil {
		b = b[:len(b)/2]
	}
	f.n.pending = append(f.n.pending, write{len(f.n.seen), slices.Clone(b)})
	f.n.seen = append(f.n.seen, b...)
	return len(b), err
}

// Sync that fails leaves the pages clean but not on the disk, as kernels do: a
// later Sync would succeed and still not have them.
func (f *memFile) Sync() error {
	err := f.m.step("sync " + filepath.Base(f.name))
	if err == nil {
		f.n.durable = slices.Clone(f.n.seen)
	}
	if err != errCrash {
		f.n.pending = nil
	}
	return err
}

func (f *memFile) Close() error { return nil }
