// Package memfs is a file system in memory for tests. It fails at a chosen operation and loses
// unsynced data in a simulated power loss. It implements durable.FS.
package memfs

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

// The errors of operations that fail.
var (
	ErrCrash  = errors.New("process is gone")
	ErrDisk   = errors.New("no space left on device")
	ErrLocked = errors.New("directory is in use")
)

// File is durable.File.
type File = interface {
	io.Writer
	Sync() error
	Close() error
}

// Inode is one file: the content that a reader sees, the durable content, and the writes
// that are not durable yet.
type Inode struct {
	Visible []byte
	Durable []byte
	pending []write
}

type write struct {
	at int
	b  []byte
}

// dirOp is a change of the directory that is not durable yet.
type dirOp struct {
	name, removed string // name is set to node, removed is deleted; either may be empty
	node          *Inode
}

func (op dirOp) do(dir map[string]*Inode) {
	if op.removed != "" {
		delete(dir, op.removed)
	}
	if op.name != "" {
		dir[op.name] = op.node
	}
}

// FailureMode is the kind of failure at a chosen operation that changes the disk.
type FailureMode int

// The kinds of failure.
const (
	FailCrash FailureMode = iota // the process ends before the operation; a write is half done
	FailOnce                     // only this operation fails; a failed sync loses the unsynced data
)

// FS is a file system in memory that fails at a chosen operation. A power loss
// keeps what was synced and any part of the rest.
type FS struct {
	Visible map[string]*Inode
	Durable map[string]*Inode
	pending []dirOp
	// Ops counts the operations that change the disk, and Log lists them.
	Ops int
	Log []string
	// FailAt is the number of the operation at which the disk fails, 0 for never.
	FailAt int
	Mode   FailureMode
	locked bool
}

// New returns an empty file system.
func New() *FS {
	return &FS{Visible: map[string]*Inode{}, Durable: map[string]*Inode{}}
}

// countOperation counts and logs an operation and returns an error if it is to fail.
func (m *FS) countOperation(operation string) error {
	m.Ops++
	m.Log = append(m.Log, operation)
	switch {
	case m.FailAt == 0 || m.Ops < m.FailAt || m.Mode == FailOnce && m.Ops > m.FailAt:
		return nil
	case m.Mode == FailOnce:
		return ErrDisk
	}
	return ErrCrash
}

// AfterPowerLoss returns the file system as it is after a power loss. For each
// unsynced write, keep returns the fraction of its length, from 0 to 1, that reached
// the disk. An unsynced change of the directory is kept if keep returns at least 0.5.
func (m *FS) AfterPowerLoss(keep func() float64) *FS {
	out := New()
	dir := map[string]*Inode{}
	for name, n := range m.Durable {
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
		b := slices.Clone(dir[name].Durable)
		for _, w := range dir[name].pending {
			if part := w.b[:int(float64(len(w.b))*keep())]; len(part) > 0 {
				if grow := w.at + len(part) - len(b); grow > 0 {
					b = append(b, make([]byte, grow)...)
				}
				copy(b[w.at:], part)
			}
		}
		n := &Inode{Visible: b, Durable: slices.Clone(b)}
		out.Visible[name], out.Durable[name] = n, n
	}
	return out
}

// AfterKill returns the same file system as it is after only the process died: all
// written data can be read, but unsynced data is still only in memory.
func (m *FS) AfterKill() *FS {
	m.FailAt, m.Ops, m.locked, m.Log = 0, 0, false, nil
	return m
}

// PowerLossOutcomes returns keep functions for AfterPowerLoss: one that keeps no
// unsynced data, one that keeps all of it, and four that keep random parts.
func PowerLossOutcomes(rng *rand.Rand) []func() float64 {
	all := []func() float64{func() float64 { return 0 }, func() float64 { return 1 }}
	for range 4 {
		all = append(all, func() float64 { return []float64{0, 1, rng.Float64()}[rng.IntN(3)] })
	}
	return all
}

// MkdirAll implements durable.FS.
func (m *FS) MkdirAll(string) error { return nil }

// Lock implements durable.FS.
func (m *FS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return unlock{m}, nil
}

type unlock struct{ m *FS }

func (u unlock) Close() error { u.m.locked = false; return nil }

// Create implements durable.FS.
func (m *FS) Create(name string) (File, error) {
	if err := m.countOperation("create " + filepath.Base(name)); err != nil {
		return nil, err
	}
	n := &Inode{}
	m.Visible[name] = n
	m.pending = append(m.pending, dirOp{name: name, node: n})
	return &file{m, n, name}, nil
}

// Append implements durable.FS.
func (m *FS) Append(name string) (File, error) {
	if m.Visible[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &file{m, m.Visible[name], name}, nil
}

// ReadFile implements durable.FS.
func (m *FS) ReadFile(name string) ([]byte, error) {
	if n := m.Visible[name]; n != nil {
		return slices.Clone(n.Visible), nil
	}
	return nil, fs.ErrNotExist
}

// ReadDir implements durable.FS.
func (m *FS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range m.Visible {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

// Truncate implements durable.FS.
func (m *FS) Truncate(name string, size int64) error {
	if err := m.countOperation("truncate " + filepath.Base(name)); err != nil {
		return err
	}
	n := m.Visible[name]
	n.Visible = n.Visible[:size]
	n.Durable, n.pending = slices.Clone(n.Visible), nil
	return nil
}

// Rename implements durable.FS.
func (m *FS) Rename(from, to string) error {
	if err := m.countOperation("rename " + filepath.Base(to)); err != nil {
		return err
	}
	op := dirOp{name: to, removed: from, node: m.Visible[from]}
	op.do(m.Visible)
	m.pending = append(m.pending, op)
	return nil
}

// Remove implements durable.FS.
func (m *FS) Remove(name string) error {
	if err := m.countOperation("remove " + filepath.Base(name)); err != nil {
		return err
	}
	if m.Visible[name] == nil {
		return fs.ErrNotExist
	}
	op := dirOp{removed: name}
	op.do(m.Visible)
	m.pending = append(m.pending, op)
	return nil
}

// SyncDir implements durable.FS.
func (m *FS) SyncDir(string) error {
	err := m.countOperation("sync folder")
	if err == nil {
		for _, op := range m.pending {
			op.do(m.Durable)
		}
	}
	if err != ErrCrash {
		m.pending = nil
	}
	return err
}

type file struct {
	m    *FS
	n    *Inode
	name string
}

func (f *file) Write(b []byte) (int, error) {
	err := f.m.countOperation("write " + filepath.Base(f.name))
	if err != nil {
		b = b[:len(b)/2]
	}
	f.n.pending = append(f.n.pending, write{len(f.n.Visible), slices.Clone(b)})
	f.n.Visible = append(f.n.Visible, b...)
	return len(b), err
}

// Sync makes the content durable. If it fails, it marks the data as clean although it
// is not on disk, as kernels do: a later Sync succeeds without writing it.
func (f *file) Sync() error {
	err := f.m.countOperation("sync " + filepath.Base(f.name))
	if err == nil {
		f.n.Durable = slices.Clone(f.n.Visible)
	}
	if err != ErrCrash {
		f.n.pending = nil
	}
	return err
}

func (f *file) Close() error { return nil }
