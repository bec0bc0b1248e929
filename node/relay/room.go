package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/placement"
)

// reserved is the engine that a request goes to.
type reserved struct {
	permit *permit
	// reservation names the memory that the engine has set aside; empty for none.
	reservation string
}

// ErrNoRoom reports that an engine refused a reservation for want of capacity.
var ErrNoRoom = errors.New("the engine has no room")

const (
	// roomLook is the mean interval at which a waiting request looks for room, spread
	// over half to one and a half times that, so that not all of them choose an engine
	// that has just started before the first load reports arrive.
	roomLook = 60 * time.Millisecond
	// roomObjectives is how many times its objective a request waits for room at
	// most. Callers give a stream up that has not begun after four times that.
	roomObjectives = 3.4
	// roomLeast is the wait where the operator gives no objective or a short one;
	// callers wait two seconds in any case.
	roomLeast = 1700 * time.Millisecond
	// roomPatience is the part of a caller's patience that it may be held for: what is
	// left is enough to come back and be served.
	roomPatience = 0.5
	// fullFor is how long an engine counts as full after it has refused a reservation:
	// a stream ends there every second or so.
	fullFor = 80 * time.Millisecond
	// reserveWithin bounds the call that sets room aside: an exchange of some
	// milliseconds, after which a stalled engine has cost its caller little.
	reserveWithin = 300 * time.Millisecond
)

// reserveFor finds the engine for a stream, nil if there is none. Streams that do not
// tell what they generate are placed by load alone.
func (r *Relay) reserveFor(ctx context.Context, req *Request) *reserved {
	if req.Route.Generates {
		return r.awaitReservation(ctx, req)
	}
	if p := r.placePermitted(ctx, req); p != nil {
		return &reserved{permit: p}
	}
	return nil
}

// awaitReservation finds an engine with room for a generation, and waits for one; nil if
// there is none in time.
//
// Entries learn of each other's choices some milliseconds late, and several choose the memory
// that one stream has freed. A reservation at the engine grants it to one of them; the others
// try elsewhere instead of waiting there.
func (r *Relay) awaitReservation(ctx context.Context, req *Request) *reserved {
	began := time.Now()
	at := r.tryReserve(ctx, req)
	if at != nil {
		return at
	}
	limit := req.roomLimit()
	for at == nil && ctx.Err() == nil && time.Now().Before(limit) {
		if r.place(req, req.Service, req.asked) == nil {
			return nil // none could take it at all
		}
		pause(ctx, time.Duration((0.5+rand.Float64())*float64(roomLook)))
		at = r.tryReserve(ctx, req)
	}
	r.obs.Held(req, time.Since(began))
	return at
}

// roomLimit is until when the request waits for room.
func (req *Request) roomLimit() time.Time {
	wait := max(roomLeast, time.Duration(roomObjectives*float64(req.Route.Objective)))
	limit := req.Arrived.Add(wait)
	last := req.Arrived.Add(time.Duration(roomPatience * float64(req.Deadline.Sub(req.Arrived))))
	if last.Before(limit) {
		return last
	}
	return limit
}

// waiting describes the request to the placement.
func (req *Request) waiting(now time.Time) placement.Waiting {
	return placement.Waiting{
		Rank: rank(req), Length: req.length, Prompt: req.Ask.PromptTokens,
		Left:         req.Arrived.Add(req.Route.Objective).Sub(now),
		HasObjective: req.Route.Objective > 0,
	}
}

// tryReserve asks engines that seem to have room, one after the other, until one
// gives it.
func (r *Relay) tryReserve(ctx context.Context, req *Request) *reserved {
	for range maxLooks {
		t := r.pickWithRoom(req)
		if t == nil {
			return nil
		}
		if at := r.reserveAt(ctx, req, t); at != nil {
			return at
		}
	}
	return nil
}

// reserveAt takes a permit for one engine and makes a reservation there; nil if either is
// refused. The permit comes first: a reservation that is not used keeps room from others.
func (r *Relay) reserveAt(ctx context.Context, req *Request, t *Target) *reserved {
	p, ok := r.permit(ctx, req, t)
	if !ok {
		return nil
	}
	e := r.engine(req.Service)
	if e == nil || e.Reserves == 0 {
		return &reserved{permit: p}
	}
	t.hold(req.tokens, req.Ask.PromptTokens)
	defer func() {
		t.read(req.Ask.PromptTokens)
		t.release(req.tokens)
	}()
	within, cancel := context.WithTimeout(ctx, reserveWithin)
	defer cancel()
	id, err := r.engines.Reserve(within, t.Address, req.tokens, e.Reserves)
	if err == nil {
		return &reserved{permit: p, reservation: id}
	}
	r.giveBack(p)
	r.obs.NoRoom(req, t, err)
	switch {
	case errors.Is(err, ErrNoRoom):
		t.fullTill.Store(time.Now().Add(fullFor).UnixNano())
	case ctx.Err() == nil:
		t.failed(time.Now())
	}
	return nil
}

// pickWithRoom chooses an engine that seems to have room, nil if none has.
func (r *Relay) pickWithRoom(req *Request) *Target {
	list := r.targets.Of(req.Service)
	now := time.Now()
	choice := placement.Pick(r.candidates(req, list, req.asked, now), placement.Need{
		Zone:   r.set.Zone,
		Tokens: req.tokens,
		Draws:  placement.DrawsFor(len(list), r.targets.Entries()),
		Room:   placement.RoomFor(req.waiting(now), r.reading.of(req.Service)),
	}, rand.Float64)
	if choice < 0 {
		return nil
	}
	return list[choice]
}

// pause waits for a while, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
