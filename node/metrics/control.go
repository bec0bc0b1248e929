package metrics

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/node/events"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Control is the view that a control member reports to.
type Control struct {
	*Set
	saves     *prometheus.HistogramVec
	entries   prometheus.Counter
	applied   prometheus.Counter
	leader    prometheus.Gauge
	term      prometheus.Gauge
	snapshots *prometheus.CounterVec
	inboxFull prometheus.Counter
}

// NewControl adds the metrics of a control member to a set.
func NewControl(s *Set) *Control {
	f := promauto.With(s.Registry)
	saves := prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "control_save_seconds",
		Help:      "Time of one save to the data folder.",
		Buckets:   prometheus.ExponentialBuckets(0.0001, 2, 14),
	}
	return &Control{
		Set:       s,
		saves:     f.NewHistogramVec(saves, []string{"sync"}),
		entries:   f.NewCounter(counter("control_entries_saved_total", "Log entries saved.")),
		applied:   f.NewCounter(counter("control_applied_total", "Commands applied.")),
		leader:    f.NewGauge(gauge("control_leader", "Member that leads, 0 for nobody.")),
		term:      f.NewGauge(gauge("control_term", "Term of the agreement.")),
		snapshots: f.NewCounterVec(counter("control_snapshots_total", "Snapshots, taken here or received."), []string{"how"}),
		inboxFull: f.NewCounter(counter("control_inbox_full_total", "Members' messages dropped for want of room.")),
	}
}

// Saved implements control.Observer.
func (c *Control) Saved(entries int, sync bool, took time.Duration) {
	label := "no"
	if sync {
		label = "yes"
	}
	c.saves.WithLabelValues(label).Observe(took.Seconds())
	c.entries.Add(float64(entries))
}

// Applied implements control.Observer.
func (c *Control) Applied(n int) { c.applied.Add(float64(n)) }

// Refused implements control.Observer.
func (c *Control) Refused(reason api.Reason) { c.refusals.WithLabelValues(string(reason)).Inc() }

// LeaderChanged implements control.Observer.
func (c *Control) LeaderChanged(leader consensus.MemberID, term uint64) {
	c.leader.Set(float64(leader))
	c.term.Set(float64(term))
	e := events.LeaderChanged
	if leader == 0 {
		e = events.LeaderLost
	}
	e.Log(c.log).Uint64("leader", uint64(leader)).Uint64("term", term).Send()
}

// Snapshotted implements control.Observer.
func (c *Control) Snapshotted(index uint64, bytes int, received bool) {
	how := "taken"
	if received {
		how = "received"
	}
	c.snapshots.WithLabelValues(how).Inc()
	events.SnapshotDone.Log(c.log).Uint64("index", index).Int("bytes", bytes).Str("how", how).Send()
}

// InboxFull implements control.Observer.
func (c *Control) InboxFull() { c.inboxFull.Inc() }

// Failed implements control.Observer.
func (c *Control) Failed(err error) { events.MemberFailed.Log(c.log).Err(err).Send() }
