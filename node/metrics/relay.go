package metrics

import (
	"errors"
	stdlog "log"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/handoff"
	"almondseam.dev/core/origin"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/node/events"
	"almondseam.dev/node/relay"
	"almondseam.dev/node/upstream"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

// Relay implements relay.Observer and upstream.Observer: it counts and logs how routed
// requests proceed and end.
type Relay struct {
	*Quarantine
	*Faults
	log               *zerolog.Logger
	refusals          *prometheus.CounterVec
	sends             *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	migrations        *prometheus.CounterVec
	ended             *prometheus.CounterVec
	dials             *prometheus.CounterVec
	duration          *prometheus.HistogramVec
	migrationPause    *prometheus.HistogramVec
	firstEvent        *prometheus.HistogramVec
	longestGap        *prometheus.HistogramVec
	copyTime          *prometheus.HistogramVec
	held              *prometheus.HistogramVec
	noRoom            *prometheus.CounterVec
	retriesGranted    *prometheus.CounterVec
	retriesDenied     *prometheus.CounterVec
	skippedMigrations *prometheus.CounterVec
	pausedMigrations  *prometheus.CounterVec
	connectionEnds    *prometheus.CounterVec
	runsLeft          *prometheus.CounterVec
	runsStopped       *prometheus.CounterVec
	stopCalls         *prometheus.CounterVec
	coldStarts        *prometheus.CounterVec
	limitChanges      *prometheus.CounterVec
	limitedSends      *prometheus.CounterVec
	// unreadable counts statements of targets about themselves that could not be parsed,
	// unstatedLimits target limits that could not be reported to the control group.
	unreadable     prometheus.Counter
	unstatedLimits prometheus.Counter
	backoffs       prometheus.Counter
	leavings       prometheus.Counter
	crashes        prometheus.Counter
	origins        *prometheus.CounterVec
	confirmed      *prometheus.CounterVec
	pace
}

// latencyBuckets are the bounds in seconds of all histograms of the relay: from 5 ms,
// each twice the one before, to about 41 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 14)

// NewRelay registers the metrics of a relay in the registry of s.
func NewRelay(s *Set) *Relay {
	f := promauto.With(s.Registry)
	r := &Relay{
		Quarantine:        NewQuarantine(s),
		Faults:            NewFaults(s),
		log:               s.log,
		refusals:          s.refusals,
		origins:           f.NewCounterVec(counter("relay_origins_total", "Streams taken up by callers, by from where it is known what began them, or unknown."), []string{"source"}),
		confirmed:         f.NewCounterVec(counter("relay_runs_confirmed_total", "Targets that were asked whether their run is the known one, by whether it is."), []string{"confirmed"}),
		sends:             f.NewCounterVec(counter("relay_sends_total", "Requests sent to a target, by why."), []string{"why"}),
		attempts:          f.NewCounterVec(counter("relay_attempts_total", "What sends came to."), []string{"outcome"}),
		migrations:        f.NewCounterVec(counter("relay_migrations_total", "Streams that were continued at another engine, by how."), []string{"how"}),
		ended:             f.NewCounterVec(counter("relay_ended_total", "Ended requests, by route and outcome."), []string{"route", "outcome"}),
		noRoom:            f.NewCounterVec(counter("relay_no_room_total", "Reservations that engines did not give, by whether they said that they are full."), []string{"full"}),
		retriesGranted:    f.NewCounterVec(counter("relay_retries_granted_total", "Retries that the budget allowed, by what they were for and where they were paid from."), []string{"why", "paid"}),
		retriesDenied:     f.NewCounterVec(counter("relay_retries_denied_total", "Retries that the budget did not allow, by what they were for and the reason."), []string{"why", "reason"}),
		runsLeft:          f.NewCounterVec(counter("relay_runs_left_total", "Runs that their stream has left, by the reason."), []string{"why"}),
		runsStopped:       f.NewCounterVec(counter("relay_runs_stopped_total", "Runs that their stream has left, by what is known in the end of their engine's work on them."), []string{"work"}),
		stopCalls:         f.NewCounterVec(counter("relay_stop_calls_total", "Calls that stop a run, by what is known of their effect."), []string{"result"}),
		connectionEnds:    f.NewCounterVec(counter("relay_connection_ends_total", "Responses without a length or chunks whose connection ended, by what is known of a stop of the run and of the target's process."), []string{"stop", "process"}),
		coldStarts:        f.NewCounterVec(counter("relay_cold_starts_total", "Requests to cold targets, by whether they were granted and why not."), []string{"granted", "reason"}),
		limitChanges:      f.NewCounterVec(counter("relay_target_limits_total", "Changes of what is believed of targets' limits, by whether they name one."), []string{"limited"}),
		limitedSends:      f.NewCounterVec(counter("relay_limited_sends_total", "Requests to targets that name a limit, by whether they were granted and why not."), []string{"granted", "reason"}),
		unstatedLimits:    f.NewCounter(counter("relay_target_limits_not_stated_total", "Limits of targets that the control group could not be told of.")),
		unreadable:        f.NewCounter(counter("relay_target_statements_unreadable_total", "Targets whose responses began to state something about themselves that cannot be parsed.")),
		backoffs:          f.NewCounter(counter("relay_target_backoffs_total", "Responses in which a target asks for no requests for a time.")),
		crashes:           f.NewCounter(counter("relay_target_crashes_total", "Targets that ended while they ran requests of this instance.")),
		leavings:          f.NewCounter(counter("relay_target_leavings_total", "Responses in which a target states that it is leaving.")),
		skippedMigrations: f.NewCounterVec(counter("relay_migrations_skipped_total", "Migrations of streams that were skipped, by why."), []string{"why"}),
		pausedMigrations:  f.NewCounterVec(counter("relay_migrations_over_bound_total", "Streams that paused over the bound of their route in a migration, by what took most of the pause."), []string{"waited_for"}),
		dials:             f.NewCounterVec(counter("relay_dials_total", "Connections opened to targets."), []string{"ok"}),
		duration:          f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_seconds", Help: "Time from a request's arrival to its end, by route.", Buckets: latencyBuckets}, []string{"route"}),
		migrationPause:    f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_migration_pause_seconds", Help: "Pause of a stream that was continued at another engine.", Buckets: latencyBuckets}, []string{"how"}),
		held:              f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_held_seconds", Help: "Time that requests waited at the entry for an engine with room, by route.", Buckets: latencyBuckets}, []string{"route"}),
		copyTime:          f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_copy_seconds", Help: "Time of a copy of a run between two engines, by whether the run was stopped and whether it worked.", Buckets: latencyBuckets}, []string{"stop", "ok"}),
		firstEvent:        f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_first_event_seconds", Help: "Time from a request's arrival to the first event of its stream, by route.", Buckets: latencyBuckets}, []string{"route"}),
		longestGap:        f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_longest_gap_seconds", Help: "Longest pause between two events of a stream, by route.", Buckets: latencyBuckets}, []string{"route"}),
	}
	r.pace = newPace(f)
	return r
}

func addRequest(e *zerolog.Event, r *relay.Request) *zerolog.Event {
	e = e.Str("request", string(r.Ask.Request)).Uint64("version", r.Version).Dur("after", time.Since(r.Arrived))
	if r.Route != nil {
		e = e.Str("route", r.Route.Name).Str("service", string(r.Service))
	}
	if r.Ask.Resumes != "" || r.Ask.LastEvent != "" {
		e = e.Str("resumes", string(r.Ask.Resumes)).Str("last_event", r.Ask.LastEvent)
	}
	return e
}

func addTarget(e *zerolog.Event, key string, t *relay.Target) *zerolog.Event {
	return e.Str(key, string(t.Target)).Str(key+"_address", t.Address).Str(key+"_software", string(t.SoftwareVersion())).Object(key+"_load", loggedLoad(t.Load()))
}

// loggedLoad encodes the load of a target for a log line: the load from all entry
// processes, as far as this one knows it.
type loggedLoad fleetload.Load

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l loggedLoad) MarshalZerologObject(e *zerolog.Event) {
	e.Int("running", l.Running).Int("tokens", l.Tokens).Int("unread", l.Unread)
}

func routeName(r *relay.Request) string {
	if r.Route == nil {
		return ""
	}
	return r.Route.Name
}

// Refused implements relay.Observer.
func (m *Relay) Refused(r *relay.Request, status int, reason api.Reason) {
	m.refusals.WithLabelValues(string(reason)).Inc()
	e := addRequest(events.RequestRefused.Log(m.log), r).Int("status", status).Str("reason", string(reason))
	if reason == api.ReasonQuarantined {
		e = e.Stringer("fingerprint", r.Fingerprint())
	}
	e.Send()
}

// RefusalChecked implements relay.Observer.
func (m *Relay) RefusalChecked(r *relay.Request, held uint64, refused, reason api.Reason, waited time.Duration) {
	addRequest(events.RefusalChecked.Log(m.log), r).Uint64("held", held).Str("refused", string(refused)).
		Str("reason", string(reason)).Dur("waited", waited).Send()
}

// Held implements relay.Observer.
func (m *Relay) Held(r *relay.Request, waited time.Duration) {
	m.held.WithLabelValues(routeName(r)).Observe(waited.Seconds())
	addRequest(events.RequestHeld.Log(m.log), r).Dur("waited", waited).Send()
}

// NoRoom implements relay.Observer.
func (m *Relay) NoRoom(r *relay.Request, t *relay.Target, err error) {
	m.noRoom.WithLabelValues(strconv.FormatBool(errors.Is(err, relay.ErrNoRoom))).Inc()
	addTarget(addRequest(events.RequestNoRoom.Log(m.log), r).AnErr("error", err), "target", t).Send()
}

// OriginFound implements relay.Observer.
func (m *Relay) OriginFound(r *relay.Request, o origin.Origin, source string, took time.Duration, err error) {
	if err != nil {
		source = "unknown"
	}
	m.origins.WithLabelValues(source).Inc()
	addRequest(events.StreamTakenUp.Log(m.log), r).Str("origin_service", string(o.Service)).Str("origin_software", string(o.Software)).
		Str("origin_target", string(o.Target)).Int64("origin_born", o.Born).Str("source", source).Dur("took", took).Err(err).Send()
}

// RunConfirmed implements relay.Observer.
func (m *Relay) RunConfirmed(r *relay.Request, t *relay.Target, err error) {
	m.confirmed.WithLabelValues(strconv.FormatBool(err == nil)).Inc()
	addTarget(addRequest(events.RunConfirmed.Log(m.log), r), "target", t).Int64("born", t.Born).Err(err).Send()
}

// Sent implements relay.Observer.
func (m *Relay) Sent(r *relay.Request, t *relay.Target, why string) {
	m.sends.WithLabelValues(why).Inc()
	addTarget(addRequest(events.RequestSent.Log(m.log), r).Str("why", why), "target", t).Send()
}

// Attempted implements relay.Observer.
func (m *Relay) Attempted(r *relay.Request, t *relay.Target, outcome string, err error) {
	m.attempts.WithLabelValues(outcome).Inc()
	if outcome == relay.Answered {
		return
	}
	addTarget(addRequest(events.RequestAttempted.Log(m.log), r).Str("outcome", outcome).AnErr("error", err), "target", t).Send()
}

// Copied implements relay.Observer.
func (m *Relay) Copied(r *relay.Request, from, to *relay.Target, stop bool, took time.Duration, err error) {
	m.copyTime.WithLabelValues(strconv.FormatBool(stop), strconv.FormatBool(err == nil)).Observe(took.Seconds())
	e := addRequest(events.RequestCopied.Log(m.log), r).Bool("stop", stop).Dur("took", took).AnErr("error", err)
	addTarget(addTarget(e, "from", from), "to", to).Send()
}

// RetryGranted implements relay.Observer.
func (m *Relay) RetryGranted(r *relay.Request, why string, v relay.RetryVerdict) {
	m.retriesGranted.WithLabelValues(why, v.Paid).Inc()
	addRetryVerdict(addRequest(events.RetryGranted.Log(m.log), r).Str("why", why).Str("paid", v.Paid), v).Send()
}

// RetryDenied implements relay.Observer.
func (m *Relay) RetryDenied(r *relay.Request, why string, v relay.RetryVerdict) {
	m.retriesDenied.WithLabelValues(why, string(v.Reason)).Inc()
	addRetryVerdict(addRequest(events.RetryDenied.Log(m.log), r).Str("why", why).Str("reason", string(v.Reason)), v).Send()
}

// Dropped implements relay.Observer.
func (m *Relay) Dropped(r *relay.Request, at *relay.Target, err error) {
	e := addRequest(events.CopyDropped.Log(m.log), r)
	addTarget(e, "at", at).Err(err).Send()
}

// RunStopped implements relay.Observer.
func (m *Relay) RunStopped(r *relay.Request, t *relay.Target, work handoff.Work, took time.Duration, err error) {
	m.runsStopped.WithLabelValues(work.String()).Inc()
	e := addRequest(events.RunStopped.Log(m.log), r).Stringer("work", work)
	addTarget(e, "target", t).Dur("took", took).Err(err).Send()
}

// RunLeft implements relay.Observer.
func (m *Relay) RunLeft(r *relay.Request, t *relay.Target, why string) {
	m.runsLeft.WithLabelValues(why).Inc()
	addTarget(addRequest(events.RunLeft.Log(m.log), r).Str("why", why), "target", t).Send()
}

// StopCalled implements relay.Observer.
func (m *Relay) StopCalled(r *relay.Request, t *relay.Target, c relay.StopCall) {
	m.stopCalls.WithLabelValues(c.Result.String()).Inc()
	e := addRequest(events.StopCalled.Log(m.log), r).Int("try", c.Try).Stringer("result", c.Result).Dur("took", c.Took).AnErr("error", c.Err)
	addTarget(e, "target", t).Send()
}

// LeftRunExamined implements relay.Observer.
func (m *Relay) LeftRunExamined(r *relay.Request, t *relay.Target, left time.Duration, made int, err error) {
	e := addRequest(events.LeftRunExamined.Log(m.log), r).Bool("works", err == nil).Dur("left", left).Int("events", made).AnErr("error", err)
	addTarget(e, "target", t).Send()
}

// ConnectionEnded implements relay.Observer.
func (m *Relay) ConnectionEnded(r *relay.Request, t *relay.Target, end handoff.ConnectionEnd, took time.Duration) {
	m.connectionEnds.WithLabelValues(end.Stop.String(), end.Process.String()).Inc()
	e := addRequest(events.ResponseEndExamined.Log(m.log), r).Bool("complete", end.IsComplete()).
		Stringer("stop", end.Stop).Stringer("process", end.Process).Dur("took", took)
	addTarget(e, "target", t).Send()
}

// ColdStart implements relay.Observer.
func (m *Relay) ColdStart(r *relay.Request, t *relay.Target, v relay.RetryVerdict) {
	m.coldStarts.WithLabelValues(strconv.FormatBool(v.OK), string(v.Reason)).Inc()
	e := addRequest(events.ColdStart.Log(m.log), r)
	addTarget(e, "target", t).Bool("granted", v.OK).Str("reason", string(v.Reason)).Int("used", v.Used).Float64("allowed", v.Allowed).Dur("took", v.Took).Send()
}

// LimitChanged implements relay.Observer.
func (m *Relay) LimitChanged(r *relay.Request, t *relay.Target, before, after targetlimit.Statement) {
	m.limitChanges.WithLabelValues(strconv.FormatBool(after.Limited)).Inc()
	e := addTarget(events.TargetLimited.Log(m.log), "target", t)
	if r != nil {
		e = addRequest(e.Str("source", "answer"), r)
	} else {
		e = e.Str("source", "group")
	}
	e = e.Bool("limited", after.Limited).Float64("rate", after.Rate).Bool("was_limited", before.Limited).Float64("was_rate", before.Rate)
	if !before.Received.IsZero() {
		e = e.Dur("was_age", after.Received.Sub(before.Received))
	}
	e.Send()
}

// LimitedSend implements relay.Observer.
func (m *Relay) LimitedSend(r *relay.Request, t *relay.Target, limit targetlimit.Statement, v relay.RetryVerdict) {
	m.limitedSends.WithLabelValues(strconv.FormatBool(v.OK), string(v.Reason)).Inc()
	e := addTarget(addRequest(events.LimitedSend.Log(m.log), r), "target", t)
	e.Bool("granted", v.OK).Str("reason", string(v.Reason)).Float64("rate", limit.Rate).Dur("age", time.Since(limit.Received)).
		Int("used", v.Used).Dur("next", v.RetryAfter).Dur("took", v.Took).Send()
}

// LimitNotStated implements relay.Observer.
func (m *Relay) LimitNotStated(t *relay.Target, err error) {
	m.unstatedLimits.Inc()
	addTarget(events.TargetLimitNotStated.Log(m.log), "target", t).Err(err).Send()
}

// BackoffAsked implements relay.Observer.
func (m *Relay) BackoffAsked(r *relay.Request, t *relay.Target, backoff time.Duration, before, after time.Time) {
	m.backoffs.Inc()
	now := time.Now()
	addTarget(addRequest(events.TargetBackoff.Log(m.log), r), "target", t).Dur("backoff", backoff).
		Dur("left", after.Sub(now)).Dur("left_before", max(0, before.Sub(now))).Send()
}

// LeavingStated implements relay.Observer.
func (m *Relay) LeavingStated(r *relay.Request, t *relay.Target) {
	m.leavings.Inc()
	addTarget(addRequest(events.TargetStatesLeaving.Log(m.log), r), "target", t).Send()
}

// maxLoggedLost is the number of lost requests that a log line about a crash names, maxLoggedParts
// the number of parts of each request's prompt.
const (
	maxLoggedLost  = 32
	maxLoggedParts = 8
)

// TargetCrashed implements relay.Observer.
func (m *Relay) TargetCrashed(t *relay.Target, lost []relay.LostRequest) {
	m.crashes.Inc()
	list := zerolog.Arr()
	for _, l := range lost[:min(len(lost), maxLoggedLost)] {
		list.Dict(zerolog.Dict().Str("request", string(l.Request.Ask.Request)).Stringer("fingerprint", l.Request.Fingerprint()).
			Strs("parts", l.Request.Ask.Parts[:min(len(l.Request.Ask.Parts), maxLoggedParts)]).Dur("in_progress", l.InProgress))
	}
	addTarget(events.TargetCrashed.Log(m.log), "target", t).Int64("born", t.Born).Int("requests", len(lost)).Array("lost", list).Send()
}

// StatementUnreadable implements relay.Observer.
func (m *Relay) StatementUnreadable(r *relay.Request, t *relay.Target, err error) {
	m.unreadable.Inc()
	addTarget(addRequest(events.TargetStatementError.Log(m.log), r), "target", t).Err(err).Send()
}

func addRetryVerdict(e *zerolog.Event, v relay.RetryVerdict) *zerolog.Event {
	return e.Int("own_used", v.Own.Used).Float64("own_allowed", v.Own.Allowed).
		Int("used", v.Used).Float64("allowed", v.Allowed).Dur("took", v.Took)
}

// MigrationSkipped implements relay.Observer.
func (m *Relay) MigrationSkipped(r *relay.Request, from *relay.Target, why string) {
	m.skippedMigrations.WithLabelValues(why).Inc()
	addTarget(addRequest(events.RequestNotMoved.Log(m.log), r).Str("why", why), "from", from).Send()
}

// Migrated implements relay.Observer.
func (m *Relay) Migrated(r *relay.Request, from, to *relay.Target, how string, migrationPause time.Duration) {
	m.migrations.WithLabelValues(how).Inc()
	m.migrationPause.WithLabelValues(how).Observe(migrationPause.Seconds())
	e := addRequest(events.RequestMoved.Log(m.log), r).Str("how", how).Dur("pause", migrationPause)
	addTarget(addTarget(e, "from", from), "to", to).Send()
}

// MigrationPaused implements relay.Observer.
func (m *Relay) MigrationPaused(r *relay.Request, from, to *relay.Target, p relay.MigrationPause) {
	m.pausedMigrations.WithLabelValues(p.WaitedFor()).Inc()
	e := addRequest(events.MigrationPaused.Log(m.log), r).Dur("pause", p.Pause).Str("waited_for", p.WaitedFor()).
		Dur("notice_left", p.NoticeLeft).Int("tokens", p.Tokens).Int("bytes", p.Bytes).Float64("rate", p.Rate).
		Dur("turn", p.Times.Turn).Dur("room", p.Times.Room).Dur("whole_copy", p.Times.Whole).
		Dur("retry", p.Times.Retry).Dur("rounds", p.Times.Rounds).Dur("last_copy", p.Times.Last)
	addTarget(addTarget(e, "from", from), "to", to).Send()
}

// Ended implements relay.Observer.
func (m *Relay) Ended(r *relay.Request, status int, outcome string) {
	m.ended.WithLabelValues(routeName(r), outcome).Inc()
	m.duration.WithLabelValues(routeName(r)).Observe(time.Since(r.Arrived).Seconds())
	e := events.RequestEnded
	if outcome != relay.Answered {
		e = events.RequestFailed
	}
	line := addRequest(e.Log(m.log), r).Int("status", status).Str("outcome", outcome)
	if r.Ending.Framing != upstream.FramingNone {
		line = line.Stringer("framing", r.Ending.Framing).Stringer("stop", r.Ending.Stop)
	}
	if r.Route != nil {
		line = line.Stringer("kind", r.Route.Kind).Dur("objective", r.Route.Objective)
	}
	if stream := r.Stream; stream.Events > 0 {
		m.firstEvent.WithLabelValues(routeName(r)).Observe(stream.First.Seconds())
		m.longestGap.WithLabelValues(routeName(r)).Observe(stream.LongestGap.Seconds())
		line = line.Int("prompt", r.Ask.PromptTokens).Int("most", r.Ask.MaxTokens).Int("likely", r.Ask.LikelyTokens).Dur("patience", r.Ask.Patience)
		line = line.Dur("first", stream.First).Dur("longest_gap", stream.LongestGap).Int("events", stream.Events).Int("migrations", stream.Migrations)
	}
	line.Send()
}

// Dialled implements upstream.Observer.
func (m *Relay) Dialled(addr string, err error) {
	m.dials.WithLabelValues(strconv.FormatBool(err == nil)).Inc()
	if err != nil {
		events.TargetDialFailed.Log(m.log).Str("address", addr).Err(err).Send()
	}
}

// Directory implements registry.Observer: it logs the changes of targets' records.
type Directory struct{ Log *zerolog.Logger }

// Changed implements registry.Observer.
func (d Directory) Changed(r directory.Record, source string) {
	events.TargetChanged.Log(d.Log).Str("target", string(r.Target)).Str("service", string(r.Service)).
		Str("address", r.Address).Str("software", string(r.Software)).Str("state", r.State.String()).Int64("born", r.Born).Uint64("sequence", r.Sequence).
		Str("source", source).Send()
}

// serverLog is an io.Writer that logs each line of the HTTP server's own log as an
// event.
type serverLog struct{ log *zerolog.Logger }

// Write implements io.Writer.
func (s serverLog) Write(line []byte) (int, error) {
	events.CallerFault.Log(s.log).Str("error", string(line)).Send()
	return len(line), nil
}

// ServerLog returns a logger for the HTTP server that serves callers. Its lines are
// written to log as events.
func ServerLog(log *zerolog.Logger) *stdlog.Logger { return stdlog.New(serverLog{log}, "", 0) }
