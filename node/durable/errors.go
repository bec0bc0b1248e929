package durable

import (
	"errors"
	"fmt"

	"almondseam.dev/core/api"
)

var (
	// ErrLocked reports that another process holds the lock of the data directory.
	ErrLocked = errors.New("data directory is in use by another process")
	// ErrDamaged reports that data which had been durable is missing or cannot be
	// read back as it was written. The member must not start, since it may have
	// lost a vote or an entry that it acknowledged. Replace it by a new member with
	// an empty data directory.
	ErrDamaged = errors.New("damaged")
	// ErrVersion reports a file whose format version this program does not know,
	// usually because a newer program wrote it.
	ErrVersion = errors.New("unknown format version")
	// ErrStopped reports that the store accepts no more writes, because an earlier
	// operation failed or the store was closed.
	ErrStopped = errors.New("stopped by an earlier failure")
	// ErrTooLarge reports an entry or a snapshot above the size limit of the format.
	ErrTooLarge = errors.New("too large to store")
)

// Error describes a failure to read or write the data directory: the step, the
// file and the offset in the file. Offset is -1 if the failure has no position in
// the file.
type Error struct {
	Step   api.Step
	File   string
	Offset int64
	Err    error
}

// Error returns "step file, offset n: cause", without the offset if it is negative.
func (e *Error) Error() string {
	if e.Offset < 0 {
		return fmt.Sprintf("%s %s: %v", e.Step, e.File, e.Err)
	}
	return fmt.Sprintf("%s %s, offset %d: %v", e.Step, e.File, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func persistError(file string, err error) error {
	return &Error{Step: api.StepPersist, File: file, Offset: -1, Err: err}
}

func recoverError(file string, offset int64, err error) error {
	return &Error{Step: api.StepRecover, File: file, Offset: offset, Err: err}
}

func damagedError(file string, offset int64, reason string) error {
	return recoverError(file, offset, fmt.Errorf("%w: %s", ErrDamaged, reason))
}
