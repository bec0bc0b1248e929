package standin

import "time"

// Now returns the current load without the lag, for tests and for recordSample.
func (e *Engine) Now(now time.Time) Load {
	return Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Free:        (e.freeBlocks + e.cache.idleBlocks) * e.cfg.BlockTokens,
		Capacity:    e.cfg.Blocks * e.cfg.BlockTokens,
		Preemptions: e.preemptions,
		At:          now,
	}
}

// Report returns the newest load sample that is at least ReportLag old, or the load
// of an engine without sequences if there is no such sample.
func (e *Engine) Report(now time.Time) Load {
	e.recordSample(now)
	newest := 0
	for i, s := range e.samples {
		if s.At.Add(e.cfg.ReportLag).After(now) {
			break
		}
		newest = i
	}
	e.samples = append(e.samples[:0], e.samples[newest:]...)
	if e.samples[0].At.Add(e.cfg.ReportLag).After(now) {
		return Load{Capacity: e.cfg.Blocks * e.cfg.BlockTokens, Free: e.cfg.Blocks * e.cfg.BlockTokens}
	}
	return e.samples[0]
}

// CacheEvents returns the cache events with a number above seq that are at least
// CacheEventLag old. Lost events are never returned.
func (e *Engine) CacheEvents(seq uint64, now time.Time) []CacheEvent {
	return e.cache.eventsAfter(seq, e.cfg.CacheEventLag, now)
}

// recordSample records the load unless the last sample is less than ReportEvery old.
func (e *Engine) recordSample(now time.Time) {
	n := len(e.samples)
	if n > 0 && now.Sub(e.samples[n-1].At) < e.cfg.ReportEvery {
		return
	}
	if n > e.maxSamples() {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, e.Now(now))
}

// maxSamples returns the number of samples that cover ReportLag, plus 4. recordSample
// drops the oldest sample when there are more.
func (e *Engine) maxSamples() int { return int(e.cfg.ReportLag/e.cfg.ReportEvery) + 4 }
