package agent

import (
	"context"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// run drives one started session to its end.
func (a *Agent) run(ctx context.Context, s *session, priority int) {
	a.tellStarted(s)
	w := Work{
		Request:  s.offer.Key.Request,
		Method:   s.offer.Method,
		Path:     s.offer.Path,
		Headers:  s.offer.Headers,
		Body:     s.offer.Body,
		Priority: priority,
	}
	if s.offer.Service != "" {
		a.runCall(ctx, s, w)
		return
	}
	a.runGeneration(ctx, s, w)
}

func (a *Agent) tellStarted(s *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.to != nil {
		_ = s.to.Send(&wire.State{Key: s.offer.Key, Phase: wire.PhaseStarted})
	}
}

func (a *Agent) runGeneration(ctx context.Context, s *session, w Work) {
	tokens := 0
	defer func() { a.done(s, tokens) }()
	ans, err := a.target.Generate(ctx, w)
	if err != nil {
		a.end(s, a.failed(s, err))
		return
	}
	defer ans.Close()
	stop := context.AfterFunc(ctx, ans.Close)
	defer stop()
	a.end(s, s.relay(ans, func(n int) {
		tokens = n
		a.progress(s, n)
	}))
}

func (a *Agent) progress(s *session, tokens int) {
	now := a.cfg.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admit.Progress(s.offer.Key.Request, s.offer.Key.Attempt, tokens, now)
}

func (a *Agent) runCall(ctx context.Context, s *session, w Work) {
	defer a.done(s, 0)
	ctx, cancel := a.withTimeout(ctx, s)
	defer cancel()
	ans, err := a.target.Call(ctx, w)
	if err != nil {
		a.end(s, a.failed(s, err))
		return
	}
	defer ans.Close()
	stop := context.AfterFunc(ctx, ans.Close)
	defer stop()
	status, headers := ans.Head()
	s.setHead(&wire.Head{Key: s.offer.Key, Generation: s.gen, Status: status, Headers: headers})
	a.end(s, s.relay(ans, func(int) {}))
}

func (a *Agent) withTimeout(ctx context.Context, s *session) (context.Context, context.CancelFunc) {
	if s.offer.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.offer.Timeout)
}

// failed turns a target's error before any item into the final frame. The
// target's adapter alone may claim not_run.
func (a *Agent) failed(s *session, err error) *wire.Final {
	e := api.AsError(err)
	if s.isStopped() && e.Outcome != api.OutcomeNotRun {
		return &wire.Final{Outcome: api.OutcomeInterrupted, Reason: api.ReasonCancelled}
	}
	return &wire.Final{Outcome: e.Outcome, Reason: e.Reason, RetryAfter: e.RetryAfter, Detail: detail(e)}
}
