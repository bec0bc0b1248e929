package agent

import "almondseam.dev/core/admission"

// follow applies a configuration that has come in force since the last tick. The
// replay window is that of requests accepted from then on; the replay time is
// also that of those that have ended already.
func (a *Agent) follow() {
	if a.cfg.Live == nil {
		return
	}
	conf := a.cfg.Live.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	if conf == nil || conf == a.applied {
		return
	}
	a.applied = conf
	limits, policy := conf.Limits(), conf.Policy()
	a.replay, a.replayTime = int(limits.ReplayBytes), limits.ReplayTime
	b := admission.Bounds{
		QueueLimit: policy.Shed.QueueLength,
		WaitLimit:  policy.Shed.QueueWait,
		Overflow:   policy.Overflow,
	}
	if a.cfg.Queue > 0 {
		b.QueueLimit = a.cfg.Queue
	}
	a.admit.SetBounds(b)
}
