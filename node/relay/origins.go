package relay

import (
	"time"

	"almondseam.dev/core/origin"
)

// recordOrigin records the software that brought the stream's first event. It is unknown until it is
// proved which run of the target serves the stream; events are not held back for that.
func (s *streamRun) recordOrigin(l *leg) {
	if s.req.origin.Load() == nil {
		l.beganStream = true
		s.req.origin.Store(&origin.Origin{Service: l.target.Service})
	}
	if now := time.Now(); l.beganStream && !l.settled && now.Sub(l.settleTried) >= settleInterval {
		l.settleTried = now
		s.settleOrigin(l)
	}
}

// settleInterval is the interval at which it is looked up whether the run of a stream is proved.
const settleInterval = 50 * time.Millisecond

// settleOrigin records the origin of the stream that a leg has begun if it is known which run serves it,
// at the control members too.
func (s *streamRun) settleOrigin(l *leg) {
	if !s.relay.isRun(l.target, l.opening) {
		return
	}
	l.settled = true
	began := l.target.origin()
	s.req.origin.Store(&began)
	if s.req.Route.Resumable && began.Known() {
		s.relay.origins.Began(s.streamKey(), began, originTTL(s.req))
	}
}

// resolveOrigin is called when a leg has broken off. It replaces the run that began the stream by its
// software version, if that is known now.
func (s *streamRun) resolveOrigin(l *leg) {
	if l.beganStream && !l.settled {
		s.settleOrigin(l)
	}
	if known := s.req.origin.Load(); known != nil {
		o := s.relay.targets.resolve(*known)
		s.req.origin.Store(&o)
	}
}

func (s *streamRun) streamKey() origin.Key {
	return origin.KeyOf(s.req.customerID(), s.req.Ask.Request)
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
