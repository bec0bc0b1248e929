package targetfault

import (
	"sync/atomic"
	"time"
)

const (
	// ringBuckets is the number of buckets of a Ring.
	ringBuckets = 12
	// LongWindow is the time over which an instance counts all of its own answers of a target.
	LongWindow = 30 * time.Second
)

// Ring counts the good and failed answers of the last Window or LongWindow without a lock. Its
// methods may be called on nil, which counts nothing.
type Ring struct {
	start time.Time
	width time.Duration
	// buckets each hold the number of the period (32 bits), the failed and the good answers in it
	// (16 bits each).
	buckets [ringBuckets]atomic.Uint64
}

// NewRing returns an empty ring that covers the given window.
func NewRing(window time.Duration, now time.Time) *Ring {
	return &Ring{start: now, width: window / (ringBuckets - 1)}
}

const (
	ringGood   = 1
	ringFailed = 1 << 16
	ringMax    = 1<<16 - 1
	periodBits = 32
)

// Good counts a good answer.
func (r *Ring) Good(now time.Time) { r.add(ringGood, 0, now) }

// Failed counts a failed answer.
func (r *Ring) Failed(now time.Time) { r.add(ringFailed, 16, now) }

func (r *Ring) add(one uint64, shift uint, now time.Time) {
	if r == nil {
		return
	}
	period := r.period(now)
	b := &r.buckets[period%ringBuckets]
	for {
		old := b.Load()
		next := old
		if old>>periodBits != period {
			next = period << periodBits
		}
		if next>>shift&ringMax < ringMax {
			next += one
		}
		if b.CompareAndSwap(old, next) {
			return
		}
	}
}

// period returns the number of the period of a time, from 1 on: an unused bucket is in period 0.
func (r *Ring) period(now time.Time) uint64 {
	return uint64(max(0, now.Sub(r.start))/r.width) + 1
}

// Count returns the answers within the ring's window.
func (r *Ring) Count(now time.Time) (failed, good int) { return r.last(ringBuckets-1, now) }

// Recent returns the answers within the part of the ring's window that is nearest to Window.
func (r *Ring) Recent(now time.Time) (failed, good int) {
	if r == nil {
		return 0, 0
	}
	return r.last(int((Window+r.width-1)/r.width), now)
}

func (r *Ring) last(periods int, now time.Time) (failed, good int) {
	if r == nil {
		return 0, 0
	}
	current := r.period(now)
	for i := range r.buckets {
		v := r.buckets[i].Load()
		if period := v >> periodBits; period == 0 || period+uint64(periods) < current {
			continue
		}
		failed += int(v >> 16 & ringMax)
		good += int(v & ringMax)
	}
	return failed, good
}

// Reset forgets all answers.
func (r *Ring) Reset() {
	if r == nil {
		return
	}
	for i := range r.buckets {
		r.buckets[i].Store(0)
	}
}
