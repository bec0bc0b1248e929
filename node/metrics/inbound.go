package metrics

import (
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/events"
	"almondseam.dev/node/inbound"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"
)

// inboundReportInterval is the least time between two log lines on the same listener and reason.
const inboundReportInterval = time.Second

// Inbound implements inbound.Observer: it counts what is refused of clients that occupy too much, and logs it once a second.
type Inbound struct {
	log     *zerolog.Logger
	evicted *prometheus.CounterVec
	failed  *prometheus.CounterVec
	refused *prometheus.CounterVec

	mu sync.Mutex
	// unlogged counts what happened since the last line, by listener and reason.
	unlogged map[[2]string]*unlogged
}

var _ inbound.Observer = (*Inbound)(nil)

// unlogged is what has not been logged yet.
type unlogged struct {
	n    int
	last time.Time
}

// NewInbound registers the counters in the set's registry.
func NewInbound(s *Set) *Inbound {
	f := promauto.With(s.Registry)
	return &Inbound{
		log:      s.log,
		evicted:  f.NewCounterVec(counter("connections_evicted_total", "Connections that were closed for others while they waited for their clients, by listener."), []string{"listener"}),
		failed:   f.NewCounterVec(counter("accepts_failed_total", "Connections that could not be accepted, by listener."), []string{"listener"}),
		refused:  f.NewCounterVec(counter("inbound_refusals_total", "Requests that were refused before they were looked at, by listener and reason."), []string{"listener", "reason"}),
		unlogged: make(map[[2]string]*unlogged),
	}
}

// due counts something, and returns how often it has happened since the last line, zero if no line is due.
func (i *Inbound) due(listener, reason string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	key := [2]string{listener, reason}
	u := i.unlogged[key]
	if u == nil {
		u = &unlogged{}
		i.unlogged[key] = u
	}
	u.n++
	now := time.Now()
	if now.Sub(u.last) < inboundReportInterval {
		return 0
	}
	n := u.n
	u.n, u.last = 0, now
	return n
}

// ConnectionsEvicted implements inbound.Observer.
func (i *Inbound) ConnectionsEvicted(listener string, n, open int, waited time.Duration) {
	i.evicted.WithLabelValues(listener).Add(float64(n))
	events.ConnectionsEvicted.Log(i.log).Str("listener", listener).Int("closed", n).Int("open", open).Dur("waited", waited).Send()
}

// AcceptFailed implements inbound.Observer.
func (i *Inbound) AcceptFailed(listener string, err error) {
	i.failed.WithLabelValues(listener).Inc()
	if n := i.due(listener, "accept"); n > 0 {
		events.AcceptFailed.Log(i.log).Str("listener", listener).Int("failed", n).Err(err).Send()
	}
}

// TurnsNotMeasured implements inbound.Observer.
func (i *Inbound) TurnsNotMeasured(err error) {
	if n := i.due("", "turns"); n > 0 {
		events.TurnsNotMeasured.Log(i.log).Int("failed", n).Err(err).Send()
	}
}

// ConnectionFault implements inbound.Observer.
func (i *Inbound) ConnectionFault(listener string, err error) {
	events.CallerFault.Log(i.log).Str("listener", listener).Err(err).Send()
}

// InboundRefused implements inbound.Observer.
func (i *Inbound) InboundRefused(listener string, reason api.Reason, occupied int64) {
	i.refused.WithLabelValues(listener, string(reason)).Inc()
	if n := i.due(listener, string(reason)); n > 0 {
		events.InboundRefused.Log(i.log).Str("listener", listener).Str("reason", string(reason)).Int("refused", n).Int64("occupied", occupied).Send()
	}
}
