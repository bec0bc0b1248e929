// Package durable stores the state of one control member in a data directory: its
// identity, the consensus log in checksummed segments, and snapshots. State that
// was reported as saved survives a crash. If stored data cannot be verified, Open
// returns an error.
//
// The directory holds
//
//	lock                    flock of the one process that uses the directory
//	identity                the member's random ID
//	log-<seq>.seg           segments, oldest first, without gaps in seq
//	snapshot-<index>.snap   the newest snapshot
//
// with seq and index in 16 hexadecimal digits. A directory that was lost or
// replaced gets a new identity, because a voter that has lost its vote must not
// vote a second time under its old ID.
package durable

import "io"

// FS is the set of file system operations that the store uses. Names are full
// paths. All calls come from one goroutine.
//
// Data written by File.Write survives a crash only after File.Sync. The changes
// that Create, Rename and Remove make to a directory survive a crash only after
// SyncDir of that directory.
type FS interface {
	// MkdirAll creates dir and any missing parents, and makes the entry of dir in
	// its parent durable.
	MkdirAll(dir string) error
	// Lock locks the file for this process until the returned Closer is closed. It
	// creates the file if needed, and returns ErrLocked instead of waiting.
	Lock(name string) (io.Closer, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// ReadFile returns the content of the file, or fs.ErrNotExist if there is none.
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names of the files in dir, without the path.
	ReadDir(dir string) ([]string, error)
	// Truncate cuts the file to size and syncs it.
	Truncate(name string, size int64) error
	// Rename atomically renames a file, replacing the file at the new name if there
	// is one.
	Rename(from, to string) error
	// Remove deletes the file.
	Remove(name string) error
	// SyncDir makes the entries of the directory durable.
	SyncDir(dir string) error
}

// File is a file open for sequential writing. It is an alias so that an implementation of FS
// need not import this package.
type File = interface {
	io.Writer
	Sync() error
	Close() error
}
