package control

import (
	"time"

	"almondseam.dev/core/api"
)

// ClientObserver is notified of what a Client learns from members, and of dials and attempts that
// fail. Established links are reported to the observer in the link options. Its methods must not
// block.
type ClientObserver interface {
	// DialFailed is called for the first of several consecutive failures only,
	// because a client retries several times a second. It is called on one goroutine.
	DialFailed(addr string, err error)
	// SeedsChanged is called with the seeds that ReadSeeds returned, if they differ from the last ones.
	SeedsChanged(addrs []string)
	// AttemptLost is called when an attempt of a call got no reply after a time, so that its effect
	// is unknown. It may be called from several goroutines.
	AttemptLost(member, why string, after time.Duration)
	// LeaderStated is called with each statement of a member about the leader.
	LeaderStated(member string, m Leader)
	// ConfigReceived is called with each revision that a member sends. held is the revision that the
	// client held before; if it is not below revision, the message has no effect.
	ConfigReceived(member string, revision, held api.Revision)
}

type noClientObserver struct{}

func (noClientObserver) DialFailed(string, error) {}

func (noClientObserver) AttemptLost(string, string, time.Duration) {}

func (noClientObserver) SeedsChanged([]string) {}

func (noClientObserver) LeaderStated(string, Leader) {}

func (noClientObserver) ConfigReceived(string, api.Revision, api.Revision) {}
