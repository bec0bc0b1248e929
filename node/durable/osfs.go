package durable

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// OS implements FS with the operating system's files.
type OS struct{}

// MkdirAll creates dir and any missing parents, and syncs the parent of dir so that
// the entry of dir survives a crash. It does not sync the entries of the parents
// themselves: they are expected to exist already, or not to have to survive.
func (o OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return o.SyncDir(filepath.Dir(dir))
}

// Lock takes an exclusive flock, which the kernel releases when the process ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%w: %w", ErrLocked, err)
	}
	return f, nil
}

// Create creates an empty file, or truncates an existing one.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens an existing file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

// ReadFile returns the content of the file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir returns the names of the files in dir.
func (OS) ReadDir(dir string) ([]string, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.Name()
	}
	return names, nil
}

// Truncate cuts the file to size and syncs it.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename renames a file, replacing the file at the new name if there is one.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes the file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs the directory itself, which makes its entries durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
