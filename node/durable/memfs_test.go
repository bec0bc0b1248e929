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

// inode is one file: the content a reader sees, the durable content, and the writes
// that are not durable yet.
type inode struct {
	visible []byte
	durable []byte
	pending []write
}

type write struct {
	at int
	b  []byte
}

// dirOp is a change of the directory that is not durable yet.
type dirOp struct {
	name, removed string // name is set to node, removed is deleted; either may be empty
	node          *inode
}

func (op dirOp) do(dir map[string]*inode) {
	if op.removed != "" {
		delete(dir, op.removed)
	}
	if op.name != "" {
		dir[op.name] = op.node
	}
}

// failureMode is the kind of failure at a chosen operation that changes the disk.
type failureMode int

const (
	failCrash failureMode = iota // the process ends before the operation; a write is half done
	failOnce                     // only this operation fails; a failed sync loses the unsynced data
)

// memFS is a file system in memory that fails at a chosen operation. A power loss
// keeps what was synced and any part of the rest.
type memFS struct {
	visible map[string]*inode
	durable map[string]*inode
	pending []dirOp
	ops     int
	failAt  int // 0 for never
	mode    failureMode
	log     []string
	locked  bool
}

func newMemFS() *memFS {
	return &memFS{visible: map[string]*inode{}, durable: map[string]*inode{}}
}

// countOperation counts and logs an operation and returns an error if it is to fail.
func (m *memFS) countOperation(operation string) error {
	m.ops++
	m.log = append(m.log, operation)
	switch {
	case m.failAt == 0 || m.ops < m.failAt || m.mode == failOnce && m.ops > m.failAt:
		return nil
	case m.mode == failOnce:
		return errDisk
	}
	return errCrash
}

// afterPowerLoss returns the file system as it is after a power loss. For each
// unsynced write, keep returns the fraction of its length, from 0 to 1, that reached
// the disk. An unsynced change of the directory is kept if keep returns at least 0.5.
func (m *memFS) afterPowerLoss(keep func() float64) *memFS {
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
		n := &inode{visible: b, durable: slices.Clone(b)}
		out.visible[name], out.durable[name] = n, n
	}
	return out
}

// afterKill returns the same file system as it is after only the process died: all
// written data can be read, but unsynced data is still only in memory.
func (m *memFS) afterKill() *memFS {
	m.failAt, m.ops, m.locked, m.log = 0, 0, false, nil
	return m
}

// powerLossOutcomes returns keep functions for afterPowerLoss: one that keeps no
// unsynced data, one that keeps all of it, and four that keep random parts.
func powerLossOutcomes(rng *rand.Rand) []func() float64 {
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
	if err := m.countOperation("create " + filepath.Base(name)); err != nil {
		return nil, err
	}
	n := &inode{}
	m.visible[name] = n
	m.pending = append(m.pending, dirOp{name: name, node: n})
	return &memFile{m, n, name}, nil
}

func (m *memFS) Append(name string) (File, error) {
	if m.visible[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &memFile{m, m.visible[name], name}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if n := m.visible[name]; n != nil {
		return slices.Clone(n.visible), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range m.visible {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Truncate(name string, size int64) error {
	if err := m.countOperation("truncate " + filepath.Base(name)); err != nil {
		return err
	}
	n := m.visible[name]
	n.visible = n.visible[:size]
	n.durable, n.pending = slices.Clone(n.visible), nil
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOperation("rename " + filepath.Base(to)); err != nil {
		return err
	}
	op := dirOp{name: to, removed: from, node: m.visible[from]}
	op.do(m.visible)
	m.pending = append(m.pending, op)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countOperation("remove " + filepath.Base(name)); err != nil {
		return err
	}
	if m.visible[name] == nil {
		return fs.ErrNotExist
	}
	op := dirOp{removed: name}
	op.do(m.visible)
	m.pending = append(m.pending, op)
	return nil
}

func (m *memFS) SyncDir(string) error {
	err := m.countOperation("sync folder")
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
	err := f.m.countOperation("write " + filepath.Base(f.name))
	if err != nil {
		b = b[:len(b)/2]
	}
	f.n.pending = append(f.n.pending, write{len(f.n.visible), slices.Clone(b)})
	f.n.visible = append(f.n.visible, b...)
	return len(b), err
}

// Sync makes the content durable. If it fails, it marks the data as clean although it
// is not on disk, as kernels do: a later Sync succeeds without writing it.
func (f *memFile) Sync() error {
	err := f.m.countOperation("sync " + filepath.Base(f.name))
	if err == nil {
		f.n.durable = slices.Clone(f.n.visible)
	}
	if err != errCrash {
		f.n.pending = nil
	}
	return err
}

func (f *memFile) Close() error { return nil }
