package standin

import "time"

// Now is the load at this moment, without the lag. Tests use it.
func (e *Engine) Now(now time.Time) Load {
	return Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Free:        (e.free + e.cache.idle) * e.cfg.BlockTokens,
		Capacity:    e.cfg.Blocks * e.cfg.BlockTokens,
		Preemptions: e.preemptions,
		At:          now,
	}
}

// Report is the newest load sample that is at least ReportLag old.
func (e *Engine) Report(now time.Time) Load {
	e.sample(now)
	shown := 0
	for i, s := range e.samples {
		if s.At.Add(e.cfg.ReportLag).After(now) {
			break
		}
		shown = i
	}
	e.samples = append(e.samples[:0], e.samples[shown:]...)
	if e.samples[0].At.Add(e.cfg.ReportLag).After(now) {
		return Load{Capacity: e.cfg.Blocks * e.cfg.BlockTokens, Free: e.cfg.Blocks * e.cfg.BlockTokens}
	}
	return e.samples[0]
}

// CacheEvents returns the cache events after seq that are old enough to be
// shown, some of them lost for good.
func (e *Engine) CacheEvents(seq uint64, now time.Time) []CacheEvent {
	return e.cache.since(seq, e.cfg.CacheEventLag, now)
}

// sample records the load unless the last sample is recent.
func (e *Engine) sample(now time.Time) {
	n := len(e.samples)
	if n > 0 && now.Sub(e.samples[n-1].At) < e.cfg.ReportEvery {
		return
	}
	if n > e.keepSamples() {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, e.Now(now))
}

// keepSamples bounds the samples to those younger than the lag and a few more.
func (e *Engine) keepSamples() int { return int(e.cfg.ReportLag/e.cfg.ReportEvery) + 4 }
