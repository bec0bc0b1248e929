package inbound

import "time"

const (
	// smallBody is the size, in bytes, up to which a body may use the part of the memory that is reserved for
	// small ones, 1/reservedDivisor.
	smallBody       = 64 << 10
	reservedDivisor = 4
	// bodyGrace is how long a body may take before it can be given up for another one.
	bodyGrace = time.Second
)

// Bodies decides which request bodies are read when they occupy all the memory that they may. Bodies up to smallBody
// have a part of it to themselves. Beyond that, the body that arrives most slowly is given up.
//
// It reads no clock. It is not safe for concurrent use.
type Bodies struct {
	// bound and reserved are in bytes; a bound of zero is none.
	bound, reserved int64
	arriving        map[*Body]struct{}
}

// NewBodies returns a decision for that many bytes of memory, zero for no bound.
func NewBodies(bound int64) *Bodies {
	return &Bodies{bound: bound, arriving: make(map[*Body]struct{})}
}

// Body is a request body that is arriving.
type Body struct {
	began time.Time
	// occupied is its memory, received what has arrived of it, in bytes.
	occupied, received int64
	givenUp            bool
	// Abort ends the reading of the body.
	Abort func()
}

// Reserved returns the reserved memory in bytes.
func (b *Bodies) Reserved() int64 { return b.reserved }

// Reserve reserves memory that belongs to no arriving body. It returns false if there is none.
func (b *Bodies) Reserve(n int64) bool {
	if !b.fits(n, n) {
		return false
	}
	b.reserved += n
	return true
}

// Release releases memory.
func (b *Bodies) Release(n int64) { b.reserved -= n }

// Begin adds a body of which nothing has arrived.
func (b *Bodies) Begin(abort func(), now time.Time) *Body {
	body := &Body{began: now, Abort: abort}
	b.arriving[body] = struct{}{}
	return body
}

// Grow reserves memory for a body of which so much has arrived. It returns false if there is none. givenUp are the
// bodies whose memory was taken for it: they are to be aborted.
func (b *Bodies) Grow(body *Body, more, received int64, now time.Time) (givenUp []*Body, ok bool) {
	body.received = received
	if body.givenUp {
		return nil, false
	}
	for !b.fits(more, body.occupied+more) {
		slowest := b.slowest(body, now)
		if slowest == nil {
			return givenUp, false
		}
		slowest.givenUp = true
		b.Abandon(slowest)
		givenUp = append(givenUp, slowest)
	}
	body.occupied += more
	b.reserved += more
	return givenUp, true
}

// Arrived records that a body is whole. Its memory stays reserved until Release. It returns false if the body has been
// given up.
func (b *Bodies) Arrived(body *Body) bool {
	delete(b.arriving, body)
	return !body.givenUp
}

// Abandon releases the memory of a body that has not arrived whole.
func (b *Bodies) Abandon(body *Body) {
	delete(b.arriving, body)
	b.reserved -= body.occupied
	body.occupied = 0
}

// fits reports whether n more bytes are free for something that then has the given size.
func (b *Bodies) fits(n, size int64) bool {
	bound := b.bound
	if size > smallBody {
		bound -= b.bound / reservedDivisor
	}
	return b.bound <= 0 || b.reserved+n <= bound
}

// slowest returns the arriving body that is given up for another one, nil if there is none: the slowest of those older
// than bodyGrace. Small bodies are not given up for large ones.
func (b *Bodies) slowest(asking *Body, now time.Time) (slowest *Body) {
	for body := range b.arriving {
		if now.Sub(body.began) < bodyGrace || body.occupied <= smallBody && asking.occupied > smallBody {
			continue
		}
		if slowest == nil || body.rate(now) < slowest.rate(now) {
			slowest = body
		}
	}
	if slowest == asking {
		return nil
	}
	return slowest
}

// rate returns how fast the body has arrived, in bytes per second.
func (body *Body) rate(now time.Time) float64 {
	return float64(body.received) / now.Sub(body.began).Seconds()
}
