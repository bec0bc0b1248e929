package agent

import (
	"context"

	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// run carries out one started session and returns its Final message.
func (a *Agent) run(ctx context.Context, s *session, priority int) *wire.Final {
	s.sendStarted()
	w := Work{
		Request:  s.offer.Key.Request,
		Method:   s.offer.Method,
		Path:     s.offer.Path,
		Headers:  s.offer.Headers,
		Body:     s.offer.Body,
		Priority: priority,
	}
	if s.offer.Service != "" {
		return a.runCall(ctx, s, w)
	}
	return a.runGeneration(ctx, s, w)
}

func (a *Agent) runGeneration(ctx context.Context, s *session, w Work) *wire.Final {
	ans, err := a.target.Generate(ctx, w)
	if err != nil {
		return s.finalForError(err)
	}
	defer ans.Close()
	stop := context.AfterFunc(ctx, ans.Close)
	defer stop()
	return s.copyAnswer(ans, func(n int) { a.progress(s, n) })
}

func (a *Agent) progress(s *session, tokens int) {
	now := a.cfg.Clock()
	k := s.offer.Key
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitter.Progress(k.Request, k.Attempt, tokens, now)
}

func (a *Agent) runCall(ctx context.Context, s *session, w Work) *wire.Final {
	ctx, cancel := withTimeout(ctx, s)
	defer cancel()
	ans, err := a.target.Call(ctx, w)
	if err != nil {
		return s.finalForError(err)
	}
	defer ans.Close()
	stop := context.AfterFunc(ctx, ans.Close)
	defer stop()
	status, headers := ans.Head()
	s.setHead(&wire.Head{Key: s.offer.Key, Generation: s.gen, Status: status, Headers: headers})
	return s.copyAnswer(ans, func(int) {})
}

func withTimeout(ctx context.Context, s *session) (context.Context, context.CancelFunc) {
	if s.offer.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.offer.Timeout)
}

// finalForError returns the Final message for an error that the target returned
// before any item. Only the Target may state that a request did not run. A call
// that was cancelled while its service processed it keeps the outcome unknown,
// since nothing shows how far it got.
func (s *session) finalForError(err error) *wire.Final {
	e := api.AsError(err)
	f := &wire.Final{Outcome: e.Outcome, Reason: e.Reason, RetryAfter: e.RetryAfter, Detail: errorDetail(e)}
	if s.isStopped() && e.Outcome != api.OutcomeNotRun {
		f.Reason = api.ReasonCancelled
	}
	return f
}
