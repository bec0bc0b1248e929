package metrics

import (
	"errors"
	stdlog "log"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/targetlimit"
	"almondseam.dev/node/events"
	"almondseam.dev/node/relay"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

// Relay implements relay.Observer and upstream.Observer: it counts and logs what
// becomes of routed requests.
type Relay struct {
	log      *zerolog.Logger
	refusals *prometheus.CounterVec
	sends    *prometheus.CounterVec
	attempts *prometheus.CounterVec
	moves    *prometheus.CounterVec
	ended    *prometheus.CounterVec
	dials    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	pause    *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	gap      *prometheus.HistogramVec
	copies   *prometheus.HistogramVec
	held     *prometheus.HistogramVec
	noRoom   *prometheus.CounterVec
	granted  *prometheus.CounterVec
	denied   *prometheus.CounterVec
	skipped  *prometheus.CounterVec
	cold     *prometheus.CounterVec
	limits   *prometheus.CounterVec
	limited  *prometheus.CounterVec
	// unreadable counts limits that could not be read.
	unreadable prometheus.Counter
	notStated  prometheus.Counter
}

// latencyBuckets reach from a quick answer to the longest stream, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 14)

// NewRelay registers the metrics of a relay.
func NewRelay(s *Set) *Relay {
	f := promauto.With(s.Registry)
	r := &Relay{
		log:        s.log,
		refusals:   s.refusals,
		sends:      f.NewCounterVec(counter("relay_sends_total", "Requests sent to a target, by why."), []string{"why"}),
		attempts:   f.NewCounterVec(counter("relay_attempts_total", "What sends came to."), []string{"outcome"}),
		moves:      f.NewCounterVec(counter("relay_migrations_total", "Streams that were continued at another engine, by how."), []string{"how"}),
		ended:      f.NewCounterVec(counter("relay_ended_total", "Ended requests, by route and outcome."), []string{"route", "outcome"}),
		noRoom:     f.NewCounterVec(counter("relay_no_room_total", "Reservations that engines did not give, by whether they said that they are full."), []string{"full"}),
		granted:    f.NewCounterVec(counter("relay_retries_granted_total", "Retries that the budget allowed, by what they were for and where they were paid from."), []string{"why", "paid"}),
		denied:     f.NewCounterVec(counter("relay_retries_denied_total", "Retries that the budget did not allow, by what they were for and the reason."), []string{"why", "reason"}),
		cold:       f.NewCounterVec(counter("relay_cold_starts_total", "Requests to cold targets, by whether they were granted and why not."), []string{"granted", "reason"}),
		limits:     f.NewCounterVec(counter("relay_target_limits_total", "Changes of what is believed of targets' limits, by whether they name one."), []string{"limited"}),
		limited:    f.NewCounterVec(counter("relay_limited_sends_total", "Requests to targets that name a limit, by whether they were granted and why not."), []string{"granted", "reason"}),
		notStated:  f.NewCounter(counter("relay_target_limits_not_stated_total", "Limits of targets that the control group could not be told of.")),
		unreadable: f.NewCounter(counter("relay_target_limits_unreadable_total", "Answers of targets that name a limit that can't be read.")),
		skipped:    f.NewCounterVec(counter("relay_migrations_skipped_total", "Migrations of streams that were skipped, by why."), []string{"why"}),
		dials:      f.NewCounterVec(counter("relay_dials_total", "Connections opened to targets."), []string{"ok"}),
		latency:    f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_seconds", Help: "Time from a request's arrival to its end, by route.", Buckets: latencyBuckets}, []string{"route"}),
		pause:      f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_migration_pause_seconds", Help: "Pause of a stream that was continued at another engine.", Buckets: latencyBuckets}, []string{"how"}),
		held:       f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_held_seconds", Help: "Time that requests waited at the entry for an engine with room, by route.", Buckets: latencyBuckets}, []string{"route"}),
		copies:     f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_copy_seconds", Help: "Time of a copy of a run between two engines, by whether the run was stopped and whether it worked.", Buckets: latencyBuckets}, []string{"stop", "ok"}),
		first:      f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_first_event_seconds", Help: "Time from a request's arrival to the first event of its stream, by route.", Buckets: latencyBuckets}, []string{"route"}),
		gap:        f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_longest_gap_seconds", Help: "Longest pause between two events of a stream, by route.", Buckets: latencyBuckets}, []string{"route"}),
	}
	return r
}

func request(e *zerolog.Event, r *relay.Request) *zerolog.Event {
	e = e.Str("request", string(r.Ask.Request)).Uint64("version", r.Version).Dur("after", time.Since(r.Arrived))
	if r.Route != nil {
		e = e.Str("route", r.Route.Name).Str("service", string(r.Service))
	}
	return e
}

func target(e *zerolog.Event, key string, t *relay.Target) *zerolog.Event {
	return e.Str(key, string(t.Target)).Str(key+"_address", t.Address).Object(key+"_load", load(t.Load()))
}

// load writes the load of a target, by all entries as this one knows it.
type load fleetload.Load

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l load) MarshalZerologObject(e *zerolog.Event) {
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
	request(events.RequestRefused.Log(m.log), r).Int("status", status).Str("reason", string(reason)).Send()
}

// Held implements relay.Observer.
func (m *Relay) Held(r *relay.Request, waited time.Duration) {
	m.held.WithLabelValues(routeName(r)).Observe(waited.Seconds())
	request(events.RequestHeld.Log(m.log), r).Dur("waited", waited).Send()
}

// NoRoom implements relay.Observer.
func (m *Relay) NoRoom(r *relay.Request, t *relay.Target, err error) {
	m.noRoom.WithLabelValues(strconv.FormatBool(errors.Is(err, relay.ErrNoRoom))).Inc()
	target(request(events.RequestNoRoom.Log(m.log), r).AnErr("error", err), "target", t).Send()
}

// Sent implements relay.Observer.
func (m *Relay) Sent(r *relay.Request, t *relay.Target, why string) {
	m.sends.WithLabelValues(why).Inc()
	target(request(events.RequestSent.Log(m.log), r).Str("why", why), "target", t).Send()
}

// Attempted implements relay.Observer.
func (m *Relay) Attempted(r *relay.Request, t *relay.Target, outcome string, err error) {
	m.attempts.WithLabelValues(outcome).Inc()
	if outcome == relay.Answered {
		return
	}
	target(request(events.RequestAttempted.Log(m.log), r).Str("outcome", outcome).AnErr("error", err), "target", t).Send()
}

// Copied implements relay.Observer.
func (m *Relay) Copied(r *relay.Request, from, to *relay.Target, stop bool, took time.Duration, err error) {
	m.copies.WithLabelValues(strconv.FormatBool(stop), strconv.FormatBool(err == nil)).Observe(took.Seconds())
	e := request(events.RequestCopied.Log(m.log), r).Bool("stop", stop).Dur("took", took).AnErr("error", err)
	target(target(e, "from", from), "to", to).Send()
}

// RetryGranted implements relay.Observer.
func (m *Relay) RetryGranted(r *relay.Request, why string, v relay.RetryVerdict) {
	m.granted.WithLabelValues(why, v.Paid).Inc()
	retryFigures(request(events.RetryGranted.Log(m.log), r).Str("why", why).Str("paid", v.Paid), v).Send()
}

// RetryDenied implements relay.Observer.
func (m *Relay) RetryDenied(r *relay.Request, why string, v relay.RetryVerdict) {
	m.denied.WithLabelValues(why, string(v.Reason)).Inc()
	retryFigures(request(events.RetryDenied.Log(m.log), r).Str("why", why).Str("reason", string(v.Reason)), v).Send()
}

// Dropped implements relay.Observer.
func (m *Relay) Dropped(r *relay.Request, at *relay.Target, err error) {
	e := request(events.CopyDropped.Log(m.log), r)
	target(e, "at", at).Err(err).Send()
}

// ColdStart implements relay.Observer.
func (m *Relay) ColdStart(r *relay.Request, t *relay.Target, v relay.RetryVerdict) {
	m.cold.WithLabelValues(strconv.FormatBool(v.OK), string(v.Reason)).Inc()
	e := request(events.ColdStart.Log(m.log), r)
	target(e, "target", t).Bool("granted", v.OK).Str("reason", string(v.Reason)).Int("used", v.Used).Float64("allowed", v.Allowed).Dur("took", v.Took).Send()
}

// LimitChanged implements relay.Observer.
func (m *Relay) LimitChanged(r *relay.Request, t *relay.Target, before, after targetlimit.Statement) {
	m.limits.WithLabelValues(strconv.FormatBool(after.Limited)).Inc()
	e := target(events.TargetLimited.Log(m.log), "target", t)
	if r != nil {
		e = request(e.Str("source", "answer"), r)
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
	m.limited.WithLabelValues(strconv.FormatBool(v.OK), string(v.Reason)).Inc()
	e := target(request(events.LimitedSend.Log(m.log), r), "target", t)
	e.Bool("granted", v.OK).Str("reason", string(v.Reason)).Float64("rate", limit.Rate).Dur("age", time.Since(limit.Received)).
		Int("used", v.Used).Dur("next", v.RetryAfter).Dur("took", v.Took).Send()
}

// LimitNotStated implements relay.Observer.
func (m *Relay) LimitNotStated(t *relay.Target, err error) {
	m.notStated.Inc()
	target(events.TargetLimitNotStated.Log(m.log), "target", t).Err(err).Send()
}

// LimitUnreadable implements relay.Observer.
func (m *Relay) LimitUnreadable(r *relay.Request, t *relay.Target, err error) {
	m.unreadable.Inc()
	target(request(events.TargetLimitError.Log(m.log), r), "target", t).Err(err).Send()
}

func retryFigures(e *zerolog.Event, v relay.RetryVerdict) *zerolog.Event {
	return e.Int("own_used", v.Own.Used).Float64("own_allowed", v.Own.Allowed).
		Int("used", v.Used).Float64("allowed", v.Allowed).Dur("took", v.Took)
}

// MigrationSkipped implements relay.Observer.
func (m *Relay) MigrationSkipped(r *relay.Request, from *relay.Target, why string) {
	m.skipped.WithLabelValues(why).Inc()
	target(request(events.RequestNotMoved.Log(m.log), r).Str("why", why), "from", from).Send()
}

// Migrated implements relay.Observer.
func (m *Relay) Migrated(r *relay.Request, from, to *relay.Target, how string, pause time.Duration) {
	m.moves.WithLabelValues(how).Inc()
	m.pause.WithLabelValues(how).Observe(pause.Seconds())
	e := request(events.RequestMoved.Log(m.log), r).Str("how", how).Dur("pause", pause)
	target(target(e, "from", from), "to", to).Send()
}

// Ended implements relay.Observer.
func (m *Relay) Ended(r *relay.Request, status int, outcome string) {
	m.ended.WithLabelValues(routeName(r), outcome).Inc()
	m.latency.WithLabelValues(routeName(r)).Observe(time.Since(r.Arrived).Seconds())
	e := events.RequestEnded
	if outcome != relay.Answered {
		e = events.RequestFailed
	}
	line := request(e.Log(m.log), r).Int("status", status).Str("outcome", outcome)
	if r.Route != nil {
		line = line.Stringer("kind", r.Route.Kind).Dur("objective", r.Route.Objective)
	}
	if st := r.Stream; st.Events > 0 {
		m.first.WithLabelValues(routeName(r)).Observe(st.First.Seconds())
		m.gap.WithLabelValues(routeName(r)).Observe(st.LongestGap.Seconds())
		line = line.Int("prompt", r.Ask.PromptTokens).Int("most", r.Ask.MaxTokens).Int("likely", r.Ask.LikelyTokens).Dur("patience", r.Ask.Patience)
		line = line.Dur("first", st.First).Dur("longest_gap", st.LongestGap).Int("events", st.Events).Int("migrations", st.Migrations)
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

// Directory implements registry.Observer.
type Directory struct{ Log *zerolog.Logger }

// Changed implements registry.Observer.
func (d Directory) Changed(r directory.Record, source string) {
	events.TargetChanged.Log(d.Log).Str("target", string(r.Target)).Str("service", string(r.Service)).
		Str("address", r.Address).Str("state", r.State.String()).Int64("born", r.Born).Uint64("sequence", r.Sequence).
		Str("source", source).Send()
}

// serverLog passes what the HTTP server logs on as events.
type serverLog struct{ log *zerolog.Logger }

// Write implements io.Writer.
func (s serverLog) Write(line []byte) (int, error) {
	events.CallerFault.Log(s.log).Str("error", string(line)).Send()
	return len(line), nil
}

// ServerLog gives the log of an HTTP server for callers.
func ServerLog(log *zerolog.Logger) *stdlog.Logger { return stdlog.New(serverLog{log}, "", 0) }
