// Package durable keeps one control member's state in one data folder: its
// identity, the agreement's log in checksummed segments, and snapshots. What it
// has confirmed survives a crash; what it can't read without doubt it refuses.
//
// The folder holds
//
//	lock                    flock of the one process that uses the folder
//	identity                the member's random ID
//	log-<seq>.seg           segments, oldest first, without gaps in seq
//	snapshot-<index>.snap   the newest snapshot
//
// with seq and index in 16 hexadecimal digits. A folder that was lost or
// replaced gets a new identity: a voter that forgot its vote must not vote again
// under its old name.
package durable

import "io"

// FS is what the store needs of a file system. Names are full paths. It is used
// from one goroutine.
//
// What File.Write has written survives a crash only after File.Sync; what
// Create, Rename and Remove did to a folder only after SyncDir of it.
type FS interface {
	// MkdirAll makes the folder and its parents, durably.
	MkdirAll(dir string) error
	// Lock takes the lock file for this process, without waiting, until Close.
	Lock(name string) (io.Closer, error)
	// Create makes an empty file, or empties the one that is there.
	Create(name string) (File, error)
	// Append opens a file to write on at its end.
	Append(name string) (File, error)
	// ReadFile gives the whole file; fs.ErrNotExist if there is none.
	ReadFile(name string) ([]byte, error)
	// ReadDir gives the names in the folder, without its path.
	ReadDir(dir string) ([]string, error)
	// Truncate cuts the file to size and makes that durable.
	Truncate(name string, size int64) error
	// Rename replaces to by from in one step.
	Rename(from, to string) error
	// Remove deletes the file.
	Remove(name string) error
	// SyncDir makes the folder's entries durable.
	SyncDir(dir string) error
}

// File is a file that is written from its start to its end.
type File interface {
	io.Writer
	Sync() error
	Close() error
}
