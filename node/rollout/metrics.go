package rollout

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/rollout"
	"almondseam.dev/node/events"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

const namespace = "almondseam"

// Metrics is an Observer that updates metrics and writes log events.
type Metrics struct {
	log       *zerolog.Logger
	stepped   *prometheus.CounterVec
	sent      *prometheus.CounterVec
	switched  *prometheus.CounterVec
	revision  prometheus.Gauge
	followers prometheus.Gauge
	unusable  prometheus.Counter
}

// NewMetrics registers the metrics of one process. Every label value is exported from
// the start, with the value 0.
func NewMetrics(reg prometheus.Registerer, log *zerolog.Logger) *Metrics {
	f := promauto.With(reg)
	m := &Metrics{
		log:       log,
		stepped:   f.NewCounterVec(counter("config_events_total", "What was made of messages that carry configurations."), []string{"event"}),
		sent:      f.NewCounterVec(counter("config_sent_total", "Configurations passed on to agents, by form."), []string{"form"}),
		switched:  f.NewCounterVec(counter("config_switched_total", "Times the agent took another entry to follow, by why."), []string{"why"}),
		revision:  f.NewGauge(gauge("config_revision", "Configuration revision in force; 0 for none.")),
		followers: f.NewGauge(gauge("config_followers", "Agents that follow this entry.")),
		unusable:  f.NewCounter(counter("config_unusable_total", "Configurations that could not be read or compiled.")),
	}
	m.initLabels()
	return m
}

func counter(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}

func gauge(name, help string) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
}

func (m *Metrics) initLabels() {
	for _, e := range []rollout.Event{
		rollout.EventApplied, rollout.EventStale, rollout.EventGap, rollout.EventDigest,
		rollout.EventConflict, rollout.EventConfirmed, rollout.EventIgnored, EventDropped,
	} {
		m.stepped.WithLabelValues(string(e))
	}
	m.sent.WithLabelValues(SentDelta)
	m.sent.WithLabelValues(SentWhole)
	m.switched.WithLabelValues(SwitchedLink)
	m.switched.WithLabelValues(SwitchedSilence)
}

// Stepped implements Observer.
func (m *Metrics) Stepped(e rollout.Event) {
	m.stepped.WithLabelValues(string(e)).Inc()
	if e == rollout.EventConflict {
		events.ConfigConflict.Log(m.log).Send()
	}
}

// InForce implements Observer.
func (m *Metrics) InForce(rev api.Revision, site api.Site) {
	m.revision.Set(float64(rev))
	if site == "" {
		events.ConfigNoSite.Log(m.log).Uint64("revision", uint64(rev)).Send()
	}
	events.ConfigInForce.Log(m.log).Uint64("revision", uint64(rev)).Str("site", string(site)).Send()
}

// Unusable implements Observer.
func (m *Metrics) Unusable(rev api.Revision, err error) {
	m.unusable.Inc()
	events.ConfigUnusable.Log(m.log).Uint64("revision", uint64(rev)).Err(err).Send()
}

// Sent implements Observer.
func (m *Metrics) Sent(what string) { m.sent.WithLabelValues(what).Inc() }

// Followers implements Observer.
func (m *Metrics) Followers(n int) { m.followers.Set(float64(n)) }

// Switched implements Observer.
func (m *Metrics) Switched(why string) {
	m.switched.WithLabelValues(why).Inc()
	events.ConfigSwitched.Log(m.log).Str("why", why).Send()
}
