package control

import (
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/regroup"
	"almondseam.dev/core/state"
	"almondseam.dev/node/events"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

const namespace = "almondseam_control"

// Metrics implements Observer with Prometheus metrics and log events.
type Metrics struct {
	log       *zerolog.Logger
	saves     *prometheus.HistogramVec
	entries   prometheus.Counter
	applied   prometheus.Counter
	refusals  *prometheus.CounterVec
	leaders   prometheus.Counter
	term      prometheus.Gauge
	isLeader  prometheus.Gauge
	snapshots *prometheus.CounterVec
	dropped   prometheus.Counter
	self      atomic.Uint64
}

// NewMetrics registers the metrics of the member self and returns its Observer.
func NewMetrics(reg prometheus.Registerer, log *zerolog.Logger, self consensus.MemberID) *Metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	}
	gauge := func(name, help string) prometheus.GaugeOpts {
		return prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	}
	m := &Metrics{
		log: log,
		saves: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "save_seconds",
			Help:      "Time of a save to the data folder, by whether it was synced.",
			Buckets:   prometheus.ExponentialBuckets(0.0001, 2, 14),
		}, []string{"sync"}),
		entries:   f.NewCounter(counter("saved_entries_total", "Log entries saved.")),
		applied:   f.NewCounter(counter("applied_entries_total", "Log entries applied.")),
		refusals:  f.NewCounterVec(counter("refusals_total", "Requests to this member that were refused, by reason."), []string{"reason"}),
		leaders:   f.NewCounter(counter("leader_changes_total", "Changes of leader seen by this member.")),
		term:      f.NewGauge(gauge("term", "Term of the agreement.")),
		isLeader:  f.NewGauge(gauge("leads", "1 while this member leads.")),
		snapshots: f.NewCounterVec(counter("snapshots_total", "Snapshots, taken here or received."), []string{"how"}),
		dropped:   f.NewCounter(counter("inbox_dropped_total", "Messages of peers dropped for want of room.")),
	}
	m.SetMemberID(self)
	for r := range api.Reasons {
		m.refusals.WithLabelValues(string(r))
	}
	return m
}

// SetMemberID sets the ID of the observed member. A member whose data directory was lost
// rejoins under a new ID.
func (m *Metrics) SetMemberID(self consensus.MemberID) { m.self.Store(uint64(self)) }

// Saved implements Observer.
func (m *Metrics) Saved(entries int, sync bool, took time.Duration) {
	label := "no"
	if sync {
		label = "yes"
	}
	m.saves.WithLabelValues(label).Observe(took.Seconds())
	m.entries.Add(float64(entries))
}

// Applied implements Observer.
func (m *Metrics) Applied(n int) { m.applied.Add(float64(n)) }

// ConfigApplied implements Observer.
func (m *Metrics) ConfigApplied(c state.Config) {
	events.ConfigApplied.Log(m.log).Uint64("revision", uint64(c.Revision)).Uint64("version", c.Version).Uint64("index", c.Index).Send()
}

// Refused implements Observer.
func (m *Metrics) Refused(reason api.Reason) {
	m.refusals.WithLabelValues(string(reason)).Inc()
	if reason == api.ReasonUnauthenticated || reason == api.ReasonForbidden {
		events.ControlStranger.Log(m.log).Str("reason", string(reason)).Send()
	}
}

// LeaderChanged implements Observer.
func (m *Metrics) LeaderChanged(leader consensus.MemberID, term uint64) {
	m.leaders.Inc()
	m.term.Set(float64(term))
	m.isLeader.Set(0)
	if uint64(leader) == m.self.Load() {
		m.isLeader.Set(1)
	}
	e := events.ControlLeader
	if leader == 0 {
		e = events.ControlNoLeader
	}
	e.Log(m.log).Uint64("leader", uint64(leader)).Uint64("term", term).Send()
}

// Snapshotted implements Observer.
func (m *Metrics) Snapshotted(index uint64, bytes int, received bool) {
	how := "taken"
	if received {
		how = "received"
	}
	m.snapshots.WithLabelValues(how).Inc()
	events.ControlSnapshot.Log(m.log).Uint64("index", index).Int("bytes", bytes).Str("how", how).Send()
}

// InboxFull implements Observer.
func (m *Metrics) InboxFull() { m.dropped.Inc() }

// MembershipChangeProposed implements Observer.
func (m *Metrics) MembershipChangeProposed(d regroup.Decision, err error) {
	events.ControlMended.Log(m.log).Str("change", d.Change.Type.String()).Uint64("member", uint64(d.Change.ID)).
		Str("cause", string(d.Cause)).Uint64("lost", uint64(d.Lost)).Dur("silent_for", d.SilentFor).AnErr("refused", err).Send()
}

// Failed implements Observer.
func (m *Metrics) Failed(err error) { events.ControlFailed.Log(m.log).Err(err).Send() }
