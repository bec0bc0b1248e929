package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/placement"
	"almondseam.dev/core/targetstate"
)

// reservedTarget is the engine that was selected for a request.
type reservedTarget struct {
	permit *permit
	// reservation is the ID of the engine's reservation, empty if there is none.
	reservation string
}

// ErrNoRoom reports that an engine refused a reservation for lack of capacity.
var ErrNoRoom = errors.New("the engine has no room")

const (
	// roomPollInterval is the mean interval at which a waiting request looks for an engine with
	// room. The actual intervals vary from 0.5 to 1.5 times the mean, so that the waiting
	// requests do not all choose an engine that has just started before its first load reports
	// arrive.
	roomPollInterval = 60 * time.Millisecond
	// looksPerThorough is the number of looks of which one considers all engines.
	looksPerThorough = 8
	// roomWaitObjectives is the longest wait for room, as a multiple of the route's objective.
	// Callers give up a stream that has not begun after four times the objective.
	roomWaitObjectives = 3.4
	// minRoomWait is the wait if the route has no objective or a short one. Callers wait at
	// least two seconds in any case.
	minRoomWait = 1700 * time.Millisecond
	// roomPatienceShare is the fraction of the caller's patience that the wait may take: the
	// rest suffices for the caller to retry and be served.
	roomPatienceShare = 0.5
	// fullTime is how long an engine counts as full after it has refused a reservation: a
	// stream ends there about once a second.
	fullTime = 80 * time.Millisecond
	// reserveTimeout bounds a call that makes a reservation. The call normally takes some
	// milliseconds; the bound keeps a stalled engine from delaying the caller much.
	reserveTimeout = 300 * time.Millisecond
)

// reserveFor finds the engine for a stream, nil if there is none. Streams of routes that do not
// state their token counts are placed by load alone.
func (r *Relay) reserveFor(ctx context.Context, req *Request) *reservedTarget {
	if req.Route.Generates {
		return r.awaitReservation(ctx, req)
	}
	if p := r.pickPermitted(ctx, req); p != nil {
		return &reservedTarget{permit: p}
	}
	return nil
}

// awaitReservation finds an engine with room for a generation, and waits for one if there is
// none. It returns nil if there is still none when the wait ends.
//
// Entries learn of each other's choices some milliseconds late, so several of them may choose
// the memory that one finished stream has freed. A reservation at the engine gives that memory
// to one of them; the others try other engines instead of waiting there.
func (r *Relay) awaitReservation(ctx context.Context, req *Request) *reservedTarget {
	began := time.Now()
	at := r.tryReserve(ctx, req, true)
	if at != nil {
		return at
	}
	limit := req.roomDeadline()
	for look := 1; at == nil && ctx.Err() == nil && time.Now().Before(limit); look++ {
		if r.pickTarget(req, req.Service, req.tried) == nil {
			return nil // no engine may be used at all
		}
		if !r.pause(ctx, time.Duration((0.5+rand.Float64())*float64(roomPollInterval))) {
			break
		}
		at = r.tryReserve(ctx, req, look%looksPerThorough == 0)
	}
	r.obs.Held(req, time.Since(began))
	return at
}

// roomDeadline returns the time until which the request waits for room.
func (req *Request) roomDeadline() time.Time {
	wait := max(minRoomWait, time.Duration(roomWaitObjectives*float64(req.Route.Objective)))
	limit := req.Arrived.Add(wait)
	last := req.Arrived.Add(time.Duration(roomPatienceShare * float64(req.Deadline.Sub(req.Arrived))))
	if last.Before(limit) {
		return last
	}
	return limit
}

// waiting describes the request to the placement.
func (req *Request) waiting(now time.Time) placement.Waiting {
	return placement.Waiting{
		Rank: rank(req), Length: req.costRank, Prompt: req.Ask.PromptTokens,
		Left:         req.Arrived.Add(req.Route.Objective).Sub(now),
		HasObjective: req.Route.Objective > 0,
	}
}

// tryReserve tries engines that seem to have room, one after the other, until one makes a
// reservation. For thorough see pickWithRoom.
func (r *Relay) tryReserve(ctx context.Context, req *Request, thorough bool) *reservedTarget {
	if t := r.pickTrial(req, time.Now()); t != nil {
		if at := r.reserveAs(ctx, req, t, targetstate.UseTrial); at != nil {
			return at
		}
	}
	for range maxTargetTries {
		t := r.pickWithRoom(req, thorough)
		if t == nil {
			return nil
		}
		if at := r.reserveAt(ctx, req, t); at != nil {
			return at
		}
	}
	return nil
}

// reserveAt acquires a permit for one engine and makes a reservation there; it returns nil if
// either is refused. The permit comes first, because an unused reservation keeps room from
// other requests.
func (r *Relay) reserveAt(ctx context.Context, req *Request, t *Target) *reservedTarget {
	return r.reserveAs(ctx, req, t, r.useOf(req, t))
}

// reserveAs is reserveAt for a given use of the engine.
func (r *Relay) reserveAs(ctx context.Context, req *Request, t *Target, use targetstate.Use) *reservedTarget {
	p, ok := r.permit(ctx, req, t, use)
	if !ok {
		return nil
	}
	e := r.engine(req.Service)
	if e == nil || e.ReservationTTL == 0 {
		return &reservedTarget{permit: p}
	}
	t.addRequest(req.tokens, req.Ask.PromptTokens)
	defer func() {
		t.removeUnread(req.Ask.PromptTokens)
		t.removeRequest(req.tokens)
	}()
	within, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	id, err := r.engines.Reserve(within, r.peer(req, t, use), req.tokens, e.ReservationTTL)
	if err == nil {
		return &reservedTarget{permit: p, reservation: id}
	}
	r.releasePermit(p)
	r.obs.NoRoom(req, t, err)
	switch {
	case isNotAdmitted(err), errors.Is(err, errEvacuated):
	case errors.Is(err, ErrNoRoom):
		t.markFull(fullTime)
	case ctx.Err() == nil:
		t.recordFailure(time.Now())
	}
	return nil
}

// pickWithRoom selects an engine that seems to have room, nil if there is none. It looks at all
// engines if thorough is set, and otherwise at a sample.
func (r *Relay) pickWithRoom(req *Request, thorough bool) *Target {
	list := r.targets.Of(req.Service)
	now, speed := time.Now(), r.prefill.rate(req.Service)
	need := placement.Need{
		Zone:   r.settings.Zone,
		Tokens: req.tokens,
		Draws:  placement.DrawsFor(len(list), r.targets.EntryCount()),
		Room:   placement.RoomFor(req.waiting(now), speed),
		Pace:   r.newPaceNeed(req, speed),
	}
	return choose(list, thorough, func(part []*Target) int {
		return placement.Pick(r.candidates(req, part, req.tried, now), need, rand.Float64)
	})
}

// pause waits for a time, or until ctx ends. It returns false, at once, if this instance drains.
func (r *Relay) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.draining:
		return false
	case <-t.C:
	case <-ctx.Done():
	}
	return !r.isDraining()
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
