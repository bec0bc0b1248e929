// Package metrics holds the Prometheus metrics of a process. It implements the
// observer interfaces of the other packages and counts and logs the events that they
// report. The counters of refusals, retries, denied retries and outcomes in Set start
// with a series of value 0 for each known reason or outcome, so that an alert can
// tell "none" from "not measured".
package metrics

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/retry"
	"almondseam.dev/node/control"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/events"
	"almondseam.dev/node/link"
	"almondseam.dev/node/overload"
	"almondseam.dev/node/wire"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

const namespace = "almondseam"

// Set holds the metrics of one process and the log for the events that they count.
type Set struct {
	Registry *prometheus.Registry
	log      *zerolog.Logger

	links         *prometheus.GaugeVec
	linkClosed    *prometheus.CounterVec
	refusedLinks  prometheus.Counter
	refusals      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	deniedRetries *prometheus.CounterVec
	ended         *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	agentEnded    *prometheus.CounterVec
	evacuated     prometheus.Gauge
	unread        prometheus.Counter
	turnaround    prometheus.Histogram
	badPaces      prometheus.Counter
	loadsDropped  prometheus.Counter
	// attemptsLost counts attempts of calls at control members that got no reply, by why.
	attemptsLost *prometheus.CounterVec
}

// New returns a set with its own registry.
func New(log *zerolog.Logger) *Set {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := promauto.With(reg)
	s := &Set{
		Registry:      reg,
		log:           log,
		links:         f.NewGaugeVec(gauge("links", "Links that are up, by the role of the peer."), []string{"role"}),
		linkClosed:    f.NewCounterVec(counter("link_closed_total", "Links that ended, by how."), []string{"why"}),
		refusedLinks:  f.NewCounter(counter("link_refused_total", "Links that were refused in the handshake.")),
		refusals:      f.NewCounterVec(counter("refusals_total", "Requests refused or ended short, by reason."), []string{"reason"}),
		retries:       f.NewCounterVec(counter("retries_total", "Attempts after the first, by the reason of the one before."), []string{"reason"}),
		deniedRetries: f.NewCounterVec(counter("retries_denied_total", "Failed attempts that could have been repeated and were not, by why."), []string{"why"}),
		ended:         f.NewCounterVec(counter("requests_ended_total", "Requests that an entry placed, by outcome."), []string{"outcome"}),
		dropped:       f.NewCounterVec(counter("frames_dropped_total", "Frames that an entry did not take, by why."), []string{"why"}),
		agentEnded:    f.NewCounterVec(counter("agent_requests_ended_total", "Requests that an agent took, by outcome."), []string{"outcome"}),
	}
	s.attemptsLost = f.NewCounterVec(counter("control_attempts_lost_total", "Attempts of calls at control members that got no reply, by why."), []string{"why"})
	s.badPaces = f.NewCounter(counter("load_paces_dropped_total", "Paces of engines in load reports of other entries that no entry can have observed."))
	s.loadsDropped = f.NewCounter(counter("relay_loads_dropped_total", "Loads that other entries reported and that cannot be true."))
	s.unread = f.NewCounter(counter("connections_closed_unread_total", "Connections of callers that were closed unread, because the instance had no processor time for them."))
	s.turnaround = f.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "processor_turnaround_seconds", Buckets: turnaroundBuckets,
		Help: "How long something that is ready waits behind all other work of the process, measured while new connections arrive.",
	})
	s.evacuated = f.NewGauge(gauge("zones_evacuated", "Availability zones whose targets get no new work from this entry."))
	s.initSeries()
	return s
}

// turnaroundBuckets are bounds in seconds: from 1 ms, each twice the one before, to about 2 s.
var turnaroundBuckets = prometheus.ExponentialBuckets(0.001, 2, 12)

// Turnaround implements overload.Observer.
func (s *Set) Turnaround(d time.Duration) { s.turnaround.Observe(d.Seconds()) }

// ProcessorBusy implements overload.Observer.
func (s *Set) ProcessorBusy(turnarounds, waits overload.Times) {
	events.ProcessorBusy.Log(s.log).Int("measured", turnarounds.Number).
		Dur("shortest", turnarounds.Shortest).Dur("mean", turnarounds.Mean()).Dur("longest", turnarounds.Longest).
		Int("admitted", waits.Number).Dur("waited_mean", waits.Mean()).Dur("waited_longest", waits.Longest).Send()
}

// ThreadsAdapted implements overload.Observer.
func (s *Set) ThreadsAdapted(before, now int, used, elapsed time.Duration) {
	events.ThreadsAdapted.Log(s.log).Int("before", before).Int("now", now).Dur("used", used).Dur("elapsed", elapsed).Send()
}

// ThreadsNotAdapted implements overload.Observer.
func (s *Set) ThreadsNotAdapted(err error) {
	events.ThreadsAdapted.Log(s.log).Err(err).Send()
}

// ConnectionsClosed implements overload.Observer.
func (s *Set) ConnectionsClosed(n, waiting int) {
	s.unread.Add(float64(n))
	events.ConnectionsClosed.Log(s.log).Int("closed", n).Int("waiting", waiting).Send()
}

// KeptOrigins registers the number of streams of which a member keeps the origin.
func (s *Set) KeptOrigins(n func() int) {
	promauto.With(s.Registry).NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "kept_origins", Help: "Streams of which this member keeps which software began them."}, func() float64 { return float64(n()) })
}

// BadPaces counts dropped paces of load reports.
func (s *Set) BadPaces(n int) { s.badPaces.Add(float64(n)) }

// Evacuated sets the gauge of evacuated availability zones.
func (s *Set) Evacuated(zones int) { s.evacuated.Set(float64(zones)) }

// LoadsDropped counts reported loads that were not applied.
func (s *Set) LoadsDropped(n uint64) { s.loadsDropped.Add(float64(n)) }

func gauge(name, help string) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
}

func counter(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}

// initSeries creates the series of all known reasons and outcomes with value 0.
func (s *Set) initSeries() {
	for r := range api.Reasons {
		s.refusals.WithLabelValues(string(r))
		s.retries.WithLabelValues(string(r))
	}
	for _, w := range retry.Denials {
		s.deniedRetries.WithLabelValues(string(w))
	}
	for _, o := range []api.Outcome{api.OutcomeCompleted, api.OutcomeNotRun, api.OutcomeInterrupted, api.OutcomeUnknown} {
		s.ended.WithLabelValues(string(o))
		s.agentEnded.WithLabelValues(string(o))
	}
}

// LinkUp implements link.Observer.
func (s *Set) LinkUp(p link.Peer) {
	s.links.WithLabelValues(string(p.Role)).Inc()
	events.LinkUp.Log(s.log).Str("peer", string(p.Instance)).Str("role", string(p.Role)).Send()
}

// DialFailed implements control.ClientObserver.
func (s *Set) DialFailed(addr string, err error) {
	events.LinkDialFailed.Log(s.log).Str("peer", addr).Err(err).Send()
}

// AttemptLost implements control.ClientObserver.
func (s *Set) AttemptLost(member, why string, after time.Duration) {
	s.attemptsLost.WithLabelValues(why).Inc()
	events.ControlAttemptLost.Log(s.log).Str("peer", member).Str("why", why).Dur("after", after).Send()
}

// SeedsChanged implements control.ClientObserver.
func (s *Set) SeedsChanged(addrs []string) {
	events.ControlSeedsChanged.Log(s.log).Strs("addresses", addrs).Send()
}

// LeaderStated implements control.ClientObserver.
func (s *Set) LeaderStated(member string, m control.Leader) {
	events.ControlLeaderStated.Log(s.log).Str("peer", member).Bool("self", m.Self).Str("leader", m.Addr).
		Bool("groupless", m.Groupless).Strs("members", m.Members).Send()
}

// ConfigReceived implements control.ClientObserver.
func (s *Set) ConfigReceived(member string, revision, held api.Revision) {
	events.ConfigReceived.Log(s.log).Str("peer", member).Uint64("revision", uint64(revision)).Uint64("held", uint64(held)).Send()
}

// LinkClosed implements link.Observer.
func (s *Set) LinkClosed(p link.Peer, why string) {
	s.links.WithLabelValues(string(p.Role)).Dec()
	s.linkClosed.WithLabelValues(why).Inc()
	events.LinkDown.Log(s.log).Str("peer", string(p.Instance)).Str("why", why).Send()
}

// HandshakeFailed implements link.Observer.
func (s *Set) HandshakeFailed(err error) {
	s.refusedLinks.Inc()
	events.LinkRefused.Log(s.log).Err(err).Send()
}

// Refused implements callers.Observer.
func (s *Set) Refused(_ api.CustomerID, reason api.Reason) {
	s.refusals.WithLabelValues(string(reason)).Inc()
}

// Entry implements entry.Observer on a Set.
type Entry struct{ *Set }

// Ended implements entry.Observer.
func (s Entry) Ended(r *entry.Request, end entry.End) {
	s.ended.WithLabelValues(string(end.Outcome)).Inc()
	e := events.RequestEnded
	if end.Outcome != api.OutcomeCompleted {
		e = events.RequestFailed
	}
	e.Log(s.log).Str("request", string(r.ID)).Str("customer", string(r.Size.Customer)).
		Str("outcome", string(end.Outcome)).Str("reason", string(end.Reason)).
		Str("peer", end.Peer).Str("detail", end.Detail).Send()
}

// Retried implements entry.Observer.
func (s Entry) Retried(r *entry.Request, reason api.Reason) {
	s.retries.WithLabelValues(string(reason)).Inc()
	events.RequestRetried.Log(s.log).Str("request", string(r.ID)).Str("reason", string(reason)).Send()
}

// Dropped implements entry.Observer.
func (s Entry) Dropped(why string) { s.dropped.WithLabelValues(why).Inc() }

// TargetAnnounced implements entry.Observer.
func (s Entry) TargetAnnounced(t entry.TargetView) { s.target(events.TargetAnnounced, t) }

// TargetLeaving implements entry.Observer.
func (s Entry) TargetLeaving(t entry.TargetView) { s.target(events.TargetLeaving, t) }

// TargetGone implements entry.Observer.
func (s Entry) TargetGone(t entry.TargetView) { s.target(events.TargetGone, t) }

func (s Entry) target(e events.Event, t entry.TargetView) {
	e.Log(s.log).Str("target", string(t.Target)).Uint64("incarnation", uint64(t.Incarnation)).
		Str("zone", string(t.Zone)).Bool("leaving", t.Leaving).Send()
}

// Retries implements retry.Meter, to which the retry policy reports, on a Set.
type Retries struct{ *Set }

var _ retry.Meter = Retries{}

// Retried implements retry.Meter. It does nothing: Entry.Retried counts the retry when
// the entry makes it.
func (Retries) Retried(api.Reason) {}

// Denied implements retry.Meter.
func (s Retries) Denied(w retry.Denial) { s.deniedRetries.WithLabelValues(string(w)).Inc() }

// Agent implements agent.Observer on a Set.
type Agent struct{ *Set }

// Accepted implements agent.Observer.
func (Agent) Accepted(wire.Key) {}

// Refused implements agent.Observer.
func (s Agent) Refused(_ wire.Key, reason api.Reason) {
	s.refusals.WithLabelValues(string(reason)).Inc()
}

// Ended implements agent.Observer.
func (s Agent) Ended(k wire.Key, o api.Outcome, reason api.Reason) {
	s.agentEnded.WithLabelValues(string(o)).Inc()
	e := events.RequestEnded
	if o != api.OutcomeCompleted {
		e = events.RequestFailed
	}
	e.Log(s.log).Str("request", string(k.Request)).Uint32("attempt", uint32(k.Attempt)).
		Str("outcome", string(o)).Str("reason", string(reason)).Send()
}

// BackoffAsked logs that the target has asked for a time without requests, and for how long it is
// sent nothing from now on.
func (s Agent) BackoffAsked(asked, left time.Duration) {
	events.TargetBackoff.Log(s.log).Dur("backoff", asked).Dur("left", left).Send()
}

// LoadFailed implements agent.Observer.
func (s Agent) LoadFailed(err error) { events.TargetLoadFailed.Log(s.log).Err(err).Send() }
