package rollout

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"almondseam.dev/core/rollout"
)

func metricValue(c *qt.C, reg *prometheus.Registry, name, label string) float64 {
	families, err := reg.Gather()
	c.Assert(err, qt.IsNil)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() != name || label != "" && m.GetLabel()[0].GetValue() != label {
				continue
			}
			return m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	c.Fatalf("no metric %s %s", name, label)
	return 0
}

func TestMetricsCountAndLog(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	reg := prometheus.NewRegistry()
	m := NewMetrics(reg, &log)
	c.Assert(metricValue(c, reg, "almondseam_config_events_total", "digest"), qt.Equals, 0.0)
	m.Stepped(rollout.EventConflict)
	m.InForce(7, "")
	m.Unusable(8, errors.New("unknown key"))
	m.Switched(SwitchedSilence)
	m.Followers(3)
	m.Sent(SentWhole)
	c.Assert(metricValue(c, reg, "almondseam_config_events_total", "conflict"), qt.Equals, 1.0)
	c.Assert(metricValue(c, reg, "almondseam_config_revision", ""), qt.Equals, 7.0)
	c.Assert(metricValue(c, reg, "almondseam_config_followers", ""), qt.Equals, 3.0)
	c.Assert(metricValue(c, reg, "almondseam_config_sent_total", "whole"), qt.Equals, 1.0)
	for _, want := range []string{`"event":600`, `"event":601`, `"event":602`, `"event":603`, `"event":604`, "unknown key"} {
		c.Assert(out.String(), qt.Contains, want)
	}
}
