// Package events is the catalogue of the events that the processes log. Every log
// line carries the number of its event; docs/EVENTS.md lists the meaning of each
// number and the first step for the engineer on call.
package events

import (
	"github.com/rs/zerolog"
)

// Event describes one kind of log line.
type Event struct {
	// ID is the number of the event. Its meaning never changes, and the ID of a
	// removed event is not reused.
	ID    int
	Level zerolog.Level
	// Text is the message of the log line; Step is what the engineer on call does
	// first.
	Text string
	Step string
}

// Log starts a line for the event in the log l. The caller adds fields and calls Send.
func (e Event) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.ID).Str("what", e.Text)
}

// The events. Numbers from 100 are for processes, from 200 for links, from 300 for
// requests, from 400 for targets, from 500 for the control group and from 600 for
// configuration and evacuation.
var (
	ProcessStarted       = Event{100, zerolog.InfoLevel, "process started", "None."}
	ProcessDraining      = Event{101, zerolog.InfoLevel, "process draining: no new work, requests in progress go on", "None; a second signal stops it hard."}
	ProcessDrained       = Event{102, zerolog.InfoLevel, "process drained", "None."}
	ProcessHardStop      = Event{103, zerolog.WarnLevel, "process stopped hard, requests in progress were cut off", "Find who sent the second signal, or why draining took longer than its limit."}
	ProcessFailed        = Event{104, zerolog.ErrorLevel, "process failed", "Read the error field; settings are the usual cause."}
	ProcessReloaded      = Event{105, zerolog.InfoLevel, "settings file changed", "None; a process takes new settings at its next start."}
	ConnectionsEvicted   = Event{106, zerolog.WarnLevel, "connections were closed for others while they waited for their clients", "Find who opens so many connections to this listener, or sends so little on them."}
	AcceptFailed         = Event{107, zerolog.WarnLevel, "a connection could not be accepted", "Read the error field: too many open files means that the process's limit of descriptors is below the one in its settings."}
	InboundRefused       = Event{108, zerolog.WarnLevel, "requests were refused before they were looked at", "queue_full: find who sends so many large bodies at once, or sends them so slowly. too_large and slow_caller: find who sends them."}
	TurnsNotMeasured     = Event{109, zerolog.WarnLevel, "input of busy connections cannot wait for the processor", "Read the error field."}
	LinkUp               = Event{200, zerolog.InfoLevel, "link up", "None."}
	LinkDown             = Event{201, zerolog.WarnLevel, "link down", "Read the why field: silence means a stalled network, backlog a peer that does not read, malformed a peer of an incompatible version or a software fault."}
	LinkDialFailed       = Event{202, zerolog.WarnLevel, "link could not be opened", "Check the address and that the peer is up; it is tried again with growing waits."}
	LinkRefused          = Event{203, zerolog.WarnLevel, "link refused in the handshake", "Check that both ends were given the same fleet key."}
	RequestEnded         = Event{300, zerolog.InfoLevel, "request ended", "None."}
	RequestFailed        = Event{301, zerolog.InfoLevel, "request ended without its whole answer", "Look the reason up in OPERATIONS.md."}
	RequestRefused       = Event{303, zerolog.InfoLevel, "request refused, it has not run", "Look the reason up in OPERATIONS.md."}
	RequestSent          = Event{304, zerolog.InfoLevel, "request sent to a target", "None."}
	RequestAttempted     = Event{305, zerolog.InfoLevel, "a target did not answer the request", "Look at the target's own lines by its name."}
	RequestMoved         = Event{306, zerolog.InfoLevel, "stream is continued at another engine", "None, unless the pause is long: check how loaded the network between the engines is."}
	RequestRetried       = Event{302, zerolog.InfoLevel, "request tried again elsewhere", "None, unless almondseam_retries_total grows: look the reason up."}
	RequestCopied        = Event{308, zerolog.InfoLevel, "a run was copied to another engine", "None, unless it takes long: check how loaded the network between the engines is."}
	CallerFault          = Event{307, zerolog.DebugLevel, "the HTTP server ended a caller's connection", "None."}
	RequestHeld          = Event{309, zerolog.InfoLevel, "request waited for an engine with room", "None, unless it recurs: the engines are full, add some or lower the customers' limits."}
	RequestNoRoom        = Event{310, zerolog.InfoLevel, "an engine did not set room aside for a request", "None, unless it recurs with an error: see whether the engine runs."}
	RetryDenied          = Event{311, zerolog.InfoLevel, "the retry budget did not allow one more send", "None, unless it recurs. reason=control_unavailable: see whether the control group has a leader. Otherwise so many requests fail that the budget limits their retries: look for the cause in the lines of event 305. Do not raise the budget."}
	RequestNotMoved      = Event{312, zerolog.InfoLevel, "migration skipped", "None, unless it recurs: no_room says that the engines are full, add some or lower the customers' limits."}
	RetryGranted         = Event{313, zerolog.InfoLevel, "the retry budget allowed one more send", "None."}
	ColdStart            = Event{314, zerolog.InfoLevel, "decision whether a request may be sent to a cold target", "None: the granted field holds the decision."}
	CopyDropped          = Event{315, zerolog.InfoLevel, "unused copy of a run freed", "None; with an error the engines keep its memory for some seconds."}
	LimitedSend          = Event{316, zerolog.InfoLevel, "decision whether a request may be sent to a target that states a limit", "None: the granted field holds the decision."}
	RequestQuarantined   = Event{317, zerolog.WarnLevel, "a request is refused from now on because it crashes targets", "Find the customer's request by its path and fingerprint, and what in it crashes the targets. almondctl quarantine lift allows it again."}
	RequestUnquarantined = Event{318, zerolog.InfoLevel, "a request is no longer refused for crashes of targets", "None."}
	EnginePace           = Event{320, zerolog.InfoLevel, "an engine no longer holds the pause bound of its streams, or holds it again", "None, unless it recurs for the same engine: compare its machine with those of the others."}
	MigrationPaused      = Event{323, zerolog.InfoLevel, "a stream paused over its bound in a migration", "None, unless it recurs: waited_for and the times in the line say which part took long."}
	StreamTakenUp        = Event{324, zerolog.InfoLevel, "a caller takes up a stream: which software began it", "None; with an error the request was refused: see whether the instance reaches the control members, and whether its caller names the right request."}
	RunConfirmed         = Event{325, zerolog.InfoLevel, "a target was asked for its run, because a stream that may be continued is sent there", "None; with an error such streams are not sent or not continued. If that recurs for a target, see whether it answers reports."}
	ConnectionsClosed    = Event{326, zerolog.WarnLevel, "new connections of callers are closed unread, the instance has no processor time for them", "See whether the balancer spreads connections evenly; if all instances write it, add some."}
	ProcessorBusy        = Event{327, zerolog.WarnLevel, "everything that is ready waits long for the processor", "As for event 326; with no event 326 beside it, look for what uses the processor: a profile, the machine's other processes."}
	ThreadsAdapted       = Event{328, zerolog.InfoLevel, "the process runs another number of threads, by the processor time that it gets", "None; with an error the number stays: see why the process cannot read its processor time."}
	RefusalChecked       = Event{329, zerolog.InfoLevel, "a request that the configuration in force refuses was looked up in the newest one", "None, unless reason=config_unconfirmed recurs: see whether the instance reaches the control group, and whether that has a leader."}
	RunStopped           = Event{330, zerolog.InfoLevel, "what is known in the end of a run that its stream has left", "None; with an error that recurs for a target, see whether it answers the calls that move runs."}
	ResponseEndExamined  = Event{331, zerolog.InfoLevel, "the connection of a response without a length or chunks ended: whether that is the end of the response", "None, unless complete=false recurs for a target: let it send a length or chunks; process=unknown says that it does not answer in time."}
	RunLeft              = Event{332, zerolog.InfoLevel, "a stream has left the run at a target", "None; event 333 shows the calls that stop the run, 330 what became of it."}
	StopCalled           = Event{333, zerolog.InfoLevel, "a target was asked to stop a run", "None; with an error that recurs for a target, see whether it answers the calls that move runs."}
	LeftRunExamined      = Event{334, zerolog.InfoLevel, "a target was asked whether it still works on a run whose stop was not confirmed", "With works=true the target works for nobody: see why it refuses the calls that move runs."}
	TargetAnnounced      = Event{400, zerolog.InfoLevel, "target announced", "None."}
	TargetLeaving        = Event{401, zerolog.InfoLevel, "target is leaving", "None."}
	TargetGone           = Event{402, zerolog.WarnLevel, "target's link is gone", "See whether the target's agent runs; requests on the target wait some time for the link to come back."}
	TargetLoadFailed     = Event{403, zerolog.DebugLevel, "target did not report its load", "See whether the engine runs."}
	TargetChanged        = Event{404, zerolog.InfoLevel, "target state changed", "None."}
	TargetDialFailed     = Event{406, zerolog.InfoLevel, "a connection to a target could not be opened", "None, unless one address recurs: see whether its machine is up, and whether it is out of connections."}
	TargetUnusable       = Event{405, zerolog.WarnLevel, "an announcement could not be used", "Find out which process sends announcements in another format; the other targets are not affected."}
	TargetLimited        = Event{407, zerolog.InfoLevel, "request rate limit of a target changed", "None: a target states a limit to protect itself. See its own log for the reason, and whether its service has enough targets."}
	TargetLimitNotStated = Event{409, zerolog.WarnLevel, "the control group could not be told of a target's limit", "See whether the group has a leader; the next answer of the target starts another attempt."}
	TargetStatementError = Event{408, zerolog.WarnLevel, "a target states something about itself that cannot be parsed", "Correct what the target sends; what it stated before stays in force."}
	TargetBackoff        = Event{410, zerolog.InfoLevel, "a target asks this instance to send it nothing for a time", "None: the target is overloaded. If it recurs, see whether its service has enough targets."}
	TargetStatesLeaving  = Event{411, zerolog.InfoLevel, "a target states in a response that it is leaving", "None."}
	TargetCrashed        = Event{412, zerolog.WarnLevel, "a target ended while it ran requests of this instance", "Look for a fingerprint that recurs in the lines of several targets: that request is likely to crash them."}
	TargetOut            = Event{414, zerolog.WarnLevel, "a target is taken out of use because its answers are lost or errors", "See the target's own log: its health check succeeds. It is tried again and returns by itself."}
	TargetTrial          = Event{415, zerolog.InfoLevel, "a request was sent to a faulty target to see whether it answers again", "None."}
	TargetReturning      = Event{416, zerolog.InfoLevel, "a target that was faulty is used again", "None."}
	CrashNotReported     = Event{413, zerolog.WarnLevel, "the control group could not be told of a target's crash or of a run that ended well", "See whether the group has a leader. The instance itself takes the report into account."}
	ControlStarted       = Event{500, zerolog.InfoLevel, "control member started", "None."}
	ControlLeader        = Event{501, zerolog.InfoLevel, "control group has a leader", "None, unless it recurs: then look for a slow disk (almondseam_control_save_seconds) or a stalled network between members."}
	ControlNoLeader      = Event{502, zerolog.WarnLevel, "control member knows no leader", "If it lasts, see with almondctl status which members are up; writes are refused until a majority is."}
	ControlSnapshot      = Event{503, zerolog.InfoLevel, "control snapshot", "None."}
	ControlStranger      = Event{504, zerolog.WarnLevel, "control member refused an unauthenticated or forbidden request", "Find who calls the operator interface with a wrong token, or which process asks for what only operators may."}
	ControlFailed        = Event{505, zerolog.ErrorLevel, "control member stopped", "Read the error field. After a failed save, check the disk before starting the member again. If the data directory is lost, replace the member by a new one (almondctl members add, promote, remove)."}
	ControlMended        = Event{506, zerolog.InfoLevel, "automatic change of the control group's members proposed", "None, unless refused recurs: then see with the members' logs which of them are up."}
	ControlAttemptLost   = Event{507, zerolog.InfoLevel, "an attempt of a call at a control member got no reply", "None, unless it recurs: why=timeout says that the member is slow, silence that it is cut off, local that this process left it."}
	ControlLeaderStated  = Event{508, zerolog.InfoLevel, "a control member stated which member leads the group", "None, unless members name different leaders for longer than an election: see the links between them."}
	ControlRestored      = Event{509, zerolog.InfoLevel, "control member restored its state from the data directory", "None; no term and no entries mean that the directory was empty."}
	ControlSeedsChanged  = Event{510, zerolog.InfoLevel, "no known control member was reached, and the settings name other ones now", "None."}
	SettingsUnreadable   = Event{511, zerolog.WarnLevel, "the settings could not be read again for the addresses of control members", "See the error field, and whether the settings file is there."}
	ControlHomeMoved     = Event{512, zerolog.InfoLevel, "this instance gets the list of targets and the load reports from another control member", "None, unless it recurs, or the address is empty for long: see whether the instance reaches the control members."}
	ConfigInForce        = Event{600, zerolog.InfoLevel, "configuration in force", "None."}
	ConfigUnusable       = Event{601, zerolog.ErrorLevel, "configuration could not be used; the last one stays in force", "Read the error field: this process is older than the configuration, or its control group is another fleet's. Its site shows as lagging in almondctl status."}
	ConfigConflict       = Event{602, zerolog.ErrorLevel, "received different content for the revision already held", "Two control groups answer for one fleet: compare the members with almondctl members list, and restart this process once that is mended."}
	ConfigSwitched       = Event{603, zerolog.InfoLevel, "agent follows another entry's configuration", "None, unless it recurs with why=silence: the network between them stalls."}
	ConfigPut            = Event{605, zerolog.InfoLevel, "configuration proposed", "None, unless the outcome is not completed for long: see whether the control group has a leader."}
	ConfigInvalid        = Event{606, zerolog.WarnLevel, "invalid configuration refused", "Show the error to the operator who sent it."}
	ZonesEvacuated       = Event{607, zerolog.InfoLevel, "evacuated availability zones changed at this entry", "None: targets of the zones listed get nothing new from this entry."}
	EvacuationPut        = Event{608, zerolog.InfoLevel, "evacuation order", "Without an error the order is in force; stale_fence means that the opposite order came in between, control_unavailable that there is no leader."}
	ConfigReceived       = Event{609, zerolog.InfoLevel, "configuration received from a control member", "None; a revision that is not above the one held has no effect."}
	ConfigApplied        = Event{610, zerolog.InfoLevel, "configuration is the newest in this control member's state", "None."}
	ConfigRead           = Event{611, zerolog.InfoLevel, "operator read the configuration", "Without answered=true the operator got no document: see whether the control group has a leader, and whether this member lags."}
	ConfigConfirmed      = Event{612, zerolog.InfoLevel, "a majority of the control group confirmed the newest revision", "None."}
	ConfigNoSite         = Event{604, zerolog.WarnLevel, "the configuration has no site with this process's availability zone; the base alone is in force", "Compare the zone in the process's settings with the sites in base.yaml."}
)

// All returns all events in the order of their numbers.
func All() []Event {
	return []Event{
		ProcessStarted, ProcessDraining, ProcessDrained, ProcessHardStop, ProcessFailed, ProcessReloaded, ConnectionsEvicted, AcceptFailed, InboundRefused, TurnsNotMeasured,
		LinkUp, LinkDown, LinkDialFailed, LinkRefused,
		RequestEnded, RequestFailed, RequestRetried, RequestRefused, RequestSent, RequestAttempted, RequestMoved, CallerFault, RequestCopied, RequestHeld, RequestNoRoom, RetryDenied, RequestNotMoved, RetryGranted, ColdStart, CopyDropped, LimitedSend, RequestQuarantined, RequestUnquarantined, EnginePace, MigrationPaused, StreamTakenUp, RunConfirmed, ConnectionsClosed, ProcessorBusy, ThreadsAdapted, RefusalChecked, RunStopped, ResponseEndExamined, RunLeft, StopCalled, LeftRunExamined,
		TargetAnnounced, TargetLeaving, TargetGone, TargetLoadFailed, TargetChanged, TargetUnusable, TargetDialFailed, TargetLimited, TargetStatementError, TargetLimitNotStated, TargetBackoff, TargetStatesLeaving, TargetCrashed, CrashNotReported, TargetOut, TargetTrial, TargetReturning,
		ControlStarted, ControlLeader, ControlNoLeader, ControlSnapshot, ControlStranger, ControlFailed, ControlMended, ControlAttemptLost, ControlLeaderStated, ControlRestored, ControlSeedsChanged, SettingsUnreadable, ControlHomeMoved,
		ConfigInForce, ConfigUnusable, ConfigConflict, ConfigSwitched, ConfigNoSite, ConfigPut, ConfigInvalid, ZonesEvacuated, EvacuationPut, ConfigReceived, ConfigApplied, ConfigRead, ConfigConfirmed,
	}
}
