package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/origin"
	"almondseam.dev/core/targetstate"
)

const (
	// confirmTimeout bounds one call that confirms the run of a target, confirmTries the number of
	// calls.
	confirmTimeout = 300 * time.Millisecond
	confirmTries   = 2
	// announceDelay is the longest time from a failure of a target, if the target has ended and started
	// again, to the announcement of its new run.
	announceDelay = 4 * time.Second
)

// ErrNoRunStated reports a target that has no page on which it states the start of its run.
var ErrNoRunStated = errors.New("the target does not state its run")

// OtherRunError reports that another run of a target answers than the one that this entry knows.
type OtherRunError struct {
	Peer api.TargetID
	// Want and Got are the starts of the runs.
	Want, Got int64
}

// Error implements error.
func (e *OtherRunError) Error() string {
	return fmt.Sprintf("confirm the run of %s: run %d answers instead of %d", e.Peer, e.Got, e.Want)
}

// confirmRun returns an error unless a response that has begun to arrive from a target is of the run
// that this entry knows. A target that starts again under the same ID may run other software, and
// its announcement may arrive later than its first responses.
//
// The run that made the response had started before the target states the start of its run here, and
// not before the run that this entry knows, so that an equal start identifies it. A target whose runs
// are not told apart is not asked. One that does not state its run is in the run that was announced last,
// unless it has failed so recently that another announcement may follow.
func (r *Relay) confirmRun(ctx context.Context, req *Request, t *Target) error {
	if t.Born == 0 {
		return nil
	}
	var born int64
	var err error
	for range confirmTries {
		within, cancel := context.WithTimeout(ctx, confirmTimeout)
		born, err = r.engines.Run(within, r.peer(req, t, targetstate.UseHeld))
		cancel()
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrNoRunStated) {
			break
		}
	}
	if errors.Is(err, ErrNoRunStated) && t.successorByName() == nil && !t.failedSince(time.Now().Add(-announceDelay)) {
		born, err = t.Born, nil
	}
	if err == nil && born != t.Born {
		err = &OtherRunError{Peer: t.Target, Want: t.Born, Got: born}
		t.drain() // the known run has ended, and the other one has not been announced
	}
	r.obs.RunConfirmed(req, t, err)
	return err
}

// doubt records a failure that this or another entry has seen.
func (t *Target) doubt(now time.Time) {
	t.failedAt.Store(&now)
	t.doubted.Store(true)
}

// failedSince reports whether a failure of the target was seen after a time.
func (t *Target) failedSince(then time.Time) bool {
	at := t.failedAt.Load()
	return at != nil && at.After(then)
}

// successorByName returns the later run of the target under the same ID, nil if none is announced.
func (t *Target) successorByName() *Target {
	if next := t.successor.Load(); next != nil && next.Target == t.Target {
		return next
	}
	return nil
}

// recordOrigin records the software that brought the stream's first event. Where the target may have
// started again since its announcement, it is asked for its run.
func (s *streamRun) recordOrigin(l *leg) {
	if s.req.origin.Load() != nil {
		s.reviseOrigin(l)
		return
	}
	l.beganStream = true
	began := l.target.origin()
	if l.target.doubted.Load() || l.target.successorByName() != nil {
		began = s.confirmedOrigin(l, l.target)
	}
	s.req.origin.Store(&began)
	if s.req.Route.Resumable && began.Known() {
		s.relay.origins.Began(s.streamKey(), began, originTTL(s.req))
	}
}

func (s *streamRun) streamKey() origin.Key {
	return origin.KeyOf(s.req.customerID(), s.req.Ask.Request)
}

// confirmedOrigin returns the origin of a stream that a leg has begun, after its target has stated its
// run. The result is unknown if the target does not.
func (s *streamRun) confirmedOrigin(l *leg, t *Target) origin.Origin {
	err := s.relay.confirmRun(l.ctx, s.req, t)
	var other *OtherRunError
	switch {
	case err == nil:
		t.doubted.Store(false)
		l.confirmed = true
		return t.origin()
	case errors.As(err, &other) && other.Got != 0:
		l.confirmed = true
		return origin.OfRun(t.Service, t.Target, other.Got)
	}
	return origin.Origin{}
}

// reviseOrigin determines the origin of a stream anew if its target has been announced again, with a
// later start, while the stream goes on.
func (s *streamRun) reviseOrigin(l *leg) {
	next := l.target.successorByName()
	if next == nil || !l.beganStream || l.revised {
		return
	}
	l.revised = true
	if l.confirmed {
		s.resolveRun()
		return
	}
	s.storeRevised(s.confirmedOrigin(l, next))
}

// resolveRun replaces the run that began the stream by its software version, if that is known now.
func (s *streamRun) resolveRun() {
	o := s.relay.targets.resolve(*s.req.origin.Load())
	s.req.origin.Store(&o)
}

// settleOrigin is called when a leg has broken off. If its target was announced again meanwhile, it is
// not known which of the two runs made the stream's events.
func (s *streamRun) settleOrigin(l *leg) {
	switch {
	case s.req.origin.Load() == nil:
	case l.beganStream && !l.confirmed && l.target.successorByName() != nil:
		s.storeRevised(origin.Origin{})
	default:
		s.resolveRun()
	}
}

// storeRevised replaces the origin of the stream, at other entries too.
func (s *streamRun) storeRevised(o origin.Origin) {
	if old := s.req.origin.Swap(&o); *old == o {
		return
	}
	if s.req.Route.Resumable {
		s.relay.origins.Revised(s.streamKey(), o, originTTL(s.req))
	}
}

// knowsRun reports whether the run of a target that began a stream is known.
func (t *Targets) knowsRun(o origin.Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byID[o.Target]
	return known != nil && o.IsRun(known.Target, known.Born)
}

// resolve returns the software version of a run of a target if it is known, and the run otherwise.
func (t *Targets) resolve(o origin.Origin) origin.Origin {
	if o.Software != "" || o.Born == 0 {
		return o
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.byID[o.Target]; known != nil && known.Born == o.Born {
		return known.origin()
	}
	return o
}
