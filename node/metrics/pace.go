package metrics

import (
	"strconv"
	"time"

	"almondseam.dev/node/events"
	"almondseam.dev/node/relay"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// pace counts what is known of engines of unequal pace.
type pace struct {
	predicted   *prometheus.HistogramVec
	placed      *prometheus.CounterVec
	paceChanges *prometheus.CounterVec
}

func newPace(f promauto.Factory) pace {
	return pace{
		predicted:   f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "relay_predicted_pause_seconds", Help: "Longest pause to expect of a stream on the engine that was chosen for it, where known, by route.", Buckets: latencyBuckets}, []string{"route"}),
		placed:      f.NewCounterVec(counter("relay_pace_placed_total", "Streams placed where their route bounds pauses, by route and whether the engine holds the bound: yes, no or unknown."), []string{"route", "holds"}),
		paceChanges: f.NewCounterVec(counter("relay_pace_changes_total", "Engines that no longer hold the pause bound of their streams, or hold it again."), []string{"holds"}),
	}
}

// Placed implements relay.Observer.
func (m *Relay) Placed(r *relay.Request, _ *relay.Target, pause time.Duration) {
	holds := "unknown"
	if pause > 0 {
		m.predicted.WithLabelValues(routeName(r)).Observe(pause.Seconds())
		holds = "yes"
		if pause > r.Route.MaxPause {
			holds = "no"
		}
	}
	m.placed.WithLabelValues(routeName(r), holds).Inc()
}

// PaceChanged implements relay.Observer.
func (m *Relay) PaceChanged(t *relay.Target, pause, bound time.Duration, holds bool) {
	m.paceChanges.WithLabelValues(strconv.FormatBool(holds)).Inc()
	addTarget(events.EnginePace.Log(m.log), "target", t).Dur("pause", pause).Dur("bound", bound).Bool("holds", holds).Send()
}
