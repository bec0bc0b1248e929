package agent

import "almondseam.dev/core/admission"

// applyConfig applies a configuration that has come into force since the last
// tick. The new replay window applies to requests accepted from then on, the new
// replay time also to requests that have already ended.
func (a *Agent) applyConfig() {
	if a.cfg.Live == nil {
		return
	}
	conf := a.cfg.Live.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	if conf == nil || conf == a.appliedConfig {
		return
	}
	a.appliedConfig = conf
	limits, policy := conf.Limits(), conf.Policy()
	a.replayBytes, a.replayTime = int(limits.ReplayBytes), limits.ReplayTime
	b := admission.Bounds{
		QueueLimit: policy.Shed.QueueLength,
		WaitLimit:  policy.Shed.QueueWait,
		Overflow:   policy.Overflow,
	}
	if a.cfg.Queue > 0 {
		b.QueueLimit = a.cfg.Queue
	}
	a.admitter.SetBounds(b)
}
