package agent

import (
	"context"
	"time"

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
	began := a.cfg.Clock()
	run := a.runGeneration
	if s.offer.Service != "" {
		run = a.runCall
	}
	f := run(ctx, s, w)
	if f.Reason == api.ReasonEngineDied {
		f.Crash = a.observeCrash(began)
	}
	return f
}

const (
	// crashProbeTimeout bounds the check whether the target's process has ended.
	crashProbeTimeout = time.Second
	// crashSpan is the time within which lost runs are due to the same crash.
	crashSpan = time.Second
)

// observeCrash returns the crash with which a run that began at a time ended, nil if the target's
// process still runs or is expected to end.
func (a *Agent) observeCrash(began time.Time) *wire.Crash {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	lost := a.cfg.Clock()
	if !a.target.Gone(ctx) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil
	}
	if lost.Sub(a.crashedAt) > crashSpan {
		a.crashedAt = lost
	}
	return &wire.Crash{At: a.crashedAt.UnixMilli(), InProgress: lost.Sub(began)}
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
