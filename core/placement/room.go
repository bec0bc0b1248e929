package placement

import (
	"math"
	"time"
)

// Room says what an engine must have free for a request to be sent there. Requests
// without room are queued at the entry, because a queue at the engine cannot be cancelled
// and a running stream might be preempted.
type Room struct {
	// Fill is up to which part of its memory an engine may be taken with the
	// request.
	Fill float64
	// Unread is how many tokens of other prompts may wait there to be read.
	Unread int
	// Spare is the part of the engines that must have room for one more request besides.
	Spare float64
}

const (
	// admitFill is up to which part of their memory engines are filled.
	admitFill = 1.0
	// unreadRoom is how many tokens of other prompts an engine may have to read before
	// a request of the first rank that has no objective or can't keep it any more, half
	// as many before others.
	unreadRoom = 8000
	// spareRank is the part of the engines with room that other ranks leave to the first.
	spareRank = 0.03
	// spareLong is the part that the longest generations leave to shorter ones besides.
	spareLong = 0.06
	// spareLate is the part that requests which can't begin in time any more leave to
	// the others.
	spareLate = 0.5
	// typicalShare is the part of an engine's memory for which an engine must have
	// room to count as spare.
	typicalShare = 0.15
)

// Waiting is a request that looks for room.
type Waiting struct {
	// Rank orders requests, 0 goes first.
	Rank int
	// Length is the rank of the generation's likely length among those of late, from
	// 0, the shortest, to 1.
	Length float64
	// Prompt is the length of its prompt in tokens.
	Prompt int
	// Left is how long it may take until it begins to answer, zero or less if that
	// time is over. HasObjective tells that there is such a time at all.
	Left         time.Duration
	HasObjective bool
}

// startMargin is the part of the time left that reading may take as far as it can be
// foreseen: other entries send prompts there in the same instant.
const startMargin = 0.8

// late tells whether the request can't begin in time anywhere, at so many tokens read
// a second.
func (w *Waiting) late(speed float64) bool { return w.HasObjective && w.inTime(speed) < 0 }

// inTime gives how many tokens of other prompts an engine may have to read first so
// that the request begins in time.
func (w *Waiting) inTime(speed float64) int {
	return int(startMargin*w.Left.Seconds()*speed) - w.Prompt
}

// unread gives how many tokens of other prompts an engine may have to read first.
func (w *Waiting) unread(speed float64) int {
	switch {
	case w.HasObjective && !w.late(speed):
		return w.inTime(speed)
	case w.Rank > 0:
		return unreadRoom / 2
	}
	return unreadRoom
}

// RoomFor gives what a request needs among so many engines, which read prompts at so
// many tokens a second.
//
// Load pattern: for some ten seconds the demand for memory exceeds what the engines have,
// so that some callers can't be served in time whatever is done. Memory given to the
// shortest generations first serves twice the callers. A prompt that is sent to an engine
// which can't read it in time is late and takes memory from one that could be in time, so
// that nearly all are late in the end. So a prompt is sent only where there is time to
// read it, and a request that is late already leaves room to others, of any rank.
func RoomFor(w Waiting, speed float64) *Room {
	room := &Room{Fill: admitFill, Unread: w.unread(speed)}
	switch {
	case w.late(speed):
		room.Spare = spareLate
	case w.Rank > 0:
		room.Spare = spareRank + spareLong*w.Length
	}
	return room
}

// in tells whether a target has the room. One without memory of its own, as a
// plain service is, always has.
func (r *Room) in(c *Candidate, tokens int) bool {
	if c.Capacity == 0 {
		return true
	}
	return !c.Full && c.Unread <= r.Unread && c.fits(tokens, r.Fill)
}

// spares tells whether enough engines have room for others.
func (r *Room) spares(list []Candidate) bool {
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
