package control

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"almondseam.dev/node/durable"
	"almondseam.dev/node/durable/memfs"
)

// simDisk is the disk of one process of a machine. It takes time for each sync, and nothing reaches
// it once the process is dead.
type simDisk struct {
	mu   sync.Mutex
	fs   *memfs.FS
	rng  *rand.Rand
	dead bool
	// maxSync is the longest time that a sync takes, beside the time until stalledUntil.
	maxSync      time.Duration
	stalledUntil time.Time
}

func newSimDisk(fs *memfs.FS, seed uint64) *simDisk {
	return &simDisk{fs: fs, rng: rand.New(rand.NewPCG(seed, 5)), maxSync: 2 * time.Millisecond}
}

// die ends the process's use of the disk.
func (d *simDisk) die() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
}

func (d *simDisk) slow(maxSync time.Duration, stall time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxSync, d.stalledUntil = maxSync, time.Now().Add(stall)
}

// syncTime returns how long a sync that begins now takes.
func (d *simDisk) syncTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, time.Until(d.stalledUntil)) + time.Duration(d.rng.Int64N(int64(d.maxSync)))
}

// do runs an operation unless the process is dead.
func (d *simDisk) do(operation func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return memfs.ErrCrash
	}
	return operation()
}

func (d *simDisk) MkdirAll(dir string) error { return d.fs.MkdirAll(dir) }

func (d *simDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (d *simDisk) Create(name string) (durable.File, error) {
	return d.open(func() (memfs.File, error) { return d.fs.Create(name) })
}

func (d *simDisk) Append(name string) (durable.File, error) {
	return d.open(func() (memfs.File, error) { return d.fs.Append(name) })
}

func (d *simDisk) open(f func() (memfs.File, error)) (file durable.File, err error) {
	err = d.do(func() error {
		file, err = f()
		return err
	})
	return &simFile{d, file}, err
}

func (d *simDisk) ReadFile(name string) (b []byte, err error) {
	err = d.do(func() error {
		b, err = d.fs.ReadFile(name)
		return err
	})
	return b, err
}

func (d *simDisk) ReadDir(dir string) (names []string, err error) {
	err = d.do(func() error {
		names, err = d.fs.ReadDir(dir)
		return err
	})
	return names, err
}

func (d *simDisk) Truncate(name string, size int64) error {
	return d.do(func() error { return d.fs.Truncate(name, size) })
}

func (d *simDisk) Rename(from, to string) error {
	return d.do(func() error { return d.fs.Rename(from, to) })
}

func (d *simDisk) Remove(name string) error {
	return d.do(func() error { return d.fs.Remove(name) })
}

func (d *simDisk) SyncDir(dir string) error {
	time.Sleep(d.syncTime())
	return d.do(func() error { return d.fs.SyncDir(dir) })
}

type simFile struct {
	d *simDisk
	f durable.File
}

func (f *simFile) Write(b []byte) (n int, err error) {
	err = f.d.do(func() error {
		n, err = f.f.Write(b)
		return err
	})
	return n, err
}

func (f *simFile) Sync() error {
	time.Sleep(f.d.syncTime())
	return f.d.do(f.f.Sync)
}

func (f *simFile) Close() error { return nil }
