package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/origin"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/upstream"
	"github.com/sourcegraph/conc"
)

const (
	// runTimeout bounds one question for the run of a target, runTries the number of questions without
	// an answer in a row, and runInterval is the shortest time between two questions.
	runTimeout  = 2 * time.Second
	runTries    = 5
	runInterval = 50 * time.Millisecond
	// askFirstTimeout bounds the wait for an answer before a request is sent, confirmTimeout the wait where
	// a stream cannot go on without it.
	askFirstTimeout = 100 * time.Millisecond
	confirmTimeout  = 600 * time.Millisecond
	// announceDelay is the longest time from the start of a run to the arrival of its announcement.
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

// UnknownRunError reports that it is not known which run of a target serves a connection.
type UnknownRunError struct{ Peer api.TargetID }

// Error implements error.
func (e *UnknownRunError) Error() string {
	return fmt.Sprintf("confirm the run of %s: it is not known which run serves the connection", e.Peer)
}

// runProof determines which connections lead to one run of a target. A target that starts again under
// the same ID may run other software, and its announcement may arrive later than its first responses,
// or never; no response states the run that made it. It is safe for concurrent use.
type runProof struct {
	// known is when this entry knew the run. It is set before the target is used.
	known time.Time

	mu    sync.Mutex
	proof origin.Proof
	// wanted is the time from which the connection of the next question must be opened.
	wanted time.Time
	// answeredAt is when the run has answered last.
	answeredAt time.Time
	// answered is closed at the end of the next question, nil while none is asked.
	answered chan struct{}
	// unstated is set if the target has no page for its run, ended if another run has answered. slow is
	// set while an answer takes too long to wait for it before a request is sent.
	unstated, ended, slow bool
	// other is the start of that run.
	other int64
}

func (p *runProof) begin(known time.Time) {
	p.known, p.wanted, p.proof = known, known, origin.NewProof(known)
}

// covers reports whether a connection leads to the run, and whether the target states its run.
func (p *runProof) covers(o upstream.Opening) (covered, unstated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proof.Covers(origin.Opening(o)), p.unstated
}

// want records that a question is needed on a connection that is opened from a time on. It returns a
// channel that is closed after the next question, nil if no answer identifies the run, and whether a
// question must be started.
func (p *runProof) want(since time.Time) (answered <-chan struct{}, start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unstated || p.ended {
		return nil, false
	}
	if since.After(p.wanted) {
		p.wanted = since
	}
	if p.answered == nil {
		p.answered = make(chan struct{})
		start = true
	}
	return p.answered, start
}

// latestWanted returns the time from which the connection of the next question must be opened.
func (p *runProof) latestWanted() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted
}

// record applies the result of a question that was asked on a connection. It reports whether another
// question is needed; last is set if none follows this one anyway.
func (p *runProof) record(o upstream.Opening, err error, last bool) (again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var other *OtherRunError
	switch {
	case err == nil:
		p.proof.Answered(origin.Opening(o))
		p.answeredAt, p.slow = time.Now(), false
		again = p.wanted.After(o.Began)
	case errors.Is(err, ErrNoRunStated):
		p.unstated = true
	case errors.As(err, &other):
		p.ended, p.other = true, other.Got
	default:
		again = true
	}
	close(p.answered)
	p.answered = nil
	if again && !last {
		p.answered = make(chan struct{})
		return true
	}
	return false
}

// runQuestions are the questions in progress.
type runQuestions struct {
	ctx    context.Context
	cancel context.CancelFunc
	work   conc.WaitGroup
}

// stop ends all questions. None may be started any more.
func (q *runQuestions) stop() {
	q.cancel()
	q.work.Wait()
}

// isRun reports whether a connection to a target leads to the run that this entry knows. A target that
// does not state the starts of its runs is taken to have one.
func (r *Relay) isRun(t *Target, o upstream.Opening) bool {
	if t.Born == 0 {
		return true
	}
	covered, unstated := t.runs.covers(o)
	return covered || unstated && r.isAnnouncedRun(t, o)
}

// isAnnouncedRun reports whether a connection leads to the run that was announced last, for a target that
// has no page for its run. That holds if a connection has been open for so long that the run behind it
// must have been announced, and was open before the one in question. Where targets change their IDs with
// each start, the ID, which every request names, identifies the run.
func (r *Relay) isAnnouncedRun(t *Target, o upstream.Opening) bool {
	if t.successorByName() != nil {
		return false
	}
	if r.targets.startsChangeIDs(t.Service) {
		return true
	}
	if t.successor.Load() != nil {
		return false
	}
	latest := time.Now().Add(-announceDelay)
	return o.Ended.Before(latest) || r.pool.HasOpenSince(t.Address, latest)
}

// proveRun begins to find out whether a connection to a target leads to the run that this entry knows.
// The channel that it returns is closed after the next question; it is nil if no answer identifies the run.
func (r *Relay) proveRun(req *Request, t *Target, o upstream.Opening) <-chan struct{} {
	if t.Born == 0 {
		return nil
	}
	if covered, _ := t.runs.covers(o); covered || o.Began.Before(t.runs.known) {
		return nil
	}
	return r.wantRun(req, t, o.Ended)
}

func (r *Relay) wantRun(req *Request, t *Target, since time.Time) <-chan struct{} {
	answered, start := t.runs.want(since)
	if start {
		r.runQuestions.work.Go(func() { r.askRun(req, t) })
	}
	return answered
}

// askFirst returns an OtherRunError if another run of a target answers than the one that this entry
// knows. It is called before a stream is sent there on a connection whose run is not known, so that no
// stream begins at a run that has not been announced. Streams that follow each other within runInterval
// wait for one answer, and none waits again for a target whose answer takes long.
func (r *Relay) askFirst(ctx context.Context, req *Request, t *Target) error {
	since, open := r.connectionFor(t)
	if t.Born == 0 || !t.runs.mustAsk(since, open, time.Now()) {
		return t.otherRun()
	}
	answered := r.wantRun(req, t, since.Began)
	if answered == nil {
		return t.otherRun()
	}
	timer := time.NewTimer(askFirstTimeout)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
		t.runs.setSlow()
	case <-ctx.Done():
	}
	return t.otherRun()
}

// connectionFor returns the opening of the connection on which the next request to a target is sent, and
// false if that is yet to be opened.
func (r *Relay) connectionFor(t *Target) (o upstream.Opening, open bool) {
	if o, open = r.pool.LatestIdle(t.Address); open && !o.Began.Before(t.runs.known) {
		return o, true
	}
	now := time.Now()
	return upstream.Opening{Began: now, Ended: now}, false
}

// mustAsk reports whether the run must be asked before a request is sent on a connection.
func (p *runProof) mustAsk(o upstream.Opening, open bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open && p.proof.Covers(origin.Opening(o)) {
		return false
	}
	return !p.unstated && !p.ended && !p.slow && now.Sub(p.answeredAt) >= runInterval
}

func (p *runProof) setSlow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = true
}

// otherRun returns an OtherRunError if another run of the target has answered.
func (t *Target) otherRun() error {
	t.runs.mu.Lock()
	defer t.runs.mu.Unlock()
	if !t.runs.ended {
		return nil
	}
	return &OtherRunError{Peer: t.Target, Want: t.Born, Got: t.runs.other}
}

// askRun asks a target for its run until all connections in question are settled. One answer settles
// all that were opened before, so that the number of questions is bounded by runInterval, not by the
// number of streams.
func (r *Relay) askRun(req *Request, t *Target) {
	for tries := 1; ; tries++ {
		o, err := r.askRunOnce(req, t)
		r.obs.RunConfirmed(req, t, err)
		if err == nil {
			tries = 0
		}
		if !t.runs.record(o, err, tries >= runTries || r.runQuestions.ctx.Err() != nil) {
			return
		}
		sleep(r.runQuestions.ctx, runInterval<<tries)
	}
}

// askRunOnce asks a target for its run, on a connection that was opened after all those in question.
func (r *Relay) askRunOnce(req *Request, t *Target) (upstream.Opening, error) {
	ctx, cancel := context.WithTimeout(r.runQuestions.ctx, runTimeout)
	defer cancel()
	var o upstream.Opening
	p := r.peer(req, t, targetstate.UseHeld)
	p.openedSince, p.opening = t.runs.latestWanted(), &o // not before the run was known
	born, err := r.engines.Run(ctx, p)
	if err == nil && born != t.Born {
		err = &OtherRunError{Peer: t.Target, Want: t.Born, Got: born}
		t.drain() // the known run has ended, and the other one has not been announced
	}
	return o, err
}

// confirmRun returns an error unless a connection to a target leads to the run that this entry knows. It
// waits for an answer of the target if that is needed.
func (r *Relay) confirmRun(ctx context.Context, req *Request, t *Target, o upstream.Opening) error {
	for !r.isRun(t, o) {
		answered := r.proveRun(req, t, o)
		if answered == nil {
			if r.isRun(t, o) {
				return nil
			}
			return &UnknownRunError{Peer: t.Target}
		}
		select {
		case <-answered:
		case <-ctx.Done():
			return &UnknownRunError{Peer: t.Target}
		}
	}
	return nil
}

// successorByName returns the later run of the target under the same ID, nil if none is announced.
func (t *Target) successorByName() *Target {
	if next := t.successor.Load(); next != nil && next.Target == t.Target {
		return next
	}
	return nil
}
