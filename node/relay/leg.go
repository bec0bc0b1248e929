package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/node/upstream"
)

// leg is the part of a stream that one engine serves.
type leg struct {
	target *Target
	// standby is the engine that receives a copy of the run's KV cache as it grows, nil if
	// there is none.
	standby *Target
	x       *upstream.Exchange
	ctx     context.Context
	cancel  context.CancelFunc
	// migration prepares the next leg; nil until the engine drains.
	migration *migration
	// hasEvents is set after the first event: from then on the run would be migrated if its
	// engine drained. stays is set while it is not, because it ends in time.
	hasEvents, stays bool
	// firstEventAt is when the leg brought its first event; writes is set once that is writingTime ago.
	// Both are used by the goroutine that forwards events.
	firstEventAt time.Time
	writes       bool
	// opening is that of the connection on which the request was sent.
	opening upstream.Opening
	// beganStream is set if the leg brought the stream's first event, and settled once it is known which
	// run of the target serves it; settleTried is when that was looked up last. They are used by the goroutine that forwards events.
	beganStream, settled bool
	settleTried          time.Time

	// sentAt is when the request was sent. queuedTokens is the number of prompt tokens that the
	// engine then had to process, including the request's own.
	sentAt       time.Time
	queuedTokens int
	// left stops the run once the stream has left it, nil before that. It is used by the goroutine that
	// forwards events. stopCalls counts the calls that stop the run.
	left      *leftRun
	stopCalls atomic.Int32
	// copiedTo is the engine to which the run was copied last, nil for none.
	copiedTo atomic.Pointer[Target]
	// gaps is used by the goroutine that forwards events.
	gaps gapTracker

	mu     sync.Mutex
	tokens int // KV cache tokens counted on the target, and on the standby if there is one
	unread int // prompt tokens counted on the target as not yet processed
	// backlog is what the target's backlog of migrations counts of the run.
	backlog legBacklog
	ended   bool
	// endedAt is when the leg ended, zero before that.
	endedAt time.Time
}

// legBacklog is what the backlog of migrations of an engine counts of a run.
type legBacklog uint8

const (
	// backlogNone: nothing, because the run would not be migrated if the engine drained now.
	backlogNone legBacklog = iota
	// backlogTokens: its memory, but not the run, because the runs after it need not wait.
	backlogTokens
	// backlogRun: its memory and the run.
	backlogRun
)

// startLeg sends the request to an engine under a permit. If the outcome is not Answered, the
// returned leg has ended, and serves only to tell which engine may hold a copy of the run. Nothing is sent
// while an engine that the stream has left may work on the request.
func (s *streamRun) startLeg(ctx context.Context, p *permit, d Directive, why string) (*leg, string) {
	t := p.target
	if !s.awaitLeft(ctx) {
		s.relay.releasePermit(p)
		s.relay.obs.Attempted(s.req, t, outcomeOccupied, nil)
		return &leg{target: t}, outcomeOccupied
	}
	l := &leg{target: t, standby: s.standbyFor(t), tokens: s.tokens(), unread: s.unread(d)}
	if l.standby != nil {
		d.CopyTo = l.standby.Address
		l.standby.addTokens(l.tokens)
	}
	t.addRequest(l.tokens, l.unread)
	l.sentAt, l.queuedTokens = time.Now(), t.Load().Unread
	l.ctx, l.cancel = context.WithCancel(ctx)
	s.latestLeg.Store(l)
	x, outcome := s.relay.send(l.ctx, s.req, p, d, why)
	l.x, l.opening = x, p.opening
	if !p.sentAt.IsZero() {
		l.sentAt = p.sentAt
	}
	if x == nil {
		l.end()
		switch {
		case outcome != outcomeLost:
		case s.ctx.Err() != nil:
			s.leave(l, leftCallerGone)
		default:
			s.leave(l, leftUnanswered)
		}
		return l, outcome
	}
	s.usedCopy = d.CopyFrom
	if d.CopyFrom.Address == t.Address {
		s.req.stops.settle(t)
	}
	if d.CopyFrom.ID != "" || s.req.origin.Load() != nil {
		return l, s.confirmLeg(l)
	}
	return l, outcome
}

// confirmLeg ends a leg that continues a stream, unless its target confirms its run. It returns the
// outcome of the send.
func (s *streamRun) confirmLeg(l *leg) string {
	ctx, cancel := context.WithTimeout(l.ctx, maxResumePause)
	defer cancel()
	if err := s.relay.confirmRun(ctx, s.req, l.target, l.opening); err != nil {
		s.relay.obs.Attempted(s.req, l.target, outcomeUnknownRun, err)
		l.end()
		s.leave(l, leftUnknownRun)
		l.x = nil
		return outcomeUnknownRun
	}
	return Answered
}

// unread returns the number of prompt tokens that an engine has to process: none if it
// continues from a copy of the run.
func (s *streamRun) unread(d Directive) int {
	if d.CopyFrom.ID != "" {
		return 0
	}
	return s.req.Ask.PromptTokens
}

// finishPrefill records that the engine has processed the prompt. It returns how many prompt
// tokens the engine had to process when the request was sent, and the time since then. It
// returns no tokens if the prompt was recorded before, or if the engine had none to process.
func (l *leg) finishPrefill() (tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unread > 0 {
		tokens, took = l.queuedTokens, time.Since(l.sentAt)
	}
	l.target.removeUnread(l.unread)
	l.unread = 0
	return tokens, took
}

// heldTokens returns the number of KV cache tokens that the leg counts on its engine.
func (l *leg) heldTokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens
}

// updateTokens sets the number of KV cache tokens that the leg counts on its engine and on its
// standby.
func (l *leg) updateTokens(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	by := tokens - l.tokens
	l.tokens = tokens
	l.target.addTokens(by)
	if l.standby != nil {
		l.standby.addTokens(by)
	}
	if l.backlog != backlogNone {
		l.target.addUnbacked(0, by)
	}
}

// setBacklog changes what the engine's backlog counts of the run.
func (l *leg) setBacklog(b legBacklog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.changeBacklog(b)
	}
}

// setBacklogOnce counts the run in the engine's backlog from the first event on.
func (l *leg) setBacklogOnce() {
	if !l.hasEvents {
		l.hasEvents = true
		l.setBacklog(backlogRun)
	}
}

// stop returns what is known of the calls of a request that stop the leg's run.
func (l *leg) stop(req *Request) handoff.Stop { return req.stops.at(l.target, l.sentAt) }

// changeBacklog is setBacklog for a caller that holds l.mu.
func (l *leg) changeBacklog(b legBacklog) {
	if b == l.backlog {
		return
	}
	runs, tokens := l.backlogSize(b)
	oldRuns, oldTokens := l.backlogSize(l.backlog)
	l.backlog = b
	l.target.addUnbacked(runs-oldRuns, tokens-oldTokens)
}

func (l *leg) backlogSize(b legBacklog) (runs, tokens int) {
	switch b {
	case backlogRun:
		return 1, l.tokens
	case backlogTokens:
		return 0, l.tokens
	}
	return 0, 0
}

// end cancels the exchange, so that most engines stop working on the request, and removes what
// the leg counted on its targets. Where another engine continues the run, leave makes sure of it. It may be called more than once.
func (l *leg) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended, l.endedAt = true, time.Now()
	l.cancel()
	if l.x != nil {
		l.x.Close()
	}
	l.target.removeUnread(l.unread)
	l.changeBacklog(backlogNone)
	l.target.removeRequest(l.tokens)
	if l.standby != nil {
		l.standby.addTokens(-l.tokens)
	}
}

// isStream reports whether the engine answered with status 200, and so with an event stream.
func (l *leg) isStream() bool { return l.x.Status == http.StatusOK }
