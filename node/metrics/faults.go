package metrics

import (
	"almondseam.dev/core/api"
	"almondseam.dev/core/targetfault"
	"almondseam.dev/node/events"
	"almondseam.dev/node/relay"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

// Faults implements relay.FaultObserver: it counts and logs failures of targets and the judgement
// on them.
type Faults struct {
	log *zerolog.Logger
	// failures counts by kind, trials by outcome. out counts the targets taken out of use, returns
	// those that are used as before again, keptAway the requests that were sent to another target
	// meanwhile. faulty is the number of targets that are out of use now.
	failures *prometheus.CounterVec
	trials   *prometheus.CounterVec
	out      prometheus.Counter
	returns  prometheus.Counter
	keptAway prometheus.Counter
	faulty   *prometheus.GaugeVec
	// rejected counts reports of other entries that no entry sends.
	rejected prometheus.Counter
}

// NewFaults registers the metrics in the registry of s.
func NewFaults(s *Set) *Faults {
	f := promauto.With(s.Registry)
	return &Faults{
		log:      s.log,
		failures: f.NewCounterVec(counter("relay_target_failures_total", "Answers of targets that were lost or errors of their own, by kind."), []string{"kind"}),
		trials:   f.NewCounterVec(counter("relay_target_trials_total", "Requests sent to a faulty target to see whether it answers again, by outcome."), []string{"outcome"}),
		out:      f.NewCounter(counter("relay_targets_out_total", "Targets taken out of use because they are faulty.")),
		returns:  f.NewCounter(counter("relay_targets_returned_total", "Targets that were faulty and get all of their usual share again.")),
		keptAway: f.NewCounter(counter("relay_target_kept_away_total", "Choices of a target from which a faulty one was left out.")),
		rejected: f.NewCounter(counter("relay_target_reports_rejected_total", "Loads reported by other entries whose failures were negative or too large and were not counted.")),
		faulty:   f.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "relay_faulty_targets", Help: "Targets that are out of use because they are faulty, by service."}, []string{"service"}),
	}
}

// TargetFailed implements relay.FaultObserver.
func (f *Faults) TargetFailed(_ *relay.Target, kind string) { f.failures.WithLabelValues(kind).Inc() }

// TargetOut implements relay.FaultObserver.
func (f *Faults) TargetOut(t *relay.Target, seen targetfault.Counts) {
	f.out.Inc()
	addTarget(events.TargetOut.Log(f.log), "target", t).Str("service", string(t.Service)).Int64("born", t.Born).
		Int("failed", seen.Failed).Int("answered", seen.Answered).Int("entries", seen.Instances).Send()
}

// TrialEnded implements relay.FaultObserver.
func (f *Faults) TrialEnded(r *relay.Request, t *relay.Target, outcome string) {
	f.trials.WithLabelValues(outcome).Inc()
	addTarget(addRequest(events.TargetTrial.Log(f.log), r), "target", t).Str("outcome", outcome).Send()
}

// TargetReturning implements relay.FaultObserver.
func (f *Faults) TargetReturning(t *relay.Target, share float64) {
	if share == 1 {
		f.returns.Inc()
	}
	addTarget(events.TargetReturning.Log(f.log), "target", t).Str("service", string(t.Service)).Float64("share", share).Send()
}

// KeptAway implements relay.FaultObserver.
func (f *Faults) KeptAway(*relay.Request) { f.keptAway.Inc() }

// FaultyTargets implements relay.FaultObserver.
func (f *Faults) FaultyTargets(s api.ServiceID, n int) {
	f.faulty.WithLabelValues(string(s)).Set(float64(n))
}

// ReportsRejected implements relay.FaultObserver.
func (f *Faults) ReportsRejected(n int) { f.rejected.Add(float64(n)) }
