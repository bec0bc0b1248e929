package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"almondseam.dev/node/upstream"
)

// leg is the part of a stream that one engine makes.
type leg struct {
	target *Target
	// standby is sent a copy of the run's memory as it grows; nil for none.
	standby *Target
	x       *upstream.Exchange
	ctx     context.Context
	cancel  context.CancelFunc
	// migration prepares the next leg; nil until the engine drains.
	migration *migration

	// sentAt and queued tell when the request was sent and how many tokens the engine
	// then had to read, its own prompt among them.
	sentAt time.Time
	queued int

	mu     sync.Mutex
	tokens int // counted at the target, and at the standby
	unread int // counted at the target as not yet read
	ended  bool
}

// begin sends the request to an engine by a permit. On anything but Answered the leg has
// ended; it still tells where a copy of the run may be.
func (s *streamRun) begin(ctx context.Context, p *permit, d Directive, why string) (*leg, string) {
	t := p.target
	l := &leg{target: t, standby: s.standbyFor(t), tokens: s.tokens(), unread: s.unread(d)}
	if l.standby != nil {
		d.CopyTo = l.standby.Address
		l.standby.keep(l.tokens)
	} else {
		t.expose(1, l.tokens)
	}
	t.hold(l.tokens, l.unread)
	l.sentAt, l.queued = time.Now(), t.Load().Unread
	l.ctx, l.cancel = context.WithCancel(ctx)
	x, outcome := s.relay.send(l.ctx, s.req, p, d, why)
	l.x = x
	if x == nil {
		l.end()
	}
	return l, outcome
}

// unread is the part of the prompt that an engine has to read: none of it where a
// copy of the run is.
func (s *streamRun) unread(d Directive) int {
	if d.CopyFrom.ID != "" {
		return 0
	}
	return s.req.Ask.PromptTokens
}

// begun notes that the engine has read the prompt. It gives how many tokens it had to
// read for that and how long it took; no tokens if there is nothing to learn from it.
func (l *leg) begun() (tokens int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unread > 0 {
		tokens, took = l.queued, time.Since(l.sentAt)
	}
	l.target.read(l.unread)
	l.unread = 0
	return tokens, took
}

// held is the memory that the leg counts at its engine.
func (l *leg) held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens
}

// grow counts what the stream has grown by, at its engine and at its standby.
func (l *leg) grow(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	by := tokens - l.tokens
	l.tokens = tokens
	l.target.keep(by)
	if l.standby != nil {
		l.standby.keep(by)
	} else {
		l.target.expose(0, by)
	}
}

// end gives up the exchange, so that the engine drops what is left of the work,
// and takes back what the leg counted. It may be called more than once.
func (l *leg) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.cancel()
	if l.x != nil {
		l.x.Close()
	}
	l.target.read(l.unread)
	l.target.release(l.tokens)
	if l.standby != nil {
		l.standby.keep(-l.tokens)
	} else {
		l.target.expose(-1, -l.tokens)
	}
}

// isStream tells whether the engine answered with events.
func (l *leg) isStream() bool { return l.x.Status == http.StatusOK }
