package consensus

import (
	"errors"
	"strconv"
)

// Errors of this package. A call that returns one has changed no state; in
// particular, a rejected proposal is not in the log.
var (
	ErrBusy             = errors.New("too much is waiting to be committed")
	ErrTooLarge         = errors.New("command is larger than a log entry may be")
	ErrNotReady         = errors.New("leader has not yet committed an entry of its term")
	ErrChangePending    = errors.New("another membership change is not yet committed")
	ErrMemberExists     = errors.New("member is already in the group")
	ErrUnknownMember    = errors.New("member is not in the group")
	ErrNotLearner       = errors.New("member is not a learner")
	ErrNotCaughtUp      = errors.New("learner has not caught up with the log")
	ErrWouldLoseQuorum  = errors.New("change would leave the group without a reachable majority")
	ErrTransferring     = errors.New("leadership is being handed over")
	ErrWrongMember      = errors.New("message is addressed to another member")
	ErrMalformed        = errors.New("malformed message")
	ErrCompacted        = errors.New("index is already compacted")
	ErrNotApplied       = errors.New("index is not applied yet")
	ErrBadConfig        = errors.New("bad consensus configuration")
	ErrInvalidRestored  = errors.New("restored state contradicts itself")
	ErrInvalidBootstrap = errors.New("bootstrap needs at least one voter and no member twice")
)

// NotLeaderError rejects an operation that only the leader can perform. Leader
// is the member to ask instead, zero if unknown.
type NotLeaderError struct {
	Leader MemberID
	Addr   string
}

// Error returns a message that names the leader if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader; leader unknown"
	}
	return "not the leader; leader is " + strconv.FormatUint(uint64(e.Leader), 16) + " at " + e.Addr
}
