package crash

import (
	"encoding/binary"
	"hash/maphash"
	"sync/atomic"
	"time"

	"almondseam.dev/core/quarantine"
)

const (
	// servedTime is how long a run that ended well shows that its request does not crash targets.
	servedTime = 10 * time.Second
	// servedSlots is the number of requests remembered. Of two in the same slot the later one is.
	servedSlots = 4096
	// servedTimeBits is the number of low bits of a slot that hold the time, in seconds; the
	// others hold the hash of the request.
	servedTimeBits = 24
	servedTimeMask = 1<<servedTimeBits - 1
)

// servedLog remembers which requests were served recently at this entry process. It is safe for
// concurrent use.
type servedLog struct {
	seed  maphash.Seed
	start time.Time
	slots [servedSlots]atomic.Uint64
}

func newServedLog() *servedLog { return &servedLog{seed: maphash.MakeSeed(), start: time.Now()} }

// add records that a run of a request has ended well.
func (l *servedLog) add(id *Identity, now time.Time) { l.set(l.hash(id), now) }

// addPart records that a run has written an answer on a part of its prompt.
func (l *servedLog) addPart(f quarantine.Fingerprint, now time.Time) {
	l.set(binary.BigEndian.Uint64(f[:8]), now)
}

func (l *servedLog) set(h uint64, now time.Time) {
	l.slots[h%servedSlots].Store(h&^servedTimeMask | l.seconds(now))
}

// has reports whether a run of the request has ended well within servedTime.
func (l *servedLog) has(id *Identity, now time.Time) bool { return l.isSet(l.hash(id), now) }

// hasPart reports whether a run has written an answer on the part within servedTime.
func (l *servedLog) hasPart(f quarantine.Fingerprint, now time.Time) bool {
	return l.isSet(binary.BigEndian.Uint64(f[:8]), now)
}

func (l *servedLog) isSet(h uint64, now time.Time) bool {
	slot := l.slots[h%servedSlots].Load()
	age := (l.seconds(now) - slot) & servedTimeMask
	return slot != 0 && slot&^servedTimeMask == h&^servedTimeMask && age <= uint64(servedTime/time.Second)
}

// seconds returns a time as a number of servedTimeBits bits, which is never zero at first.
func (l *servedLog) seconds(now time.Time) uint64 {
	return (uint64(now.Sub(l.start)/time.Second) + 1) & servedTimeMask
}

func (l *servedLog) hash(id *Identity) uint64 {
	var h maphash.Hash
	h.SetSeed(l.seed)
	for _, field := range []string{string(id.Customer), id.Host, id.Method, id.URI} {
		_, _ = h.WriteString(field) // never fails
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(id.Body)
	return h.Sum64()
}
