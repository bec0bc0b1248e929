package durable

import (
	"errors"
	"fmt"

	"almondseam.dev/core/api"
)

var (
	// ErrLocked: another process uses the folder.
	ErrLocked = errors.New("data folder is in use by another process")
	// ErrDamaged: bytes that were once durable can't be read as written. The
	// member must not start: it may have forgotten a vote or an entry that it
	// acknowledged. Replace it by a member with a new, empty folder.
	ErrDamaged = errors.New("damaged")
	// ErrVersion: the folder was written by a newer format.
	ErrVersion = errors.New("unknown format version")
	// ErrStopped: an earlier write or sync failed, and the store takes no more.
	ErrStopped = errors.New("stopped by an earlier failure")
	// ErrTooLarge: an entry or a snapshot is beyond what the format holds.
	ErrTooLarge = errors.New("too large to store")
)

// Error is a failure of the data folder: at which step, in which file, and from
// which byte on. Offset is -1 where it means nothing.
type Error struct {
	Step   api.Step
	File   string
	Offset int64
	Err    error
}

// Error gives "step file, offset n: cause".
func (e *Error) Error() string {
	if e.Offset < 0 {
		return fmt.Sprintf("%s %s: %v", e.Step, e.File, e.Err)
	}
	return fmt.Sprintf("%s %s, offset %d: %v", e.Step, e.File, e.Offset, e.Err)
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

func persistError(file string, err error) error {
	return &Error{Step: api.StepPersist, File: file, Offset: -1, Err: err}
}

func recoverError(file string, offset int64, err error) error {
	return &Error{Step: api.StepRecover, File: file, Offset: offset, Err: err}
}

func damaged(file string, offset int64, why string) error {
	return recoverError(file, offset, fmt.Errorf("%w: %s", ErrDamaged, why))
}
