package placement

import (
	"math"
	"time"
)

// Room is the free capacity that an engine, and the fleet as a whole, must have for a
// request to be sent. Requests without room are queued at the entry, because a queue at
// the engine cannot be cancelled and a running stream might be preempted.
type Room struct {
	// Fill is the largest fraction of an engine's memory that may be in use, the
	// request included.
	Fill float64
	// Unread is the largest number of unprocessed prompt tokens that the engine may hold.
	Unread int
	// Spare is the fraction of the engines that must be left with room for a typical
	// request of others, besides the engine that the request takes.
	Spare float64
}

const (
	// admitFill is the fraction of its memory up to which an engine is filled.
	admitFill = 1.0
	// maxUnread is the number of unprocessed prompt tokens that an engine may hold to be
	// sent a request of the highest priority that has no objective or can no longer
	// meet it. Half as many are allowed for requests of lower priority.
	maxUnread = 8000
	// spareRank is the fraction of the engines on which requests of lower priority leave
	// room for requests of the highest priority.
	spareRank = 0.03
	// spareLong is the additional fraction on which the longest generations leave room
	// for shorter ones.
	spareLong = 0.06
	// spareLate is the fraction on which requests that can no longer start in time leave
	// room for all others.
	spareLate = 0.5
	// typicalShare is the fraction of its memory that an engine must have free to count
	// as having room for a typical request.
	typicalShare = 0.15
)

// Waiting describes a request that waits for room.
type Waiting struct {
	// Rank is the priority of the request; 0 is the highest.
	Rank int
	// Length is the expected length of the generation, as its rank among recent ones
	// from 0 (shortest) to 1 (longest).
	Length float64
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Left is the time left until the answer must start; zero or less if that time has
	// passed. It is valid only if HasObjective is set.
	Left         time.Duration
	HasObjective bool
}

// startMargin is the fraction of the time left that the known prompts may take to process.
// The rest allows for prompts that other entries send to the same engine at the same time.
const startMargin = 0.8

// late reports whether the request can no longer start in time on any engine. speed is the
// number of prompt tokens that an engine processes a second.
func (w *Waiting) late(speed float64) bool { return w.HasObjective && w.unreadInTime(speed) < 0 }

// unreadInTime returns the largest number of unprocessed prompt tokens that an engine may
// hold so that the request still starts in time; negative if it cannot.
func (w *Waiting) unreadInTime(speed float64) int {
	return int(startMargin*w.Left.Seconds()*speed) - w.Prompt
}

// unreadLimit returns the largest number of unprocessed prompt tokens that an engine may
// hold to be sent the request.
func (w *Waiting) unreadLimit(speed float64) int {
	switch {
	case w.HasObjective && !w.late(speed):
		return w.unreadInTime(speed)
	case w.Rank > 0:
		return maxUnread / 2
	}
	return maxUnread
}

// RoomFor returns the requirement for a request. speed is the number of prompt tokens that
// an engine processes a second.
//
// Load pattern: for some ten seconds the demand for memory exceeds the capacity of the
// engines, so that some callers cannot be served in time in any case. Giving memory to the
// shortest generations first serves twice as many callers. A prompt that is sent to an
// engine that cannot process it in time is late, and takes memory from a request that
// could still start in time, until nearly all requests are late. Therefore a prompt is
// sent only where there is time to process it, and a request that is already late leaves
// room to others, whatever its priority.
func RoomFor(w Waiting, speed float64) *Room {
	room := &Room{Fill: admitFill, Unread: w.unreadLimit(speed)}
	switch {
	case w.late(speed):
		room.Spare = spareLate
	case w.Rank > 0:
		room.Spare = spareRank + spareLong*w.Length
	}
	return room
}

// admits reports whether a target has room for the request. A target without memory of its
// own, such as a plain service, always has.
func (r *Room) admits(c *Candidate, tokens int) bool {
	if c.Capacity == 0 {
		return true
	}
	return !c.Full && c.Unread <= r.Unread && c.fits(tokens, r.Fill)
}

// leavesSpare reports whether enough engines have room for other requests: more than the
// fraction Spare of all, or all of them.
func (r *Room) leavesSpare(list []Candidate) bool {
	if r.Spare == 0 {
		return true
	}
	engines, withRoom := 0, 0
	for i := range list {
		c := &list[i]
		if c.Excluded {
			continue
		}
		engines++
		if c.Capacity == 0 || !c.Full && c.fits(int(typicalShare*float64(c.Capacity)), r.Fill) {
			withRoom++
		}
	}
	left := int(math.Round(r.Spare * float64(engines)))
	return withRoom > min(left, engines-1)
}
