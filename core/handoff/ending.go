package handoff

// Stop is what is known of the calls that stop a run at its engine. Where several calls were made, the
// greatest value holds.
type Stop uint8

const (
	// StopNone: no call has reached the engine.
	StopNone Stop = iota
	// StopNoRun: the engine had no such run, so the run had ended before.
	StopNoRun
	// StopUnknown: the answer was lost, and the engine may have stopped the run.
	StopUnknown
	// StopSent: the call has not been answered yet.
	StopSent
	// StopDone: the engine has stopped the run.
	StopDone
)

// String returns the name of the state, for logs.
func (s Stop) String() string {
	return [...]string{"none", "no_run", "unknown", "sent", "done"}[s]
}

// Process is what is known of a target's process after the end of a connection to it.
type Process uint8

const (
	// ProcessUnchecked: it was not looked up.
	ProcessUnchecked Process = iota
	// ProcessUnknown: the target could not be reached, or has not answered in time.
	ProcessUnknown
	// ProcessEnded: it has ended.
	ProcessEnded
	// ProcessRuns: it still ran after the end of the connection.
	ProcessRuns
)

// String returns the name of the state, for logs.
func (p Process) String() string {
	return [...]string{"unchecked", "unknown", "ended", "runs"}[p]
}

// ConnectionEnd describes the end, without a reset, of a connection whose response has neither a length
// nor chunks. The target closes it at the end of the response, but also if the run is stopped, and the
// system closes it if the target's process ends.
type ConnectionEnd struct {
	Stop    Stop
	Process Process
}

// MayBeComplete reports whether the end may be that of the response, as far as the calls that stop the
// run show it.
func (e ConnectionEnd) MayBeComplete() bool { return e.Stop == StopNone || e.Stop == StopNoRun }

// IsComplete reports whether the end counts as that of the response. A target that closes the connection
// in the middle by itself, and runs on, cannot be distinguished from one that has ended its response.
func (e ConnectionEnd) IsComplete() bool { return e.MayBeComplete() && e.Process == ProcessRuns }
