package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/handoff"
	"almondseam.dev/node/upstream"
)

// streamRun is one stream on its way from engine to engine to its caller.
type streamRun struct {
	relay *Relay
	req   *Request
	ctx   context.Context

	events int
	lastID string
	goes   int
	// began tells that the caller has the answer's head.
	began bool
	// pausedAt is when the last event went out.
	pausedAt time.Time
	flush    func() error
}

// leg is the part of a stream that one engine makes.
type leg struct {
	target *Target
	// backup holds a copy of the run's memory as it grows; nil for none.
	backup *Target
	x      *upstream.Exchange
	ctx    context.Context
	cancel context.CancelFunc
}

// stream serves a request whose answer is a series of events.
func (r *Relay) stream(ctx context.Context, req *Request) {
	r.firstSend(req)
	s := &streamRun{relay: r, req: req, ctx: ctx, lastID: req.Ask.LastEvent}
	s.flush = http.NewResponseController(req.out).Flush
	s.run()
}

func (s *streamRun) run() {
	l, outcome := s.first()
	for l != nil {
		end := s.follow(l)
		if end == nil {
			s.finish()
			return
		}
		if s.req.callerGone() {
			l.close()
			s.relay.gone(s.req)
			return
		}
		if s.ctx.Err() != nil {
			l.close()
			s.broken(api.ReasonTimeout)
			return
		}
		l, outcome = s.goOn(l, end)
	}
	s.noMore(outcome)
}

// first finds the engine that the stream begins at.
func (s *streamRun) first() (*leg, string) {
	why := "first"
	outcome := outcomeNotRun
	for {
		t := s.relay.place(s.req, s.req.Service, s.req.asked)
		if t == nil {
			return nil, outcome
		}
		s.req.asked = append(s.req.asked, t)
		var l *leg
		l, outcome = s.begin(t, Directive{LastEvent: s.lastID}, why)
		if l != nil {
			return l, outcome
		}
		if s.ctx.Err() != nil || !s.relay.mayGoOn(s.req, outcome) || !s.relay.repeat(s.req) {
			return nil, outcome
		}
		why = outcome
	}
}

// begin sends the request to an engine.
func (s *streamRun) begin(t *Target, d Directive, why string) (*leg, string) {
	l := &leg{target: t, backup: s.backupFor(t)}
	if l.backup != nil {
		d.CopyTo = l.backup.Address
		l.backup.hold(s.req.tokens)
	}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	t.hold(s.req.tokens)
	x, outcome := s.relay.send(l.ctx, s.req, t, d, why)
	l.x = x
	if x == nil {
		l.release(s.req.tokens)
		return nil, outcome
	}
	return l, outcome
}

// close ends the leg's exchange; its engine drops the work.
func (l *leg) close() {
	l.cancel()
	l.x.Close()
}

func (l *leg) release(tokens int) {
	l.cancel()
	l.target.release(tokens)
	if l.backup != nil {
		l.backup.release(tokens)
	}
}

// follow passes events on until the stream ends, nil if it ended whole.
func (s *streamRun) follow(l *leg) error {
	defer l.release(s.req.tokens)
	if l.x.Status != http.StatusOK {
		return s.passOn(l)
	}
	events := newEventReader(l.x.Body)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			l.close()
			return nil
		}
		if err != nil {
			l.close()
			return err
		}
		if err := s.give(l, ev); err != nil {
			l.close()
			return err
		}
		if l.target.departs.Load() && s.shouldLeave(l) {
			l.close()
			return errLeft
		}
	}
}

// errLeft ends a leg whose engine leaves.
var errLeft = errors.New("the engine leaves")

func (s *streamRun) situation(l *leg, cause handoff.Cause) handoff.Situation {
	return handoff.Situation{
		Cause:     cause,
		Events:    s.events,
		Ran:       s.req.mayHaveRun,
		Resumable: s.req.Route.Resumable,
		HasCopy:   l.backup != nil && !l.backup.departs.Load(),
		CanMove:   s.canMove(),
		Goes:      s.goes,
	}
}

// shouldLeave tells whether the stream leaves an engine that leaves.
func (s *streamRun) shouldLeave(l *leg) bool {
	return handoff.Next(s.situation(l, handoff.CauseLeaving)) == handoff.ActionFromCopy
}

// give passes one event on.
func (s *streamRun) give(l *leg, ev event) error {
	if !s.began {
		copyAnswerHead(s.req.out.Header(), l.x.Header)
		s.req.out.WriteHeader(l.x.Status)
		s.began = true
	}
	if _, err := s.req.out.Write(ev.raw); err != nil {
		return err
	}
	if len(ev.id) > 0 {
		s.lastID = string(ev.id)
	}
	s.events++
	s.pausedAt = time.Now()
	return s.flush()
}

// passOn gives the caller an engine's answer that is no stream.
func (s *streamRun) passOn(l *leg) error {
	defer l.close()
	if s.began {
		return errors.New("engine answered " + strconv.Itoa(l.x.Status) + " to a stream that goes on")
	}
	body, whole, err := readUpTo(l.x.Body, maxWhole)
	if err != nil {
		return err
	}
	s.relay.answer(s.req, l.x, body, whole)
	s.began, s.events = true, -1
	return nil
}

// goOn finds where the stream goes on.
func (s *streamRun) goOn(l *leg, end error) (*leg, string) {
	cause := handoff.CauseLost
	if errors.Is(end, errLeft) {
		cause = handoff.CauseLeaving
	} else {
		l.target.failed(time.Now())
	}
	s.relay.obs.Attempted(s.req, l.target, outcomeLost, end)
	for {
		s.goes++
		switch handoff.Next(s.situation(l, cause)) {
		case handoff.ActionFromCopy:
			next, outcome := s.fromCopy(l)
			if next != nil || s.ctx.Err() != nil {
				return next, outcome
			}
			l.backup = nil
			cause = handoff.CauseNoCopy
		case handoff.ActionAgain:
			return s.again(l)
		default:
			return nil, outcomeLost
		}
	}
}

// fromCopy goes on at the engine that has the run's memory.
func (s *streamRun) fromCopy(l *leg) (*leg, string) {
	if !s.relay.repeat(s.req) {
		return nil, outcomeLost
	}
	d := Directive{CopyFrom: Copy{Address: l.backup.Address, ID: string(s.req.Ask.Request)}, LastEvent: s.lastID}
	next, outcome := s.begin(l.backup, d, "copy")
	if next != nil {
		s.relay.obs.Moved(s.req, l.target, l.backup, "copy", time.Since(s.pausedAt))
	}
	return next, outcome
}

// again runs the request anew after the last event.
func (s *streamRun) again(l *leg) (*leg, string) {
	s.req.asked = append(s.req.asked, l.target)
	if !s.relay.mayGoOn(s.req, outcomeLost) || !s.relay.repeat(s.req) {
		return nil, outcomeLost
	}
	t := s.relay.place(s.req, s.req.Service, s.req.asked)
	if t == nil {
		return nil, outcomeLost
	}
	next, outcome := s.begin(t, Directive{LastEvent: s.lastID}, "again")
	if next != nil {
		s.relay.obs.Moved(s.req, l.target, t, "again", time.Since(s.pausedAt))
	}
	return next, outcome
}

// finish ends a stream that was given whole.
func (s *streamRun) finish() {
	if s.events < 0 {
		return // answered by passOn
	}
	if !s.began {
		s.req.out.WriteHeader(http.StatusOK)
	}
	s.relay.obs.Ended(s.req, http.StatusOK, Answered)
}

// noMore ends a stream that nothing more can be done for.
func (s *streamRun) noMore(outcome string) {
	switch {
	case s.req.callerGone():
		s.relay.gone(s.req)
	case s.ctx.Err() != nil:
		s.broken(api.ReasonTimeout)
	case s.began:
		s.broken(api.ReasonEngineDied)
	case len(s.req.asked) == 0 || !s.req.mayHaveRun:
		s.relay.exhausted(s.req, outcome)
	default:
		s.broken(api.ReasonEngineDied)
	}
}

// broken ends a stream early. One that has begun ends without its last chunk, so
// that it doesn't look whole.
func (s *streamRun) broken(reason api.Reason) {
	if s.began {
		s.relay.obs.Ended(s.req, http.StatusOK, string(reason))
		panic(http.ErrAbortHandler)
	}
	if reason == api.ReasonTimeout {
		s.relay.timedOut(s.req)
		return
	}
	s.relay.fail(s.req, http.StatusBadGateway, reason, 0)
}
