package metrics

import (
	"time"

	"almondseam.dev/core/quarantine"
	"almondseam.dev/node/events"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

// Quarantine implements crash.Observer: it counts and logs which requests are refused because they
// crash targets.
type Quarantine struct {
	log *zerolog.Logger
	// changes counts the requests that this instance began and ceased to refuse, notReported the
	// reports that the control group has not received.
	changes     *prometheus.CounterVec
	notReported prometheus.Counter
}

// NewQuarantine registers the metrics in the registry of s.
func NewQuarantine(s *Set) *Quarantine {
	f := promauto.With(s.Registry)
	return &Quarantine{
		log:         s.log,
		changes:     f.NewCounterVec(counter("quarantines_total", "Requests that this instance began or ceased to refuse because they crash targets."), []string{"change"}),
		notReported: f.NewCounter(counter("crashes_not_reported_total", "Reports of crashes, or of runs that ended well, that the control group could not be told of.")),
	}
}

// Quarantined implements crash.Observer.
func (q *Quarantine) Quarantined(r quarantine.Record, left time.Duration) {
	q.changes.WithLabelValues("begun").Inc()
	crashes := zerolog.Arr()
	for _, run := range r.Runs {
		crashes.Dict(zerolog.Dict().Str("target", string(run.Target)).Int64("born", run.Born).Int64("in_progress", run.InProgress))
	}
	addRecord(events.RequestQuarantined.Log(q.log), r).Dur("left", left).Int("times", r.Times).Array("crashes", crashes).Send()
}

// Unquarantined implements crash.Observer.
func (q *Quarantine) Unquarantined(r quarantine.Record) {
	q.changes.WithLabelValues("ended").Inc()
	addRecord(events.RequestUnquarantined.Log(q.log), r).Send()
}

func addRecord(e *zerolog.Event, r quarantine.Record) *zerolog.Event {
	return e.Stringer("fingerprint", r.Fingerprint).Str("customer", string(r.Customer)).Str("uri", r.URI).Int("body_bytes", r.BodyBytes).
		Str("part", r.Part).Int("with", len(r.With))
}

// QuarantineNotReported implements crash.Observer.
func (q *Quarantine) QuarantineNotReported(c quarantine.Command, err error) {
	q.notReported.Inc()
	e := events.CrashNotReported.Log(q.log).Err(err).Int("served", len(c.Served))
	if c.Crash != nil {
		e = e.Str("target", string(c.Crash.Target)).Int64("born", c.Crash.Born).Int("requests", len(c.Crash.Lost))
	}
	e.Send()
}
